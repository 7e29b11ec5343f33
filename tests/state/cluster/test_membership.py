"""Tests of the failure detector."""

import unittest

from hillthread.state.cluster import membership


class MembershipTest(unittest.TestCase):
    def setUp(self):
        self.members = membership.Membership(3.0)
        self.members.add_host("a", "dc1")
        self.members.add_host("b", "dc2")

    def receive(self, host, now):
        self.members.note_contact(host, f"dc{1 + (host == 'b')}", "i", 5, now)

    def run_until(self, start, end, senders=()):
        now = start
        while now <= end:
            for host in senders:
                self.receive(host, now)
            self.members.tick(now)
            now += 0.5

    def test_known_hosts_are_alive_after_a_message(self):
        self.run_until(0.0, 1.0)
        self.assertEqual(self.members.list_alive(), [])
        self.run_until(1.0, 2.0, senders=["a", "b"])
        self.assertEqual(self.members.list_alive(), ["a", "b"])
        self.assertEqual(self.members.list_alive("dc2"), ["b"])
        self.assertEqual(self.members.members["a"].position, 5)

    def test_silent_host_is_lost(self):
        self.run_until(0.0, 1.0, senders=["a", "b"])
        self.run_until(1.5, 5.0, senders=["a"])
        self.assertEqual(self.members.list_alive(), ["a"])

    def test_own_pause_loses_no_host(self):
        self.run_until(0.0, 1.0, senders=["a", "b"])
        self.members.tick(61.0)
        self.assertEqual(self.members.list_alive(), ["a", "b"])
        self.assertEqual(self.members.change_count, 2)
        self.run_until(61.5, 65.0)
        self.assertEqual(self.members.list_alive(), [])

    def test_silent_host_is_lost_even_if_each_tick_is_late(self):
        """Guards against counting each late tick as a pause of this host.

        On a busy host every tick may be late.
        """
        for period in (1.6, 2.0, 5.0, 60.0):
            with self.subTest(period=period):
                members = membership.Membership(3.0)
                members.note_contact("a", "dc1", "i", 5, 1.0)
                for number in range(5):
                    members.tick(1.0 + number * period)
                self.assertEqual(members.list_alive(), [])

    def test_two_pauses_in_a_row_lose_no_host(self):
        self.run_until(0.0, 1.0, senders=["a", "b"])
        self.members.tick(61.0)
        self.receive("a", 61.2)
        self.receive("b", 61.2)
        self.members.tick(121.0)
        self.assertEqual(self.members.list_alive(), ["a", "b"])
        self.assertEqual(self.members.change_count, 2)

    def test_host_with_a_message_after_a_pause_gets_no_additional_time(self):
        """Messages that arrive during a pause are processed before the tick."""
        self.run_until(0.0, 1.0, senders=["a", "b"])
        self.receive("a", 61.0)
        self.members.tick(61.0)
        self.run_until(61.5, 65.0)
        self.assertEqual(self.members.list_alive(), [])

    def test_silence_before_a_pause_still_counts(self):
        self.run_until(0.0, 1.0, senders=["a", "b"])
        self.run_until(1.5, 3.0, senders=["b"])
        self.members.tick(61.0)
        self.assertEqual(self.members.list_alive(), ["b"])
