"""Tests of the levels that a target is believed to have cached."""

import unittest

from hillthread.state.routing import prompt
from hillthread.state.routing import warmth

LEVELS = (
    prompt.PrefixLevel(b"a" * 16, 1000),
    prompt.PrefixLevel(b"b" * 16, 3000),
    prompt.PrefixLevel(b"c" * 16, 3100),
)
OTHER = (*LEVELS[:2], prompt.PrefixLevel(b"d" * 16, 3200))
EPOCH = warmth.CacheEpoch("i1", "w1")


class WarmthTest(unittest.TestCase):
    def setUp(self):
        self.table = warmth.WarmthTable()
        self.beliefs = self.table.target("t", 10_000)
        self.table.enter_epoch("t", EPOCH)
        self.beliefs.confirm(LEVELS, 1.0)

    def test_longest_shared_level_is_found(self):
        found = self.beliefs.lookup(OTHER, 3.0)
        self.assertEqual(found.tokens, 3000)
        self.assertEqual(found.probability, 1.0)
        self.assertEqual(found.age_s, 2.0)

    def test_new_epoch_removes_all_levels(self):
        for epoch in (
            warmth.CacheEpoch("i2", "w1"),
            warmth.CacheEpoch("i2", "w2"),
        ):
            self.beliefs.confirm(LEVELS, 1.0)
            self.assertTrue(self.table.enter_epoch("t", epoch))
            self.assertEqual(self.beliefs.lookup(LEVELS, 2.0).tokens, 0)

    def test_same_epoch_keeps_all_levels(self):
        self.assertFalse(self.table.enter_epoch("t", EPOCH))
        self.assertEqual(self.beliefs.lookup(OTHER, 3.0).tokens, 3000)

    def test_inserted_tokens_lower_the_probability(self):
        self.beliefs.advance_clock(9_900)
        doubtful = self.beliefs.lookup(OTHER, 3.0).probability
        self.assertTrue(0 < doubtful < 1)
        self.beliefs.advance_clock(9_900)
        self.assertEqual(self.beliefs.lookup(OTHER, 3.0).probability, 0)

    def test_gap_lowers_the_probability_until_confirmed(self):
        self.beliefs.mark_unconfirmed()
        self.assertLess(self.beliefs.lookup(OTHER, 3.0).probability, 1.0)
        self.beliefs.confirm(OTHER, 4.0)
        self.assertEqual(self.beliefs.lookup(OTHER, 4.0).probability, 1.0)

    def test_pending_levels_are_removed_after_a_failure(self):
        cold = self.table.target("u", 10_000)
        cold.add_pending(LEVELS, 1.0)
        self.assertTrue(cold.lookup(OTHER, 1.0).pending)
        cold.remove_pending(LEVELS)
        self.assertEqual(cold.lookup(OTHER, 1.0).tokens, 0)

    def test_misses_shorten_the_horizon_and_hits_lengthen_it(self):
        self.beliefs.advance_clock(5_000)
        predicted = self.beliefs.lookup(OTHER, 2.0)
        self.beliefs.learn_horizon(predicted, 0)
        shortened = self.beliefs.eviction_horizon_tokens
        self.assertLess(shortened, 10_000)
        self.beliefs.advance_clock(shortened - 5_000)
        predicted = self.beliefs.lookup(OTHER, 3.0)
        self.beliefs.learn_horizon(predicted, 3_000)
        self.assertGreater(self.beliefs.eviction_horizon_tokens, shortened)

    def test_last_level_of_a_prompt_does_not_change_the_horizon(self):
        """Guards against learning from a level that no earlier prompt has.

        The last level of a prompt is never cached before its first request.
        """
        for _ in range(50):
            predicted = self.beliefs.lookup(OTHER, 2.0)
            self.beliefs.confirm(OTHER, 2.0)
            self.beliefs.learn_horizon(predicted, 3_000)
        self.assertGreaterEqual(self.beliefs.eviction_horizon_tokens, 10_000)
