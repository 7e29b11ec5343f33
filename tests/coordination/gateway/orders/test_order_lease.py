"""Tests of this host's part in the lease on orders."""

import unittest

import anyio

from hillthread import errors
from hillthread.coordination.gateway.orders import order_lease
from hillthread.platform import store as store_lib
from hillthread.standin import platform_store

_PAUSE_S = 0.1
# A lease is contended so long after its last record was read.
_LAPSE_S = 2.5
_KEPT_S = 1.0


class Clock:
    """A steady clock that the test advances.

    Attributes:
        now: Seconds.
    """

    def __init__(self):
        self.now = 100.0

    def __call__(self):
        return self.now


class Store:
    """A topic in memory.

    Attributes:
        refuses: Whether it refuses all calls.
        calls: Calls taken, refused ones included.
    """

    def __init__(self):
        self.records = []
        self.refuses = False
        self.calls = 0

    def _take_call(self):
        self.calls += 1
        if self.refuses:
            raise errors.LogError("The store refuses.", "Ask it later.")

    async def append(self, topic, payload, end):
        """Appends a record if the topic ends there."""
        self._take_call()
        if end != len(self.records):
            raise errors.ConflictError("It ends elsewhere.", "Read it.")
        self.records.append(payload)
        return end

    async def read(self, topic, position, wait_s):
        """Returns the records from a position on."""
        self._take_call()
        records = [
            store_lib.LogRecord(offset, payload)
            for offset, payload in enumerate(self.records)
            if offset >= position
        ]
        return store_lib.LogPage(len(self.records), records)


class OrderLeaseTest(unittest.TestCase):
    def test_refused_renewal_is_not_tried_again_at_once(self):
        """Each call has its price, and several loads ask at the same time."""

        async def story():
            store = Store()
            clock = Clock()
            lease = order_lease.OrderLease(store, "h1", 0.1, clock)
            self.assertTrue(await lease.ensure())
            clock.now += lease.contender.act_s * 0.6
            store.refuses = True
            store.calls = 0
            for _ in range(20):
                self.assertTrue(await lease.ensure())
            self.assertEqual(store.calls, 1)
            store.refuses = False
            clock.now += 0.4
            self.assertTrue(await lease.ensure())
            self.assertEqual(len(store.records), 2)

        anyio.run(story)

    def test_lease_that_ran_out_in_an_outage_is_not_acted_on(self):
        async def story():
            store = Store()
            clock = Clock()
            lease = order_lease.OrderLease(store, "h1", 0.1, clock)
            self.assertTrue(await lease.ensure())
            store.refuses = True
            clock.now += lease.contender.act_s + 0.05
            for _ in range(20):
                self.assertFalse(await lease.ensure())
            self.assertLessEqual(store.calls, 4)

        anyio.run(story)


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


class ReleaseTest(unittest.TestCase):
    def test_pause_between_the_orders_of_two_holders_is_kept(self):
        async def run():
            store = Store()
            former = order_lease.OrderLease(store, "h0", 30.0)
            successor = order_lease.OrderLease(store, "h1", 30.0)
            self.assertTrue(await former.ensure())  # it may order until now
            await former.release()
            self.assertFalse(await successor.ensure())

        anyio.run(run)
