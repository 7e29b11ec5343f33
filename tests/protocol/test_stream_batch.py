"""Tests the packed form of records of streams."""

import unittest

import hypothesis
from hypothesis import strategies

from hillthread import errors
from hillthread.protocol import stream_batch
from hillthread.protocol import stream_query

NOTICES = strategies.lists(
    strategies.builds(
        stream_query.StreamNotice,
        strategies.integers(0, 2**32 - 1),
        strategies.binary(min_size=16, max_size=16),
        strategies.sampled_from(["engines", "others"]),
        strategies.sampled_from(["", "v1", "v2"]),
        strategies.integers(1, 100),
    )
)


class StreamBatchTest(unittest.TestCase):
    @hypothesis.given(NOTICES)
    def test_batch_has_the_same_records(self, notices):
        raw = stream_batch.encode_batch(notices)
        self.assertCountEqual(stream_batch.decode_batch(raw), notices)

    @hypothesis.given(strategies.binary(max_size=60))
    def test_unreadable_batch_is_a_peer_error(self, raw):
        try:
            notices = stream_batch.decode_batch(raw)
        except errors.PeerError:
            return
        self.assertTrue(
            all(isinstance(n, stream_query.StreamNotice) for n in notices)
        )

    def test_record_takes_twenty_bytes(self):
        def size(count):
            return len(
                stream_batch.encode_batch(
                    stream_query.StreamNotice(n, b"d" * 16, "p", "v1", 72)
                    for n in range(count)
                )
            )

        self.assertLessEqual(size(200) - size(100), 100 * 20)
