"""Tests of truncation, restoration and reads in the store stand-in."""

import unittest

import anyio

from hillthread.platform import store as store_lib
from hillthread.standin import platform_store
from hillthread.state.cluster import position

_KEPT_S = 0.2
_LOG = "some-log"
_KEYED = "keyed.things"


def at(offset):
    """Returns a position in a store that sends no era."""
    return position.Position(0, offset)


class DropHistoryTest(unittest.TestCase):
    def test_recent_records_and_newest_values_are_kept(self):
        async def run():
            store = platform_store.PlatformStoreStandin()
            client = store_lib.StoreClient(store.address)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(store.server.serve)
                await client.append(_LOG, b"old", at(0))
                store.put(_KEYED, "key", 1)
                await anyio.sleep(_KEPT_S)
                await client.append(_LOG, b"young", at(1))
                store.put(_KEYED, "key", 2)
                store.drop_history(_KEPT_S)
                with self.assertRaises(store_lib.TruncatedError) as caught:
                    await client.read(_LOG, at(0), 0.0)
                page = await client.read(_LOG, at(caught.exception.first), 0.0)
                tasks.cancel_scope.cancel()
            self.assertEqual(
                [each.payload for each in page.records], [b"young"]
            )
            self.assertEqual(store.values(_KEYED), {"key": 2})

        anyio.run(run)

    def test_read_beyond_the_end_is_refused(self):
        async def run():
            store = platform_store.PlatformStoreStandin()
            client = store_lib.StoreClient(store.address)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(store.server.serve)
                store.put(_KEYED, "key", 1)
                page = await client.read(_KEYED, at(1), 0.0)
                self.assertEqual(page.records, [])
                with self.assertRaises(store_lib.TruncatedError):
                    await client.read(_KEYED, at(2), 0.0)
                tasks.cancel_scope.cancel()

        anyio.run(run)

    def test_later_changes_do_not_affect_a_backup(self):
        store = platform_store.PlatformStoreStandin()
        store.era = 1
        store.put(_KEYED, "key", 1)
        backup = store.backup()
        for _ in range(2):
            store.put(_KEYED, "key", 2)
            store.put(_KEYED, "other", 3)
            store.restore(backup)
            self.assertEqual(store.values(_KEYED), {"key": 1})
            self.assertEqual(store.topics[_KEYED].end, 1)
        self.assertEqual(store.era, 3)

    def test_all_records_are_dropped_by_default(self):
        store = platform_store.PlatformStoreStandin()
        store.put(_KEYED, "key", 1)
        store.drop_history()
        topic = store.topics[_KEYED]
        self.assertEqual((topic.first, topic.end, topic.records), (1, 1, []))
