"""Tests of a target's load as one router sees it."""

import unittest

from hillthread.state.routing import load


class TargetLoadTest(unittest.TestCase):
    def setUp(self):
        self.load = load.TargetLoad(1000.0)

    def test_local_prefill_counts_before_any_report(self):
        self.load.start("a", load.LocalPrefill(0.0, 500.0))
        self.assertEqual(self.load.queued_tokens(0.0), 500.0)
        self.load.note_first_token("a", 0.0)
        self.assertEqual(self.load.queued_tokens(0.0), 0.0)
        self.assertEqual(self.load.inflight, 1)
        self.load.finish("a")
        self.assertEqual(self.load.inflight, 0)

    def test_first_queued_prefill_counts_as_computing(self):
        self.load.start("a", load.LocalPrefill(0.0, 500.0))
        self.load.start("b", load.LocalPrefill(0.1, 300.0))
        self.assertEqual(self.load.queued_tokens(0.2), 600.0)
        self.assertEqual(self.load.queued_tokens(9.0), 450.0)
        self.load.note_first_token("a", 9.0)
        self.assertAlmostEqual(self.load.queued_tokens(9.1), 200.0)

    def test_peer_prefill_expires_when_it_should_be_done(self):
        self.load.add_peer_prefill(500.0, 0.0)
        self.load.add_peer_prefill(500.0, 0.0)
        self.assertEqual(self.load.queued_tokens(0.4), 1000.0)
        self.assertEqual(self.load.queued_tokens(0.6), 500.0)
        self.assertEqual(self.load.queued_tokens(1.0), 0.0)

    def test_requests_of_others_are_reported_ones_minus_local_ones(self):
        self.load.learn_mean_prefill(10_000)
        self.load.start("a", load.LocalPrefill(0.0, 100.0))
        self.load.update(load.LoadReport(0.0, 0, 3, 0.0))
        self.assertEqual(
            self.load.queued_tokens(0.0),
            100.0 + 2 * self.load.mean_prefill_tokens,
        )
        self.assertEqual(self.load.count_requests(), 3)

    def test_rate_is_learned_within_bounds(self):
        for _ in range(200):
            self.load.learn_prefill_rate(1000, 0.5)
        self.assertAlmostEqual(
            self.load.prefill_tokens_per_s, 2000.0, delta=1.0
        )
        for _ in range(200):
            self.load.learn_prefill_rate(100_000, 0.01)
        self.assertAlmostEqual(
            self.load.prefill_tokens_per_s, 4000.0, delta=1.0
        )
        self.load.learn_prefill_rate(10, 1.0)
        self.assertAlmostEqual(
            self.load.prefill_tokens_per_s, 4000.0, delta=1.0
        )

    def test_completed_peer_prefill_expires_behind_a_longer_one(self):
        """Guards against removing prefills only from the front of the list."""
        self.load.start("a", load.LocalPrefill(0.0, 50_000.0))
        self.load.add_peer_prefill(100.0, 0.0)
        self.load.finish("a")
        self.load.add_peer_prefill(400.0, 0.0)
        self.assertEqual(self.load.queued_tokens(0.0), 500.0)
        self.assertEqual(self.load.queued_tokens(1.0), 100.0)


class UrgencyTest(unittest.TestCase):
    """Tests queues of an engine that computes 10,000 tokens a second."""

    def setUp(self):
        self.load = load.TargetLoad(10_000.0)

    def test_less_urgent_prompts_are_not_waited_for(self):
        """Guards against refusing urgent prompts because of other classes."""
        self.load.start("a", load.LocalPrefill(0.0, 1_000.0, 1))
        self.load.start("b", load.LocalPrefill(0.0, 5_000.0, 6))
        self.load.add_peer_prefill(2_000.0, 0.0, 1)
        self.load.add_peer_prefill(4_000.0, 0.0, 6)
        self.assertEqual(self.load.queued_tokens(0.0, 0), 1_000.0)
        self.assertEqual(self.load.queued_tokens(0.0, 1), 3_000.0)
        self.assertEqual(self.load.queued_tokens(0.0, 6), 12_000.0)
        self.assertEqual(self.load.backlog_tokens(0.0), 12_000.0)

    def test_a_chunk_of_the_prompt_being_computed_is_waited_for(self):
        """Guards against an engine that looks idle to urgent prompts."""
        self.load.start("a", load.LocalPrefill(0.0, 5_000.0, 6))
        self.assertEqual(self.load.queued_tokens(0.0, 0), 2_048.0)
        self.assertEqual(self.load.queued_tokens(0.33, 0), 1_700.0)
        self.load.finish("a")
        self.load.add_peer_prefill(5_000.0, 1.0, 6)
        self.assertEqual(self.load.queued_tokens(1.0, 0), 2_048.0)
        self.assertAlmostEqual(self.load.queued_tokens(1.4, 0), 1_000.0)
        self.assertEqual(self.load.queued_tokens(1.5, 0), 0.0)

    def test_urgent_prompts_delay_the_queued_less_urgent_ones(self):
        """Guards against prefills that expire before they are computed."""
        self.load.add_peer_prefill(1_000.0, 0.0, 6)  # is being computed
        self.load.add_peer_prefill(1_000.0, 0.0, 6)
        self.load.add_peer_prefill(3_000.0, 0.0, 0)
        self.load.start("a", load.LocalPrefill(0.0, 2_000.0, 0))
        self.assertEqual(self.load.backlog_tokens(0.15), 4_600.0)
        self.load.finish("a")
        self.assertEqual(self.load.backlog_tokens(0.69), 1_000.0)
        self.assertEqual(self.load.backlog_tokens(0.71), 0.0)

    def test_most_urgent_prompt_is_computed_next(self):
        """Guards against progress counted for the oldest prompt."""
        self.load.start("a", load.LocalPrefill(0.0, 1_000.0, 6))
        self.load.start("b", load.LocalPrefill(0.0, 4_000.0, 6))
        self.load.start("c", load.LocalPrefill(0.0, 2_000.0, 0))
        self.load.note_first_token("a", 0.1)
        self.assertAlmostEqual(self.load.queued_tokens(0.2, 0), 1_000.0)
        self.assertAlmostEqual(self.load.backlog_tokens(0.2), 5_000.0)
