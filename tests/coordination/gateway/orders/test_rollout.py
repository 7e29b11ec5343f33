"""Tests that new weights reach all engines, even if some misbehave."""

import math
import time
import unittest

import anyio

from hillthread.coordination.gateway.orders import order_lease
from hillthread.platform import store as store_lib
from hillthread.state.targets import rollout
from tests.coordination.gateway import scene as scene_lib

_ENGINES = 5  # two of five load at a time
_LEASE_MS = 300
# No process listens on this address.
_UNUSED_ADDRESS = "127.0.0.1:1"


def _in_load_order(scene, version):
    """Returns the engines in load order."""
    engines = {engine.name: engine for engine in scene.engines}
    return [
        engines[name]
        for name in rollout.rank_for_rollout("m", version, engines)
    ]


def _names_loading_first(scene, version, count):
    """Returns target names that come before all engines in load order."""
    engines = {engine.name for engine in scene.engines}
    names = [f"lost{number}" for number in range(1000)]
    first = rollout.rank_for_rollout("m", version, names)[:count]
    order = rollout.rank_for_rollout("m", version, [*engines, *first])
    assert order[:count] == first, "an engine comes before them"
    return first


async def _until_held(scene, engines, version):
    """Waits until engines hold a version; fails after a time limit."""
    await scene.until(lambda: all(e.weights == version for e in engines))


class UncooperativeTargetsTest(unittest.TestCase):
    def test_lost_targets_do_not_delay_others(self):
        async def scenario(scene):
            for name in _names_loading_first(scene, 2, 2):
                entry = scene.engines[0].entry() | {"address": _UNUSED_ADDRESS}
                scene.store.put("keyed.servers", name, entry)
            entries = scene.site.targets.entries
            await scene.until(lambda: len(entries) == _ENGINES)
            scene.announce_weights(2)
            await _until_held(scene, scene.engines, 2)

        scene_lib.run_scenario(scenario, engines=_ENGINES - 2, plain=0)

    # Guards against ending the process that gives orders: the key of such an
    # entry cannot be sent in a header.
    def test_entries_with_unreadable_keys_do_not_delay_others(self):
        async def scenario(scene):
            for key in ("\ufffd\x00\x01", "two words", "l\n", "ü", "\x7f"):
                entry = scene.engines[0].entry()
                scene.store.put("keyed.servers", key, entry)
            scene.announce_weights(2)
            await _until_held(scene, scene.engines, 2)
            for number in range(6):
                answer = await scene.call(scene.prompt("/stream/x"))
                self.assertEqual(answer.head.status, 200, number)
            self.assertEqual(len(scene.site.targets.entries), _ENGINES)

        scene_lib.run_scenario(scenario, engines=_ENGINES, plain=0)

    def test_silent_targets_do_not_delay_others(self):
        async def scenario(scene):
            first, second, *rest = _in_load_order(scene, 2)
            first.silent = second.silent = True
            scene.announce_weights(2)
            await _until_held(scene, rest, 2)

        scene_lib.run_scenario(scenario, engines=_ENGINES, plain=0)

    def test_unanswered_orders_do_not_delay_others(self):
        async def scenario(scene):
            first, second, *rest = _in_load_order(scene, 2)
            for engine in (first, second):
                engine.unanswered_order_delays_s.extend([math.inf] * 50)
            scene.announce_weights(2)
            await _until_held(scene, rest, 2)

        scene_lib.run_scenario(scenario, engines=_ENGINES, plain=0)

    def test_unanswered_order_is_repeated_after_other_targets(self):
        async def scenario(scene):
            first, second, *_ = _in_load_order(scene, 2)
            for engine in (first, second):
                engine.unanswered_order_delays_s.append(math.inf)
            scene.announce_weights(2)
            await _until_held(scene, scene.engines, 2)
            seen = sum(engine.received_order_count for engine in scene.engines)
            self.assertEqual(seen, _ENGINES + 2)

        scene_lib.run_scenario(scenario, engines=_ENGINES, plain=0)

    def test_order_executed_late_is_not_sent_twice(self):
        async def scenario(scene):
            (engine,) = scene.engines
            engine.unanswered_order_delays_s.append(0.3)
            scene.announce_weights(2)
            await _until_held(scene, [engine], 2)
            await anyio.sleep(1.0)
            self.assertEqual(engine.received_order_count, 1)

        scene_lib.run_scenario(scenario, engines=1, plain=0)

    def test_repeated_order_makes_the_late_one_fail(self):
        async def scenario(scene):
            (engine,) = scene.engines
            engine.unanswered_order_delays_s.append(2.0)
            scene.announce_weights(2)
            await _until_held(scene, [engine], 2)
            await anyio.sleep(1.5)
            self.assertEqual(len(engine.orders), 1)
            self.assertEqual(engine.orders[0]["expectedRevision"], 0)

        scene_lib.run_scenario(scenario, engines=1, plain=0)

    def test_overtaken_versions_are_skipped(self):
        async def scenario(scene):
            (engine,) = scene.engines
            engine.unanswered_order_delays_s.append(math.inf)
            scene.announce_weights(2)
            await scene.until(lambda: engine.received_order_count == 1)
            scene.announce_weights(3)
            await _until_held(scene, [engine], 3)
            versions = [order["version"] for order in engine.orders]
            self.assertEqual(versions, [3])

        scene_lib.run_scenario(scenario, engines=1, plain=0)

    def test_oldest_weights_are_replaced_first(self):
        async def scenario(scene):
            *newer, oldest = _in_load_order(scene, 3)
            for engine in newer:
                engine.weights = 2
                scene.list_target(engine)
            held = scene.site.weights.held_version
            await scene.until(
                lambda: all(held(e.name, "m") == 2 for e in newer)
            )
            for engine in scene.engines:
                engine.load_s = 0.5
            scene.announce_weights(3)
            await scene.until(
                lambda: sum(len(e.orders) for e in scene.engines) == 2
            )
            self.assertEqual(len(oldest.orders), 1)

        scene_lib.run_scenario(scenario, engines=_ENGINES, plain=0)

    def test_concurrent_loads_reach_but_do_not_exceed_the_limit(self):
        async def scenario(scene):
            for engine in scene.engines:
                engine.load_s = 0.5
            scene.announce_weights(2)
            most = 0
            with anyio.fail_after(5.0):
                while any(e.weights < 2 for e in scene.engines):
                    busy = sum(engine.busy for engine in scene.engines)
                    most = max(most, busy)
                    await anyio.sleep(0.005)
            self.assertEqual(most, rollout.max_concurrent_loads(_ENGINES))

        scene_lib.run_scenario(scenario, engines=_ENGINES, plain=0)

    def test_replaced_incarnation_is_sent_one_order(self):
        async def scenario(scene):
            (engine,) = scene.engines
            engine.order_status = 421
            scene.announce_weights(2)
            await scene.until(lambda: engine.received_order_count > 0)
            await anyio.sleep(1.0)
            self.assertEqual(engine.received_order_count, 1)

        scene_lib.run_scenario(scenario, engines=1, plain=0)


class SuccessionTest(unittest.TestCase):
    """Tests the succession of a holder that gives no orders."""

    def test_lease_is_read_soon_after_the_start(self):
        async def scenario(scene):
            lease = scene.program.rollout.lease
            await scene.until(lambda: lease.contender.state.holder == "h0")
            self.assertGreater(lease.contender.contend_at, float("-inf"))

        async def before(scene):
            other = order_lease.OrderLease(
                store_lib.StoreClient(scene.store.address), "h0", 0.3
            )
            await other.acquire_or_renew()

        scene_lib.run_scenario(scenario, engines=1, plain=0, before=before)

    def test_lease_of_a_killed_holder_is_waited_for(self):
        async def scenario(scene):
            other = order_lease.OrderLease(
                scene.program.store, "h0", _LEASE_MS / 1000.0
            )
            self.assertTrue(await other.acquire_or_renew())
            await scene.program.rollout.lease.catch_up()
            await anyio.sleep(other.contender.act_s * 0.6)
            taken_at = time.monotonic()
            self.assertTrue(await other.acquire_or_renew())
            self.assertEqual(other.contender.state.position, 1)
            scene.announce_weights(2)
            (engine,) = scene.engines
            await scene.until(lambda: engine.timed_orders)
            waited_s = engine.timed_orders[0].at - taken_at
            self.assertGreater(waited_s, other.contender.ttl_s)

        scene_lib.run_scenario(scenario, engines=1, plain=0, lease_ms=_LEASE_MS)

    def test_host_stops_after_a_fenced_order(self):
        async def scenario(scene):
            (engine,) = scene.engines
            engine.order_status = 412
            scene.announce_weights(2)
            await scene.until(lambda: engine.received_order_count > 0)
            await anyio.sleep(1.5)
            self.assertEqual(engine.received_order_count, 1)

        scene_lib.run_scenario(scenario, engines=1, plain=0)

    def test_stopping_host_does_not_acquire_the_lease(self):
        async def scenario(scene):
            (engine,) = scene.engines
            engine.unanswered_order_delays_s.extend([math.inf] * 50)
            scene.announce_weights(2)
            await scene.until(lambda: engine.received_order_count == 1)
            scene.site.is_draining = scene.site.is_closing = True
            await scene.program.rollout.lease.release()
            await anyio.sleep(2.5)
            self.assertEqual(engine.received_order_count, 1)
            self.assertFalse(scene.program.rollout.lease.is_holder)

        scene_lib.run_scenario(scenario, engines=1, plain=0)
