"""Tests of what marks the end of a body."""

import unittest

from hillthread.protocol import body_framing

_LENGTH = (b"content-length", b"4")
_CHUNKED = (b"transfer-encoding", b"chunked")


class FramingTest(unittest.TestCase):
    def test_framing_of_answers(self):
        framing = body_framing.BodyFraming
        for method, status, headers, expected in (
            (b"GET", 200, [_LENGTH], framing.LENGTH),
            (b"GET", 200, [_CHUNKED], framing.CHUNKED),
            (b"GET", 200, [_LENGTH, _CHUNKED], framing.CHUNKED),
            (b"POST", 500, [], framing.CLOSE),
            (b"GET", 204, [], framing.NONE),
            (b"GET", 304, [_LENGTH], framing.NONE),
            (b"HEAD", 200, [_LENGTH], framing.NONE),
        ):
            with self.subTest(method=method, status=status, headers=headers):
                found = body_framing.framing_of(method, status, headers)
                self.assertIs(found, expected)
