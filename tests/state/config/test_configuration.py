"""Tests of replaying the configuration log."""

import random
import unittest

import hypothesis
from hypothesis import strategies

from hillthread import errors
from hillthread.state.config import configuration
from hillthread.state.config import objects


def encode_put(record_id, name, version, **fields):
    value = {"kind": "tenant", "name": name, "organisation": "o", **fields}
    return configuration.encode_change(
        configuration.Put(
            record_id=record_id,
            actor="a",
            made_at=0.0,
            object=value,
            expected_version=version,
        )
    )


def encode_delete(record_id, name, version):
    return configuration.encode_change(
        configuration.Delete(
            record_id=record_id,
            actor="a",
            made_at=0.0,
            key=objects.ObjectKey("tenant", name),
            expected_version=version,
        )
    )


KEY = objects.ObjectKey("tenant", "t")

CHANGES = strategies.lists(
    strategies.one_of(
        strategies.builds(
            encode_put,
            strategies.sampled_from("abcdef"),
            strategies.sampled_from(["t", "u"]),
            strategies.integers(0, 6),
        ),
        strategies.builds(
            encode_delete,
            strategies.sampled_from("abcdef"),
            strategies.sampled_from(["t", "u"]),
            strategies.integers(0, 6),
        ),
        strategies.binary(max_size=40),
        strategies.sampled_from(
            [b'{"op":"put"}', b'{"op":"new"}', b"[" * 5000, b"null"]
        ),
    ),
    max_size=30,
)


class ConfigurationTest(unittest.TestCase):
    def setUp(self):
        self.state = configuration.Configuration()

    def apply(self, *payloads):
        for payload in payloads:
            self.state.apply(self.state.position + 1, payload)

    def test_first_of_two_racing_operators_wins(self):
        self.apply(
            encode_put("a", "t", 0, organisation="x"), encode_put("b", "t", 0)
        )
        self.assertIsNone(self.state.outcomes["a"].rejection)
        rejection = self.state.outcomes["b"].rejection
        self.assertEqual(rejection.code, "version_conflict")
        self.assertEqual(self.state.decoded[KEY].organisation, "x")

    def test_record_appended_twice_counts_once(self):
        self.apply(
            encode_put("a", "t", 0),
            encode_put("b", "t", 1),
            encode_put("a", "t", 0),
        )
        self.assertIsNone(self.state.outcomes["a"].rejection)
        self.assertEqual(self.state.version(KEY), 2)

    def test_delete_and_create_again(self):
        self.apply(
            encode_put("a", "t", 0),
            encode_delete("b", "t", 1),
            encode_put("c", "t", 0),
        )
        self.assertEqual(self.state.version(KEY), 3)

    def test_unreadable_and_invalid_records_have_no_effect(self):
        self.apply(b"\xff", b'{"op":"later"}', encode_put("a", "NOT VALID", 0))
        self.assertEqual(self.state.unreadable_count, 2)
        self.assertEqual(
            self.state.outcomes["a"].rejection.code, "invalid_configuration"
        )
        self.assertEqual(self.state.stored, {})

    def test_refuses_an_offset_after_a_gap(self):
        with self.assertRaises(errors.ConfigurationError):
            self.state.apply(1, encode_put("a", "t", 0))

    def test_snapshot_that_other_records_overtook_does_not_count(self):
        """Guards against retention that cuts the log at such a snapshot.

        It lacks the records that overtook it, which would be lost.
        """
        self.apply(encode_put("a", "t", 0))
        overtaken = configuration.encode_change(self.state.snapshot())
        self.apply(encode_put("b", "u", 0), overtaken)
        self.assertEqual(
            self.state.snapshot_position, configuration.START_POSITION
        )
        covering = configuration.encode_change(self.state.snapshot())
        self.apply(covering)
        self.assertEqual(self.state.snapshot_position, 2)

    def test_never_restores_an_older_snapshot(self):
        old = self.state.snapshot()
        self.apply(encode_put("a", "t", 0))
        with self.assertRaises(errors.ConfigurationError):
            self.state.restore(old)
        self.assertEqual(self.state.version(KEY), 1)

    @hypothesis.settings(derandomize=True, max_examples=150, deadline=None)
    @hypothesis.given(CHANGES, strategies.integers(0, 30))
    def test_all_readers_agree(self, payloads, snapshot_offset):
        """Compares a full replay with one that starts from a snapshot."""
        whole = configuration.Configuration()
        resumed = configuration.Configuration()
        for offset, payload in enumerate(payloads):
            if offset == snapshot_offset:
                resumed.restore(whole.snapshot())
            whole.apply(offset, payload)
            if offset >= snapshot_offset:
                resumed.apply(offset, payload)
        if len(payloads) > snapshot_offset:
            self.assertEqual(resumed.chain, whole.chain)
        if snapshot_offset == 0:
            self.assertEqual(resumed.stored, whole.stored)
        versions = [each.version for each in whole.stored.values()]
        self.assertEqual(len(versions), len(set(versions)))

    def test_chain_differs_between_histories(self):
        chains = set()
        payloads = [
            encode_put("a", "t", 0),
            encode_put("b", "u", 0),
            encode_put("c", "v", 0),
        ]
        for seed in range(4):
            state = configuration.Configuration()
            random.Random(seed).shuffle(payloads)
            for offset, payload in enumerate(payloads):
                state.apply(offset, payload)
            chains.add((state.chain, tuple(payloads)))
        self.assertEqual(len({c for c, _ in chains}), len(chains))
