"""Tests of polling targets, some of which answer slowly or not at all."""

import itertools
import time
import types
import unittest

import anyio
import httpx

from hillthread.coordination import target_watch
from hillthread.protocol import engine
from hillthread.state.config import objects

POLL_S = 0.2


def make_target(name):
    return objects.Target(
        name=name, address=f"{name}:1", data_centre="dc1", models=["m"]
    )


class Node:
    """A fake control node that records the loads it receives."""

    def __init__(self, targets):
        self.targets = targets
        self.sent_at = {}
        self.states = []
        self.engines = self

    def list_watched(self):
        return self.targets

    def publish_loads(self, message):
        for each in message.loads:
            self.sent_at.setdefault(each.target, []).append(time.monotonic())

    def publish_target_state(self, state):
        self.states.append(state)


async def drip_body():
    """Yields parts so often that no read of a single part times out."""
    while True:
        yield b"#\n"
        await anyio.sleep(0.1)


class TargetWatchTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.node = Node([make_target("t0"), make_target("t1")])
        self.list_calls = 0
        self.answers = {}

    async def respond(self, request):
        self.list_calls += request.url.host == "list"
        match self.answers.get(request.url.host):
            case "hang":
                await anyio.sleep(1.0)
                raise httpx.ReadTimeout("silent")
            case "drip":
                return httpx.Response(200, content=drip_body())
            case "slow":
                await anyio.sleep(2.5 * POLL_S)
        headers = {engine.INCARNATION: "i1", engine.WEIGHTS_VERSION: "w1"}
        page = f"# TYPE {engine.METRIC_RUNNING} gauge\n"
        page += f"{engine.METRIC_RUNNING} 1.0\n"
        return httpx.Response(200, headers=headers, text=page)

    async def watch(self, run_s, with_host_list=False):
        settings = types.SimpleNamespace(
            load_poll_s=POLL_S, host_list="list:1" if with_host_list else None
        )
        watch = target_watch.TargetWatch(settings, self.node)
        watch.client = httpx.AsyncClient(
            transport=httpx.MockTransport(self.respond)
        )
        with anyio.move_on_after(run_s):
            if with_host_list:
                await watch.run_host_list()
            await watch.run_loads()
        return watch

    def longest_gap_s(self, name):
        sent_at = self.node.sent_at[name]
        return max(b - a for a, b in itertools.pairwise(sent_at))

    async def test_loads_are_sent_each_round(self):
        await self.watch(2.0)
        for name in ("t0", "t1"):
            self.assertGreater(len(self.node.sent_at[name]), 6)

    async def test_silent_target_does_not_delay_others(self):
        self.answers = {"t0": "hang"}
        watch = await self.watch(3.0)
        self.assertGreater(len(self.node.sent_at["t1"]), 8)
        self.assertLess(self.longest_gap_s("t1"), 0.8)
        self.assertGreater(watch.failures, 1)

    async def test_dripping_target_does_not_delay_others(self):
        self.answers = {"t0": "drip"}
        watch = await self.watch(3.0)
        self.assertGreater(len(self.node.sent_at["t1"]), 8)
        self.assertGreater(watch.failures, 1)

    async def test_load_of_a_slow_target_is_sent_later(self):
        self.answers = {"t0": "slow"}
        await self.watch(3.0)
        self.assertGreater(len(self.node.sent_at["t0"]), 2)
        self.assertGreater(len(self.node.sent_at["t1"]), 8)

    async def test_dripping_host_list_times_out(self):
        self.answers = {"list": "drip"}
        watch = await self.watch(5.0, with_host_list=True)
        self.assertGreater(self.list_calls, 1)
        self.assertGreater(watch.failures, 0)
