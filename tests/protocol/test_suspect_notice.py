"""Tests of packets that tell of requests under which targets end."""

import unittest

import cbor2

from hillthread.protocol import work_notice

_ACTION = work_notice.PacketAction.APPLY


def notices(count):
    """Returns notices as long as they come."""
    event = work_notice.SuspectEvent.TARGET_CRASHED
    return [
        work_notice.SuspectNotice(f"{number:016x}", 2**32 - 1 - number, event)
        for number in range(count)
    ]


class SuspectNoticeTest(unittest.TestCase):
    def test_packet_comes_back_as_it_was(self):
        told = notices(3)
        packet = work_notice.Packet(_ACTION, [], [], told)
        read = work_notice.decode_packet(work_notice.encode_packet(packet))
        self.assertEqual(list(read.suspects), told)
        self.assertIs(
            read.suspects[0].event, work_notice.SuspectEvent.TARGET_CRASHED
        )

    def test_largest_packet_fits_into_a_datagram(self):
        told = notices(work_notice.MAX_SUSPECT_NOTICES)
        raw = work_notice.encode_packet(
            work_notice.Packet(_ACTION, [], [], told)
        )
        self.assertLessEqual(len(raw), work_notice.MAX_PACKET_BYTES)

    def test_packet_of_an_earlier_release_is_read(self):
        read = work_notice.decode_packet(cbor2.dumps(["t", [], []]))
        self.assertEqual(list(read.suspects), [])

    def test_packet_without_suspects_is_as_an_earlier_release_reads_it(self):
        raw = work_notice.encode_packet(work_notice.Packet(_ACTION, [], []))
        self.assertEqual(cbor2.loads(raw), ["t", [], []])
