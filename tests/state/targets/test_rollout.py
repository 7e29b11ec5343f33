"""Tests of which targets load new weights next."""

import unittest

from hillthread.state.config import objects
from hillthread.state.targets import rollout
from hillthread.state.targets import target_list
from hillthread.state.targets import weights

_NAMES = ("a", "b", "c", "d", "e")  # two of five load at a time


def _entry(name, address=""):
    target = objects.Target(
        name=name,
        labels={},
        address=address or f"127.0.0.1:{ord(name[0])}",
        data_centre="here",
    )
    return target_list.ListedTarget(target, weights={"m": 1})


class MembersTest(unittest.TestCase):
    def test_target_that_does_not_list_the_model_is_not_ordered(self):
        board = weights.WeightsTracker()
        board.record_announcement("m", 2, 0.0)
        other = _entry("other")._replace(weights={"n": 1})
        behind = rollout.targets_behind([other, _entry("a")], "m", board)
        self.assertEqual([entry.target.name for entry in behind], ["a"])


class Site:
    """Five targets with weights 1 while weights 2 are named."""

    def __init__(self):
        self.board = weights.WeightsTracker()
        self.board.record_announcement("m", 2, 0.0)
        self.entries = [_entry(name) for name in _NAMES]
        for name in _NAMES:
            self.board.update_from_list(name, "m", 1)
        self.plan = rollout.RolloutPlan()
        self.lost = set()

    @property
    def wave(self):
        """All names in the order of their loads."""
        return rollout.rank_for_rollout(
            "m", self.board.newest["m"].version, _NAMES
        )

    def next_names(self, now):
        """Returns the targets whose loads may begin."""
        entries = self.plan.next_targets(
            self.entries, "m", self.board, self.lost, now
        )
        return [entry.target.name for entry in entries]

    def begin(self, now):
        """Begins all loads that may begin; returns their targets."""
        names = self.next_names(now)
        for name in names:
            self.plan.begin_load(name, _NAMES, now)
        return names

    def load(self, now):
        """Begins all loads that may begin; their engines confirm them."""
        names = self.begin(now)
        for name in names:
            assert self.plan.reserve_slot(name, now)
            self.plan.set_stage(name, rollout.LoadStage.LOADING, now)
        return names

    def hold(self, name, version, now):
        """Has a load end well."""
        self.board.update_from_report(name, "m", version)
        self.plan.end_load(name, rollout.LoadOutcome.HELD, now)


class RolloutPlanTest(unittest.TestCase):
    def setUp(self):
        self.site = Site()
        self.plan = self.site.plan

    def test_loads_go_in_the_order_of_the_wave_two_at_a_time(self):
        wave = self.site.wave
        self.assertEqual(self.site.begin(0.0), wave[:2])
        self.assertEqual(self.site.begin(0.0), [])
        self.site.hold(wave[0], 2, 0.1)
        self.assertEqual(self.site.begin(0.1), [wave[2]])
        for number, name in enumerate(wave[1:]):
            self.site.begin(0.2 + number)
            self.site.hold(name, 2, 0.2 + number)
        self.assertEqual(self.site.begin(9.0), [])
        self.assertEqual(list(self.plan.loading), [])

    def test_load_that_an_engine_confirmed_keeps_its_place(self):
        for name in self.site.begin(0.0):
            self.assertTrue(self.plan.reserve_slot(name, 0.1))
            self.plan.set_stage(name, rollout.LoadStage.LOADING, 0.2)
        self.assertEqual(self.site.next_names(3.5), [])

    def test_silent_target_keeps_its_place_for_a_moment_only(self):
        wave = self.site.wave
        self.site.begin(0.0)
        self.assertEqual(self.site.next_names(0.2), [])
        self.assertEqual(self.site.next_names(0.3), wave[2:4])

    def test_late_report_finds_its_place_taken(self):
        late, other, third, fourth, _ = self.site.wave
        self.site.begin(0.0)
        self.site.begin(0.3)
        for name in (third, fourth):
            self.assertTrue(self.plan.reserve_slot(name, 0.4))
            self.plan.set_stage(name, rollout.LoadStage.LOADING, 0.4)
        self.assertFalse(self.plan.reserve_slot(late, 0.5))
        self.plan.end_load(late, rollout.LoadOutcome.NO_ROOM, 0.5)
        self.site.hold(third, 2, 1.5)
        self.assertEqual(self.site.next_names(1.5), [late])
        self.assertTrue(self.plan.reserve_slot(other, 1.5))

    def test_unanswered_order_keeps_its_place_until_a_report_tells(self):
        first, *_ = self.site.begin(0.0)
        self.assertTrue(self.plan.reserve_slot(first, 0.0))
        self.assertEqual(len(self.site.next_names(0.9)), 1)
        self.assertEqual(len(self.site.next_names(1.1)), 2)

    def test_lost_target_is_tried_again_ever_more_rarely(self):
        lost, other, third, *_ = self.site.wave
        self.site.load(0.0)
        self.plan.end_load(lost, rollout.LoadOutcome.NO_REPORT, 0.0)
        self.site.hold(other, 2, 0.1)
        self.assertEqual(self.site.next_names(0.1), [third])
        self.assertEqual(self.site.next_names(0.31)[0], lost)
        gaps_s = []
        now = 0.31
        for _ in range(6):
            self.plan.begin_load(lost, _NAMES, now)
            self.plan.end_load(lost, rollout.LoadOutcome.NO_REPORT, now)
            failed_at = now
            while lost not in self.site.next_names(now):
                now += 0.01
            gaps_s.append(round(now - failed_at, 3))
        self.assertEqual(gaps_s, sorted(gaps_s))
        self.assertLess(gaps_s[0], 0.7)
        self.assertGreater(gaps_s[-1], 2.0)
        self.assertLess(gaps_s[-1], 2.5)

    def test_fewer_load_while_targets_serve_nobody(self):
        lost, *rest = self.site.wave
        self.site.lost = {lost}
        self.plan.begin_load(lost, _NAMES, 0.0)
        self.plan.end_load(lost, rollout.LoadOutcome.NO_REPORT, 0.0)
        self.assertEqual(self.site.load(0.1), rest[:1])
        self.assertEqual(self.site.load(0.2), [])
        self.site.hold(rest[0], 2, 1.0)
        self.assertEqual(len(self.site.next_names(1.0)), 1)
        self.site.lost = set()
        self.plan.begin_load(lost, _NAMES, 1.0)
        self.plan.end_load(lost, rollout.LoadOutcome.OVERTAKEN, 1.0)
        self.assertEqual(len(self.site.next_names(1.0)), 2)

    def test_one_loads_however_many_are_lost(self):
        *lost, last = self.site.wave
        self.site.lost = set(lost)
        for name in lost:
            self.plan.begin_load(name, _NAMES, 0.0)
            self.plan.end_load(name, rollout.LoadOutcome.NO_REPORT, 0.0)
        self.assertEqual(self.site.load(0.1), [last])

    def test_lost_target_asked_again_takes_no_place(self):
        lost, second, third, *_ = self.site.wave
        self.plan.begin_load(lost, _NAMES, 0.0)
        self.plan.end_load(lost, rollout.LoadOutcome.NO_REPORT, 0.0)
        self.assertEqual(self.site.begin(0.4), [lost])
        self.assertEqual(self.site.load(0.4), [second])
        self.site.hold(second, 2, 1.0)
        self.assertEqual(self.site.next_names(1.0), [third])

    def test_unanswered_target_goes_behind_the_others_for_a_while(self):
        silent, other, *rest = self.site.wave
        self.site.load(0.0)
        self.plan.end_load(silent, rollout.LoadOutcome.UNANSWERED, 0.7)
        self.assertEqual(self.site.next_names(0.7), [rest[0]])
        for name in (other, *rest):
            self.site.hold(name, 2, 0.8)
        # Nobody else is to be ordered: there is nothing to wait for.
        self.assertEqual(self.site.next_names(0.8), [silent])

    def test_unanswered_target_with_the_oldest_weights_comes_back(self):
        silent, *others = self.site.wave
        self.site.begin(0.0)
        self.plan.end_load(silent, rollout.LoadOutcome.UNANSWERED, 0.7)
        self.site.board.record_announcement("m", 3, 1.0)
        for name in others:
            self.site.hold(name, 2, 1.0)
        self.assertEqual(self.site.next_names(1.1)[0], silent)

    def test_oldest_weights_go_first(self):
        self.site.board.record_announcement("m", 9, 0.0)
        versions = {"a": 5, "b": 3, "c": 8, "d": 4, "e": 9}
        for name, version in versions.items():
            self.site.board.update_from_report(name, "m", version)
        self.assertEqual(self.site.load(0.0), ["b", "d"])
        self.site.hold("b", 9, 1.0)
        self.assertEqual(self.site.load(1.0), ["a"])

    def test_another_incarnation_ends_it_until_the_entry_is_gone(self):
        gone, *_ = self.site.begin(0.0)
        self.plan.end_load(gone, rollout.LoadOutcome.OTHER_INCARNATION, 0.1)
        for now in (0.1, 5.0, 100.0):
            self.assertNotIn(gone, self.site.next_names(now))
        self.plan.keep_only([name for name in _NAMES if name != gone])
        self.assertIn(gone, self.site.next_names(100.0))

    def test_replaced_target_is_not_asked_for_its_successor(self):
        old = self.site.wave[0]
        address = self.site.entries[_NAMES.index(old)].target.address
        self.site.entries.append(_entry("successor", address))
        self.site.board.update_from_list("successor", "m", 1)
        names = [*_NAMES, "successor"]
        wave = rollout.rank_for_rollout("m", 2, names)
        wave.remove(old)
        self.assertEqual(self.site.next_names(0.0), wave[:2])
        # Lists may be read in any order: the other one is the successor.
        self.plan.begin_load("successor", names, 0.0)
        end = rollout.LoadOutcome.OTHER_INCARNATION
        self.plan.end_load("successor", end, 0.0)
        self.assertIn(old, self.site.next_names(0.0))
        self.assertNotIn("successor", self.site.next_names(0.0))

    def test_success_ends_the_back_off(self):
        name, *_ = self.site.wave
        for now in (0.0, 1.0, 2.0):
            self.plan.begin_load(name, _NAMES, now)
            self.plan.end_load(name, rollout.LoadOutcome.NO_REPORT, now)
        self.assertNotIn(name, self.site.next_names(3.0))
        self.plan.begin_load(name, _NAMES, 3.5)
        self.plan.end_load(name, rollout.LoadOutcome.OVERTAKEN, 3.5)
        self.assertIn(name, self.site.next_names(3.5))

    def test_never_more_loads_than_planned_whatever_ends(self):
        """At each moment at most two orders are out or being carried out."""
        ends = [
            rollout.LoadOutcome.NO_REPORT,
            rollout.LoadOutcome.UNANSWERED,
            rollout.LoadOutcome.OVERTAKEN,
            rollout.LoadOutcome.NO_ROOM,
        ]
        ordered = set()
        for step in range(2000):
            now = step * 0.05
            self.site.begin(now)
            for number, name in enumerate(sorted(self.plan.loading)):
                if (step * 7 + number * 3) % 5 == 0:
                    end = ends[(step + number) % len(ends)]
                    self.plan.end_load(name, end, now)
                    ordered.discard(name)
                elif name not in ordered and self.plan.reserve_slot(name, now):
                    self.plan.set_stage(name, rollout.LoadStage.LOADING, now)
                    ordered.add(name)
            self.assertLessEqual(len(ordered), 2)
