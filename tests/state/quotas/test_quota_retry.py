"""Tests of when a caller that a quota refuses may retry."""

import unittest

from tests.state.quotas import test_quota


class QuotaRetryTest(unittest.TestCase):
    def test_retry_fits_once_usage_leaves_the_window(self):
        """Guards against a retry time from the pace while the window limits."""
        window = test_quota.make_window()
        window.refresh(100.0, 1.0)
        now = 101.0
        window.refresh(now, 1.0)
        # Usage that peers report late counts in the window only.
        window.add_past_usage(window.limit + 300.0, now)
        self.assertEqual(window.limited_by, "window")
        after_s = window.refuse(now, 100.0, 1)
        self.assertGreater(after_s, 0.0)
        self.assertLess(after_s, 0.5)
        window.refresh(now + after_s - 0.2, 1.0)
        self.assertLessEqual(window.remaining(), 0.0)
        window.refresh(now + after_s + 0.11, 1.0)
        self.assertGreater(window.remaining(), 0.0)

    def test_pace_limits_after_a_burst(self):
        """Guards against a status that names the window for a paced host."""
        window = test_quota.make_window()
        window.refresh(100.0, 1.0)
        window.spend(1_000.0, 100.0)
        self.assertEqual(window.limited_by, "pace")
        missing = -window.remaining()
        self.assertAlmostEqual(
            window.refuse(100.0, 100.0, 1), missing / window.refill_per_s
        )

    def test_late_retry_is_not_promised(self):
        """Guards against a place in the order for a caller that cannot wait."""
        window = test_quota.make_window()
        window.refresh(100.0, 1.0)
        window.spend(1_000.0, 100.0)
        first_s = window.refuse(100.0, 100.0, 1)
        self.assertIsNone(window.refuse(100.0, 1_000.0, 1, longest_s=0.5))
        second_s = window.refuse(100.0, 100.0, 1)
        self.assertLessEqual(second_s - first_s, 0.2)


if __name__ == "__main__":
    unittest.main()
