"""Tests of the framing of server-sent events."""

import unittest

import hypothesis
from hypothesis import strategies

from hillthread import errors
from hillthread.protocol import event_stream


class EventSplitterTest(unittest.TestCase):
    @hypothesis.settings(derandomize=True, max_examples=100, deadline=None)
    @hypothesis.given(
        strategies.lists(
            strategies.binary(max_size=20).filter(
                lambda b: b"\n" not in b and b"\r" not in b
            ),
            max_size=8,
        ),
        strategies.integers(1, 13),
        strategies.sampled_from([b"\n", b"\r\n"]),
    )
    def test_events_do_not_depend_on_chunk_size(self, datas, width, line_end):
        raw = b"".join(
            event_stream.encode_event(number, data).replace(b"\n", line_end)
            for number, data in enumerate(datas)
        )
        splitter = event_stream.EventSplitter(1000)
        found = []
        for start in range(0, len(raw), width):
            found += splitter.feed(raw[start : start + width])
        self.assertEqual([each.data for each in found], datas)
        self.assertEqual(
            [each.index for each in found], list(range(len(datas)))
        )
        self.assertEqual(b"".join(each.raw for each in found), raw)

    def test_unfinished_event_is_held_back(self):
        splitter = event_stream.EventSplitter(100)
        self.assertEqual(splitter.feed(b"data: x"), [])
        self.assertEqual(splitter.feed(b"y\n\n")[0].data, b"xy")

    def test_bad_index_and_oversized_event_are_rejected(self):
        with self.assertRaises(errors.HillthreadError):
            event_stream.EventSplitter(100).feed(b"id: x\ndata: y\n\n")
        with self.assertRaises(errors.HillthreadError):
            event_stream.EventSplitter(100).feed(b"d" * 101)
