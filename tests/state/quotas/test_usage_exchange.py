"""Tests of what hosts tell each other of the use of quotas."""

import unittest

from hillthread.protocol import work_notice
from hillthread.state.quotas import usage_exchange

ORG = usage_exchange.name_key("org")


def always(key, amount, sharers):
    """Finds everything due."""
    del key, amount, sharers
    return 1.0


def seldom(key, amount, sharers):
    """Finds due what comes to a thousand over all that tell."""
    del key
    return amount * sharers / 1_000.0


def exchange(name, start=1, urgency=always):
    """Returns what a host tells and hears."""
    key = usage_exchange.name_key(name)
    return usage_exchange.UsageExchange(key, start, urgency)


def told(gatherer, member, now):
    """Has a member hand over; returns what the gatherer then tells."""
    notice = member.report_to(gatherer.origin, now, 2)
    gatherer.report_to(gatherer.origin, now, 2)
    gatherer.gather(notice, now)
    return gatherer.report_group(now, 1)


class UsageExchangeTest(unittest.TestCase):
    def test_others_hear_of_all_and_nobody_of_his_own(self):
        gatherer, member, other = map(exchange, ("g", "m", "o"))
        other.report_to(gatherer.origin, 0.0, 3)
        gatherer.add_usage(ORG, 5.0)
        member.add_usage(ORG, 70.0)
        notice = told(gatherer, member, 0.0)
        self.assertEqual(other.apply_notice(notice, 0.0), {ORG: 75.0})
        self.assertEqual(member.apply_notice(notice, 0.0), {ORG: 5.0})
        self.assertEqual(gatherer.apply_notice(notice, 0.0), {})

    def test_lost_packet_only_delays(self):
        gatherer, member, other = map(exchange, ("g", "m", "o"))
        member.add_usage(ORG, 1.0)
        other.apply_notice(told(gatherer, member, 0.0), 0.0)
        for now in (0.1, 0.2):
            member.add_usage(ORG, 10.0)
            lost = told(gatherer, member, now)
        member.add_usage(ORG, 100.0)
        notice = told(gatherer, member, 0.3)
        self.assertEqual(other.apply_notice(notice, 0.3), {ORG: 120.0})
        self.assertEqual(other.apply_notice(notice, 0.3), {ORG: 0.0})
        # One that comes late is made up for by the next.
        late = other.apply_notice(lost, 0.3)[ORG]
        again = other.apply_notice(notice, 0.3)[ORG]
        self.assertEqual(late + again, 0.0)

    def test_who_starts_hears_nothing_of_before(self):
        gatherer, member = exchange("g"), exchange("m")
        member.add_usage(ORG, 1_000.0)
        told(gatherer, member, 0.0)
        member.add_usage(ORG, 7.0)
        notice = told(gatherer, member, 0.1)
        self.assertEqual(exchange("o").apply_notice(notice, 0.1), {ORG: 7.0})

    def test_who_was_silent_adds_only_what_is_new(self):
        gatherer, member, other = map(exchange, ("g", "m", "o"))
        member.add_usage(ORG, 1.0)
        other.apply_notice(told(gatherer, member, 0.0), 0.0)
        member.add_usage(ORG, 1_000.0)
        told(gatherer, member, 2.0)
        member.add_usage(ORG, 3.0)
        notice = told(gatherer, member, 4.0)
        self.assertEqual(other.apply_notice(notice, 4.0), {ORG: 3.0})

    def test_process_that_starts_again_counts_from_zero(self):
        gatherer, member, other = map(exchange, ("g", "m", "o"))
        member.add_usage(ORG, 1_000.0)
        other.apply_notice(told(gatherer, member, 0.0), 0.0)
        again = exchange("m", start=2)
        again.add_usage(ORG, 4.0)
        notice = told(gatherer, again, 0.2)
        self.assertEqual(other.apply_notice(notice, 0.2), {ORG: 4.0})

    def test_hosts_in_touch_are_counted(self):
        gatherer, member, other = map(exchange, ("g", "m", "o"))
        self.assertEqual(other.reachable_hosts(0.0), 1)
        other.apply_notice(told(gatherer, member, 0.0), 0.0)
        self.assertEqual(other.reachable_hosts(0.1), 2)
        self.assertEqual(gatherer.reachable_hosts(0.1), 2)
        self.assertEqual(other.reachable_hosts(1.0), 1)
        self.assertEqual(gatherer.reachable_hosts(2.0), 1)

    def test_little_use_is_not_told_at_once(self):
        gatherer = exchange("g", urgency=seldom)
        member = exchange("m", urgency=seldom)
        member.report_to(gatherer.origin, 0.0, 2)
        member.add_usage(ORG, 400.0)
        self.assertFalse(member.is_report_due(0.1, 2))
        member.add_usage(ORG, 100.0)
        self.assertTrue(member.is_report_due(0.1, 2))
        # What is not due is not told, and not forgotten.
        notice = member.report_to(gatherer.origin, 0.1, 1)
        self.assertEqual(notice.totals, [])
        notice = member.report_to(gatherer.origin, 0.1, 2)
        self.assertEqual(notice.totals[0].recent, 500.0)

    def test_packet_carries_as_much_as_it_is_said_to(self):
        totals = [
            usage_exchange.UsageTotal((1 << 48) - 1 - n, 10**12, 10**9)
            for n in range(usage_exchange.MAX_TOTALS)
        ]
        notice = usage_exchange.UsageNotice(1 << 47, 1 << 31, 420, totals)
        packet = work_notice.Packet(work_notice.PacketUse.TAKE, [], [])
        while work_notice.has_room(packet, notice):
            packet = packet._replace(usage=[*packet.usage, notice])
        self.assertGreaterEqual(len(packet.usage), 2)
        raw = work_notice.encode_packet(packet)
        self.assertLessEqual(len(raw), work_notice.MAX_PACKET_BYTES)
        self.assertEqual(work_notice.decode_packet(raw).usage, packet.usage)


if __name__ == "__main__":
    unittest.main()
