"""Tests of the lease on orders when the store forgets its old records."""

import unittest

import anyio

from hillthread.coordination.gateway import order_lease
from hillthread.platform import store as store_lib
from hillthread.standin import platform_store

_PAUSE_S = 0.1
# A lease is contended so long after its last record was read.
_LAPSE_S = 2.5
_KEPT_S = 1.0


class ForgottenRecordsTest(unittest.TestCase):
    def test_former_holder_does_not_act_beside_its_successor(self):
        async def run():
            store = platform_store.PlatformStoreStandin()
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(store.server.serve)
                former = self.lease(store, "h0")
                successor = self.lease(store, "h1")
                self.assertTrue(await former.ensure())
                await successor.catch_up()
                await anyio.sleep(_LAPSE_S)
                self.assertTrue(await successor.ensure())
                await anyio.sleep(_KEPT_S)
                self.assertTrue(await successor.ensure())  # a renewal
                store.drop_history(_KEPT_S)  # the acquisitions are gone
                for _ in range(3):
                    self.assertFalse(await former.ensure())
                    self.assertFalse(former.may_act())
                    self.assertTrue(await successor.ensure())
                tasks.cancel_scope.cancel()

        anyio.run(run)

    def test_host_that_found_no_records_takes_note_of_the_next_holder(self):
        async def run():
            store = platform_store.PlatformStoreStandin()
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(store.server.serve)
                former = self.lease(store, "h0")
                knowing = self.lease(store, "h1")
                new = self.lease(store, "h2")
                self.assertTrue(await former.ensure())
                await knowing.catch_up()
                await anyio.sleep(_LAPSE_S)
                store.drop_history(_KEPT_S)
                await new.catch_up()  # nothing is there to be read
                self.assertTrue(await knowing.ensure())
                self.assertFalse(await new.ensure())
                self.assertFalse(new.may_act())
                self.assertTrue(await knowing.ensure())
                tasks.cancel_scope.cancel()

        anyio.run(run)

    def lease(self, store, name):
        client = store_lib.StoreClient(store.address)
        return order_lease.OrderLease(client, name, _PAUSE_S)
