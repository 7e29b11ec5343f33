"""Tests of prefix levels."""

import unittest

from hillthread.state.routing import prompt


class PrefixLevelsTest(unittest.TestCase):
    def test_same_start_gives_same_levels(self):
        first = prompt.prefix_levels("o", "m", ["aa", "bb", "x"], 0.5)
        second = prompt.prefix_levels("o", "m", ["aa", "bb", "y"], 0.5)
        self.assertEqual(first[:2], second[:2])
        self.assertNotEqual(first[2].digest, second[2].digest)
        self.assertEqual([level.tokens for level in first], [1, 2, 2])

    def test_levels_differ_between_organisations_and_models(self):
        digests = {
            prompt.prefix_levels(organisation, model, ["a"], 1.0)[0].digest
            for organisation in ("o1", "o2")
            for model in ("m1", "m2")
        }
        self.assertEqual(len(digests), 4)

    def test_message_boundaries_change_the_digest(self):
        joined = prompt.prefix_levels("o", "m", ["ab"], 1.0)
        split = prompt.prefix_levels("o", "m", ["a", "b"], 1.0)
        self.assertNotEqual(joined[-1].digest, split[-1].digest)

    def test_long_prompt_keeps_first_and_last_levels(self):
        parts = [str(number) for number in range(40)]
        levels = prompt.prefix_levels("o", "m", parts, 1.0)
        longer = prompt.prefix_levels("o", "m", [*parts, "a", "b"], 1.0)
        self.assertEqual(len(levels), prompt.MAX_LEVELS)
        self.assertIn(levels[-1], longer)
