"""Tests of packets of notices on requests that may make targets crash."""

import unittest

import cbor2

from hillthread.protocol import work_notice

_ACTION = work_notice.PacketAction.APPLY


def notices(count):
    """Returns notices of the greatest size."""
    event = work_notice.SuspectEvent.TARGET_CRASHED
    return [
        work_notice.SuspectNotice(f"{number:016x}", 2**32 - 1 - number, event)
        for number in range(count)
    ]


class SuspectNoticeTest(unittest.TestCase):
    def test_packet_round_trip(self):
        sent = notices(3)
        packet = work_notice.Packet(_ACTION, [], [], sent)
        read = work_notice.decode_packet(work_notice.encode_packet(packet))
        self.assertEqual(list(read.suspects), sent)
        self.assertIs(
            read.suspects[0].event, work_notice.SuspectEvent.TARGET_CRASHED
        )

    def test_largest_packet_fits_into_a_datagram(self):
        sent = notices(work_notice.MAX_SUSPECT_NOTICES)
        raw = work_notice.encode_packet(
            work_notice.Packet(_ACTION, [], [], sent)
        )
        self.assertLessEqual(len(raw), work_notice.MAX_PACKET_BYTES)

    def test_packet_of_an_earlier_release_is_decoded(self):
        read = work_notice.decode_packet(cbor2.dumps(["t", [], []]))
        self.assertEqual(list(read.suspects), [])

    def test_packet_without_suspects_has_the_earlier_format(self):
        raw = work_notice.encode_packet(work_notice.Packet(_ACTION, [], []))
        self.assertEqual(cbor2.loads(raw), ["t", [], []])
