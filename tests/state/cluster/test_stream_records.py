"""Tests of the records of streams that one host holds."""

import unittest

from hillthread.state.cluster import stream_records
from hillthread.state.routing import stream_origin

V1 = stream_origin.StreamOrigin("pool", "v1")
V2 = stream_origin.StreamOrigin("pool", "v2")


class KeyTest(unittest.TestCase):
    def test_key_depends_on_tenant_and_attempt(self):
        keys = {
            stream_records.make_key(tenant, attempt)
            for tenant in ("", "a", "b")
            for attempt in ("r1", "r2")
        }
        self.assertEqual(len(keys), 6)
        self.assertEqual(len({key.digest for key in keys}), 6)


class RecordsTest(unittest.TestCase):
    def put(self, records, tenant, number, origin=V1, expires_at=100.0):
        key = stream_records.make_key(tenant, f"r{number}")
        records.put(key, origin, expires_at)
        return key

    def test_record_is_found_until_it_expires(self):
        records = stream_records.StreamRecords(10)
        key = self.put(records, "a", 1, expires_at=5.0)
        self.assertEqual(records.get(key, 4.9).origin, V1)
        self.assertIsNone(records.get(key, 5.0))
        records.expire(5.0)
        self.assertEqual(len(records), 0)

    def test_repeated_record_is_kept_longer_and_counted_once(self):
        records = stream_records.StreamRecords(10)
        self.put(records, "a", 1, expires_at=9.0)
        key = self.put(records, "a", 1, expires_at=5.0)
        self.assertEqual(len(records), 1)
        self.assertEqual(records.get(key, 8.0).origin, V1)

    # Guards against choosing one of two releases that claim the same stream.
    def test_contradicting_records_make_the_release_unknown(self):
        records = stream_records.StreamRecords(10)
        self.put(records, "a", 1, V1)
        key = self.put(records, "a", 1, V2)
        self.assertEqual(records.get(key, 0.0).origin.release, "")
        self.put(records, "a", 1, V2)
        self.assertEqual(records.get(key, 0.0).origin.release, "")

    def test_number_of_records_is_bounded_and_the_oldest_give_way(self):
        records = stream_records.StreamRecords(3)
        keys = [self.put(records, "a", number) for number in range(5)]
        self.assertEqual(len(records), 3)
        held = [records.get(key, 0.0) is not None for key in keys]
        self.assertEqual(held, [False, False, True, True, True])

    # Guards against a hot tenant that displaces the records of others.
    def test_busy_tenant_displaces_only_its_own_records(self):
        records = stream_records.StreamRecords(10)
        others = [self.put(records, f"t{number}", 0) for number in range(4)]
        for number in range(1000):
            self.put(records, "busy", number)
        self.assertEqual(len(records), 10)
        for key in others:
            self.assertIsNotNone(records.get(key, 0.0))
