"""Tests of the expected time to the first byte."""

import unittest

from hillthread.state.routing import first_byte

PREFILL_TOKENS_PER_S = 40_000.0


def estimate_prompt(cached=0, fetch_rate=0.0, queued=0.0):
    """Returns the estimate of a prompt of 8,000 tokens, 6,000 of it shared."""
    needs = first_byte.PromptNeeds(6_000, 2_000, cached, fetch_rate)
    return first_byte.estimate(needs, queued, PREFILL_TOKENS_PER_S)


class EstimateTest(unittest.TestCase):
    def test_cached_tokens_need_no_prefill(self):
        self.assertAlmostEqual(estimate_prompt(cached=6_000).total_s, 0.05)
        self.assertAlmostEqual(estimate_prompt(cached=2_000).total_s, 0.15)
        self.assertAlmostEqual(estimate_prompt().total_s, 0.2)
        self.assertEqual(estimate_prompt(cached=2_000).missing_tokens, 4_000)

    def test_queue_delays_the_first_byte(self):
        self.assertAlmostEqual(estimate_prompt(queued=20_000).queue_s, 0.5)
        self.assertAlmostEqual(estimate_prompt(queued=20_000).total_s, 0.7)

    def test_parts_in_a_store_are_fetched_if_that_is_faster(self):
        fast = estimate_prompt(fetch_rate=120_000.0)
        self.assertEqual(fast.prefill_tokens, 2_000)
        self.assertAlmostEqual(fast.total_s, 0.1)
        slow = estimate_prompt(fetch_rate=10_000.0)
        self.assertEqual(slow.prefill_tokens, 8_000)
        self.assertEqual(slow.fetch_s, 0.0)
