"""Tests of who is judged alive."""

import unittest

from hillthread.state.cluster import membership


class MembershipTest(unittest.TestCase):
    def setUp(self):
        self.members = membership.Membership(3.0)
        self.members.add_host("a", "dc1")
        self.members.add_host("b", "dc2")

    def hear(self, host, now):
        self.members.note_contact(host, f"dc{1 + (host == 'b')}", "i", 5, now)

    def run_until(self, start, end, heard=()):
        now = start
        while now <= end:
            for host in heard:
                self.hear(host, now)
            self.members.tick(now)
            now += 0.5

    def test_known_hosts_count_once_heard(self):
        self.run_until(0.0, 1.0)
        self.assertEqual(self.members.list_alive(), [])
        self.run_until(1.0, 2.0, heard=["a", "b"])
        self.assertEqual(self.members.list_alive(), ["a", "b"])
        self.assertEqual(self.members.list_alive("dc2"), ["b"])
        self.assertEqual(self.members.members["a"].position, 5)

    def test_silence_loses_a_host(self):
        self.run_until(0.0, 1.0, heard=["a", "b"])
        self.run_until(1.5, 5.0, heard=["a"])
        self.assertEqual(self.members.list_alive(), ["a"])

    def test_own_pause_loses_nobody(self):
        self.run_until(0.0, 1.0, heard=["a", "b"])
        self.members.tick(61.0)
        self.assertEqual(self.members.list_alive(), ["a", "b"])
        self.assertEqual(self.members.change_count, 2)
        self.run_until(61.5, 65.0)
        self.assertEqual(self.members.list_alive(), [])

    def test_lateness_of_each_tick_keeps_nobody_alive_for_good(self):
        """Each tick is late, as on a busy host, and one host is silent."""
        for period in (1.6, 2.0, 5.0, 60.0):
            with self.subTest(period=period):
                members = membership.Membership(3.0)
                members.note_contact("a", "dc1", "i", 5, 1.0)
                for number in range(5):
                    members.tick(1.0 + number * period)
                self.assertEqual(members.list_alive(), [])

    def test_two_pauses_in_a_row_lose_nobody(self):
        self.run_until(0.0, 1.0, heard=["a", "b"])
        self.members.tick(61.0)
        self.hear("a", 61.2)
        self.hear("b", 61.2)
        self.members.tick(121.0)
        self.assertEqual(self.members.list_alive(), ["a", "b"])
        self.assertEqual(self.members.change_count, 2)

    def test_who_was_heard_after_a_pause_is_not_excused_for_it(self):
        """What came in during the pause is heard before the tick."""
        self.run_until(0.0, 1.0, heard=["a", "b"])
        self.hear("a", 61.0)
        self.members.tick(61.0)
        self.run_until(61.5, 65.0)
        self.assertEqual(self.members.list_alive(), [])

    def test_silence_before_a_pause_still_counts(self):
        self.run_until(0.0, 1.0, heard=["a", "b"])
        self.run_until(1.5, 3.0, heard=["b"])
        self.members.tick(61.0)
        self.assertEqual(self.members.list_alive(), ["b"])
