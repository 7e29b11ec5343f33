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

    def test_backlog_does_not_delay_the_first_byte(self):
        """Guards against counting less urgent prompts as waiting time."""
        needs = first_byte.PromptNeeds(0, 2_000, 0, 0.0)
        expected = first_byte.estimate(
            needs, 4_000.0, PREFILL_TOKENS_PER_S, 20_000.0, 0.02
        )
        self.assertAlmostEqual(expected.backlog_s, 0.5)
        self.assertAlmostEqual(expected.total_s, 0.1 + 0.02 + 0.05)
