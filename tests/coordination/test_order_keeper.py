"""Tests of orders to targets when some refuse or do not answer."""

import logging
import time
import types
import unittest

import anyio
import httpx
import prometheus_client

from hillthread.coordination import order_keeper
from hillthread.protocol import engine
from hillthread.state.config import objects
from hillthread.state.routing import warmth

WANTED_VERSION = "w2"
OLD_VERSION = "w1"


def make_target(name, version=WANTED_VERSION):
    return objects.Target(
        name=name,
        address=f"{name}:1",
        data_centre="dc1",
        models=["m"],
        weights_version=version,
        honours_fencing=True,
    )


class FakeNode:
    """Fake control node for orders."""

    def __init__(self, targets):
        self.targets = targets
        self.engines = self
        self.epochs = {
            each.name: warmth.CacheEpoch("i1", OLD_VERSION) for each in targets
        }
        self.seen_at = {each.name: 0.0 for each in targets}

    def list_all(self):
        return self.targets


class OrderKeeperTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.sent = []
        self.hanging = set()
        self.refusing = set()
        self.unreachable = set()
        self.ignoring = set()
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)

    async def handle_request(self, request):
        name = request.url.host
        self.sent.append((time.monotonic(), name))
        if name in self.unreachable:
            raise httpx.ConnectError("unreachable")
        if name in self.hanging:
            await anyio.sleep(3.0)
            raise httpx.ReadTimeout("silent")
        if name in self.refusing:
            return httpx.Response(409)
        running_version = (
            OLD_VERSION if name in self.ignoring else WANTED_VERSION
        )
        headers = {
            engine.INCARNATION: "i1",
            engine.WEIGHTS_VERSION: running_version,
        }
        return httpx.Response(200, headers=headers)

    def make_keeper(self, targets):
        lease = types.SimpleNamespace(
            may_act=lambda: True, fencing_token=1, acquired_at=0.0
        )
        node = FakeNode(targets)
        keeper = order_keeper.OrderKeeper(
            node, lease, prometheus_client.CollectorRegistry()
        )
        keeper.client = httpx.AsyncClient(
            transport=httpx.MockTransport(self.handle_request)
        )
        return keeper

    def running_version(self, keeper, name):
        return keeper.node.epochs[name].weights_version

    async def run_until(self, keeper, names, within_s):
        """Returns whether all of `names` loaded the wanted weights in time."""
        async with anyio.create_task_group() as group:
            group.start_soon(keeper.run)
            with anyio.move_on_after(within_s):
                while any(  # noqa: ASYNC110
                    self.running_version(keeper, n) != WANTED_VERSION
                    for n in names
                ):
                    await anyio.sleep(0.02)
            group.cancel_scope.cancel()
        return all(
            self.running_version(keeper, name) == WANTED_VERSION
            for name in names
        )

    async def test_refusing_targets_do_not_delay_others(self):
        keeper = self.make_keeper([make_target(f"t{n}") for n in range(6)])
        self.refusing = {"t0", "t1"}
        healthy = ["t2", "t3", "t4", "t5"]
        self.assertTrue(await self.run_until(keeper, healthy, 3.0))

    async def test_unreachable_targets_do_not_delay_others(self):
        keeper = self.make_keeper([make_target(f"t{n}") for n in range(6)])
        self.unreachable = {"t0", "t1"}
        healthy = ["t2", "t3", "t4", "t5"]
        self.assertTrue(await self.run_until(keeper, healthy, 3.0))

    async def test_targets_ignoring_accepted_orders_do_not_delay_others(self):
        keeper = self.make_keeper([make_target(f"t{n}") for n in range(6)])
        self.ignoring = {"t0", "t1"}
        healthy = ["t2", "t3", "t4", "t5"]
        self.assertTrue(await self.run_until(keeper, healthy, 3.0))

    async def test_hanging_targets_delay_others_only_once(self):
        """Two hanging targets occupy both loads until their deadline."""
        keeper = self.make_keeper([make_target(f"t{n}") for n in range(6)])
        self.hanging = {"t0", "t1"}
        healthy = ["t2", "t3", "t4", "t5"]
        self.assertTrue(await self.run_until(keeper, healthy, 5.0))

    async def test_pause_grows_with_each_refusal(self):
        keeper = self.make_keeper([make_target("t0")])
        self.refusing = {"t0"}
        await self.run_until(keeper, ["t0"], 4.0)
        # Without a pause there would be 20, one every 0.2 s.
        self.assertLess(len(self.sent), 6)
        self.assertGreater(len(self.sent), 1)

    async def test_target_that_recovers_is_ordered_again(self):
        keeper = self.make_keeper([make_target("t0"), make_target("t1")])
        self.unreachable = {"t0"}
        await self.run_until(keeper, ["t0"], 1.5)
        self.unreachable = set()
        self.assertTrue(await self.run_until(keeper, ["t0"], 4.0))

    async def test_newer_weights_do_not_end_the_pause_of_a_target(self):
        """Otherwise each newer version would put failed targets first."""
        targets = [make_target("t0")]
        keeper = self.make_keeper(targets)
        self.refusing = {"t0"}

        async def announce_newer_weights():
            for number in range(20):
                await anyio.sleep(0.2)
                keeper.node.targets = [make_target("t0", f"w{number + 3}")]

        async with anyio.create_task_group() as group:
            group.start_soon(keeper.run)
            await announce_newer_weights()
            group.cancel_scope.cancel()
        self.assertLess(len(self.sent), 6)
        self.assertGreater(len(self.sent), 1)

    async def test_targets_seen_least_recently_come_last(self):
        """Unreachable targets delay no other, however many there are."""
        keeper = self.make_keeper([make_target(f"t{n}") for n in range(10)])
        self.hanging = {f"t{n}" for n in range(6)}
        keeper.node.seen_at.update(dict.fromkeys(self.hanging, -60.0))
        healthy = ["t6", "t7", "t8", "t9"]
        self.assertTrue(await self.run_until(keeper, healthy, 2.5))
