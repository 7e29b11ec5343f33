"""Tests of hold times of reads under a bound on staleness."""

import unittest

from hillthread.state.cluster import held_read


class LongestHoldTest(unittest.TestCase):
    def test_next_read_fits_into_the_bound(self):
        for bound_s in (1.0, 2.0, 3.0, 4.0, 12.0):
            with self.subTest(bound_s=bound_s):
                hold_s = held_read.compute_max_hold_s(bound_s)
                self.assertGreater(hold_s, 0.0)
                self.assertLess(hold_s + held_read.READ_LOST_AFTER_S, bound_s)

    def test_longer_bound_allows_a_longer_hold(self):
        holds = [held_read.compute_max_hold_s(each) for each in (1.0, 2.0, 4.0)]
        self.assertEqual(holds, sorted(set(holds)))


class FeedHoldsTest(unittest.TestCase):
    """Tests holds when one host reads the store for others.

    A host is ready up to an age of 0.6 of the bound on withdrawn keys; its
    knowledge is usable up to 0.8 s less than the bound.
    """

    def test_hosts_stay_usable_when_the_reading_host_hangs(self):
        for revoke_s in (2.5, 5.0, 10.0):
            with self.subTest(revoke_s=revoke_s):
                ready_s, greatest_s = 0.6 * revoke_s, revoke_s - 0.8
                holds = held_read.compute_feed_holds(ready_s, greatest_s)
                oldest_s = holds.reader_s + holds.peer_s
                self.assertLess(oldest_s, ready_s)
                # The reading host hangs right after it has answered.
                found_s = holds.peer_s + held_read.PEER_READ_LOST_AFTER_S
                self.assertLess(holds.reader_s + found_s, greatest_s)

    def test_reads_are_held_longer_under_a_longer_bound(self):
        readers = [
            held_read.compute_feed_holds(
                0.6 * revoke_s, revoke_s - 0.8
            ).reader_s
            for revoke_s in (2.5, 5.0, 10.0)
        ]
        self.assertEqual(readers, sorted(set(readers)))
        self.assertGreater(readers[0], 0.3)
