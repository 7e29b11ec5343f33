"""Tests of a target's load as one router sees it."""

import unittest

from hillthread.state.routing import load


class TargetLoadTest(unittest.TestCase):
    def setUp(self):
        self.load = load.TargetLoad(1000.0)

    def test_own_work_counts_before_any_report(self):
        self.load.start("a", load.LocalPrefill(0.0, 500.0))
        self.assertEqual(self.load.queued_tokens(0.0), 500.0)
        self.load.note_first_token("a", 0.0)
        self.assertEqual(self.load.queued_tokens(0.0), 0.0)
        self.assertEqual(self.load.inflight, 1)
        self.load.finish("a")
        self.assertEqual(self.load.inflight, 0)

    def test_the_first_in_line_is_being_computed(self):
        self.load.start("a", load.LocalPrefill(0.0, 500.0))
        self.load.start("b", load.LocalPrefill(0.1, 300.0))
        self.assertEqual(self.load.queued_tokens(0.2), 600.0)
        self.assertEqual(self.load.queued_tokens(9.0), 450.0)
        self.load.note_first_token("a", 9.0)
        self.assertAlmostEqual(self.load.queued_tokens(9.1), 200.0)

    def test_peers_work_ends_by_itself(self):
        self.load.add_peer_prefill(500.0, 0.0)
        self.load.add_peer_prefill(500.0, 0.0)
        self.assertEqual(self.load.queued_tokens(0.4), 1000.0)
        self.assertEqual(self.load.queued_tokens(0.6), 500.0)
        self.assertEqual(self.load.queued_tokens(1.0), 0.0)

    def test_others_requests_are_the_reports_less_our_own(self):
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

    def test_peer_work_that_takes_long_holds_up_no_other(self):
        """What is done goes, though what was told before it is not."""
        self.load.start("a", load.LocalPrefill(0.0, 50_000.0))
        self.load.add_peer_prefill(100.0, 0.0)
        self.load.finish("a")
        self.load.add_peer_prefill(400.0, 0.0)
        self.assertEqual(self.load.queued_tokens(0.0), 500.0)
        self.assertEqual(self.load.queued_tokens(1.0), 100.0)
