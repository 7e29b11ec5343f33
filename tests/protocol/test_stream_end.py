"""Tests of whether streams of events are complete."""

import unittest

import hypothesis
from hypothesis import strategies

from hillthread.protocol import body_framing
from hillthread.protocol import event_stream
from hillthread.protocol import stream_end

_CLOSE = body_framing.BodyFraming.CLOSE
_LENGTH = body_framing.BodyFraming.LENGTH
_texts = strategies.binary(max_size=8).filter(
    lambda text: b"\n" not in text and b"\r" not in text
)
_line_ends = strategies.sampled_from([b"\n", b"\r\n"])


@strategies.composite
def _events(draw):
    """Draws an event; its lines may end differently."""
    lines = [b"id: 1", b"data: " + draw(_texts), b""]
    return b"".join(line + draw(_line_ends) for line in lines)


def _feed(body, width):
    splitter = event_stream.EventSplitter(1000)
    raw = b"".join(
        event.raw
        for start in range(0, len(body), width)
        for event in splitter.feed(body[start : start + width])
    )
    return splitter, raw


class StreamEndTest(unittest.TestCase):
    # Guards against taking a stream that is cut inside an event for complete.
    @hypothesis.settings(derandomize=True, max_examples=150, deadline=None)
    @hypothesis.given(
        strategies.lists(_events(), min_size=1, max_size=4),
        strategies.integers(1, 9),
    )
    def test_stream_cut_at_any_byte_is_complete_only_between_events(
        self, events, width
    ):
        body = b"".join(events)
        ends = {
            sum(map(len, events[:count])) for count in range(1, len(events) + 1)
        }
        for cut in range(len(body) + 1):
            splitter, raw = _feed(body[:cut], width)
            end = stream_end.judge(_CLOSE, splitter, False)
            self.assertEqual(
                isinstance(end, stream_end.Complete), cut in ends, body[:cut]
            )
            self.assertEqual(raw + splitter.rest, body[:cut])

    def test_blank_lines_and_comments_after_the_last_event_are_complete(self):
        for tail in (b"", b"\n", b"\r\n", b"\r", b": ping", b": ping\r\n\n"):
            with self.subTest(tail=tail):
                splitter, _ = _feed(b"id: 1\ndata: x\n\n" + tail, 100)
                end = stream_end.judge(_CLOSE, splitter, False)
                self.assertEqual(end, stream_end.Complete())

    def test_stream_without_events_is_complete_only_as_a_framed_rest(self):
        for framing, is_resumed, is_complete in (
            (_LENGTH, False, False),
            (_LENGTH, True, True),
            (_CLOSE, False, False),
            (_CLOSE, True, False),
        ):
            with self.subTest(framing=framing, is_resumed=is_resumed):
                splitter, _ = _feed(b"", 1)
                end = stream_end.judge(framing, splitter, is_resumed)
                self.assertEqual(
                    isinstance(end, stream_end.Complete), is_complete
                )
