"""Tests of enforcing one quota."""

import unittest

from hillthread.state.config import objects
from hillthread.state.quotas import quota as quota_lib

BOUNDS = quota_lib.QuotaBounds(8.0, 0.1, 1_000.0)


def token_quota(rate=1_000.0, burst=1_000.0, plain=200.0):
    """Returns a quota that counts tokens."""
    return objects.Quota(
        rate_per_s=rate,
        burst=burst,
        unit=objects.QuotaUnit.TOKENS,
        plain_tokens=plain,
    )


def make_window(quota=None, bounds=BOUNDS, at=100.0):
    """Returns a window whose bucket has filled up by `at`."""
    window = quota_lib.QuotaWindow(quota or token_quota(), bounds, 0.0)
    window.refresh(at, 1.0)
    return window


class SuspensionTest(unittest.TestCase):
    def read_usage(self, is_suspension_known):
        """Returns what remains after 5 s in which peers used the refill."""
        window = make_window()
        window.refresh(105.0, 1.0)
        if is_suspension_known:
            window.note_suspension(5.0, 105.0)
        for _ in range(10):
            window.add_peer_usage(window.refill_per_s * 0.5, 105.0)
        return window.remaining()

    # Guards against a host that refuses its callers for as long as it was
    # suspended, because it reads all usage of its peers at once.
    def test_usage_during_a_suspension_does_not_exhaust_the_bucket(self):
        self.assertLess(self.read_usage(is_suspension_known=False), -4_000.0)
        self.assertGreater(self.read_usage(is_suspension_known=True), 0.0)

    def test_usage_beyond_the_refill_is_taken_from_the_bucket(self):
        window = make_window()
        window.refresh(105.0, 1.0)
        window.note_suspension(5.0, 105.0)
        window.add_peer_usage(window.refill_per_s * 7.0, 105.0)
        self.assertLess(window.remaining(), 0.0)

    def test_later_usage_is_taken_from_the_bucket(self):
        window = make_window()
        window.note_suspension(5.0, 100.0)
        window.refresh(101.0, 1.0)
        window.add_peer_usage(5_000.0, 101.0)
        self.assertLess(window.remaining(), 0.0)


class CostTest(unittest.TestCase):
    def test_request_cost(self):
        requests = objects.Quota(rate_per_s=2.0)
        self.assertEqual(quota_lib.request_cost(token_quota(), 9_190), 9_190.0)
        self.assertEqual(quota_lib.request_cost(token_quota(), 0), 0.0)
        self.assertEqual(quota_lib.request_cost(token_quota(), None), 200.0)
        self.assertEqual(quota_lib.request_cost(requests, 9_190), 1.0)
        self.assertEqual(quota_lib.request_cost(requests, None), 1.0)


class QuotaWindowTest(unittest.TestCase):
    def max_usage(
        self, window, interval_s, size, duration_s, reachable_share=1.0
    ):
        """Returns the maximum usage in 8 s of requests at a fixed interval."""
        sent, now = [], 100.0
        while now < 100.0 + duration_s:
            window.refresh(now, reachable_share)
            if window.remaining() > 0.0:
                window.spend(size, now)
                sent.append((now, size))
            now += interval_s
        return max(
            sum(s for at, s in sent if begin <= at <= begin + 8.0)
            for begin, _ in sent
        )

    def test_usage_in_a_window_is_rate_plus_burst(self):
        for size in (10.0, 300.0):
            max_used = self.max_usage(make_window(), 0.005, size, 20.0)
            self.assertLessEqual(max_used, 9_000.0 + size)
            self.assertGreaterEqual(max_used, 9_000.0 * 0.95)

    def test_other_window_lengths_and_tolerances(self):
        for window_s, overshoot_share, overshoot_units in (
            (4.0, 0.05, 500.0),
            (16.0, 0.2, 2_000.0),
            (8.0, 0.0, 0.0),
        ):
            bounds = quota_lib.QuotaBounds(
                window_s, overshoot_share, overshoot_units
            )
            window = make_window(bounds=bounds)
            limit = 1_000.0 * window_s + 1_000.0
            sent, now = [], 100.0
            while now < 100.0 + 3 * window_s:
                window.refresh(now, 1.0)
                if window.remaining() > 0.0:
                    window.spend(10.0, now)
                    sent.append(now)
                now += 0.005
            max_used = max(
                sum(10.0 for at in sent if begin <= at <= begin + window_s)
                for begin in sent
            )
            self.assertLessEqual(max_used, limit + 10.0)
            self.assertGreaterEqual(max_used, limit * 0.95)

    def test_restart_does_not_exceed_the_window(self):
        """The usage of a process that has ended counts in the window."""
        before = make_window()
        sent = self.max_usage(before, 0.005, 10.0, 4.0)
        after = quota_lib.QuotaWindow(token_quota(), BOUNDS, 104.0)
        now = 104.0
        while now < 108.0:
            after.refresh(now, 1.0)
            if after.remaining() > 0.0:
                after.spend(10.0, now)
                sent += 10.0
            now += 0.005
        self.assertLessEqual(sent, 9_000.0 * 1.1 + 1_000.0)

    def test_partitioned_hosts_together_keep_the_quota(self):
        max_used = sum(
            self.max_usage(make_window(), 0.005, 10.0, 20.0, reachable_share)
            for reachable_share in (0.25, 0.75)
        )
        self.assertLessEqual(max_used, 9_000.0 * 1.1 + 1_000.0)
        self.assertGreaterEqual(max_used, 9_000.0 * 0.95)

    def test_large_requests_are_admitted_like_small_ones(self):
        window = make_window(token_quota(rate=100.0, burst=100.0))
        counts = {10.0: [0, 0], 800.0: [0, 0]}
        now = 100.0
        for number in range(2_000):
            size = 800.0 if number % 10 == 0 else 10.0
            now += 0.05
            window.refresh(now, 1.0)
            counts[size][1] += 1
            if window.remaining() > 0.0:
                window.spend(size, now)
                counts[size][0] += 1
        shares = [sent / requested for sent, requested in counts.values()]
        self.assertGreater(shares[1], shares[0] * 0.5)

    def test_changed_quota_does_not_refill(self):
        window = make_window()
        while window.remaining() > 0.0:
            window.spend(100.0, 100.0)
        used = window.used / window.limit
        window.set_quota(token_quota(rate=100.0, burst=100.0))
        self.assertLessEqual(window.remaining(), 0.0)
        self.assertAlmostEqual(window.used / window.limit, used)
        window.set_quota(token_quota())
        self.assertLessEqual(window.remaining(), 0.0)

    def test_retries_of_refused_callers_are_spaced(self):
        window = make_window()
        while window.remaining() > 0.0:
            window.spend(100.0, 100.0)
        window.refresh(100.0, 1.0)
        times = [window.refuse(100.0, 225.0, 1) for _ in range(50)]
        self.assertEqual(times, sorted(times))
        self.assertAlmostEqual(times[1] - times[0], 0.2)
        self.assertLessEqual(times[-1], BOUNDS.window_s)

    def test_long_pause_refills_only_the_capacity(self):
        window = make_window()
        window.spend(5_000.0, 100.0)
        window.refresh(1_000.0, 1.0 / 90)
        self.assertLessEqual(window.remaining(), window.capacity)
        self.assertLess(window.capacity, 20.0)

    def test_refund_restores_the_quota(self):
        window = make_window()
        remaining = window.remaining()
        window.spend(300.0, 100.0)
        window.spend(-300.0, 100.3)
        self.assertEqual(window.remaining(), remaining)
        self.assertEqual(window.used, 0.0)


if __name__ == "__main__":
    unittest.main()
