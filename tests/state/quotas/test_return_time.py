"""Tests of the retry times of refused callers."""

import unittest

from hillthread.state.quotas import return_time


class ReturnTimeTest(unittest.TestCase):
    def test_urgent_classes_retry_first_for_any_random_number(self):
        last_s = 0.0
        for priority in range(3):
            first_s = return_time.staggered_retry_after_s(0.4, priority, 0.0)
            self.assertGreaterEqual(first_s, last_s)
            last_s = return_time.staggered_retry_after_s(0.4, priority, 0.999)

    def test_callers_of_one_class_retry_at_different_times(self):
        times = {
            return_time.staggered_retry_after_s(0.4, 1, n / 8) for n in range(8)
        }
        self.assertEqual(len(times), 8)

    def test_wait_is_less_than_twice_the_minimum(self):
        for priority in (-1, 0, 3, 9):
            after_s = return_time.staggered_retry_after_s(0.4, priority, 0.999)
            self.assertGreaterEqual(after_s, 0.4)
            self.assertLess(after_s, 0.8)
