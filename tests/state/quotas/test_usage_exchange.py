"""Tests of exchanging quota usage between hosts."""

import unittest

from hillthread.protocol import work_notice
from hillthread.state.quotas import usage_exchange

ORG = usage_exchange.name_key("org")


def always_due(key, amount, reporters):
    """Returns an urgency at which every report is due."""
    del key, amount, reporters
    return 1.0


def due_from_1000_units(key, amount, reporters):
    """Returns an urgency at which 1,000 units over all reporters are due."""
    del key
    return amount * reporters / 1_000.0


def make_exchange(name, incarnation=1, urgency=always_due):
    """Returns the usage exchange of a host."""
    key = usage_exchange.name_key(name)
    return usage_exchange.UsageExchange(key, incarnation, urgency)


def report_through_gatherer(gatherer, member, now):
    """Has a member report; returns the group report of the gatherer."""
    notice = member.report_to(gatherer.origin, now, 2)
    gatherer.report_to(gatherer.origin, now, 2)
    gatherer.gather(notice, now)
    return gatherer.report_group(now, 1)


class UsageExchangeTest(unittest.TestCase):
    def test_hosts_receive_the_usage_of_others_without_their_own(self):
        gatherer, member, other = map(make_exchange, ("g", "m", "o"))
        other.report_to(gatherer.origin, 0.0, 3)
        gatherer.add_usage(ORG, 5.0)
        member.add_usage(ORG, 70.0)
        notice = report_through_gatherer(gatherer, member, 0.0)
        self.assertEqual(other.apply_notice(notice, 0.0), {ORG: 75.0})
        self.assertEqual(member.apply_notice(notice, 0.0), {ORG: 5.0})
        self.assertEqual(gatherer.apply_notice(notice, 0.0), {})

    def test_lost_packet_only_delays_a_report(self):
        gatherer, member, other = map(make_exchange, ("g", "m", "o"))
        member.add_usage(ORG, 1.0)
        other.apply_notice(report_through_gatherer(gatherer, member, 0.0), 0.0)
        for now in (0.1, 0.2):
            member.add_usage(ORG, 10.0)
            lost = report_through_gatherer(gatherer, member, now)
        member.add_usage(ORG, 100.0)
        notice = report_through_gatherer(gatherer, member, 0.3)
        self.assertEqual(other.apply_notice(notice, 0.3), {ORG: 120.0})
        self.assertEqual(other.apply_notice(notice, 0.3), {ORG: 0.0})
        # A packet that arrives late is corrected by the next one.
        late = other.apply_notice(lost, 0.3)[ORG]
        later = other.apply_notice(notice, 0.3)[ORG]
        self.assertEqual(late + later, 0.0)

    def test_new_host_does_not_count_past_usage(self):
        gatherer, member = make_exchange("g"), make_exchange("m")
        member.add_usage(ORG, 1_000.0)
        report_through_gatherer(gatherer, member, 0.0)
        member.add_usage(ORG, 7.0)
        notice = report_through_gatherer(gatherer, member, 0.1)
        self.assertEqual(
            make_exchange("o").apply_notice(notice, 0.1), {ORG: 7.0}
        )

    def test_sender_that_was_silent_adds_only_recent_usage(self):
        gatherer, member, other = map(make_exchange, ("g", "m", "o"))
        member.add_usage(ORG, 1.0)
        other.apply_notice(report_through_gatherer(gatherer, member, 0.0), 0.0)
        member.add_usage(ORG, 1_000.0)
        report_through_gatherer(gatherer, member, 2.0)
        member.add_usage(ORG, 3.0)
        notice = report_through_gatherer(gatherer, member, 4.0)
        self.assertEqual(other.apply_notice(notice, 4.0), {ORG: 3.0})

    def test_restarted_sender_counts_from_zero(self):
        gatherer, member, other = map(make_exchange, ("g", "m", "o"))
        member.add_usage(ORG, 1_000.0)
        other.apply_notice(report_through_gatherer(gatherer, member, 0.0), 0.0)
        restarted = make_exchange("m", incarnation=2)
        restarted.add_usage(ORG, 4.0)
        notice = report_through_gatherer(gatherer, restarted, 0.2)
        self.assertEqual(other.apply_notice(notice, 0.2), {ORG: 4.0})

    def test_reachable_hosts_are_counted(self):
        gatherer, member, other = map(make_exchange, ("g", "m", "o"))
        self.assertEqual(other.reachable_hosts(0.0), 1)
        other.apply_notice(report_through_gatherer(gatherer, member, 0.0), 0.0)
        self.assertEqual(other.reachable_hosts(0.1), 2)
        self.assertEqual(gatherer.reachable_hosts(0.1), 2)
        self.assertEqual(other.reachable_hosts(1.0), 1)
        self.assertEqual(gatherer.reachable_hosts(2.0), 1)

    def test_insignificant_usage_is_not_reported_at_once(self):
        gatherer = make_exchange("g", urgency=due_from_1000_units)
        member = make_exchange("m", urgency=due_from_1000_units)
        member.report_to(gatherer.origin, 0.0, 2)
        member.add_usage(ORG, 400.0)
        self.assertFalse(member.is_report_due(0.1, 2))
        member.add_usage(ORG, 100.0)
        self.assertTrue(member.is_report_due(0.1, 2))
        # Usage that is not due stays unreported and is kept.
        notice = member.report_to(gatherer.origin, 0.1, 1)
        self.assertEqual(notice.totals, [])
        notice = member.report_to(gatherer.origin, 0.1, 2)
        self.assertEqual(notice.totals[0].recent, 500.0)

    def test_largest_notice_fits_into_a_packet(self):
        totals = [
            usage_exchange.UsageTotal((1 << 48) - 1 - n, 10**12, 10**9)
            for n in range(usage_exchange.MAX_TOTALS)
        ]
        notice = usage_exchange.UsageNotice(1 << 47, 1 << 31, 420, totals)
        packet = work_notice.Packet(work_notice.PacketAction.APPLY, [], [])
        while work_notice.has_room(packet, notice):
            packet = packet._replace(usage=[*packet.usage, notice])
        self.assertGreaterEqual(len(packet.usage), 2)
        raw = work_notice.encode_packet(packet)
        self.assertLessEqual(len(raw), work_notice.MAX_PACKET_BYTES)
        self.assertEqual(work_notice.decode_packet(raw).usage, packet.usage)


if __name__ == "__main__":
    unittest.main()
