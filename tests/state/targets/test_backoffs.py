"""Tests for the tracking of requested back-offs."""

import unittest

from hillthread.state.targets import backoffs


class BackoffsTest(unittest.TestCase):
    def test_backoff_ends_when_its_time_is_over(self):
        tracked = backoffs.Backoffs()
        self.assertFalse(tracked.is_active("a", 0.0))
        self.assertTrue(tracked.apply("a", 3.0, 10.0))
        self.assertTrue(tracked.is_active("a", 12.9))
        self.assertFalse(tracked.is_active("a", 13.0))
        self.assertFalse(tracked.is_active("b", 11.0))

    def test_later_end_is_kept(self):
        tracked = backoffs.Backoffs()
        tracked.apply("a", 3.0, 10.0)
        self.assertFalse(tracked.apply("a", 0.5, 11.0))
        self.assertEqual(tracked.ends_at("a"), 13.0)
        self.assertFalse(tracked.apply("a", 4.0, 12.0))
        self.assertEqual(tracked.ends_at("a"), 16.0)

    def test_expired_backoff_is_dropped(self):
        tracked = backoffs.Backoffs()
        tracked.apply("a", 3.0, 10.0)
        tracked.apply("b", 5.0, 10.0)
        self.assertEqual(tracked.remaining_s(14.0), {"b": 1.0})
        self.assertEqual(tracked.ends_at("a"), float("-inf"))

    def test_forgetting_a_target_ends_its_backoff(self):
        tracked = backoffs.Backoffs()
        tracked.apply("a", 3.0, 10.0)
        tracked.forget("a")
        self.assertFalse(tracked.is_active("a", 11.0))
