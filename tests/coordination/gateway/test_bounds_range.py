"""Tests that bounds hold at half and at twice the values of deployments.

Time is an argument: the code that keeps a bound is called with times around it.
"""

import unittest

import anyio

from hillthread.coordination.gateway import host as host_lib
from hillthread.coordination.gateway import metrics
from hillthread.coordination.gateway import settings
from hillthread.coordination.gateway import site as site_lib
from hillthread.coordination.gateway.orders import order_lease
from hillthread.state.quotas import retry_share
from hillthread.state.targets import target_list
from hillthread.state.targets import weights
from tests.coordination.gateway.orders import test_order_lease
from tests.state.targets import test_target_list

_METRICS = metrics.GatewayMetrics()
# A read, its application and a check of the clock, together.
_DELAY_S = 0.3


def make_host_state(**bounds):
    """Returns the state of a host with the given bounds."""
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
    """`revokeMs`: a withdrawn key is served no longer than this."""

    def test_keys_are_not_served_when_the_data_is_too_old(self):
        for revoke_ms in (2_500, 5_000, 10_000):
            with self.subTest(revoke_ms=revoke_ms):
                host_state = make_host_state(revoke_ms=revoke_ms)
                host_state.freshness.note_read(100.0)
                revoke_s = revoke_ms / 1000.0
                late = 100.0 + revoke_s - _DELAY_S
                self.assertFalse(host_state.may_serve_keys(late))
                early = 100.0 + 0.6 * revoke_s
                self.assertTrue(host_state.may_serve_keys(early))
                # The host becomes unready before that, so callers go elsewhere.
                self.assertGreater(host_state.unready_s(late), 0.0)


class DrainTest(unittest.TestCase):
    """`drainMs`: no work reaches a target this long after it left."""

    def test_missing_entry_is_removed_in_time_despite_all_delays(self):
        for drain_ms in (1_000, 2_000, 4_000, 8_000):
            with self.subTest(drain_ms=drain_ms):
                host_state = make_host_state(drain_ms=drain_ms)
                host_state.targets.put(test_target_list.make_entry("a"))
                host_state.targets.store_lost()
                host_state.targets.remove("a", 0.0)
                gather_s = (
                    host_lib._TARGETS_BATCH_DELAY_SHARE * drain_ms / 1000.0
                )
                gone_by = drain_ms / 1000.0 - gather_s - _DELAY_S * 0.5
                self.assertEqual(host_state.targets.expire(gone_by), ["a"])


class LeaseTest(unittest.TestCase):
    """`leaseMs`: the pause between the orders of two holders."""

    def test_successor_waits_for_the_pause_after_a_release(self):
        for pause_s in (1.5, 3.0, 6.0):
            with self.subTest(pause_s=pause_s):
                anyio.run(self.check_release, pause_s)

    async def check_release(self, pause_s):
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
                anyio.run(self.check_silent_holder, pause_s)

    async def check_silent_holder(self, pause_s):
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
    """`versionMs`: no request starts on weights replaced longer ago."""

    def test_no_request_starts_on_old_weights_after_the_bound(self):
        for version_s in (4.0, 8.0, 12.0, 24.0):
            with self.subTest(version_s=version_s):
                tracker = weights.WeightsTracker(version_s)
                tracker.update_from_list("e", "m", 1)
                tracker.record_announcement("m", 2, 100.0, 99.9)
                lag = tracker.lag("e", "m", 100.0 + version_s - _DELAY_S)
                self.assertIs(lag.grace, weights.WeightsGrace.FORBIDDEN)
                self.assertLess(lag.start_by, 100.0 + version_s)
                lag_at_half = tracker.lag("e", "m", 100.0 + version_s / 2)
                self.assertIsNot(
                    lag_at_half.grace, weights.WeightsGrace.FORBIDDEN
                )


class RetryTest(unittest.TestCase):
    """`retryBudgetRatio`, `budgetExtra`, `budgetWindowS` for one host."""

    def test_retries_of_any_window_stay_within_the_budget(self):
        for ratio in (0.1, 0.2, 0.4):
            for extra in (1.0, 2.2, 4.4):
                for window_s in (5.0, 10.0, 20.0):
                    with self.subTest(ratio=ratio, extra=extra, s=window_s):
                        self.check_retries(ratio, extra, window_s)

    def check_retries(self, ratio, extra, window_s):
        bounds = retry_share.RetryBounds(ratio, extra, window_s)
        share = retry_share.RetryShare(bounds, 1, 0.0)
        request_times, retry_times = [], []
        for step in range(600):
            now = step * 0.1
            share.update(bounds, 1, now)
            if step % 3 == 0:
                share.deposit(now)
                request_times.append(now)
            if share.withdraw():
                retry_times.append(now)
        self.assertTrue(retry_times)
        for end in retry_times:
            begin = end - window_s
            allowed = extra + ratio * sum(
                begin < at <= end for at in request_times
            )
            made = sum(begin < at <= end for at in retry_times)
            self.assertLessEqual(made, allowed)


class TargetListTest(unittest.TestCase):
    """Missing entries are awaited after an outage, within the bound."""

    def test_entry_that_comes_back_is_kept(self):
        for drain_s in (1.0, 2.0, 4.0):
            with self.subTest(drain_s=drain_s):
                targets = target_list.TargetList(2.0, 0.6 * drain_s)
                targets.put(test_target_list.make_entry("a"))
                targets.store_lost()
                targets.remove("a", 0.0)
                targets.put(test_target_list.make_entry("a"))
                self.assertEqual(targets.expire(2 * drain_s), [])
