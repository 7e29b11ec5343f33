"""Tests of routing decisions."""

import unittest

from hillthread.state.routing import decision
from hillthread.state.routing import load
from hillthread.state.routing import prompt
from hillthread.state.routing import warmth

LEVELS = (
    prompt.PrefixLevel(b"a" * 16, 3000),
    prompt.PrefixLevel(b"c" * 16, 3100),
)


def candidate(name, **fields):
    return decision.Candidate(
        name,
        64,
        load.TargetLoad(10_000.0),
        warmth.TargetWarmth(100_000),
        **fields,
    )


def query(weight=1.0):
    return decision.Query(LEVELS, 3100, weight, LEVELS[0].digest)


class DecideTest(unittest.TestCase):
    def setUp(self):
        self.candidates = [candidate(name) for name in ("t0", "t1", "t2")]

    def by_name(self, name):
        return next(each for each in self.candidates if each.name == name)

    def test_routers_agree_on_a_cold_prefix(self):
        first = decision.decide(query(), self.candidates, 0.0)
        other = decision.decide(query(), self.candidates[::-1], 0.0)
        self.assertEqual(first.target, other.target)
        self.assertEqual(first.reason, decision.Reason.RENDEZVOUS)

    def test_prior_outweighs_a_short_queue_where_routers_are_silent(self):
        first = decision.decide(query(), self.candidates, 0.0).target
        self.by_name(first).load.start("a", load.LocalPrefill(0.0, 900.0))
        without_prior = decision.decide(query(), self.candidates, 0.0)
        query_with_prior = query()._replace(prior_probability=0.7)
        with_prior = decision.decide(query_with_prior, self.candidates, 0.0)
        self.assertNotEqual(without_prior.target, first)
        self.assertEqual(with_prior.target, first)

    def test_warm_target_wins(self):
        cold = decision.decide(query(), self.candidates, 0.0).target
        warm = next(each for each in self.candidates if each.name != cold)
        warm.warmth.confirm(LEVELS[:1], 0.0)
        found = decision.decide(query(), self.candidates, 0.0)
        self.assertEqual(found.target, warm.name)
        self.assertEqual(found.reason, decision.Reason.WARM)

    def test_queue_on_warm_target_spreads_by_weight(self):
        warm = self.candidates[0]
        warm.warmth.confirm(LEVELS[:1], 0.0)
        for number in range(2):
            warm.load.start(str(number), load.LocalPrefill(0.0, 2500.0))
        without_weight = decision.decide(query(0.0), self.candidates, 0.0)
        with_weight = decision.decide(query(5.0), self.candidates, 0.0)
        self.assertNotEqual(without_weight.target, warm.name)
        self.assertEqual(with_weight.target, warm.name)

    def test_excluded_targets_are_listed_with_their_reason(self):
        leaving = candidate("t3", exclusion=decision.Exclusion.LEAVING)
        found = decision.decide(query(), [leaving, *self.candidates], 0.0)
        self.assertEqual(
            found.scores[-1],
            decision.Score("t3", decision.Exclusion.LEAVING),
        )
        self.assertEqual(len(found.scores), 4)

    def test_no_eligible_target(self):
        leaving = candidate("t3", exclusion=decision.Exclusion.LEAVING)
        self.assertIsNone(decision.decide(query(), [leaving], 0.0).target)
