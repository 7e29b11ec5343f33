"""Tests of the choice of a target."""

import unittest

from hillthread.state.routing import first_byte
from hillthread.state.routing import placement
from hillthread.state.routing import target_choice

PREFILL_TOKENS_PER_S = 50_000.0
COPY_S_PER_TOKEN = 1.0 / PREFILL_TOKENS_PER_S
SHARED_TOKENS = 6_300
UNSHARED_TOKENS = 2_900
NAMES = [f"e{n}" for n in range(5)]


def make_view(
    name, queued_tokens=0.0, cached=0, shared=SHARED_TOKENS, **fields
):
    """Returns the view of an idle target, with some fields replaced."""
    needs = first_byte.PromptNeeds(shared, UNSHARED_TOKENS, cached, 0.0)
    usual = {
        "data_centre": "here",
        "exclusion": None,
        "running": 0,
        "behind": False,
        "has_connection": True,
        "expected": first_byte.estimate(
            needs, queued_tokens, PREFILL_TOKENS_PER_S
        ),
    }
    return target_choice.TargetView(name, **{**usual, **fields})


class EngineChoiceTest(unittest.TestCase):
    def setUp(self):
        self.order = placement.rank_by_rendezvous(b"prefix", NAMES)

    def choose(
        self,
        old_weights_s=0.0,
        other_data_centre_s=0.0,
        shared=SHARED_TOKENS,
        **first,
    ):
        """Returns the choice for a given state of the first-ranked engine.

        By default that engine has cached the prefix, and no other has.
        """
        views = {name: make_view(name, shared=shared) for name in NAMES}
        first = {"cached": shared, "shared": shared, **first}
        views[self.order[0]] = make_view(self.order[0], **first)
        costs = target_choice.EngineCosts(
            old_weights_s, COPY_S_PER_TOKEN, other_data_centre_s
        )
        return target_choice.choose_engine(
            b"prefix", NAMES, views.__getitem__, costs, "here"
        )

    def test_prefix_stays_on_its_warm_engine(self):
        choice = self.choose()
        self.assertEqual((choice.name, choice.rank), (self.order[0], 0))

    def test_long_prefix_moves_only_for_a_long_queue(self):
        self.assertEqual(self.choose(queued_tokens=9_000).rank, 0)
        self.assertEqual(self.choose(queued_tokens=30_000).rank, 1)

    def test_short_prefix_moves_for_a_short_queue(self):
        self.assertEqual(self.choose(queued_tokens=300, shared=200).rank, 0)
        self.assertEqual(self.choose(queued_tokens=900, shared=200).rank, 1)

    def test_engine_with_a_copy_is_chosen_over_an_empty_one(self):
        views = {name: make_view(name) for name in NAMES}
        views[self.order[0]] = make_view(
            self.order[0], queued_tokens=9_000, cached=0
        )
        views[self.order[2]] = make_view(self.order[2], cached=SHARED_TOKENS)
        choice = target_choice.choose_engine(
            b"prefix",
            NAMES,
            views.__getitem__,
            target_choice.EngineCosts(0.0, COPY_S_PER_TOKEN, 0.0),
            "here",
        )
        self.assertEqual(choice.rank, 2)

    def test_cost_of_other_data_centre_is_added(self):
        away = {"data_centre": "there", "shared": 200}
        self.assertEqual(self.choose(**away).rank, 0)
        self.assertEqual(self.choose(other_data_centre_s=0.05, **away).rank, 1)
        away["shared"] = SHARED_TOKENS
        self.assertEqual(self.choose(other_data_centre_s=0.05, **away).rank, 0)

    def test_excluded_target_is_not_chosen(self):
        unreachable = target_choice.Exclusion.UNREACHABLE
        choice = self.choose(exclusion=unreachable)
        self.assertEqual(choice.rank, 1)
        self.assertIn("unreachable", choice.reason)

    def test_cost_of_old_weights_is_added(self):
        old = {"behind": True, "cached": 0}
        self.assertEqual(self.choose(old_weights_s=0.0, **old).rank, 0)
        self.assertEqual(self.choose(old_weights_s=0.3, **old).rank, 1)
