"""Tests of back-offs that targets asked for."""

import unittest

from hillthread.state.targets import backoffs


class BackoffsTest(unittest.TestCase):
    def test_backoff_ends_when_its_time_is_over(self):
        asked = backoffs.Backoffs()
        self.assertFalse(asked.is_active("a", 0.0))
        self.assertTrue(asked.apply("a", 3.0, 10.0))
        self.assertTrue(asked.is_active("a", 12.9))
        self.assertFalse(asked.is_active("a", 13.0))
        self.assertFalse(asked.is_active("b", 11.0))

    def test_later_end_stays(self):
        asked = backoffs.Backoffs()
        asked.apply("a", 3.0, 10.0)
        self.assertFalse(asked.apply("a", 0.5, 11.0))
        self.assertEqual(asked.ends_at("a"), 13.0)
        self.assertFalse(asked.apply("a", 4.0, 12.0))
        self.assertEqual(asked.ends_at("a"), 16.0)

    def test_what_has_ended_is_dropped(self):
        asked = backoffs.Backoffs()
        asked.apply("a", 3.0, 10.0)
        asked.apply("b", 5.0, 10.0)
        self.assertEqual(asked.remaining_s(14.0), {"b": 1.0})
        self.assertEqual(asked.ends_at("a"), float("-inf"))

    def test_forgotten_target_backs_off_no_more(self):
        asked = backoffs.Backoffs()
        asked.apply("a", 3.0, 10.0)
        asked.forget("a")
        self.assertFalse(asked.is_active("a", 11.0))
