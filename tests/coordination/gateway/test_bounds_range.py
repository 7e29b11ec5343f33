"""Tests that bounds hold at half and at twice the value that sites give them.

Time is passed in: what keeps a bound is asked at moments around it.
"""

import unittest

import anyio

from hillthread.coordination.gateway import host as host_lib
from hillthread.coordination.gateway import metrics
from hillthread.coordination.gateway import settings
from hillthread.coordination.gateway import site as site_lib
from hillthread.coordination.gateway.orders import order_lease
from hillthread.state.quotas import retry_budget
from hillthread.state.targets import target_list
from hillthread.state.targets import weights
from tests.coordination.gateway.orders import test_order_lease
from tests.state.targets import test_target_list

_METRICS = metrics.GatewayMetrics()
# A read, the taking in and a look at the clock, together.
_WAY_S = 0.3


def site(**bounds):
    """Returns the beliefs of a host with bounds of its own."""
    return site_lib.Site(
        settings.GatewaySettings(
            host="h1",
            data_centre="here",
            listen="127.0.0.1:1",
            ready_listen="127.0.0.1:2",
            store="127.0.0.1:3",
            **bounds,
        ),
        _METRICS,
    )


class KeysTest(unittest.TestCase):
    """`revokeMs`: a withdrawn key is not served for longer."""

    def test_keys_are_not_served_when_what_is_known_is_too_old(self):
        for revoke_ms in (2_500, 5_000, 10_000):
            with self.subTest(revoke_ms=revoke_ms):
                believed = site(revoke_ms=revoke_ms)
                believed.freshness.note_read(100.0)
                revoke_s = revoke_ms / 1000.0
                late = 100.0 + revoke_s - _WAY_S
                self.assertFalse(believed.may_serve_keys(late))
                soon = 100.0 + 0.6 * revoke_s
                self.assertTrue(believed.may_serve_keys(soon))
                # Callers are sent elsewhere before that.
                self.assertGreater(believed.unready_s(late), 0.0)


class DrainTest(unittest.TestCase):
    """`drainMs`: no work reaches a target that left for so long."""

    def test_missing_entry_is_gone_in_time_with_all_that_delays_it(self):
        for drain_ms in (1_000, 2_000, 4_000, 8_000):
            with self.subTest(drain_ms=drain_ms):
                believed = site(drain_ms=drain_ms)
                believed.targets.put(test_target_list.make_entry("a"))
                believed.targets.store_lost()
                believed.targets.remove("a", 0.0)
                gather_s = host_lib._TARGETS_GATHER_SHARE * drain_ms / 1000.0
                gone_by = drain_ms / 1000.0 - gather_s - _WAY_S * 0.5
                self.assertEqual(believed.targets.expire(gone_by), ["a"])


class LeaseTest(unittest.TestCase):
    """`leaseMs`: the pause between the orders of two holders."""

    def test_successor_waits_for_the_pause_after_a_release(self):
        for pause_s in (1.5, 3.0, 6.0):
            with self.subTest(pause_s=pause_s):
                anyio.run(self.release, pause_s)

    async def release(self, pause_s):
        store = test_order_lease.Store()
        clock = test_order_lease.Clock()
        former = order_lease.OrderLease(store, "h0", pause_s, clock)
        successor = order_lease.OrderLease(store, "h1", pause_s, clock)
        self.assertTrue(await former.acquire_or_renew())
        await former.release()
        ordered_at = clock.now
        waited_s = 0.0
        while not await successor.acquire_or_renew():
            clock.now += 0.1
            waited_s = clock.now - ordered_at
        self.assertGreaterEqual(waited_s, pause_s)
        self.assertLess(waited_s, pause_s + 1.0)

    def test_successor_waits_for_a_holder_that_is_silent(self):
        for pause_s in (1.5, 3.0, 6.0):
            with self.subTest(pause_s=pause_s):
                anyio.run(self.fall_silent, pause_s)

    async def fall_silent(self, pause_s):
        store = test_order_lease.Store()
        clock = test_order_lease.Clock()
        former = order_lease.OrderLease(store, "h0", pause_s, clock)
        successor = order_lease.OrderLease(store, "h1", pause_s, clock)
        self.assertTrue(await former.acquire_or_renew())
        last_order_at = clock.now
        while not await successor.acquire_or_renew():
            clock.now += 0.1
            if former.may_act():
                last_order_at = clock.now
        self.assertGreaterEqual(clock.now - last_order_at, pause_s)


class WeightsTest(unittest.TestCase):
    """`versionMs`: nothing starts on weights named longer ago."""

    def test_starts_on_old_weights_end_before_the_bound(self):
        for version_s in (4.0, 8.0, 12.0, 24.0):
            with self.subTest(version_s=version_s):
                board = weights.WeightsTracker(version_s)
                board.update_from_list("e", "m", 1)
                board.record_announcement("m", 2, 100.0, 99.9)
                lag = board.lag("e", "m", 100.0 + version_s - _WAY_S)
                self.assertIs(lag.grace, weights.WeightsGrace.FORBIDDEN)
                self.assertLess(lag.start_by, 100.0 + version_s)
                half = board.lag("e", "m", 100.0 + version_s / 2)
                self.assertIsNot(half.grace, weights.WeightsGrace.FORBIDDEN)


class RetryTest(unittest.TestCase):
    """`retryBudgetRatio`, `budgetExtra`, `budgetWindowS`: one host's part."""

    def test_retries_of_any_window_stay_within_the_budget(self):
        for ratio in (0.1, 0.2, 0.4):
            for extra in (1.0, 2.2, 4.4):
                for window_s in (5.0, 10.0, 20.0):
                    with self.subTest(ratio=ratio, extra=extra, s=window_s):
                        self.retry(ratio, extra, window_s)

    def retry(self, ratio, extra, window_s):
        budget = retry_budget.RetryBudget(ratio, extra, window_s)
        first, retries = [], []
        for step in range(600):
            now = step * 0.1
            if step % 3 == 0:
                budget.deposit(now)
                first.append(now)
            if budget.withdraw(now):
                retries.append(now)
        self.assertTrue(retries)
        for end in retries:
            begin = end - window_s
            allowed = extra + ratio * sum(begin < at <= end for at in first)
            made = sum(begin < at <= end for at in retries)
            self.assertLessEqual(made, allowed)


class ListTest(unittest.TestCase):
    """What comes back after an outage is waited for within the bound."""

    def test_entry_that_came_back_is_kept(self):
        for drain_s in (1.0, 2.0, 4.0):
            with self.subTest(drain_s=drain_s):
                targets = target_list.TargetList(2.0, 0.6 * drain_s)
                targets.put(test_target_list.make_entry("a"))
                targets.store_lost()
                targets.remove("a", 0.0)
                targets.put(test_target_list.make_entry("a"))
                self.assertEqual(targets.expire(2 * drain_s), [])
