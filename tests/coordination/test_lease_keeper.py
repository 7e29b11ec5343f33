"""Tests of a lease whose stream was truncated at the beginning."""

import unittest

import anyio

from hillthread.coordination import lease_keeper
from hillthread.state.cluster import lease
from hillthread.transport import log_client

TTL_S = 1.2


class FakeLog:
    """Fake log client for leases; all hosts share it."""

    def __init__(self):
        self.payloads = []
        self.first_offset = 0
        self.changed = anyio.Event()

    async def append(self, stream, payloads):
        del stream
        self.payloads += payloads
        self.changed.set()
        self.changed = anyio.Event()
        return len(self.payloads) - 1

    async def read(self, stream, start, wait_s=0.0):
        del stream
        with anyio.move_on_after(wait_s):
            while start >= len(self.payloads):
                await self.changed.wait()
        if start < self.first_offset:
            raise log_client.TruncatedError(self.first_offset)
        records = [
            log_client.LogRecord(offset, self.payloads[offset])
            for offset in range(start, len(self.payloads))
        ]
        return log_client.LogPage(
            self.first_offset, len(self.payloads), records
        )

    def truncate(self, offset):
        self.first_offset = offset


class LeaseKeeperTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.log = FakeLog()

    def make_keeper(self, name):
        return lease_keeper.LeaseKeeper(self.log, "orders", name, TTL_S)

    async def max_concurrent_holders(self, keepers, run_s):
        """Returns the largest number of keepers that held the lease at once."""
        most = 0
        async with anyio.create_task_group() as group:
            for keeper in keepers:
                group.start_soon(keeper.run)
            with anyio.move_on_after(run_s):
                while True:
                    await anyio.sleep(0.02)
                    most = max(most, sum(each.may_act() for each in keepers))
            group.cancel_scope.cancel()
        return most

    async def test_host_starting_on_truncated_log_waits_for_holder(self):
        first = self.make_keeper("a")
        async with anyio.create_task_group() as group:
            group.start_soon(first.run)
            await anyio.sleep(2.0)
            self.assertTrue(first.may_act())
            self.log.truncate(len(self.log.payloads) - 1)
            second = self.make_keeper("b")
            group.start_soon(second.run)
            with anyio.move_on_after(3.0):
                while True:
                    await anyio.sleep(0.02)
                    acting = [first.may_act(), second.may_act()]
                    self.assertLess(sum(acting), 2)
            group.cancel_scope.cancel()
        self.assertEqual(second.contender.state.holder, "a")

    async def test_host_behind_truncated_log_waits_for_holder(self):
        """The host is paused while another acquires the lease.

        Meanwhile the log drops the records that show it.
        """
        follower = self.make_keeper("b")
        old_acquisition = lease.Acquire(holder="x", after=-1, number=1)
        self.log.payloads = [lease.encode_lease(old_acquisition)]
        follower.contender.read(0, self.log.payloads[0], 0.0)
        new_acquisition = lease.Acquire(holder="a", after=0, number=1)
        renewals = [
            lease.encode_lease(lease.Renew(holder="a", fencing=1, number=n))
            for n in range(2, 6)
        ]
        self.log.payloads += [lease.encode_lease(new_acquisition), *renewals]
        self.log.truncate(4)
        async with anyio.create_task_group() as group:
            group.start_soon(follower.run)
            await anyio.sleep(0.3)
            group.cancel_scope.cancel()
        self.assertEqual(follower.contender.state.holder, "a")
        self.assertEqual(follower.fencing_token, 1)
        self.assertFalse(follower.may_act())

    async def test_one_host_acquires_lease_of_crashed_holder(self):
        acquisition = lease.Acquire(holder="x", after=-1, number=1)
        renewal = lease.Renew(holder="x", fencing=0, number=2)
        self.log.payloads = [
            lease.encode_lease(acquisition),
            lease.encode_lease(renewal),
        ]
        self.log.truncate(1)
        keepers = [self.make_keeper("a"), self.make_keeper("b")]
        self.assertEqual(await self.max_concurrent_holders(keepers, 4.0), 1)
