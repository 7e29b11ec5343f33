"""Tests of the messages on streams between hosts."""

import unittest

from hillthread import errors
from hillthread.protocol import stream_query
from hillthread.protocol import work_notice

NOTICE = stream_query.StreamNotice(7, b"d" * 16, "pool", "v1", 60)


class EncodingTest(unittest.TestCase):
    def test_messages_are_decoded_as_they_were_encoded(self):
        query = stream_query.StreamQuery(7, b"d" * 16)
        self.assertEqual(
            stream_query.decode_query(stream_query.encode_query(query)), query
        )
        for reply in (NOTICE, None):
            raw = stream_query.encode_reply(reply)
            self.assertEqual(stream_query.decode_reply(raw), reply)
        raw = stream_query.encode_notices([NOTICE, NOTICE])
        self.assertEqual(stream_query.decode_notices(raw), [NOTICE, NOTICE])

    def test_malformed_messages_are_errors_of_the_peer(self):
        for decode in (
            stream_query.decode_query,
            stream_query.decode_reply,
            stream_query.decode_notices,
        ):
            for raw in (b"", b"\xff", b"\x01", b"\x81\x01"):
                with self.assertRaises(errors.PeerError):
                    decode(raw)


class PacketTest(unittest.TestCase):
    def test_notice_travels_in_a_packet_of_its_own(self):
        action = work_notice.PacketAction.APPLY
        packet = work_notice.Packet(action, [], [], streams=[NOTICE])
        raw = work_notice.encode_packet(packet)
        self.assertLess(len(raw), 100)
        self.assertEqual(work_notice.decode_packet(raw).streams, [NOTICE])
