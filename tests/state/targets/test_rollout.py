"""Tests for the choice of targets that load new weights next."""

import unittest

from hillthread.state.config import objects
from hillthread.state.targets import rollout
from hillthread.state.targets import target_list
from hillthread.state.targets import weights

_NAMES = ("a", "b", "c", "d", "e")  # two of five load at a time


def _make_entry(name, address=""):
    target = objects.Target(
        name=name,
        labels={},
        address=address or f"127.0.0.1:{ord(name[0])}",
        data_centre="here",
    )
    return target_list.ListedTarget(target, weights={"m": 1})


class MembersTest(unittest.TestCase):
    def test_target_that_does_not_list_the_model_is_not_ordered(self):
        tracker = weights.WeightsTracker()
        tracker.record_announcement("m", 2, 0.0)
        other = _make_entry("other")._replace(weights={"n": 1})
        behind = rollout.targets_behind([other, _make_entry("a")], "m", tracker)
        self.assertEqual([entry.target.name for entry in behind], ["a"])


class PoolFixture:
    """Five targets with weights 1 while weights 2 are announced."""

    def __init__(self):
        self.tracker = weights.WeightsTracker()
        self.tracker.record_announcement("m", 2, 0.0)
        self.entries = [_make_entry(name) for name in _NAMES]
        for name in _NAMES:
            self.tracker.update_from_list(name, "m", 1)
        self.plan = rollout.RolloutPlan()
        self.lost = set()

    @property
    def load_order(self):
        """All names in load order."""
        return rollout.rank_for_rollout(
            "m", self.tracker.newest["m"].version, _NAMES
        )

    def next_names(self, now, queue_s=None):
        """Returns the targets whose loads may begin."""
        entries = self.plan.next_targets(
            self.entries, "m", self.tracker, self.lost, now, queue_s
        )
        return [entry.target.name for entry in entries]

    def begin(self, now):
        """Begins all loads that may begin; returns their targets."""
        names = self.next_names(now)
        for name in names:
            self.plan.begin_load(name, _NAMES, now)
        return names

    def begin_and_confirm(self, now):
        """Begins all loads that may begin and has engines confirm them."""
        names = self.begin(now)
        for name in names:
            assert self.plan.reserve_slot(name, now)
            self.plan.set_stage(name, rollout.LoadStage.LOADING, now)
        return names

    def finish(self, name, version, now):
        """Ends a load successfully."""
        self.tracker.update_from_report(name, "m", version)
        self.plan.end_load(name, rollout.LoadOutcome.HELD, now)


class RolloutPlanTest(unittest.TestCase):
    def setUp(self):
        self.pool = PoolFixture()
        self.plan = self.pool.plan

    def test_two_targets_load_at_a_time_in_load_order(self):
        load_order = self.pool.load_order
        self.assertEqual(self.pool.begin(0.0), load_order[:2])
        self.assertEqual(self.pool.begin(0.0), [])
        self.pool.finish(load_order[0], 2, 0.1)
        self.assertEqual(self.pool.begin(0.1), [load_order[2]])
        for number, name in enumerate(load_order[1:]):
            self.pool.begin(0.2 + number)
            self.pool.finish(name, 2, 0.2 + number)
        self.assertEqual(self.pool.begin(9.0), [])
        self.assertEqual(list(self.plan.loading), [])

    def test_confirmed_load_keeps_its_slot(self):
        for name in self.pool.begin(0.0):
            self.assertTrue(self.plan.reserve_slot(name, 0.1))
            self.plan.set_stage(name, rollout.LoadStage.LOADING, 0.2)
        self.assertEqual(self.pool.next_names(3.5), [])

    def test_silent_target_soon_frees_its_slot(self):
        load_order = self.pool.load_order
        self.pool.begin(0.0)
        self.assertEqual(self.pool.next_names(0.2), [])
        self.assertEqual(self.pool.next_names(0.3), load_order[2:4])

    def test_late_report_finds_no_free_slot(self):
        late, other, third, fourth, _ = self.pool.load_order
        self.pool.begin(0.0)
        self.pool.begin(0.3)
        for name in (third, fourth):
            self.assertTrue(self.plan.reserve_slot(name, 0.4))
            self.plan.set_stage(name, rollout.LoadStage.LOADING, 0.4)
        self.assertFalse(self.plan.reserve_slot(late, 0.5))
        self.plan.end_load(late, rollout.LoadOutcome.NO_ROOM, 0.5)
        self.pool.finish(third, 2, 1.5)
        self.assertEqual(self.pool.next_names(1.5), [late])
        self.assertTrue(self.plan.reserve_slot(other, 1.5))

    def test_unanswered_order_keeps_its_slot_until_a_report_is_due(self):
        first, *_ = self.pool.begin(0.0)
        self.assertTrue(self.plan.reserve_slot(first, 0.0))
        self.assertEqual(len(self.pool.next_names(0.9)), 1)
        self.assertEqual(len(self.pool.next_names(1.1)), 2)

    def test_lost_target_is_retried_with_growing_delays(self):
        lost, other, third, *_ = self.pool.load_order
        self.pool.begin_and_confirm(0.0)
        self.plan.end_load(lost, rollout.LoadOutcome.NO_REPORT, 0.0)
        self.pool.finish(other, 2, 0.1)
        self.assertEqual(self.pool.next_names(0.1), [third])
        self.assertEqual(self.pool.next_names(0.31)[0], lost)
        gaps_s = []
        now = 0.31
        for _ in range(6):
            self.plan.begin_load(lost, _NAMES, now)
            self.plan.end_load(lost, rollout.LoadOutcome.NO_REPORT, now)
            failed_at = now
            while lost not in self.pool.next_names(now):
                now += 0.01
            gaps_s.append(round(now - failed_at, 3))
        self.assertEqual(gaps_s, sorted(gaps_s))
        self.assertLess(gaps_s[0], 0.7)
        self.assertGreater(gaps_s[-1], 2.0)
        self.assertLess(gaps_s[-1], 2.5)

    def test_fewer_targets_load_while_some_are_lost(self):
        lost, *rest = self.pool.load_order
        self.pool.lost = {lost}
        self.plan.begin_load(lost, _NAMES, 0.0)
        self.plan.end_load(lost, rollout.LoadOutcome.NO_REPORT, 0.0)
        self.assertEqual(self.pool.begin_and_confirm(0.1), rest[:1])
        self.assertEqual(self.pool.begin_and_confirm(0.2), [])
        self.pool.finish(rest[0], 2, 1.0)
        self.assertEqual(len(self.pool.next_names(1.0)), 1)
        self.pool.lost = set()
        self.plan.begin_load(lost, _NAMES, 1.0)
        self.plan.end_load(lost, rollout.LoadOutcome.OVERTAKEN, 1.0)
        self.assertEqual(len(self.pool.next_names(1.0)), 2)

    def test_one_target_loads_however_many_are_lost(self):
        *lost, last = self.pool.load_order
        self.pool.lost = set(lost)
        for name in lost:
            self.plan.begin_load(name, _NAMES, 0.0)
            self.plan.end_load(name, rollout.LoadOutcome.NO_REPORT, 0.0)
        self.assertEqual(self.pool.begin_and_confirm(0.1), [last])

    def test_retry_of_a_lost_target_takes_no_slot(self):
        lost, second, third, *_ = self.pool.load_order
        self.plan.begin_load(lost, _NAMES, 0.0)
        self.plan.end_load(lost, rollout.LoadOutcome.NO_REPORT, 0.0)
        self.assertEqual(self.pool.begin(0.4), [lost])
        self.assertEqual(self.pool.begin_and_confirm(0.4), [second])
        self.pool.finish(second, 2, 1.0)
        self.assertEqual(self.pool.next_names(1.0), [third])

    def test_unanswered_target_is_deferred_for_a_while(self):
        silent, other, *rest = self.pool.load_order
        self.pool.begin_and_confirm(0.0)
        self.plan.end_load(silent, rollout.LoadOutcome.UNANSWERED, 0.7)
        self.assertEqual(self.pool.next_names(0.7), [rest[0]])
        for name in (other, *rest):
            self.pool.finish(name, 2, 0.8)
        # No other target is left, so there is nothing to wait for.
        self.assertEqual(self.pool.next_names(0.8), [silent])

    def test_unanswered_target_with_the_oldest_weights_comes_back(self):
        silent, *others = self.pool.load_order
        self.pool.begin(0.0)
        self.plan.end_load(silent, rollout.LoadOutcome.UNANSWERED, 0.7)
        self.pool.tracker.record_announcement("m", 3, 1.0)
        for name in others:
            self.pool.finish(name, 2, 1.0)
        self.assertEqual(self.pool.next_names(1.1)[0], silent)

    def test_oldest_weights_go_first(self):
        self.pool.tracker.record_announcement("m", 9, 0.0)
        versions = {"a": 5, "b": 3, "c": 8, "d": 4, "e": 9}
        for name, version in versions.items():
            self.pool.tracker.update_from_report(name, "m", version)
        self.assertEqual(self.pool.begin_and_confirm(0.0), ["b", "d"])
        self.pool.finish("b", 9, 1.0)
        self.assertEqual(self.pool.begin_and_confirm(1.0), ["a"])

    # Guards against loads that refuse the requests of long queues, and against
    # queues that keep the oldest weights in use.
    def test_shortest_queues_load_first_among_equally_old_weights(self):
        order = self.pool.load_order
        queues_s = dict(zip(order, (0.4, 0.3, 0.0, 0.2, 0.0), strict=True))
        queue_s = queues_s.__getitem__
        names = self.pool.next_names(0.0, queue_s)
        self.assertEqual(names, [order[2], order[4]])
        self.pool.tracker.update_from_report(order[0], "m", 0)
        names = self.pool.next_names(0.0, queue_s)
        self.assertEqual(names, [order[0], order[2]])

    # Guards against orders before the notice arrives or the queue is empty, and
    # against engines that stand by for long.
    def test_order_waits_for_the_queue_within_bounds(self):
        for queue_s, notified_s, delay_s in (
            (0.0, 0.0, 0.06),
            (0.2, 0.0, 0.2),
            (9.0, 0.0, 0.3),
            (0.0, 0.06, 0.0),
            (0.1, 0.15, 0.1),
            (9.0, 0.3, 0.0),
        ):
            with self.subTest(queue_s=queue_s, notified_s=notified_s):
                found_s = rollout.compute_order_delay_s(queue_s, notified_s)
                self.assertAlmostEqual(found_s, delay_s)

    def test_replaced_incarnation_is_not_loaded_until_its_entry_is_gone(self):
        gone, *_ = self.pool.begin(0.0)
        self.plan.end_load(gone, rollout.LoadOutcome.OTHER_INCARNATION, 0.1)
        for now in (0.1, 5.0, 100.0):
            self.assertNotIn(gone, self.pool.next_names(now))
        self.plan.keep_only([name for name in _NAMES if name != gone])
        self.assertIn(gone, self.pool.next_names(100.0))

    def test_replaced_target_is_not_loaded_beside_its_successor(self):
        old = self.pool.load_order[0]
        address = self.pool.entries[_NAMES.index(old)].target.address
        self.pool.entries.append(_make_entry("successor", address))
        self.pool.tracker.update_from_list("successor", "m", 1)
        names = [*_NAMES, "successor"]
        load_order = rollout.rank_for_rollout("m", 2, names)
        load_order.remove(old)
        self.assertEqual(self.pool.next_names(0.0), load_order[:2])
        # Lists may be read in any order: the other target is the successor.
        self.plan.begin_load("successor", names, 0.0)
        end = rollout.LoadOutcome.OTHER_INCARNATION
        self.plan.end_load("successor", end, 0.0)
        self.assertIn(old, self.pool.next_names(0.0))
        self.assertNotIn("successor", self.pool.next_names(0.0))

    def test_success_ends_the_retry_delay(self):
        name, *_ = self.pool.load_order
        for now in (0.0, 1.0, 2.0):
            self.plan.begin_load(name, _NAMES, now)
            self.plan.end_load(name, rollout.LoadOutcome.NO_REPORT, now)
        self.assertNotIn(name, self.pool.next_names(3.0))
        self.plan.begin_load(name, _NAMES, 3.5)
        self.plan.end_load(name, rollout.LoadOutcome.OVERTAKEN, 3.5)
        self.assertIn(name, self.pool.next_names(3.5))

    def test_concurrent_loads_stay_within_the_limit(self):
        """At most two orders are sent or carried out at any time."""
        ends = [
            rollout.LoadOutcome.NO_REPORT,
            rollout.LoadOutcome.UNANSWERED,
            rollout.LoadOutcome.OVERTAKEN,
            rollout.LoadOutcome.NO_ROOM,
        ]
        ordered = set()
        for step in range(2000):
            now = step * 0.05
            self.pool.begin(now)
            for number, name in enumerate(sorted(self.plan.loading)):
                if (step * 7 + number * 3) % 5 == 0:
                    end = ends[(step + number) % len(ends)]
                    self.plan.end_load(name, end, now)
                    ordered.discard(name)
                elif name not in ordered and self.plan.reserve_slot(name, now):
                    self.plan.set_stage(name, rollout.LoadStage.LOADING, now)
                    ordered.add(name)
            self.assertLessEqual(len(ordered), 2)
