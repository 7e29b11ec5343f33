"""Tests of what an engine is believed to keep."""

import unittest

from hillthread.state.routing import warm_prefixes

SHARED = [("aa", 300), ("bb", 500)]


class WarmPrefixesTest(unittest.TestCase):
    def setUp(self):
        self.warm = warm_prefixes.WarmPrefixes()

    def test_parts_are_kept_within_their_scope(self):
        self.warm.add_prompt("one", SHARED, 100, 0)
        self.assertEqual(self.warm.count_cached_tokens("one", SHARED), 800)
        self.assertEqual(self.warm.count_cached_tokens("two", SHARED), 0)

    def test_a_part_is_of_use_only_behind_those_before_it(self):
        self.warm.add_prompt("one", SHARED, 100, 0)
        other = [("cc", 300), ("bb", 500)]
        self.assertEqual(self.warm.count_cached_tokens("one", other), 0)
        longer = [*SHARED, ("dd", 50)]
        self.assertEqual(self.warm.count_cached_tokens("one", longer), 800)

    def test_least_recently_used_gives_way_when_memory_is_full(self):
        memory = 3_000  # 2,400 of it for what is kept
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

    def test_parts_that_nobody_shares_take_memory_too(self):
        memory = 3_000
        self.warm.add_prompt("one", [("aa", 1_000)], 900, memory)
        self.warm.add_prompt("one", [("bb", 100)], 900, memory)
        self.assertEqual(
            self.warm.count_cached_tokens("one", [("aa", 1_000)]), 0
        )

    def test_clearing_forgets_all(self):
        self.warm.add_prompt("one", SHARED, 100, 0)
        self.warm.clear()
        self.assertEqual(self.warm.count_cached_tokens("one", SHARED), 0)
        self.assertEqual((len(self.warm), self.warm.tokens), (0, 0))

    def test_what_is_remembered_is_bounded(self):
        for number in range(10_000):
            self.warm.add_prompt("one", [(str(number), 1)], 1, 0)
        self.assertLess(len(self.warm), 5_000)
