"""Tests of how long a read may be held under a bound."""

import unittest

from hillthread.state import held_read


class LongestHoldTest(unittest.TestCase):
    def test_the_next_read_fits_into_the_bound(self):
        for bound_s in (1.0, 2.0, 3.0, 4.0, 12.0):
            with self.subTest(bound_s=bound_s):
                hold_s = held_read.longest_hold_s(bound_s)
                self.assertGreater(hold_s, 0.0)
                self.assertLess(hold_s + held_read.LOST_AFTER_S, bound_s)

    def test_a_longer_bound_allows_a_longer_hold(self):
        holds = [held_read.longest_hold_s(each) for each in (1.0, 2.0, 4.0)]
        self.assertEqual(holds, sorted(set(holds)))
