"""Tests of the encoding of messages between processes."""

import unittest

import cbor2
import hypothesis
from hypothesis import strategies

from hillthread import errors
from hillthread.protocol import messages

EXAMPLES = [
    messages.Challenge(1, b"n"),
    messages.Heartbeat(3, "c", 0.5, {"h": 2}),
    messages.Records(4, [b"a", b""], "c"),
    messages.Shares(
        [messages.SharedPlacement("t", "i", "w", 7, [b"d"], [100])]
    ),
    messages.ClaimRequest(1, b"d", "r"),
]

VALUES = strategies.recursive(
    strategies.one_of(
        strategies.none(),
        strategies.integers(),
        strategies.text(max_size=8),
        strategies.binary(max_size=8),
        strategies.floats(allow_nan=False),
    ),
    lambda inner: strategies.one_of(
        strategies.lists(inner, max_size=3),
        strategies.dictionaries(
            strategies.sampled_from(["t", "payloads", "position", "nonce"]),
            inner,
            max_size=4,
        ),
    ),
)


class MessagesTest(unittest.TestCase):
    def test_round_trip(self):
        for message in EXAMPLES:
            data = messages.encode_message(message)
            self.assertEqual(messages.decode_message(data), message)

    @hypothesis.settings(derandomize=True, max_examples=300, deadline=None)
    @hypothesis.given(
        strategies.one_of(
            strategies.binary(max_size=80),
            VALUES.map(cbor2.dumps),
            strategies.builds(
                lambda message, cut: messages.encode_message(message)[:cut],
                strategies.sampled_from(EXAMPLES),
                strategies.integers(0, 40),
            ),
        )
    )
    def test_any_bytes_are_decoded_or_rejected(self, data):
        try:
            messages.decode_message(data)
        except errors.PeerError:
            return

    def test_deep_nesting_is_rejected(self):
        with self.assertRaises(errors.PeerError):
            messages.decode_message(b"\x81" * 100_000)

    def test_proof_depends_on_every_field(self):
        proofs = {
            messages.make_proof(secret, nonce, host)
            for secret in ("s1", "s2")
            for nonce in (b"1", b"2")
            for host in ("a", "b")
        }
        self.assertEqual(len(proofs), 8)
