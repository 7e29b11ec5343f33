"""Tests of the encoding of packets of notices."""

import unittest

import cbor2

from hillthread import errors
from hillthread.protocol import work_notice

WORK = work_notice.WorkNotice(
    0xFFFF_FFFF,
    2_890,
    0xFFFF_FFFF,
    [("5c1e07a2", 2_520), ("91bd3f06", 3_780), ("e4402b7d", 250)],
    39_600,
    0xFFFF_FFFF,
)
WEIGHTS = work_notice.WeightsNotice(7, "m", 3, True)


class WorkNoticeTest(unittest.TestCase):
    def test_packet_round_trip(self):
        for action in work_notice.PacketAction:
            packet = work_notice.Packet(action, [WORK, WORK], [WEIGHTS])
            raw = work_notice.encode_packet(packet)
            self.assertEqual(work_notice.decode_packet(raw), packet)

    def test_ended_trials_are_sent(self):
        packet = work_notice.Packet(
            work_notice.PacketAction.APPLY,
            [],
            [],
            ended_trials=[work_notice.TrialEndNotice("aa01")],
        )
        raw = work_notice.encode_packet(packet)
        decoded = work_notice.decode_packet(raw)
        self.assertEqual(list(decoded.ended_trials), packet.ended_trials)

    def test_default_urgency_is_not_sent(self):
        """Guards against packets that an earlier release cannot decode.

        Its work notices have six fields; packets from it have no seventh.
        """
        apply = work_notice.PacketAction.APPLY
        raw = work_notice.encode_packet(work_notice.Packet(apply, [WORK], []))
        self.assertEqual(len(cbor2.loads(raw)[1][0]), 6)
        self.assertEqual(work_notice.decode_packet(raw).work[0].urgency, 9)

    def test_urgency_round_trip(self):
        work = [WORK._replace(urgency=urgency) for urgency in range(10)]
        packet = work_notice.Packet(work_notice.PacketAction.APPLY, work, [])
        raw = work_notice.encode_packet(packet)
        self.assertEqual(work_notice.decode_packet(raw), packet)

    def test_max_work_notices_fit_into_a_packet(self):
        work = [WORK._replace(urgency=0)] * work_notice.MAX_WORK_NOTICES
        packet = work_notice.Packet(work_notice.PacketAction.APPLY, work, [])
        raw = work_notice.encode_packet(packet)
        self.assertLessEqual(len(raw), work_notice.MAX_PACKET_BYTES)

    def test_max_departure_notices_fit_into_a_packet(self):
        notice = work_notice.DepartureNotice(0xFFFF_FFFF)
        packet = work_notice.Packet(
            work_notice.PacketAction.FORWARD,
            [],
            [],
            departures=[notice] * work_notice.MAX_DEPARTURE_NOTICES,
        )
        raw = work_notice.encode_packet(packet)
        self.assertLessEqual(len(raw), work_notice.MAX_PACKET_BYTES)
        decoded = work_notice.decode_packet(raw)
        self.assertEqual(decoded.departures, packet.departures)

    def test_speed_notices_are_bounded_and_optional(self):
        """Guards against packets without speeds that earlier releases reject.

        Their packets have seven fields at most.
        """
        notice = work_notice.SpeedNotice(0xFFFF_FFFF, 39_600, 2_500, 600)
        packet = work_notice.Packet(
            work_notice.PacketAction.GATHER,
            [],
            [],
            departures=[work_notice.DepartureNotice(1)],
        )
        raw = work_notice.encode_packet(packet)
        self.assertEqual(len(cbor2.loads(raw)), 7)
        packet = packet._replace(
            speeds=[notice] * work_notice.MAX_SPEED_NOTICES
        )
        raw_speeds = work_notice.encode_packet(packet)
        decoded = work_notice.decode_packet(raw_speeds)
        self.assertEqual(decoded.speeds, packet.speeds)
        added_bytes = len(raw_speeds) - len(raw)
        self.assertLessEqual(
            added_bytes, 15 * work_notice.MAX_SPEED_NOTICES + 2
        )

    def test_malformed_packets_are_rejected(self):
        for raw in (
            b"",
            b"\xff",
            b"\x80",
            b"\x86" + b"\x01" * 6,
            b"\x83\x61x\x80\x80",
            b"\x83\x61t\x81\x01\x80",
        ):
            with self.subTest(raw=raw), self.assertRaises(errors.PeerError):
                work_notice.decode_packet(raw)
