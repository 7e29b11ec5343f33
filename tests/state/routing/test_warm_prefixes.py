"""Tests of the parts that an engine is believed to have cached."""

import unittest

from hillthread.state.routing import warm_prefixes

SHARED_PARTS = [("aa", 300), ("bb", 500)]


class WarmPrefixesTest(unittest.TestCase):
    def setUp(self):
        self.warm = warm_prefixes.WarmPrefixes()

    def test_parts_are_found_in_their_scope_only(self):
        self.warm.add_prompt("one", SHARED_PARTS, 100, 0)
        self.assertEqual(
            self.warm.count_cached_tokens("one", SHARED_PARTS), 800
        )
        self.assertEqual(self.warm.count_cached_tokens("two", SHARED_PARTS), 0)

    def test_part_counts_only_after_all_parts_before_it(self):
        self.warm.add_prompt("one", SHARED_PARTS, 100, 0)
        other = [("cc", 300), ("bb", 500)]
        self.assertEqual(self.warm.count_cached_tokens("one", other), 0)
        longer = [*SHARED_PARTS, ("dd", 50)]
        self.assertEqual(self.warm.count_cached_tokens("one", longer), 800)

    def test_least_recently_used_part_is_evicted_when_memory_is_full(self):
        memory = 3_000  # 2,400 of it for cached parts
        self.warm.add_prompt("one", [("aa", 1_000)], 0, memory)
        self.warm.add_prompt("one", [("bb", 1_000)], 0, memory)
        self.warm.add_prompt("one", [("aa", 1_000)], 0, memory)
        self.warm.add_prompt("one", [("cc", 1_000)], 0, memory)
        self.assertEqual(
            self.warm.count_cached_tokens("one", [("aa", 1_000)]), 1_000
        )
        self.assertEqual(
            self.warm.count_cached_tokens("one", [("bb", 1_000)]), 0
        )

    def test_unshared_parts_take_memory(self):
        memory = 3_000
        self.warm.add_prompt("one", [("aa", 1_000)], 900, memory)
        self.warm.add_prompt("one", [("bb", 100)], 900, memory)
        self.assertEqual(
            self.warm.count_cached_tokens("one", [("aa", 1_000)]), 0
        )

    def test_clear_removes_all_parts(self):
        self.warm.add_prompt("one", SHARED_PARTS, 100, 0)
        self.warm.clear()
        self.assertEqual(self.warm.count_cached_tokens("one", SHARED_PARTS), 0)
        self.assertEqual((len(self.warm), self.warm.tokens), (0, 0))

    def test_number_of_parts_is_bounded(self):
        for number in range(10_000):
            self.warm.add_prompt("one", [(str(number), 1)], 1, 0)
        self.assertLess(len(self.warm), 5_000)
