"""Tests of when a caller that a quota refuses may retry."""

import unittest

from tests.state.quotas import test_quota


def make_known_window():
    """Returns a window whose usage is known, and which may burst."""
    window = test_quota.make_window()
    window.may_burst = True
    window.refresh(100.0, 1.0, 0.0)
    return window


class QuotaRetryTest(unittest.TestCase):
    def test_retry_fits_once_usage_leaves_the_window(self):
        """Guards against a retry time from the pace while the window limits."""
        window = make_known_window()
        for number in range(80):
            at = 100.0 + number / 10.0
            window.refresh(at, 1.0, 0.0)
            window.spend(75.0, at)
        # A burst that leaves the window 0.4 s of usage beyond its limit.
        now = 107.95
        window.spend(3_300.0, now)
        window.refresh(now, 1.0, 0.0)
        self.assertEqual(window.limited_by, "window")
        after_s = window.refuse(now, 100.0, 1)
        self.assertAlmostEqual(after_s, 0.5, delta=0.15)
        window.refresh(now + after_s - 0.2, 1.0, 0.0)
        self.assertLessEqual(window.remaining(), 0.0)
        window.refresh(now + after_s + 0.11, 1.0, 0.0)
        self.assertGreater(window.remaining(), 0.0)

    def test_pace_limits_without_known_usage(self):
        """Guards against a status that names the window for a paced host."""
        window = make_known_window()
        window.spend(1_000.0, 100.0)
        window.refresh(100.0, 1.0, float("inf"))
        self.assertEqual(window.limited_by, "pace")
        missing = -window.remaining()
        self.assertAlmostEqual(
            window.refuse(100.0, 100.0, 1), missing / window.refill_per_s
        )

    def test_late_retry_is_not_promised(self):
        """Guards against a place in the order for a caller that cannot wait."""
        window = make_known_window()
        window.spend(9_050.0, 100.0)
        window.refresh(100.0, 1.0, 0.0)
        first_s = window.refuse(100.0, 100.0, 1)
        self.assertIsNone(window.refuse(100.0, 100.0, 1, longest_s=1.0))
        second_s = window.refuse(100.0, 100.0, 1)
        self.assertLessEqual(second_s - first_s, 0.2)


if __name__ == "__main__":
    unittest.main()
