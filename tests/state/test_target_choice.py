"""Tests of the choice of a target."""

import unittest

from hillthread.state import placement
from hillthread.state import target_choice

RATE = 50_000.0
AWAY_S = 0.25
NAMES = [f"e{n}" for n in range(5)]


def view(name, **fields):
    """Returns how an idle target looks, but for some fields."""
    usual = {
        "data_centre": "here",
        "exclusion": None,
        "running": 0,
        "queued_tokens": 0.0,
        "behind": False,
        "has_connection": True,
        "seconds": 0.0,
    }
    return target_choice.TargetView(name, **{**usual, **fields})


class EngineChoiceTest(unittest.TestCase):
    def setUp(self):
        self.order = placement.rank_by_rendezvous(b"prefix", NAMES)

    def choose(self, behind_s=0.0, **first):
        """Returns the choice when the first-ranked engine looks so."""
        views = {name: view(name) for name in NAMES}
        views[self.order[0]] = view(self.order[0], **first)
        weights = target_choice.EngineWeights(RATE, behind_s, AWAY_S)
        return target_choice.choose_engine(
            b"prefix", NAMES, views.__getitem__, weights
        )

    def test_prefix_stays_where_it_is_warm(self):
        choice = self.choose()
        self.assertEqual((choice.name, choice.rank), (self.order[0], 0))

    def test_prefix_leaves_only_a_long_queue(self):
        self.assertEqual(self.choose(queued_tokens=9_000).rank, 0)
        self.assertEqual(self.choose(queued_tokens=30_000).rank, 1)

    def test_excluded_target_is_not_taken(self):
        lost = target_choice.Exclusion.UNREACHABLE
        choice = self.choose(exclusion=lost)
        self.assertEqual(choice.rank, 1)
        self.assertIn("unreachable", choice.reason)

    def test_old_weights_cost_as_much_as_told(self):
        self.assertEqual(self.choose(behind_s=0.0, behind=True).rank, 0)
        self.assertEqual(self.choose(behind_s=0.3, behind=True).rank, 1)
