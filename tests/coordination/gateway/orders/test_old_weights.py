"""Tests that no request starts on weights that are too old.

The tests run in real time: a start on older weights is forbidden from 10 s
after newer ones were announced, whatever happened to the host or the engine
meanwhile.
"""

import time
import unittest
from unittest import mock

import anyio

from hillthread.standin import platform_target as standin
from hillthread.state.targets import weights
from tests.coordination.gateway import scene as scene_lib

_FORBIDDEN_S = 10.0
# A host counts as reachable this long after its start or an outage.
_REACHABLE_AFTER_S = 3.0
_MARGIN_S = 0.05


async def _wait_until(at):
    await anyio.sleep(max(0.0, at - time.monotonic()))


class OldWeightsTest(unittest.TestCase):
    async def assert_refused(self, scene):
        """Checks that a request is refused because of old weights."""
        engine = scene.engines[0]
        answer = await scene.call(scene.prompt("/stream/x"))
        self.assertEqual([run.weights for run in engine.runs], [])
        self.assertEqual(answer.head.status, 503)
        self.assertTrue(answer.head.get(b"retry-after"))
        chosen = scene.program.metrics.count_choices()
        self.assertEqual(chosen, {"no target can be taken": 1})
        lag = scene.site.weights.lag("e0", "m", time.monotonic())
        self.assertEqual(lag.grace, weights.WeightsGrace.FORBIDDEN)

    def test_newer_announcement_does_not_prolong_older_weights(self):
        async def scenario(scene):
            engine = scene.engines[0]
            engine.order_status = 409  # the engine never loads
            announced_at = time.monotonic()
            scene.announce_weights(2)
            await _wait_until(announced_at + 6.0)
            scene.announce_weights(3)
            await _wait_until(announced_at + _FORBIDDEN_S + _MARGIN_S)
            await self.assert_refused(scene)

        scene_lib.run_scenario(scenario, engines=1)

    def test_weights_found_at_the_start_count_as_announced_long_ago(self):
        async def scenario(scene):
            engine = scene.engines[0]
            engine.order_status = 409
            await _wait_until(
                scene.site.started_at + _REACHABLE_AFTER_S + _MARGIN_S
            )
            await self.assert_refused(scene)

        scene_lib.run_scenario(scenario, engines=1, weights=2)

    def test_weights_learned_of_late_count_from_their_announcement(self):
        async def scenario(scene):
            engine = scene.engines[0]
            engine.order_status = 409
            scene.store.faults.silent = True
            await anyio.sleep(3.0)  # a read in progress has ended by then
            announced_at = time.monotonic()
            scene.announce_weights(2)
            await _wait_until(announced_at + 3.0)
            scene.store.faults.silent = False
            await scene.until(lambda: "m" in scene.site.weights.newest)
            await _wait_until(announced_at + _FORBIDDEN_S + _MARGIN_S)
            await self.assert_refused(scene)

        scene_lib.run_scenario(scenario, engines=1)

    def test_old_weights_serve_while_newer_ones_are_loaded(self):
        async def scenario(scene):
            engine = scene.engines[0]
            engine.order_status = 409
            scene.announce_weights(2)
            await scene.until(lambda: "m" in scene.site.weights.newest)
            answer = await scene.call(scene.prompt("/stream/x"))
            self.assertEqual(answer.head.status, 200)
            self.assertEqual([run.weights for run in engine.runs], [1])

        scene_lib.run_scenario(scenario, engines=1)

    def test_paused_host_counts_from_the_announcement(self):
        async def scenario(scene):
            scene.engines[0].order_status = 409
            await anyio.sleep(0.5)  # the store holds a read by now
            announced_at = time.monotonic()
            scene.announce_weights(2)
            time.sleep(6.0)  # noqa: ASYNC251 (pauses the host)
            await scene.until(lambda: "m" in scene.site.weights.newest)
            await _wait_until(announced_at + _FORBIDDEN_S + _MARGIN_S)
            await self.assert_refused(scene)

        scene_lib.run_scenario(scenario, engines=1)

    def test_expected_queue_time_counts_towards_the_limit(self):
        async def scenario(scene):
            engine = scene.engines[0]
            engine.order_status = 409
            now = time.monotonic()
            scene.site.weights.record_announcement("m", 2, now - 7.0, now - 7.0)
            engine.queue_behaviours(standin.Queue(1.5))
            first = await scene.call(scene.prompt("/stream/x"))
            self.assertEqual(first.head.status, 200)
            second = await scene.call(scene.prompt("/stream/x"))
            self.assertEqual(second.head.status, 503)

        scene_lib.run_scenario(scenario, engines=1)

    def test_refusals_do_not_shorten_the_expected_wait(self):
        async def scenario(scene):
            engine = scene.engines[0]
            engine.queue_behaviours(standin.Queue(0.6))
            answer = await scene.call(scene.prompt("/stream/x"))
            self.assertEqual(answer.head.status, 200)
            for _ in range(4):
                engine.queue_behaviours(standin.Refuse())
                await scene.call(scene.prompt("/stream/x"))
                await anyio.sleep(0.2)
            self.assertGreaterEqual(scene.site.state("e0").first_byte_s, 0.6)

        scene_lib.run_scenario(scenario, engines=1)

    def test_waiting_request_ends_when_weights_become_too_old(self):
        for path in ("/resume/x", "/stream/x"):
            with self.subTest(path=path):

                async def scenario(scene, path=path):
                    engine = scene.engines[0]
                    engine.order_status = 409
                    announced_at = time.monotonic() - 8.9
                    scene.site.weights.record_announcement(
                        "m", 2, announced_at, announced_at
                    )
                    engine.queue_behaviours(standin.Queue(1.5))
                    answer = await scene.call(scene.prompt(path))
                    self.assertEqual(answer.head.status, 502)
                    ended_at = time.monotonic()
                    self.assertLess(ended_at, announced_at + _FORBIDDEN_S + 0.3)
                    await _wait_until(announced_at + 11.0)
                    self.assertEqual(engine.runs, [])

                scene_lib.run_scenario(scenario, engines=1)

    def test_ended_waits_do_not_eject_the_target(self):
        async def scenario(scene):
            engine = scene.engines[0]
            engine.order_status = 409
            connections = 2
            for _ in range(2):
                async with anyio.create_task_group() as tasks:
                    for _ in range(connections):
                        tasks.start_soon(scene.call, scene.prompt("/stream/x"))
            announced_at = time.monotonic() - 8.9
            scene.site.weights.record_announcement(
                "m", 2, announced_at, announced_at
            )
            scene.site.state("e0").first_byte_s = 0.0
            engine.queue_behaviours(*[standin.Queue(1.5)] * connections)
            async with anyio.create_task_group() as tasks:
                for _ in range(connections):
                    tasks.start_soon(scene.call, scene.prompt("/stream/x"))
            state = scene.site.state("e0")
            self.assertTrue(state.is_available(time.monotonic()))
            self.assertGreater(scene.program.pool.unrepeatable_max_idle_s, 1.0)

        scene_lib.run_scenario(scenario, engines=1)

    def test_guessed_version_is_verified_with_the_target(self):
        async def scenario(scene):
            (engine,) = scene.engines
            # Another host gives orders and reads reports.
            scene.program.rollout.leadership.try_acquire = mock.AsyncMock(
                return_value=False
            )
            engine.weights = 2
            held = scene.site.weights.held_version
            scene.site.weights.update_from_answer("e0", "m", 2)
            long_ago = time.monotonic() - 60.0
            scene.site.weights.record_announcement("m", 2, long_ago, long_ago)
            engine.queue_behaviours(standin.Refuse(421))
            first = await scene.call(scene.prompt("/stream/x"))
            self.assertEqual(first.head.status, 503)
            self.assertEqual(held("e0", "m"), 1)
            await scene.until(lambda: held("e0", "m") == 2)
            second = await scene.call(scene.prompt("/stream/x"))
            self.assertEqual(second.head.status, 200)

        scene_lib.run_scenario(scenario, engines=1)

    def test_limit_is_a_setting(self):
        async def scenario(scene):
            scene.engines[0].order_status = 409
            announced_at = time.monotonic()
            scene.announce_weights(2)
            await scene.until(lambda: "m" in scene.site.weights.newest)
            await _wait_until(announced_at + 4.0)
            await self.assert_refused(scene)

        scene_lib.run_scenario(scenario, engines=1, version_ms=4_000)
