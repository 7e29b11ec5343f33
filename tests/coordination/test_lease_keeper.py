"""Tests of a lease whose stream has lost its beginning."""

import unittest

import anyio

from hillthread.coordination import lease_keeper
from hillthread.state.cluster import lease
from hillthread.transport import log_client

TTL_S = 1.2


class Log:
    """As much of a log client as a lease needs; shared by all hosts."""

    def __init__(self):
        self.payloads = []
        self.first = 0
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
        if start < self.first:
            raise log_client.TruncatedError(self.first)
        records = [
            log_client.LogRecord(offset, self.payloads[offset])
            for offset in range(start, len(self.payloads))
        ]
        return log_client.LogPage(self.first, len(self.payloads), records)

    def truncate(self, offset):
        self.first = offset


class LeaseKeeperTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.log = Log()

    def make_keeper(self, name):
        return lease_keeper.LeaseKeeper(self.log, "orders", name, TTL_S)

    async def most_that_act(self, keepers, run_s):
        """Returns how many acted at once, at most, over a time."""
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

    async def test_host_that_starts_on_a_shortened_log_takes_no_second(self):
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

    async def test_host_that_fell_behind_takes_no_second(self):
        """It was paused while another took the lease and records went."""
        follower = self.make_keeper("b")
        old = lease.Acquire(holder="x", after=-1, number=1)
        self.log.payloads = [lease.encode_lease(old)]
        follower.contender.read(0, self.log.payloads[0], 0.0)
        taken = lease.Acquire(holder="a", after=0, number=1)
        renewals = [
            lease.encode_lease(lease.Renew(holder="a", fencing=1, number=n))
            for n in range(2, 6)
        ]
        self.log.payloads += [lease.encode_lease(taken), *renewals]
        self.log.truncate(4)
        async with anyio.create_task_group() as group:
            group.start_soon(follower.run)
            await anyio.sleep(0.3)
            group.cancel_scope.cancel()
        self.assertEqual(follower.contender.state.holder, "a")
        self.assertEqual(follower.fencing_token, 1)
        self.assertFalse(follower.may_act())

    async def test_lease_is_taken_after_the_holder_is_gone(self):
        gone = lease.Acquire(holder="x", after=-1, number=1)
        renewal = lease.Renew(holder="x", fencing=0, number=2)
        self.log.payloads = [
            lease.encode_lease(gone),
            lease.encode_lease(renewal),
        ]
        self.log.truncate(1)
        keepers = [self.make_keeper("a"), self.make_keeper("b")]
        self.assertEqual(await self.most_that_act(keepers, 4.0), 1)
