"""Tests for the list of targets across departures and outages."""

import unittest

import hypothesis
from hypothesis import strategies

from hillthread.state.config import objects
from hillthread.state.targets import target_list


def make_entry(name, leaving=False, born_ms=0):
    """Returns an entry of the list."""
    target = objects.Target(
        name=name,
        labels={"service": "s"},
        address="10.0.0.1:1",
        data_centre="z",
    )
    return target_list.ListedTarget(target, leaving, born_ms=born_ms)


POOL = objects.Pool(name="s", target_selector="service=s")


class TargetListTest(unittest.TestCase):
    def member_names(self, targets):
        return {each.target.name for each in targets.members(POOL)}

    def test_missing_entry_is_dropped_at_once_without_an_outage(self):
        targets = target_list.TargetList(2.0, 1.2)
        targets.put(make_entry("a"))
        change = targets.remove("a", 10.0)
        self.assertEqual(change, target_list.TargetChange.GONE)
        self.assertEqual(self.member_names(targets), set())

    def test_entry_that_lapsed_in_an_outage_may_come_back(self):
        targets = target_list.TargetList(2.0, 1.2)
        for name in "ab":
            targets.put(make_entry(name))
        targets.store_lost()
        targets.store_back(10.0)
        for name in "ab":
            targets.remove(name, 10.1)
        self.assertEqual(self.member_names(targets), {"a", "b"})
        targets.put(make_entry("a"))
        self.assertEqual(targets.expire(11.4), ["b"])
        self.assertEqual(self.member_names(targets), {"a"})
        self.assertEqual(targets.expire(99.0), [])

    def test_target_that_left_is_used_after_a_restart(self):
        targets = target_list.TargetList(2.0, 1.2)
        targets.put(make_entry("a", born_ms=1_000))
        targets.put(make_entry("a", leaving=True, born_ms=1_000))
        self.assertEqual(self.member_names(targets), set())
        change = targets.put(make_entry("a", born_ms=2_000))
        self.assertEqual(change, target_list.TargetChange.RESTARTED)
        self.assertEqual(self.member_names(targets), {"a"})

    def test_late_report_of_an_earlier_start_is_ignored(self):
        targets = target_list.TargetList(2.0, 1.2)
        targets.put(make_entry("a", born_ms=2_000))
        for late in (
            make_entry("a", leaving=True, born_ms=1_000),
            make_entry("a", born_ms=1_999),
            make_entry("a"),
        ):
            change = targets.put(late)
            self.assertEqual(change, target_list.TargetChange.UNCHANGED)
            self.assertEqual(targets.entries["a"].born_ms, 2_000)
        self.assertEqual(self.member_names(targets), {"a"})

    def test_reported_restart_ends_the_departure(self):
        targets = target_list.TargetList(2.0, 1.2)
        targets.put(make_entry("a", leaving=True, born_ms=1_000))
        self.assertFalse(targets.record_start("a", 1_000))
        self.assertTrue(targets.record_start("a", 2_000))
        self.assertEqual(self.member_names(targets), {"a"})
        targets.put(make_entry("a", leaving=True, born_ms=1_000))
        self.assertEqual(self.member_names(targets), {"a"})

    def test_departure_of_the_same_start_is_final(self):
        targets = target_list.TargetList(2.0, 1.2)
        targets.put(make_entry("a", leaving=True, born_ms=1_000))
        targets.remove("a", 5.0)
        targets.put(make_entry("a", born_ms=1_000))
        self.assertEqual(self.member_names(targets), set())

    def test_engine_that_lists_no_model_is_not_used(self):
        targets = target_list.TargetList(2.0, 1.2)
        targets.put(make_entry("a"))
        pool = objects.Pool(name="s", target_selector="service=s", models=["m"])
        self.assertEqual(targets.members(pool), [])

    def test_leaving_entry_is_not_kept_in_an_outage(self):
        targets = target_list.TargetList(2.0, 1.2)
        targets.put(make_entry("a", leaving=True))
        targets.store_lost()
        self.assertEqual(
            targets.remove("a", 10.0), target_list.TargetChange.GONE
        )

    @hypothesis.given(
        strategies.lists(
            strategies.tuples(
                strategies.sampled_from(
                    ["ready", "leaving", "remove", "lost", "back", "announced"]
                ),
                strategies.floats(0.0, 1.5),
            ),
            max_size=30,
        )
    )
    def test_target_seen_leaving_never_gets_work_again(self, steps):
        targets = target_list.TargetList(2.0, 1.2)
        now = 0.0
        is_peer_closed = False
        for step, pause in steps:
            now += pause
            match step:
                case "ready":
                    targets.put(make_entry("a"))
                case "leaving":
                    targets.put(make_entry("a", leaving=True))
                    is_peer_closed = True
                case "remove":
                    targets.remove("a", now)
                case "lost":
                    targets.store_lost()
                case "back":
                    targets.store_back(now)
                case "announced":
                    targets.mark_leaving("a")
                    is_peer_closed = True
            targets.expire(now)
            if is_peer_closed:
                self.assertEqual(self.member_names(targets), set())
