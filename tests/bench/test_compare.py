"""Tests of the comparison of policies."""

import unittest

from hillthread.bench import compare

SETUP = compare.Setup("prairie", 5, duration_s=10.0, crashes=1)


class CompareTest(unittest.TestCase):
    def test_same_seed_same_result(self):
        first = compare.run_policy(SETUP, "hillthread")
        self.assertEqual(first, compare.run_policy(SETUP, "hillthread"))
        other = SETUP._replace(seed=6)
        self.assertNotEqual(first, compare.run_policy(other, "hillthread"))

    def test_all_requests_are_answered_also_after_a_crash(self):
        for policy in compare.POLICIES:
            with self.subTest(policy):
                result = compare.run_policy(SETUP, policy)
                self.assertEqual(result.failed, 0)
                self.assertGreater(result.requests, 50)

    def test_warm_placement_beats_round_robin(self):
        setup = SETUP._replace(duration_s=40.0, crashes=0)
        ours = compare.run_policy(setup, "hillthread")
        baseline = compare.run_policy(setup, "round_robin")
        self.assertLess(ours.recomputed_tokens, baseline.recomputed_tokens / 2)
