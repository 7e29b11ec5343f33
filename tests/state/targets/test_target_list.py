"""Tests for the list of targets across departures and outages."""

import unittest

import hypothesis
from hypothesis import strategies

from hillthread.state.config import objects
from hillthread.state.targets import target_list


def make_entry(name, leaving=False, born_ms=0, address="10.0.0.1:1"):
    """Returns an entry of the list."""
    target = objects.Target(
        name=name,
        labels={"service": "s"},
        address=address,
        data_centre="z",
    )
    return target_list.ListedTarget(target, leaving, born_ms=born_ms)


def make_read_list(name, born_ms=0):
    """Returns a list that was read whole and has one target."""
    targets = target_list.TargetList(2.0, 1.2)
    targets.put(make_entry(name, born_ms=born_ms))
    targets.is_read = True
    return targets


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

    # Guards against requests to a crashed target whose replacement answers 421.
    def test_target_listed_later_at_an_address_replaces_the_earlier(self):
        targets = make_read_list("a")
        targets.put(make_entry("b"))
        self.assertTrue(targets.is_replaced("a"))
        self.assertEqual(self.member_names(targets), {"b"})
        targets.put(make_entry("a"))  # a delayed write
        self.assertEqual(self.member_names(targets), {"b"})

    # Guards against work for a target that ended, after its successor ended.
    def test_entry_that_was_not_just_written_replaces_no_target(self):
        targets = make_read_list("a", born_ms=5)
        targets.put(make_entry("b", born_ms=4), 10.0, is_written_now=False)
        self.assertEqual(self.member_names(targets), {"a"})

    def test_replacement_by_what_was_no_target_is_undone(self):
        targets = make_read_list("a")
        targets.put(make_entry("b"), 10.0)
        targets.undo_replacements("b")
        targets.withdraw("b")
        self.assertEqual(self.member_names(targets), {"a"})

    def test_replaced_target_stays_out_until_it_is_written_again(self):
        targets = make_read_list("a")
        targets.put(make_entry("b"))
        targets.remove("b", 10.0)
        self.assertEqual(self.member_names(targets), set())
        targets.put(make_entry("a"))
        self.assertEqual(self.member_names(targets), {"a"})

    # Guards against a restarted target that stays out as if it had ended.
    def test_later_start_makes_a_replaced_target_live(self):
        targets = make_read_list("a", born_ms=1_000)
        targets.put(make_entry("b", born_ms=2_000))
        targets.put(make_entry("a", born_ms=3_000))
        self.assertEqual(self.member_names(targets), {"a"})

    # Guards against a guess by the order of the first read, which is arbitrary.
    def test_start_times_decide_in_the_first_read(self):
        targets = target_list.TargetList(2.0, 1.2)
        targets.put(make_entry("b", born_ms=2_000))
        targets.put(make_entry("a", born_ms=1_000))
        self.assertEqual(self.member_names(targets), {"b"})
        targets = target_list.TargetList(2.0, 1.2)
        targets.put(make_entry("b", born_ms=2_000))
        targets.put(make_entry("a"))
        self.assertEqual(self.member_names(targets), {"a", "b"})

    # Guards against a live target that an older copy's entry excludes.
    def test_old_entry_that_comes_back_replaces_no_live_target(self):
        for born in ((0, 0), (1_000, 2_000)):
            with self.subTest(born=born):
                targets = make_read_list("old", born_ms=born[0])
                targets.put(make_entry("live", born_ms=born[1]))
                targets.remove("old", 1.0)
                targets.put(make_entry("old", born_ms=born[0]), 50.0)
                self.assertIn("live", self.member_names(targets))
                targets.store_restored(60.0)
                targets.put(make_entry("older", born_ms=born[0]), 61.0)
                self.assertIn("live", self.member_names(targets))

    # Guards against a live target that stays excluded by a stale entry which
    # was listed late.
    def test_target_that_alone_goes_on_writing_is_the_live_one(self):
        targets = make_read_list("live")
        targets.put(make_entry("stale"))
        for _ in range(2):
            targets.put(make_entry("live"))
        self.assertEqual(self.member_names(targets), {"live"})

    # Guards against requests to a stale entry until its target's next writes.
    def test_target_that_names_itself_is_the_live_one(self):
        targets = make_read_list("live")
        targets.put(make_entry("stale"))
        targets.confirm_live("live", "10.0.0.2:1")
        self.assertEqual(self.member_names(targets), {"stale"})
        targets.confirm_live("live", "10.0.0.1:1")
        self.assertEqual(self.member_names(targets), {"live"})

    # Guards against state that outlives the entries or an address.
    def test_target_that_moves_to_another_address_is_not_replaced(self):
        targets = make_read_list("a")
        targets.put(make_entry("b"))
        targets.put(make_entry("a", address="10.0.0.2:1"))
        self.assertEqual(self.member_names(targets), {"a", "b"})
        self.assertEqual(targets._writers, {})

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
