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

    def test_more_urgent_prompts_retry_first(self):
        # Guards against background prompts that take the capacity which the
        # refused interactive ones have to wait for.
        classes = [return_time.class_of_urgency(n) for n in range(10)]
        times = [
            return_time.staggered_retry_after_s(0.4, each, 0.5)
            for each in classes
        ]
        self.assertEqual(times, sorted(set(times)))
        self.assertLess(times[-1], 0.8)
        # Routes of equal tenants have intervals of their own.
        for one, other in ((0, 4), (4, 8)):
            self.assertLess(
                return_time.staggered_retry_after_s(0.4, classes[one], 0.999),
                return_time.staggered_retry_after_s(0.4, classes[other], 0.0),
            )

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
