"""Tests of what the stand-in of the store forgets."""

import unittest

import anyio

from hillthread.platform import store as store_lib
from hillthread.standin import platform_store

_KEPT_S = 0.2
_LOG = "some-log"
_KEYED = "keyed.things"


class DropHistoryTest(unittest.TestCase):
    def test_young_records_and_the_newest_of_each_key_stay(self):
        async def run():
            store = platform_store.PlatformStoreStandin()
            client = store_lib.StoreClient(store.address)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(store.server.serve)
                await client.append(_LOG, b"old", 0)
                store.put(_KEYED, "key", 1)
                await anyio.sleep(_KEPT_S)
                await client.append(_LOG, b"young", 1)
                store.put(_KEYED, "key", 2)
                store.drop_history(_KEPT_S)
                with self.assertRaises(store_lib.TruncatedError) as caught:
                    await client.read(_LOG, 0, 0.0)
                page = await client.read(_LOG, caught.exception.first, 0.0)
                tasks.cancel_scope.cancel()
            self.assertEqual(
                [each.payload for each in page.records], [b"young"]
            )
            self.assertEqual(store.values(_KEYED), {"key": 2})

        anyio.run(run)

    def test_all_records_go_when_none_are_kept(self):
        store = platform_store.PlatformStoreStandin()
        store.put(_KEYED, "key", 1)
        store.drop_history()
        topic = store.topics[_KEYED]
        self.assertEqual((topic.first, topic.end, topic.records), (1, 1, []))
