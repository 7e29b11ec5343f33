"""Tests of what a host knows of weights."""

import unittest

from hillthread.state import rollout
from hillthread.state import weights


class WeightsBoardTest(unittest.TestCase):
    def test_versions_only_rise(self):
        board = weights.WeightsBoard()
        self.assertTrue(board.name("m", 3, 0.0))
        self.assertFalse(board.name("m", 2, 1.0))
        self.assertFalse(board.name("m", 3, 1.0))
        self.assertEqual(board.named["m"].version, 3)

    def test_lagging_list_does_not_undo_what_a_target_said(self):
        board = weights.WeightsBoard()
        board.list_target("t", "m", 1)
        self.assertTrue(board.observe("t", "m", 2))
        board.list_target("t", "m", 1)
        self.assertEqual(board.held("t", "m"), 2)

    def test_answer_begun_before_a_load_does_not_lower_the_version(self):
        board = weights.WeightsBoard()
        board.observe("t", "m", 2)
        self.assertFalse(board.observe("t", "m", 1))
        self.assertEqual(board.held("t", "m"), 2)
        board.report("t", "m", 1)
        self.assertEqual(board.held("t", "m"), 1)

    def test_refuted_belief(self):
        board = weights.WeightsBoard()
        board.name("m", 2, 0.0)
        board.list_target("t", "m", 1)
        board.refute("t", "m", 1)
        self.assertEqual(board.held("t", "m"), 2)
        board.refute("t", "m", 2)
        self.assertTrue(board.is_behind("t", "m"))

    def test_grace_ends_and_is_short_for_a_host_that_just_started(self):
        board = weights.WeightsBoard()
        self.assertEqual(board.grace("m", 0.0), weights.WeightsGrace.FREE)
        board.name("m", 2, 0.0)
        self.assertEqual(board.grace("m", 1.0), weights.WeightsGrace.FREE)
        self.assertEqual(board.grace("m", 5.0), weights.WeightsGrace.COSTLY)
        self.assertEqual(board.grace("m", 9.0), weights.WeightsGrace.FORBIDDEN)
        board = weights.WeightsBoard()
        board.name("m", 2, 0.0, seen_named=False)
        self.assertEqual(board.grace("m", 0.1), weights.WeightsGrace.COSTLY)
        self.assertEqual(board.grace("m", 3.0), weights.WeightsGrace.FORBIDDEN)

    def test_loads_at_once(self):
        self.assertEqual(
            [rollout.loads_at_once(n) for n in (1, 4, 5, 45, 70)],
            [1, 2, 2, 18, 28],
        )
