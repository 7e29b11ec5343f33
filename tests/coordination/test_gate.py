"""Tests of admission: slots, queue order and reasons of refusals."""

import time
import types
import unittest

import anyio
import msgspec

from hillthread import errors
from hillthread.coordination import fleet as fleet_lib
from hillthread.coordination import gate as gate_lib
from hillthread.state.config import objects
from hillthread.state.routing import records

POOL = objects.Pool(name="p", target_selector="", max_inflight=1, queue_size=1)
TARGET = objects.Target(
    name="t", address="127.0.0.1:1", data_centre="dc1", models=["m"]
)
CONSTRAINTS = fleet_lib.PlacementConstraints([TARGET], POOL, "m")


class Exchange:
    """A fake exchange with what the gate uses."""

    def __init__(self, name, priority=0):
        self.name = name
        self.parsed = types.SimpleNamespace(
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
        self.gate = gate_lib.AdmissionGate(self.fleet)
        self.outcomes = {}

    async def reserve(self, exchange):
        try:
            attempt = await self.gate.reserve(exchange, CONSTRAINTS)
            self.outcomes[exchange.name] = attempt.attempt_id
        except errors.RefusalError as refusal:
            self.outcomes[exchange.name] = refusal.code

    async def test_waiter_gets_the_released_slot(self):
        await self.reserve(Exchange("a"))
        async with anyio.create_task_group() as group:
            group.start_soon(self.reserve, Exchange("b"))
            await anyio.wait_all_tasks_blocked()
            self.assertNotIn("b", self.outcomes)
            self.gate.release("a")
        self.assertEqual(self.outcomes["b"], "b")

    async def test_lower_class_is_shed_when_the_queue_is_full(self):
        await self.reserve(Exchange("a"))
        async with anyio.create_task_group() as group:
            group.start_soon(self.reserve, Exchange("low", priority=5))
            await anyio.wait_all_tasks_blocked()
            group.start_soon(self.reserve, Exchange("high", priority=1))
            await anyio.wait_all_tasks_blocked()
            self.assertEqual(self.outcomes["low"], "overloaded")
            self.gate.release("a")
        self.assertEqual(self.outcomes["high"], "high")

    async def test_waiter_whose_targets_leave_is_refused_with_no_target(self):
        await self.reserve(Exchange("a"))
        async with anyio.create_task_group() as group:
            group.start_soon(self.reserve, Exchange("b"))
            await anyio.wait_all_tasks_blocked()
            self.fleet.departures.mark_leaving("t", "i")
            self.gate.release("a")
        self.assertEqual(self.outcomes["b"], "no_target")


class ModelsTest(unittest.IsolatedAsyncioTestCase):
    """Tests of requests in one pool that need different targets."""

    def setUp(self):
        self.gate = gate_lib.AdmissionGate(fleet_lib.Fleet("dc1"))
        self.served = []
        self.targets = [
            objects.Target(
                name=name,
                address="127.0.0.1:1",
                data_centre="dc1",
                models=[model],
            )
            for name, model in (("t", "m"), ("u", "n"))
        ]
        self.pool = msgspec.structs.replace(POOL, queue_size=4)

    async def reserve(self, name, model, priority=0):
        constraints = fleet_lib.PlacementConstraints(
            self.targets, self.pool, model
        )
        await self.gate.reserve(Exchange(name, priority), constraints)
        self.served.append(name)

    async def test_saturated_model_does_not_block_another_model(self):
        await self.reserve("a", "m")
        async with anyio.create_task_group() as group:
            group.start_soon(self.reserve, "b", "m")
            await anyio.wait_all_tasks_blocked()
            group.start_soon(self.reserve, "c", "n")
            with anyio.move_on_after(0.1):
                await anyio.wait_all_tasks_blocked()
            self.assertEqual(self.served, ["a", "c"])
            self.gate.release("a")
        self.assertEqual(self.served, ["a", "c", "b"])

    async def test_released_slot_skips_waiters_of_another_model(self):
        await self.reserve("a", "m")
        await self.reserve("c", "n")
        async with anyio.create_task_group() as group:
            for name, model in (("b", "m"), ("d", "n")):
                group.start_soon(self.reserve, name, model)
                await anyio.wait_all_tasks_blocked()
            self.gate.release("c")
            await anyio.wait_all_tasks_blocked()
            self.assertEqual(self.served, ["a", "c", "d"])
            self.gate.release("a")

    async def test_order_within_a_model_is_kept(self):
        await self.reserve("a", "m")
        async with anyio.create_task_group() as group:
            for name, priority in (("b", 1), ("d", 1), ("e", 0)):
                group.start_soon(self.reserve, name, "m", priority)
                await anyio.wait_all_tasks_blocked()
            for name in ("a", "e", "b"):
                self.gate.release(name)
                await anyio.wait_all_tasks_blocked()
        self.assertEqual(self.served, ["a", "e", "b", "d"])

    async def test_new_request_waits_behind_others_of_its_model(self):
        """Also when a slot became free without a release by the gate."""
        await self.reserve("a", "m")
        async with anyio.create_task_group() as group:
            group.start_soon(self.reserve, "b", "m")
            await anyio.wait_all_tasks_blocked()
            self.gate.fleet.finish("a")
            group.start_soon(self.reserve, "d", "m")
            await anyio.wait_all_tasks_blocked()
            self.assertEqual(self.served, ["a"])
            await anyio.sleep(0.4)
            self.assertEqual(self.served, ["a", "b"])
            self.gate.release("b")
        self.assertEqual(self.served, ["a", "b", "d"])

    async def test_waiter_with_old_targets_does_not_block_newer_requests(self):
        """The targets of the earlier request lack one that joined later."""
        await self.reserve("a", "m")
        async with anyio.create_task_group() as group:
            group.start_soon(self.reserve, "b", "m")
            await anyio.wait_all_tasks_blocked()
            joined = msgspec.structs.replace(self.targets[0], name="v")
            self.targets = [*self.targets, joined]
            group.start_soon(self.reserve, "d", "m")
            await anyio.sleep(0.6)
            self.assertEqual(self.served, ["a", "d"])
            self.gate.release("a")
        self.assertEqual(self.served, ["a", "d", "b"])
