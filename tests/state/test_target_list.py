"""Tests of the list of targets over departures and outages."""

import unittest

import hypothesis
from hypothesis import strategies

from hillthread.state import objects
from hillthread.state import target_list


def entry(name, leaving=False):
    """Returns an entry of the list."""
    target = objects.Target(
        name=name,
        labels={"service": "s"},
        address="10.0.0.1:1",
        data_centre="z",
    )
    return target_list.ListedTarget(target, leaving)


POOL = objects.Pool(name="s", target_selector="service=s")


class TargetListTest(unittest.TestCase):
    def names(self, targets):
        return {each.target.name for each in targets.members(POOL)}

    def test_missing_entry_is_gone_at_once_in_quiet_times(self):
        targets = target_list.TargetList(2.0, 1.2)
        targets.put(entry("a"))
        change = targets.remove("a", 10.0)
        self.assertEqual(change, target_list.TargetChange.GONE)
        self.assertEqual(self.names(targets), set())

    def test_entry_that_lapsed_in_an_outage_may_come_back(self):
        targets = target_list.TargetList(2.0, 1.2)
        for name in "ab":
            targets.put(entry(name))
        targets.store_lost()
        targets.store_back(10.0)
        for name in "ab":
            targets.remove(name, 10.1)
        self.assertEqual(self.names(targets), {"a", "b"})
        targets.put(entry("a"))
        self.assertEqual(targets.expire(11.4), ["b"])
        self.assertEqual(self.names(targets), {"a"})
        self.assertEqual(targets.expire(99.0), [])

    def test_leaving_entry_is_not_kept_in_an_outage(self):
        targets = target_list.TargetList(2.0, 1.2)
        targets.put(entry("a", leaving=True))
        targets.store_lost()
        self.assertEqual(
            targets.remove("a", 10.0), target_list.TargetChange.GONE
        )

    @hypothesis.given(
        strategies.lists(
            strategies.tuples(
                strategies.sampled_from(
                    ["ready", "leaving", "remove", "lost", "back", "said"]
                ),
                strategies.floats(0.0, 1.5),
            ),
            max_size=30,
        )
    )
    def test_target_seen_leaving_never_gets_work_again(self, steps):
        targets = target_list.TargetList(2.0, 1.2)
        now = 0.0
        left = False
        for step, pause in steps:
            now += pause
            match step:
                case "ready":
                    targets.put(entry("a"))
                case "leaving":
                    targets.put(entry("a", leaving=True))
                    left = True
                case "remove":
                    targets.remove("a", now)
                case "lost":
                    targets.store_lost()
                case "back":
                    targets.store_back(now)
                case "said":
                    targets.mark_leaving("a")
                    left = True
            targets.expire(now)
            if left:
                self.assertEqual(self.names(targets), set())
