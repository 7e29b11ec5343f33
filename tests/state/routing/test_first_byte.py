"""Tests of the expected time to the first byte."""

import unittest

from hillthread.state.routing import first_byte

RATE = 40_000.0


def expect(kept=0, fetch_rate=0.0, queued=0.0):
    """Returns the estimate of a prompt of 8,000 tokens, 6,000 of it shared."""
    needs = first_byte.PromptNeeds(6_000, 2_000, kept, fetch_rate)
    return first_byte.estimate(needs, queued, RATE)


class EstimateTest(unittest.TestCase):
    def test_what_is_kept_is_not_read(self):
        self.assertAlmostEqual(expect(kept=6_000).total_s, 0.05)
        self.assertAlmostEqual(expect(kept=2_000).total_s, 0.15)
        self.assertAlmostEqual(expect().total_s, 0.2)
        self.assertEqual(expect(kept=2_000).missing_tokens, 4_000)

    def test_queue_comes_first(self):
        self.assertAlmostEqual(expect(queued=20_000).queue_s, 0.5)
        self.assertAlmostEqual(expect(queued=20_000).total_s, 0.7)

    def test_what_a_store_has_is_fetched_if_that_is_faster(self):
        fast = expect(fetch_rate=120_000.0)
        self.assertEqual(fast.prefill_tokens, 2_000)
        self.assertAlmostEqual(fast.total_s, 0.1)
        slow = expect(fetch_rate=10_000.0)
        self.assertEqual(slow.prefill_tokens, 8_000)
        self.assertEqual(slow.fetch_s, 0.0)
