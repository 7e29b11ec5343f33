"""Tests for the lease on giving orders."""

import unittest

import anyio

from hillthread import errors
from hillthread.coordination.gateway.orders import order_lease
from hillthread.platform import log_pages
from hillthread.platform import store as store_lib
from hillthread.standin import platform_store
from hillthread.state.cluster import lease as lease_state
from hillthread.state.cluster import position as position_lib

_PAUSE_S = 0.1
# A host contends for a lease this long after its last record was read.
_EXPIRY_S = 2.5
_RETENTION_S = 1.0


class Clock:
    """A monotonic clock that the test advances.

    Attributes:
        now: Current time, seconds.
    """

    def __init__(self):
        self.now = 100.0

    def __call__(self):
        return self.now


class Store:
    """A topic in memory.

    Attributes:
        era: Number of restorations.
        is_refusing: Whether the store refuses all calls.
        calls: Number of calls, refused ones included.
    """

    def __init__(self):
        self.records = []
        self.era = 0
        self.is_refusing = False
        self.calls = 0

    def _record_call(self):
        self.calls += 1
        if self.is_refusing:
            raise errors.LogError("The store refuses calls.", "Retry later.")

    async def append(self, topic, payload, end):
        """Appends a record if the topic ends at the given position."""
        self._record_call()
        if end != self._end():
            raise errors.ConflictError("The topic has grown.", "Read it.")
        self.records.append(payload)
        return end

    def _end(self):
        return position_lib.Position(self.era, len(self.records))

    async def read(self, topic, position, wait_s):
        """Returns the records from a position on."""
        self._record_call()
        records = [
            log_pages.LogRecord(position._replace(offset=offset), payload)
            for offset, payload in enumerate(self.records)
            if offset >= position.offset
        ]
        return log_pages.LogPage(self._end(), records)


class OrderLeaseTest(unittest.TestCase):
    def test_refused_renewal_is_not_retried_at_once(self):
        """Each call has a price, and several loads call at the same time."""

        async def scenario():
            store = Store()
            clock = Clock()
            lease = order_lease.OrderLease(store, "h1", 0.1, clock)
            self.assertTrue(await lease.acquire_or_renew())
            clock.now += lease.contender.act_s * 0.6
            store.is_refusing = True
            store.calls = 0
            for _ in range(20):
                self.assertTrue(await lease.acquire_or_renew())
            self.assertEqual(store.calls, 1)
            store.is_refusing = False
            clock.now += 0.4
            self.assertTrue(await lease.acquire_or_renew())
            self.assertEqual(len(store.records), 2)

        anyio.run(scenario)

    def test_lease_that_expired_in_an_outage_is_not_used(self):
        async def scenario():
            store = Store()
            clock = Clock()
            lease = order_lease.OrderLease(store, "h1", 0.1, clock)
            self.assertTrue(await lease.acquire_or_renew())
            store.is_refusing = True
            clock.now += lease.contender.act_s + 0.05
            for _ in range(20):
                self.assertFalse(await lease.acquire_or_renew())
            self.assertLessEqual(store.calls, 4)

        anyio.run(scenario)


class TruncatedTopicTest(unittest.TestCase):
    def test_former_holder_does_not_act_beside_its_successor(self):
        async def run():
            store = platform_store.PlatformStoreStandin()
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(store.server.serve)
                former = self.lease(store, "h0")
                successor = self.lease(store, "h1")
                self.assertTrue(await former.acquire_or_renew())
                await successor.catch_up()
                await anyio.sleep(_EXPIRY_S)
                self.assertTrue(await successor.acquire_or_renew())
                await anyio.sleep(_RETENTION_S)
                self.assertTrue(await successor.acquire_or_renew())  # a renewal
                store.drop_history(_RETENTION_S)  # drops the acquisitions
                for _ in range(3):
                    self.assertFalse(await former.acquire_or_renew())
                    self.assertFalse(former.may_act())
                    self.assertTrue(await successor.acquire_or_renew())
                tasks.cancel_scope.cancel()

        anyio.run(run)

    def test_host_that_found_no_records_respects_the_next_holder(self):
        async def run():
            store = platform_store.PlatformStoreStandin()
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(store.server.serve)
                former = self.lease(store, "h0")
                informed = self.lease(store, "h1")
                new = self.lease(store, "h2")
                self.assertTrue(await former.acquire_or_renew())
                await informed.catch_up()
                await anyio.sleep(_EXPIRY_S)
                store.drop_history(_RETENTION_S)
                await new.catch_up()  # there are no records to read
                self.assertTrue(await informed.acquire_or_renew())
                self.assertFalse(await new.acquire_or_renew())
                self.assertFalse(new.may_act())
                self.assertTrue(await informed.acquire_or_renew())
                tasks.cancel_scope.cancel()

        anyio.run(run)

    def lease(self, store, name):
        client = store_lib.StoreClient(store.address)
        return order_lease.OrderLease(client, name, _PAUSE_S)


class RestoredStoreTest(unittest.IsolatedAsyncioTestCase):
    """The store is restored from a copy that lacks lease records."""

    async def asyncSetUp(self):
        self.store = Store()
        self.clock = Clock()
        self.first = self.lease("h1")
        self.second = self.lease("h2")

    def lease(self, name):
        return order_lease.OrderLease(self.store, name, _PAUSE_S, self.clock)

    def restore(self, kept, *leases):
        """Restores the store with its first records and notifies hosts."""
        del self.store.records[kept:]
        self.store.era += 1
        for lease in leases:
            lease.store_restored(self.store.era)

    # Guards against two holders, one of which the copy does not contain.
    async def test_no_host_contends_while_a_lost_acquisition_may_be_valid(self):
        self.assertTrue(await self.first.acquire_or_renew())
        self.restore(0, self.second)
        self.assertFalse(await self.second.acquire_or_renew())
        self.clock.now += _EXPIRY_S - 0.2
        self.assertFalse(await self.second.acquire_or_renew())
        self.clock.now += 0.4
        self.assertFalse(self.first.may_act())
        self.assertTrue(await self.second.acquire_or_renew())

    async def test_wait_for_a_lost_acquisition_follows_the_pause(self):
        for pause_s in (1.5, 3.0, 6.0):
            with self.subTest(pause_s=pause_s):
                self.store = Store()
                first, second = (
                    order_lease.OrderLease(
                        self.store, name, pause_s, self.clock
                    )
                    for name in ("h1", "h2")
                )
                self.assertTrue(await first.acquire_or_renew())
                self.restore(0, second)
                while first.may_act():
                    self.assertFalse(await second.acquire_or_renew())
                    self.clock.now += 0.1
                self.clock.now += pause_s
                self.assertFalse(await second.acquire_or_renew())
                self.clock.now += 0.5
                self.assertTrue(await second.acquire_or_renew())

    async def test_holder_stops_and_may_acquire_at_once(self):
        self.assertTrue(await self.first.acquire_or_renew())
        before = self.first.fencing_token
        self.restore(0, self.first)
        self.assertFalse(self.first.may_act())
        self.assertTrue(await self.first.acquire_or_renew())
        self.assertGreater(self.first.fencing_token, before)

    async def test_holder_with_an_expired_lease_waits_like_others(self):
        self.assertTrue(await self.first.acquire_or_renew())
        self.clock.now += _EXPIRY_S
        self.restore(0, self.first)
        self.assertFalse(await self.first.acquire_or_renew())

    # Guards against engines that refuse orders or obey two holders, because
    # offsets are reused after a restoration.
    async def test_fencing_token_increases_over_restorations(self):
        for _ in range(5):
            self.assertTrue(await self.first.acquire_or_renew())
            self.clock.now += _RETENTION_S * 1.5
        numbers = [self.first.fencing_token]
        for kept in (1, 0):
            self.restore(kept, self.first, self.second)
            self.clock.now += _EXPIRY_S
            self.assertTrue(await self.second.acquire_or_renew())
            numbers.append(self.second.fencing_token)
        self.assertEqual(numbers, sorted(set(numbers)))

    # Guards against an append that the store executes after its restoration.
    async def test_append_of_an_earlier_era_is_ignored(self):
        late = lease_state.encode_lease(
            lease_state.Acquire(holder="h3", after=-1, era=1)
        )
        self.store.era = 1
        await self.first.catch_up()
        self.restore(0, self.first)
        self.store.records.append(late)
        await self.first.catch_up()
        self.assertFalse(self.first.has_holder)

    async def test_process_started_after_a_restoration_waits(self):
        self.store.era = 1
        self.assertTrue(await self.first.acquire_or_renew())
        await self.first.release()
        self.restore(2)
        third = self.lease("h3")
        self.assertFalse(await third.acquire_or_renew())
        self.clock.now += _EXPIRY_S
        self.assertTrue(await third.acquire_or_renew())


class ReleaseTest(unittest.TestCase):
    def test_pause_between_orders_of_two_holders_is_kept(self):
        async def run():
            store = Store()
            former = order_lease.OrderLease(store, "h0", 30.0)
            successor = order_lease.OrderLease(store, "h1", 30.0)
            # It may give orders until now.
            self.assertTrue(await former.acquire_or_renew())
            await former.release()
            self.assertFalse(await successor.acquire_or_renew())

        anyio.run(run)
