"""Tests of the choice of a target."""

import unittest

from hillthread.state.routing import first_byte
from hillthread.state.routing import placement
from hillthread.state.routing import target_choice

RATE = 50_000.0
COPY_S = 1.0 / RATE
SHARED = 6_300
OWN = 2_900
NAMES = [f"e{n}" for n in range(5)]


def view(name, queued_tokens=0.0, kept=0, shared=SHARED, **fields):
    """Returns how an idle target looks, but for some fields."""
    needs = first_byte.PromptNeeds(shared, OWN, kept, 0.0)
    usual = {
        "data_centre": "here",
        "exclusion": None,
        "running": 0,
        "behind": False,
        "has_connection": True,
        "expected": first_byte.estimate(needs, queued_tokens, RATE),
    }
    return target_choice.TargetView(name, **{**usual, **fields})


class EngineChoiceTest(unittest.TestCase):
    def setUp(self):
        self.order = placement.rank_by_rendezvous(b"prefix", NAMES)

    def choose(
        self, old_weights_s=0.0, other_data_centre_s=0.0, shared=SHARED, **first
    ):
        """Returns the choice when the first-ranked engine looks so.

        It keeps the prefix, and no other does.
        """
        views = {name: view(name, shared=shared) for name in NAMES}
        first = {"kept": shared, "shared": shared, **first}
        views[self.order[0]] = view(self.order[0], **first)
        weights = target_choice.EngineCosts(
            old_weights_s, COPY_S, other_data_centre_s
        )
        return target_choice.choose_engine(
            b"prefix", NAMES, views.__getitem__, weights, "here"
        )

    def test_prefix_stays_where_it_is_warm(self):
        choice = self.choose()
        self.assertEqual((choice.name, choice.rank), (self.order[0], 0))

    def test_prefix_leaves_only_a_long_queue(self):
        self.assertEqual(self.choose(queued_tokens=9_000).rank, 0)
        self.assertEqual(self.choose(queued_tokens=30_000).rank, 1)

    def test_short_prefix_leaves_a_short_queue(self):
        self.assertEqual(self.choose(queued_tokens=300, shared=200).rank, 0)
        self.assertEqual(self.choose(queued_tokens=900, shared=200).rank, 1)

    def test_copy_of_a_prefix_is_found_where_others_put_it(self):
        views = {name: view(name) for name in NAMES}
        views[self.order[0]] = view(self.order[0], queued_tokens=9_000, kept=0)
        views[self.order[2]] = view(self.order[2], kept=SHARED)
        choice = target_choice.choose_engine(
            b"prefix",
            NAMES,
            views.__getitem__,
            target_choice.EngineCosts(0.0, COPY_S, 0.0),
            "here",
        )
        self.assertEqual(choice.rank, 2)

    def test_other_data_centre_costs_as_much_as_told(self):
        away = {"data_centre": "there", "shared": 200}
        self.assertEqual(self.choose(**away).rank, 0)
        self.assertEqual(self.choose(other_data_centre_s=0.05, **away).rank, 1)
        away["shared"] = SHARED
        self.assertEqual(self.choose(other_data_centre_s=0.05, **away).rank, 0)

    def test_excluded_target_is_not_taken(self):
        lost = target_choice.Exclusion.UNREACHABLE
        choice = self.choose(exclusion=lost)
        self.assertEqual(choice.rank, 1)
        self.assertIn("unreachable", choice.reason)

    def test_old_weights_cost_as_much_as_told(self):
        old = {"behind": True, "kept": 0}
        self.assertEqual(self.choose(old_weights_s=0.0, **old).rank, 0)
        self.assertEqual(self.choose(old_weights_s=0.3, **old).rank, 1)
