"""Tests of how a host applies records from the log and from peers."""

import unittest

from hillthread.coordination import configuration_keeper
from hillthread.state.config import configuration


def make_record(name, organisation="o"):
    return configuration.encode_change(
        configuration.Put(
            record_id=name + organisation,
            actor="a",
            made_at=0.0,
            object={"kind": "tenant", "name": name,
                    "organisation": organisation},
            expected_version=0,
        )
    )  # fmt: skip


RECORDS = [make_record(name) for name in "abcdef"]


def make_keeper(*payloads):
    new_keeper = configuration_keeper.ConfigurationKeeper()
    if payloads:
        new_keeper.apply_records(0, payloads)
    return new_keeper


class ConfigurationKeeperTest(unittest.TestCase):
    def test_applies_new_records_and_skips_known_ones(self):
        own = make_keeper(*RECORDS[:2])
        self.assertTrue(own.apply_records(0, RECORDS[:4]))
        self.assertEqual(own.position, 3)
        self.assertFalse(own.apply_records(1, RECORDS[1:3]))
        self.assertFalse(own.apply_records(5, RECORDS[5:]))
        self.assertEqual(own.position, 3)

    def test_listeners_get_only_new_records(self):
        own = make_keeper(*RECORDS[:2])
        calls = []
        own.listeners.append(lambda *arguments: calls.append(arguments))
        own.apply_records(0, RECORDS[:4])
        self.assertEqual(calls, [(2, RECORDS[2:4])])

    def test_nothing_is_in_force_below_a_peer_position(self):
        own = make_keeper(*RECORDS[:2])
        own.has_read_log = True
        self.assertTrue(own.is_in_force())
        own.record_peer_position(3)
        self.assertFalse(own.is_in_force())
        own.apply_records(2, RECORDS[2:4])
        self.assertTrue(own.is_in_force())

    def test_nothing_is_in_force_while_awaiting_peers(self):
        own = make_keeper(*RECORDS[:2])
        own.has_read_log = own.is_awaiting_peers = True
        self.assertFalse(own.is_in_force())
        own.record_peer_position(1)
        self.assertTrue(own.is_in_force())

    def test_different_history_is_refused_until_snapshot_is_applied(self):
        """A log restored from an older copy may continue differently."""
        peer = make_keeper(*RECORDS[:5])
        own = make_keeper(RECORDS[0], make_record("b", "other"))
        own.record_peer_position(peer.position)
        chain = peer.configuration.chain
        self.assertFalse(own.apply_records(2, RECORDS[2:5], chain))
        self.assertEqual(own.refused_batches, 1)
        self.assertEqual(own.position, 1)
        self.assertFalse(own.is_in_force())
        self.assertTrue(own.apply_snapshot(peer.snapshot_payload()))
        self.assertEqual(own.configuration.stored, peer.configuration.stored)
        self.assertTrue(own.is_in_force())

    def test_older_snapshot_changes_nothing(self):
        own = make_keeper(*RECORDS[:4])
        self.assertFalse(
            own.apply_snapshot(make_keeper(RECORDS[0]).snapshot_payload())
        )
        self.assertEqual(own.position, 3)

    def test_keeps_recent_records_for_peers(self):
        own = make_keeper(*RECORDS[:4])
        self.assertEqual(own.records_after(1), RECORDS[2:4])
        self.assertEqual(own.records_after(3), [])
        self.assertIsNone(own.records_after(-2))
        restored = make_keeper()
        restored.apply_snapshot(own.snapshot_payload())
        self.assertIsNone(restored.records_after(1))
