"""Tests of admission: places, turns and true reasons."""

import time
import types
import unittest

import anyio

from hillthread import errors
from hillthread.coordination import fleet as fleet_lib
from hillthread.coordination import gate as gate_lib
from hillthread.state import objects
from hillthread.state import records

POOL = objects.Pool(name="p", target_selector="", max_inflight=1, queue_size=1)
TARGET = objects.Target(
    name="t", address="127.0.0.1:1", data_centre="dc1", models=["m"]
)
PLACEMENT = fleet_lib.Placement([TARGET], POOL, "m")


class Exchange:
    """As much of an exchange as the gate needs."""

    def __init__(self, name, priority=0):
        self.name = name
        self.intent = types.SimpleNamespace(
            query=fleet_lib.make_query((), 1.0, b"k")
        )
        self.resolved = types.SimpleNamespace(
            policy=objects.Policy(name="x", priority=priority)
        )
        self.deadline = time.monotonic() + 30
        self.record = types.SimpleNamespace(queued_s=0.0)

    def add_attempt(self, decision):
        return records.AttemptRecord(self.name, decision, 0.0)

    def run_state(self):
        return errors.RunState.NOT_RUN


class GateTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.fleet = fleet_lib.Fleet("dc1")
        self.gate = gate_lib.Gate(self.fleet)
        self.outcomes = {}

    async def reserve(self, exchange):
        try:
            attempt = await self.gate.reserve(exchange, PLACEMENT)
            self.outcomes[exchange.name] = attempt.attempt_id
        except errors.RefusalError as refusal:
            self.outcomes[exchange.name] = refusal.code

    async def test_waiter_gets_the_place_that_is_given_back(self):
        await self.reserve(Exchange("a"))
        async with anyio.create_task_group() as group:
            group.start_soon(self.reserve, Exchange("b"))
            await anyio.wait_all_tasks_blocked()
            self.assertNotIn("b", self.outcomes)
            self.gate.release("a")
        self.assertEqual(self.outcomes["b"], "b")

    async def test_lower_class_is_shed_at_once(self):
        await self.reserve(Exchange("a"))
        async with anyio.create_task_group() as group:
            group.start_soon(self.reserve, Exchange("low", priority=5))
            await anyio.wait_all_tasks_blocked()
            group.start_soon(self.reserve, Exchange("high", priority=1))
            await anyio.wait_all_tasks_blocked()
            self.assertEqual(self.outcomes["low"], "overloaded")
            self.gate.release("a")
        self.assertEqual(self.outcomes["high"], "high")

    async def test_waiter_whose_targets_leave_is_told_so(self):
        await self.reserve(Exchange("a"))
        async with anyio.create_task_group() as group:
            group.start_soon(self.reserve, Exchange("b"))
            await anyio.wait_all_tasks_blocked()
            self.fleet.departures.mark_leaving("t", "i")
            self.gate.release("a")
        self.assertEqual(self.outcomes["b"], "no_target")
