"""Tests the relay of events from several runs of one request."""

import unittest

import anyio

from hillthread.coordination.gateway.serving import event_relay
from hillthread.protocol import body_framing
from hillthread.transport import http1_client

_HEAD = http1_client.AnswerHead(200, [(b"content-type", b"text/event-stream")])


class _Answer:
    """Keeps what is sent to the caller."""

    def __init__(self):
        self.budget = None
        self.started = False
        self.ended = False
        self.body = b""

    async def begin(self, status, headers, data=b""):
        self.started = True
        self.body += data

    async def send(self, data):
        self.body += data

    async def wait_for_room(self):
        pass

    async def end(self):
        self.ended = True


class _Connection:
    """Yields the parts of one run; it ends early unless it is whole."""

    framing = body_framing.BodyFraming.CHUNKED

    def __init__(self, *parts, is_whole=False):
        self.parts = list(parts)
        self.is_whole = is_whole
        self.must_close = False

    async def read_part(self):
        if self.parts:
            return self.parts.pop(0)
        if self.is_whole:
            return b""
        raise http1_client.CallError(True, "closed")


def _event(number, *lines):
    extra = b"".join(line + b"\n" for line in lines)
    return extra + b"id: %d\ndata: x\n\n" % number


def _reject():
    raise http1_client.CallError(True, "another start made this run")


class RejectedRunTest(unittest.TestCase):
    def setUp(self):
        self.answer = _Answer()
        self.relay = event_relay.EventRelay(self.answer)

    def run_broken(self, *parts):
        with self.assertRaises(http1_client.CallError):
            anyio.run(self.relay.run, _Connection(*parts), _HEAD)

    # Guards against complete streams that lack the events of a rejected run.
    def test_events_of_a_rejected_run_are_not_skipped_by_the_next(self):
        self.run_broken(_event(1) + _event(2))
        self.relay.on_first_event = _reject
        self.run_broken(_event(3), _event(4))
        self.assertEqual(self.relay.last_event_id, 2)
        self.assertEqual(self.relay.event_count, 2)
        self.relay.on_first_event = lambda: None
        last = _Connection(_event(3) + _event(4), is_whole=True)
        anyio.run(self.relay.run, last, _HEAD)
        self.assertEqual(
            self.answer.body, b"".join(_event(n) for n in range(1, 5))
        )
        self.assertTrue(self.answer.ended)

    def test_rejected_run_names_no_weights(self):
        self.relay.on_first_event = _reject
        self.run_broken(_event(1, b"x-weight-versions: 7"))
        self.assertIsNone(self.relay.take_weights_version())

    def test_rejected_first_run_leaves_the_stream_unbegun(self):
        self.relay.on_first_event = _reject
        self.run_broken(_event(1))
        self.assertIsNone(self.relay.last_event_id)
        self.assertFalse(self.answer.started)

    # Guards against streams that another release ends as complete.
    def test_rejected_run_without_new_events_does_not_end_the_stream(self):
        self.run_broken(_event(1) + _event(2))
        self.relay.on_first_event = _reject
        with self.assertRaises(http1_client.CallError):
            anyio.run(
                self.relay.run, _Connection(_event(2), is_whole=True), _HEAD
            )
        self.assertFalse(self.answer.ended)

    def test_events_that_the_caller_has_do_not_begin_a_run(self):
        self.run_broken(_event(1) + _event(2))
        self.relay.on_first_event = _reject
        # The run is rejected at its first new event only.
        self.run_broken(_event(1), _event(2))
        self.assertEqual(self.answer.body, _event(1) + _event(2))


class ContinuedStreamTest(unittest.TestCase):
    def setUp(self):
        self.answer = _Answer()
        self.relay = event_relay.EventRelay(self.answer, 2)

    # Guards against a caller that has all events and never gets the end.
    def test_run_without_events_ends_a_stream_that_goes_on(self):
        anyio.run(self.relay.run, _Connection(is_whole=True), _HEAD)
        self.assertTrue(self.answer.started)
        self.assertTrue(self.answer.ended)

    def test_rejected_run_without_events_ends_no_stream(self):
        self.relay.on_first_event = _reject
        with self.assertRaises(http1_client.CallError):
            anyio.run(self.relay.run, _Connection(is_whole=True), _HEAD)
        self.assertFalse(self.answer.started)

    # Guards against events that a caller gets again when it reconnects.
    def test_events_that_the_caller_has_are_not_relayed_again(self):
        last = _Connection(_event(1) + _event(2), _event(3), is_whole=True)
        anyio.run(self.relay.run, last, _HEAD)
        self.assertEqual(self.answer.body, _event(3))

    def test_new_stream_without_events_is_broken(self):
        relay = event_relay.EventRelay(self.answer)
        with self.assertRaises(http1_client.CallError):
            anyio.run(relay.run, _Connection(is_whole=True), _HEAD)
        self.assertFalse(self.answer.started)


if __name__ == "__main__":
    unittest.main()
