"""Tests of how one quota is spent."""

import unittest

from hillthread.state.config import objects
from hillthread.state.quotas import quota as quota_lib

BOUNDS = quota_lib.QuotaBounds(8.0, 0.1, 1_000.0)


def tokens(rate=1_000.0, burst=1_000.0, plain=200.0):
    """Returns a quota of tokens."""
    return objects.Quota(
        rate_per_s=rate,
        burst=burst,
        unit=objects.QuotaUnit.TOKENS,
        plain_tokens=plain,
    )


def opened(quota=None, bounds=BOUNDS, at=100.0):
    """Returns a window that has stood for long, at a time."""
    window = quota_lib.QuotaWindow(quota or tokens(), bounds, 0.0)
    window.refresh(at, 1.0)
    return window


class CostTest(unittest.TestCase):
    def test_what_a_request_counts(self):
        requests = objects.Quota(rate_per_s=2.0)
        self.assertEqual(quota_lib.request_cost(tokens(), 9_190), 9_190.0)
        self.assertEqual(quota_lib.request_cost(tokens(), 0), 0.0)
        self.assertEqual(quota_lib.request_cost(tokens(), None), 200.0)
        self.assertEqual(quota_lib.request_cost(requests, 9_190), 1.0)
        self.assertEqual(quota_lib.request_cost(requests, None), 1.0)


class QuotaWindowTest(unittest.TestCase):
    def most_sent(self, window, ask_s, size, length_s, part=1.0):
        """Returns the most sent in 8 s when something is asked for so often."""
        sent, now = [], 100.0
        while now < 100.0 + length_s:
            window.refresh(now, part)
            if window.remaining() > 0.0:
                window.spend(size, now)
                sent.append((now, size))
            now += ask_s
        return max(
            sum(s for at, s in sent if begin <= at <= begin + 8.0)
            for begin, _ in sent
        )

    def test_window_holds_rate_and_burst_and_no_more(self):
        for size in (10.0, 300.0):
            most = self.most_sent(opened(), 0.005, size, 20.0)
            self.assertLessEqual(most, 9_000.0 + size)
            self.assertGreaterEqual(most, 9_000.0 * 0.95)

    def test_bounds_at_half_and_at_twice(self):
        for window_s, overshoot_share, overshoot_units in (
            (4.0, 0.05, 500.0),
            (16.0, 0.2, 2_000.0),
            (8.0, 0.0, 0.0),
        ):
            bounds = quota_lib.QuotaBounds(
                window_s, overshoot_share, overshoot_units
            )
            window = opened(bounds=bounds)
            limit = 1_000.0 * window_s + 1_000.0
            sent, now = [], 100.0
            while now < 100.0 + 3 * window_s:
                window.refresh(now, 1.0)
                if window.remaining() > 0.0:
                    window.spend(10.0, now)
                    sent.append(now)
                now += 0.005
            most = max(
                sum(10.0 for at in sent if begin <= at <= begin + window_s)
                for begin in sent
            )
            self.assertLessEqual(most, limit + 10.0)
            self.assertGreaterEqual(most, limit * 0.95)

    def test_process_that_starts_adds_to_no_window(self):
        """What a process that ended has sent still counts."""
        before = opened()
        sent = self.most_sent(before, 0.005, 10.0, 4.0)
        after = quota_lib.QuotaWindow(tokens(), BOUNDS, 104.0)
        now = 104.0
        while now < 108.0:
            after.refresh(now, 1.0)
            if after.remaining() > 0.0:
                after.spend(10.0, now)
                sent += 10.0
            now += 0.005
        self.assertLessEqual(sent, 9_000.0 * 1.1 + 1_000.0)

    def test_parts_add_up_to_the_whole(self):
        most = sum(
            self.most_sent(opened(), 0.005, 10.0, 20.0, part)
            for part in (0.25, 0.75)
        )
        self.assertLessEqual(most, 9_000.0 * 1.1 + 1_000.0)
        self.assertGreaterEqual(most, 9_000.0 * 0.95)

    def test_large_requests_get_through_as_small_ones_do(self):
        window = opened(tokens(rate=100.0, burst=100.0))
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
        shares = [sent / asked for sent, asked in counts.values()]
        self.assertGreater(shares[1], shares[0] * 0.5)

    def test_changes_earn_nothing(self):
        window = opened()
        while window.remaining() > 0.0:
            window.spend(100.0, 100.0)
        used = window.used / window.limit
        window.set_quota(tokens(rate=100.0, burst=100.0))
        self.assertLessEqual(window.remaining(), 0.0)
        self.assertAlmostEqual(window.used / window.limit, used)
        window.set_quota(tokens())
        self.assertLessEqual(window.remaining(), 0.0)

    def test_refused_callers_return_one_after_the_other(self):
        window = opened()
        while window.remaining() > 0.0:
            window.spend(100.0, 100.0)
        window.refresh(100.0, 1.0)
        times = [window.refuse(100.0, 225.0, 1) for _ in range(50)]
        self.assertEqual(times, sorted(times))
        self.assertAlmostEqual(times[1] - times[0], 0.2)
        self.assertLessEqual(times[-1], BOUNDS.window_s)

    def test_standstill_earns_no_more_than_the_capacity(self):
        window = opened()
        window.spend(5_000.0, 100.0)
        window.refresh(1_000.0, 1.0 / 90)
        self.assertLessEqual(window.remaining(), window.capacity)
        self.assertLess(window.capacity, 20.0)

    def test_what_has_not_run_is_given_back(self):
        window = opened()
        remaining = window.remaining()
        window.spend(300.0, 100.0)
        window.spend(-300.0, 100.3)
        self.assertEqual(window.remaining(), remaining)
        self.assertEqual(window.used, 0.0)


if __name__ == "__main__":
    unittest.main()
