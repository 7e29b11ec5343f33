"""Tests of which targets get orders when some of them do not answer."""

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

WANTED = "w2"
HELD = "w1"


def make_target(name, version=WANTED):
    return objects.Target(
        name=name,
        address=f"{name}:1",
        data_centre="dc1",
        models=["m"],
        weights_version=version,
        honours_fencing=True,
    )


class Node:
    """As much of a control node as orders need."""

    def __init__(self, targets):
        self.targets = targets
        self.engines = self
        self.epochs = {
            each.name: warmth.CacheEpoch("i1", HELD) for each in targets
        }
        self.seen_at = {each.name: 0.0 for each in targets}

    def list_all(self):
        return self.targets


class OrderKeeperTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.sent = []
        self.hang = set()
        self.refuse = set()
        self.unreachable = set()
        self.unheeding = set()
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)

    async def answer(self, request):
        name = request.url.host
        self.sent.append((time.monotonic(), name))
        if name in self.unreachable:
            raise httpx.ConnectError("unreachable")
        if name in self.hang:
            await anyio.sleep(3.0)
            raise httpx.ReadTimeout("silent")
        if name in self.refuse:
            return httpx.Response(409)
        held = HELD if name in self.unheeding else WANTED
        headers = {engine.INCARNATION: "i1", engine.WEIGHTS_VERSION: held}
        return httpx.Response(200, headers=headers)

    def make_keeper(self, targets):
        lease = types.SimpleNamespace(
            may_act=lambda: True, fencing_token=1, acquired_at=0.0
        )
        node = Node(targets)
        keeper = order_keeper.OrderKeeper(
            node, lease, prometheus_client.CollectorRegistry()
        )
        keeper.client = httpx.AsyncClient(
            transport=httpx.MockTransport(self.answer)
        )
        return keeper

    def held(self, keeper, name):
        return keeper.node.epochs[name].weights_version

    async def run_until(self, keeper, names, within_s):
        """Returns whether all of `names` came to hold what is wanted."""
        async with anyio.create_task_group() as group:
            group.start_soon(keeper.run)
            with anyio.move_on_after(within_s):
                while any(self.held(keeper, n) != WANTED for n in names):  # noqa: ASYNC110
                    await anyio.sleep(0.02)
            group.cancel_scope.cancel()
        return all(self.held(keeper, name) == WANTED for name in names)

    async def test_refusing_targets_hold_up_nobody(self):
        keeper = self.make_keeper([make_target(f"t{n}") for n in range(6)])
        self.refuse = {"t0", "t1"}
        sound = ["t2", "t3", "t4", "t5"]
        self.assertTrue(await self.run_until(keeper, sound, 3.0))

    async def test_unreachable_targets_hold_up_nobody(self):
        keeper = self.make_keeper([make_target(f"t{n}") for n in range(6)])
        self.unreachable = {"t0", "t1"}
        sound = ["t2", "t3", "t4", "t5"]
        self.assertTrue(await self.run_until(keeper, sound, 3.0))

    async def test_targets_that_agree_and_do_nothing_hold_up_nobody(self):
        keeper = self.make_keeper([make_target(f"t{n}") for n in range(6)])
        self.unheeding = {"t0", "t1"}
        sound = ["t2", "t3", "t4", "t5"]
        self.assertTrue(await self.run_until(keeper, sound, 3.0))

    async def test_silent_targets_hold_up_nobody_for_good(self):
        """Two that hang take both places once, for their time limit."""
        keeper = self.make_keeper([make_target(f"t{n}") for n in range(6)])
        self.hang = {"t0", "t1"}
        sound = ["t2", "t3", "t4", "t5"]
        self.assertTrue(await self.run_until(keeper, sound, 5.0))

    async def test_target_that_refuses_is_asked_again_ever_more_seldom(self):
        keeper = self.make_keeper([make_target("t0")])
        self.refuse = {"t0"}
        await self.run_until(keeper, ["t0"], 4.0)
        # Each 0.2 s would be 20 of them.
        self.assertLess(len(self.sent), 6)
        self.assertGreater(len(self.sent), 1)

    async def test_target_that_recovers_is_ordered_again(self):
        keeper = self.make_keeper([make_target("t0"), make_target("t1")])
        self.unreachable = {"t0"}
        await self.run_until(keeper, ["t0"], 1.5)
        self.unreachable = set()
        self.assertTrue(await self.run_until(keeper, ["t0"], 4.0))

    async def test_newer_weights_do_not_end_the_pause(self):
        """Else each newer name would put who failed in front again."""
        targets = [make_target("t0")]
        keeper = self.make_keeper(targets)
        self.refuse = {"t0"}

        async def name_newer():
            for number in range(20):
                await anyio.sleep(0.2)
                keeper.node.targets = [make_target("t0", f"w{number + 3}")]

        async with anyio.create_task_group() as group:
            group.start_soon(keeper.run)
            await name_newer()
            group.cancel_scope.cancel()
        self.assertLess(len(self.sent), 6)
        self.assertGreater(len(self.sent), 1)

    async def test_those_not_seen_for_long_come_last(self):
        """However many are dead when weights are named."""
        keeper = self.make_keeper([make_target(f"t{n}") for n in range(10)])
        self.hang = {f"t{n}" for n in range(6)}
        keeper.node.seen_at.update(dict.fromkeys(self.hang, -60.0))
        sound = ["t6", "t7", "t8", "t9"]
        self.assertTrue(await self.run_until(keeper, sound, 2.5))
