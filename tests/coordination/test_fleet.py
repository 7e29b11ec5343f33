"""Tests of a router's state of its targets."""

import unittest

import msgspec

from hillthread.coordination import fleet as fleet_lib
from hillthread.state.config import objects
from hillthread.state.routing import decision
from hillthread.state.routing import load
from hillthread.state.routing import prompt
from hillthread.state.routing import warmth

POOL = objects.Pool(name="p", target_selector="", max_inflight=2, eject_after=1)
EPOCH = warmth.CacheEpoch("i1", "w1")


def make_target(name, **fields):
    fields = {"data_centre": "dc1", "models": ["m"], **fields}
    return objects.Target(name=name, address="127.0.0.1:1", **fields)


def levels(*texts):
    return prompt.prefix_levels("o", "m", texts, 1.0)


QUERY = fleet_lib.make_query(levels("x" * 2000, "y" * 10), 1.0, b"k")


class FleetTest(unittest.TestCase):
    def setUp(self):
        self.fleet = fleet_lib.Fleet("dc1")
        self.targets = [make_target("t0"), make_target("t1")]

    def choose(self, targets=None, **fields):
        constraints = fleet_lib.PlacementConstraints(
            targets or self.targets, POOL, "m", **fields
        )
        return self.fleet.choose(QUERY, constraints, 0.0)

    def exclusion(self, target, **fields):
        found = self.choose([target], **fields)
        return found.scores[0].exclusion

    def start(self, attempt_id):
        found = self.choose()
        self.fleet.start(attempt_id, QUERY, found, 0.0)
        return found.target

    def test_why_a_target_is_not_eligible(self):
        exclusions = decision.Exclusion
        plain = make_target("t0")
        cases = [
            (make_target("a", data_centre="dc2"), exclusions.OTHER_DATA_CENTRE),
            (make_target("b", models=[]), exclusions.MODEL_NOT_SERVED),
            (make_target("c", cordoned=True), exclusions.CORDONED),
            (plain, None),
        ]
        for target, expected in cases:
            self.assertEqual(self.exclusion(target), expected)
        tried = frozenset(["t0"])
        self.assertEqual(
            self.exclusion(plain, tried=tried), exclusions.ALREADY_TRIED
        )
        self.fleet.breakers["t0"].record_failure(0.0)
        self.assertEqual(self.exclusion(plain), exclusions.EJECTED)

    def test_leaving_is_sticky_until_another_incarnation_is_live(self):
        self.exclusion(self.targets[0])
        self.fleet.departures.mark_leaving("t0", "i1")
        self.fleet.departures.mark_live("t0", "i1")
        self.fleet.departures.mark_leaving("t0", "i2")
        self.assertEqual(
            self.exclusion(self.targets[0]), decision.Exclusion.LEAVING
        )
        self.fleet.departures.mark_live("t0", "i2")
        self.assertEqual(
            self.exclusion(self.targets[0]), decision.Exclusion.LEAVING
        )
        self.fleet.departures.mark_live("t0", "i3")
        self.assertIsNone(self.exclusion(self.targets[0]))

    def test_slots_are_reserved_at_start_and_released_once(self):
        names = [self.start(str(number)) for number in range(4)]
        self.assertEqual(sorted(names), ["t0", "t0", "t1", "t1"])
        self.assertIsNone(self.choose().target)
        self.fleet.finish("0")
        self.fleet.finish("0")
        self.assertEqual(self.choose().target, names[0])

    def test_continuation_needs_the_same_weights(self):
        self.choose()
        self.fleet.observe_epoch("t0", warmth.CacheEpoch("i", "w2"))
        found = self.choose(weights_version="w1")
        self.assertEqual(found.target, "t1")

    def test_new_weights_clear_warmth(self):
        name = self.start("a")
        self.fleet.observe_epoch(name, EPOCH)
        self.fleet.record_first_token("a", 0.1)
        self.assertEqual(self.choose().scores[0].warm_tokens, 2010)
        self.fleet.observe_epoch(name, EPOCH._replace(weights_version="w2"))
        for score in self.choose().scores:
            self.assertEqual(score.warm_tokens, 0)

    def test_changed_ratio_keeps_the_count_of_retries(self):
        """Otherwise each change would allow a new burst of retries."""
        budget = self.fleet.retry_budget(POOL)
        while budget.withdraw(0.0):
            pass
        changed = msgspec.structs.replace(POOL, retry_ratio=0.3)
        self.assertFalse(self.fleet.retry_budget(changed).withdraw(1.0))
        self.assertEqual(self.fleet.retry_budget(changed).ratio, 0.3)

    def test_breakers_follow_changed_pool_bounds(self):
        self.choose()
        breaker = self.fleet.breakers["t0"]
        changed = msgspec.structs.replace(POOL, eject_after=3, eject_s=7.0)
        self.fleet.choose(
            QUERY,
            fleet_lib.PlacementConstraints(self.targets, changed, "m"),
            0.0,
        )
        self.assertIs(self.fleet.breakers["t0"], breaker)
        self.assertEqual((breaker.eject_after, breaker.eject_s), (3, 7.0))

    def test_restart_resets_the_count_of_inserted_tokens(self):
        """A restarted engine counts from zero.

        With the count of the former incarnation as a maximum, insertions by
        other routers would not age the beliefs about the cache.
        """
        target = self.targets[0]
        self.fleet.track(target)
        self.fleet.observe_epoch("t0", EPOCH)
        self.report("t0", 5_000_000.0)
        self.fleet.observe_epoch("t0", warmth.CacheEpoch("i2", "w1"))
        self.report("t0", 1_000.0)
        beliefs = self.fleet.warmth.targets["t0"]
        beliefs.confirm(QUERY.levels, 0.0)
        self.report("t0", 1_000.0 + 2 * 10_000)
        self.assertEqual(beliefs.lookup(QUERY.levels, 1.0).tokens, 0)

    def test_new_weights_keep_the_count_of_inserted_tokens(self):
        self.fleet.track(self.targets[0])
        self.fleet.observe_epoch("t0", EPOCH)
        self.report("t0", 5_000_000.0)
        self.fleet.observe_epoch("t0", warmth.CacheEpoch("i1", "w2"))
        beliefs = self.fleet.warmth.targets["t0"]
        beliefs.confirm(QUERY.levels, 0.0)
        self.report("t0", 5_000_000.0)
        self.assertGreater(beliefs.lookup(QUERY.levels, 1.0).tokens, 0)

    def report(self, name, inserted):
        self.fleet.apply_load_report(
            name, load.LoadReport(0.0, 0, 0, inserted, cache_tokens=10_000)
        )


class PlacementNoticeTest(unittest.TestCase):
    def setUp(self):
        self.fleets = [fleet_lib.Fleet("dc1") for _ in range(2)]
        self.constraints = fleet_lib.PlacementConstraints(
            [make_target("t0"), make_target("t1")], POOL, "m"
        )
        for fleet in self.fleets:
            fleet.reachable_router_count = 1
            fleet.choose(QUERY, self.constraints, 0.0)
            for name in ("t0", "t1"):
                fleet.observe_epoch(name, EPOCH)

    def place_request(self):
        fleet = self.fleets[0]
        found = fleet.choose(QUERY, self.constraints, 0.0)
        fleet.start("a", QUERY, found, 0.0)
        return found.target, fleet.outbox.drain()

    def test_notice_updates_warmth_and_load_of_other_routers(self):
        name, notices = self.place_request()
        for notice in notices:
            self.fleets[1].apply_placement_notice(notice, 0.0)
        score = next(
            each
            for each in self.fleets[1]
            .choose(QUERY, self.constraints, 0.0)
            .scores
            if each.target == name
        )
        self.assertEqual(score.warm_tokens, 2000)
        self.assertGreater(score.queue_s, 0)

    def test_notice_of_another_epoch_is_ignored(self):
        name, notices = self.place_request()
        self.fleets[1].observe_epoch(name, EPOCH._replace(incarnation="i2"))
        self.fleets[1].apply_placement_notice(notices[0], 0.0)
        self.assertEqual(self.fleets[1].warmth.targets[name].levels, {})

    def test_same_level_is_not_sent_again_at_once(self):
        _, first = self.place_request()
        self.fleets[0].finish("a")
        _, second = self.place_request()
        self.assertEqual(len(first[0].levels), 1)
        self.assertEqual(second[0].levels, ())
