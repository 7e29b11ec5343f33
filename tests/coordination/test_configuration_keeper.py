"""Tests of what a host takes from the log and from peers."""

import unittest

from hillthread.coordination import configuration_keeper
from hillthread.state.config import configuration


def record(name, organisation="o"):
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


RECORDS = [record(name) for name in "abcdef"]


def keeper(*payloads):
    made = configuration_keeper.ConfigurationKeeper()
    if payloads:
        made.apply_records(0, payloads)
    return made


class ConfigurationKeeperTest(unittest.TestCase):
    def test_takes_what_follows_and_passes_over_what_is_known(self):
        own = keeper(*RECORDS[:2])
        self.assertTrue(own.apply_records(0, RECORDS[:4]))
        self.assertEqual(own.position, 3)
        self.assertFalse(own.apply_records(1, RECORDS[1:3]))
        self.assertFalse(own.apply_records(5, RECORDS[5:]))
        self.assertEqual(own.position, 3)

    def test_passes_on_only_what_is_new(self):
        own = keeper(*RECORDS[:2])
        passed = []
        own.listeners.append(lambda *news: passed.append(news))
        own.apply_records(0, RECORDS[:4])
        self.assertEqual(passed, [(2, RECORDS[2:4])])

    def test_nothing_is_in_force_below_what_a_peer_told(self):
        own = keeper(*RECORDS[:2])
        own.has_read_log = True
        self.assertTrue(own.is_in_force())
        own.record_peer_position(3)
        self.assertFalse(own.is_in_force())
        own.apply_records(2, RECORDS[2:4])
        self.assertTrue(own.is_in_force())

    def test_nothing_is_in_force_while_peers_may_tell_more(self):
        own = keeper(*RECORDS[:2])
        own.has_read_log = own.is_awaiting_peers = True
        self.assertFalse(own.is_in_force())
        own.record_peer_position(1)
        self.assertTrue(own.is_in_force())

    def test_another_history_is_refused_until_a_snapshot_comes(self):
        """A log that came back older may have gone on another way."""
        peer = keeper(*RECORDS[:5])
        own = keeper(RECORDS[0], record("b", "other"))
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
        own = keeper(*RECORDS[:4])
        self.assertFalse(
            own.apply_snapshot(keeper(RECORDS[0]).snapshot_payload())
        )
        self.assertEqual(own.position, 3)

    def test_keeps_recent_records_for_others(self):
        own = keeper(*RECORDS[:4])
        self.assertEqual(own.records_after(1), RECORDS[2:4])
        self.assertEqual(own.records_after(3), [])
        self.assertIsNone(own.records_after(-2))
        late = keeper()
        late.apply_snapshot(own.snapshot_payload())
        self.assertIsNone(late.records_after(1))
