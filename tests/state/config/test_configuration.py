"""Tests of configuration replay."""

import random
import unittest

import hypothesis
from hypothesis import strategies

from hillthread import errors
from hillthread.state.config import configuration
from hillthread.state.config import objects


def put(record_id, name, version, **fields):
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


def delete(record_id, name, version):
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
            put,
            strategies.sampled_from("abcdef"),
            strategies.sampled_from(["t", "u"]),
            strategies.integers(0, 6),
        ),
        strategies.builds(
            delete,
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
        self.apply(put("a", "t", 0, organisation="x"), put("b", "t", 0))
        self.assertIsNone(self.state.outcomes["a"].rejection)
        rejection = self.state.outcomes["b"].rejection
        self.assertEqual(rejection.code, "version_conflict")
        self.assertEqual(self.state.decoded[KEY].organisation, "x")

    def test_record_appended_twice_counts_once(self):
        self.apply(put("a", "t", 0), put("b", "t", 1), put("a", "t", 0))
        self.assertIsNone(self.state.outcomes["a"].rejection)
        self.assertEqual(self.state.version(KEY), 2)

    def test_delete_and_create_again(self):
        self.apply(put("a", "t", 0), delete("b", "t", 1), put("c", "t", 0))
        self.assertEqual(self.state.version(KEY), 3)

    def test_unreadable_and_invalid_records_change_nothing(self):
        self.apply(b"\xff", b'{"op":"later"}', put("a", "NOT VALID", 0))
        self.assertEqual(self.state.unreadable_count, 2)
        self.assertEqual(
            self.state.outcomes["a"].rejection.code, "invalid_configuration"
        )
        self.assertEqual(self.state.stored, {})

    def test_refuses_a_gap(self):
        with self.assertRaises(errors.ConfigurationError):
            self.state.apply(1, put("a", "t", 0))

    def test_snapshot_that_lags_its_own_offset_does_not_count(self):
        """Retention that ends at it would leave a gap before it."""
        self.apply(put("a", "t", 0))
        lagging = configuration.encode_change(self.state.snapshot())
        self.apply(put("b", "u", 0), lagging)
        self.assertEqual(
            self.state.snapshot_position, configuration.START_POSITION
        )
        covering = configuration.encode_change(self.state.snapshot())
        self.apply(covering)
        self.assertEqual(self.state.snapshot_position, 2)

    def test_never_restores_an_older_snapshot(self):
        old = self.state.snapshot()
        self.apply(put("a", "t", 0))
        with self.assertRaises(errors.ConfigurationError):
            self.state.restore(old)
        self.assertEqual(self.state.version(KEY), 1)

    @hypothesis.settings(derandomize=True, max_examples=150, deadline=None)
    @hypothesis.given(CHANGES, strategies.integers(0, 30))
    def test_all_readers_agree(self, payloads, cut):
        """One reads all; one starts from a snapshot in the middle."""
        whole = configuration.Configuration()
        late = configuration.Configuration()
        for offset, payload in enumerate(payloads):
            if offset == cut:
                late.restore(whole.snapshot())
            whole.apply(offset, payload)
            if offset >= cut:
                late.apply(offset, payload)
        if len(payloads) > cut:
            self.assertEqual(late.chain, whole.chain)
        if cut == 0:
            self.assertEqual(late.stored, whole.stored)
        versions = [each.version for each in whole.stored.values()]
        self.assertEqual(len(versions), len(set(versions)))

    def test_chain_tells_histories_apart(self):
        chains = set()
        payloads = [put("a", "t", 0), put("b", "u", 0), put("c", "v", 0)]
        for seed in range(4):
            state = configuration.Configuration()
            random.Random(seed).shuffle(payloads)
            for offset, payload in enumerate(payloads):
                state.apply(offset, payload)
            chains.add((state.chain, tuple(payloads)))
        self.assertEqual(len({c for c, _ in chains}), len(chains))
