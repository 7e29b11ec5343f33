"""Tests of who is judged alive."""

import unittest

from hillthread.state import membership


class MembershipTest(unittest.TestCase):
    def setUp(self):
        self.members = membership.Membership(3.0)
        self.members.know("a", "dc1")
        self.members.know("b", "dc2")

    def hear(self, host, now):
        self.members.hear(host, f"dc{1 + (host == 'b')}", "i", 5, now)

    def run_until(self, start, end, heard=()):
        now = start
        while now <= end:
            for host in heard:
                self.hear(host, now)
            self.members.tick(now)
            now += 0.5

    def test_known_hosts_count_once_heard(self):
        self.run_until(0.0, 1.0)
        self.assertEqual(self.members.alive(), [])
        self.run_until(1.0, 2.0, heard=["a", "b"])
        self.assertEqual(self.members.alive(), ["a", "b"])
        self.assertEqual(self.members.alive("dc2"), ["b"])
        self.assertEqual(self.members.members["a"].position, 5)

    def test_silence_loses_a_host(self):
        self.run_until(0.0, 1.0, heard=["a", "b"])
        self.run_until(1.5, 5.0, heard=["a"])
        self.assertEqual(self.members.alive(), ["a"])

    def test_own_pause_loses_nobody(self):
        self.run_until(0.0, 1.0, heard=["a", "b"])
        self.members.tick(61.0)
        self.assertEqual(self.members.alive(), ["a", "b"])
        self.assertEqual(self.members.changes, 2)
        self.run_until(61.5, 65.0)
        self.assertEqual(self.members.alive(), [])
