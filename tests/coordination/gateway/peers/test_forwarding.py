"""Tests of the encoding of forwarded requests."""

import unittest

import msgspec

from hillthread import errors
from hillthread.coordination.gateway.peers import forwarding
from hillthread.transport import http1_client
from hillthread.transport import http1_server

ORIGIN = forwarding.ForwardOrigin("h1", 2, 1, configuration_version=7)


def make_request(*headers):
    return http1_server.CallerRequest(
        b"PUT", b"/again/x?q=1", [(b"host", b"a"), *headers], b"body", 1.0
    )


def receive(sent):
    """Returns a request as the other host reads it."""
    return http1_server.CallerRequest(
        sent.method, sent.target, sent.headers, sent.body, 5.0
    )


class RequestTest(unittest.TestCase):
    def encode(self, *headers, last_event_id=None):
        return forwarding.encode_request(
            ORIGIN, "h2", make_request(*headers), 1.25, last_event_id
        )

    def test_request_arrives_unchanged_but_for_its_deadline(self):
        sent = self.encode(
            (b"authorization", b"Bearer k"),
            (b"x-request-id", b"r1"),
            (b"x-deadline-ms", b"3000"),
            (b"content-length", b"4"),
        )
        self.assertEqual((sent.method, sent.target), (b"POST", b"/forward"))
        forwarded = forwarding.decode_request(receive(sent))
        self.assertEqual(forwarded.origin, ORIGIN)
        caller = forwarded.caller
        self.assertEqual(caller.method, b"PUT")
        self.assertEqual(caller.target, b"/again/x?q=1")
        self.assertEqual(caller.body, b"body")
        self.assertEqual(
            dict(caller.headers),
            {
                b"host": b"a",
                b"authorization": b"Bearer k",
                b"x-request-id": b"r1",
                b"x-deadline-ms": b"1250",
            },
        )

    def test_host_of_an_earlier_release_names_no_configuration(self):
        sent = self.encode()
        headers = [
            pair
            for pair in sent.headers
            if pair[0] != b"hillthread-configuration"
        ]
        received = receive(sent)._replace(headers=headers)
        origin = forwarding.decode_request(received).origin
        self.assertEqual(origin.configuration_version, 0)

    def test_headers_of_one_connection_stay_on_it(self):
        sent = self.encode(
            (b"connection", b"keep-alive, x-mine"),
            (b"x-mine", b"1"),
            (b"te", b"trailers"),
            (b"x-kept", b"2"),
        )
        names = {name for name, _ in sent.headers}
        self.assertIn(b"x-kept", names)
        self.assertFalse(names & {b"connection", b"x-mine", b"te"})

    def test_callers_cannot_set_the_headers_between_hosts(self):
        sent = self.encode((b"hillthread-runs", b"0"))
        values = [v for n, v in sent.headers if n == b"hillthread-runs"]
        self.assertEqual(values, [b"1"])

    def test_resumed_stream_names_the_last_event_that_the_caller_has(self):
        sent = self.encode((b"last-event-id", b"2"), last_event_id=7)
        values = [v for n, v in sent.headers if n == b"last-event-id"]
        self.assertEqual(values, [b"7"])

    def test_incomplete_request_is_rejected(self):
        with self.assertRaises(errors.PeerError):
            forwarding.decode_request(make_request())


class RefusalTest(unittest.TestCase):
    def test_refusal_is_decoded_with_its_run_state_and_return(self):
        body = {"error": {"code": "c", "message": "m", "remedy": "r"}}
        head = http1_client.AnswerHead(
            429,
            [(b"hillthread-run", b"not_run"), (b"retry-after", b"1.500")],
        )
        refusal = forwarding.decode_refusal(
            http1_client.WholeAnswer(head, msgspec.json.encode(body))
        )
        self.assertEqual((refusal.code, refusal.status), ("c", 429))
        self.assertIs(refusal.run, errors.RunState.NOT_RUN)
        self.assertEqual(refusal.retry_after_s, 1.5)

    def test_unreadable_refusal_is_an_error_of_the_peer(self):
        head = http1_client.AnswerHead(503, [(b"hillthread-run", b"perhaps")])
        with self.assertRaises(errors.PeerError):
            forwarding.decode_refusal(http1_client.WholeAnswer(head, b"{}"))
