"""Tests of the checks of a streamed answer."""

import unittest

from hillthread.coordination import stream_progress
from hillthread.protocol import event_stream


def event(index, attempt="r-1", content="w "):
    data = b'{"id":"chatcmpl-%b","choices":[{"delta":{"content":"%b"}}]}' % (
        attempt.encode(),
        content.encode(),
    )
    return event_stream.Event(
        event_stream.encode_event(index, data), index, data
    )


DONE = event_stream.Event(b"data: [DONE]\n\n", None, b"[DONE]")


class StreamProgressTest(unittest.TestCase):
    def setUp(self):
        self.progress = stream_progress.StreamProgress(wants_usage=True)
        self.progress.begin_attempt("r-1")

    def test_relays_unchanged_until_terminal_marker(self):
        self.assertEqual(self.progress.accept(event(0)), event(0).raw)
        self.assertFalse(self.progress.done)
        self.progress.accept(DONE)
        self.assertTrue(self.progress.done)
        self.assertEqual(self.progress.accept(event(1)), b"")

    def test_duplicates_are_dropped_and_gap_is_a_fault(self):
        for index in (0, 1, 0, 1):
            self.progress.accept(event(index))
        self.assertEqual(self.progress.duplicate_count, 2)
        self.assertIsNone(self.progress.fault)
        self.progress.accept(event(3))
        self.assertEqual(self.progress.fault, stream_progress.StreamFault.GAP)

    def test_event_of_another_attempt_is_a_fault(self):
        self.progress.accept(event(0, attempt="x-1"))
        self.assertEqual(
            self.progress.fault, stream_progress.StreamFault.WRONG_ATTEMPT
        )

    def test_continued_events_carry_the_first_attempt_id(self):
        self.progress.accept(event(0))
        self.progress.begin_attempt("r-2")
        relayed = self.progress.accept(event(1, attempt="r-2"))
        self.assertEqual(relayed, event(1).raw)
        self.assertEqual(self.progress.relayed_text(), "w w ")

    def test_usage_of_a_continued_answer_counts_all_attempts(self):
        self.progress.begin_attempt("r-2")
        self.progress.next_index = 3
        self.progress.earlier_tokens = 3
        data = (
            b'{"id":"chatcmpl-r-2","choices":[],"usage":'
            b'{"prompt_tokens":13,"completion_tokens":2}}'
        )
        raw = self.progress.accept(
            event_stream.Event(event_stream.encode_event(3, data), 3, data)
        )
        self.assertIn(b'"prompt_tokens":10', raw)
        self.assertIn(b'"completion_tokens":5', raw)

    def test_usage_that_was_not_requested_is_not_relayed(self):
        progress = stream_progress.StreamProgress(wants_usage=False)
        progress.begin_attempt("r-1")
        data = b'{"id":"r-1","choices":[],"usage":{"prompt_tokens":1}}'
        raw = event_stream.encode_event(0, data)
        self.assertEqual(progress.accept(event_stream.Event(raw, 0, data)), b"")
        self.assertEqual(progress.usage.prompt_tokens, 1)
