"""Tests what a host learns from how its attempts end."""

import functools
import unittest
from unittest import mock

import anyio

from hillthread.standin import platform_target as standin
from hillthread.state.targets import health
from hillthread.state.targets import target_state
from tests.coordination.gateway import scene as scene_lib


class MismatchTest(unittest.TestCase):
    # Guards against a target that uses up the retry budget with mismatches.
    def test_two_mismatches_in_a_row_eject_the_target(self):
        async def scenario(scene):
            (target,) = scene.plain
            target.default_behaviour = standin.Refuse(421)
            with self.assertLogs("hillthread.targets", "WARNING") as logs:
                for _ in range(3):
                    answer = await scene.call(scene.request("/once/x"))
                    self.assertEqual(answer.head.status, 503)
                self.assertEqual(len(target.arrivals), 2)
                await anyio.sleep(1.0)
                await scene.call(scene.request("/once/x"))
            self.assertEqual(len(target.arrivals), 3)
            lengths_s = [line.ejected_s for line in logs.records]
            self.assertEqual(lengths_s, [1.0, 2.0])

        scene_lib.run_scenario(scenario, engines=0, plain=1)

    # Guards against the loss of a target to single mismatches.
    def test_other_answer_in_between_starts_the_count_anew(self):
        async def scenario(scene):
            (target,) = scene.plain
            for _ in range(3):
                target.queue_behaviours(standin.Refuse(421))
                answer = await scene.call(scene.request("/once/x"))
                self.assertEqual(answer.head.status, 200)

        scene_lib.run_scenario(scenario, engines=0, plain=1)

    # Guards against ejected engines while hosts learn of a load late.
    def test_load_in_between_starts_the_count_anew(self):
        state = target_state.TargetState()
        for change in (lambda: state.begin_load(0.0), state.end_load):
            self.assertFalse(state.record_mismatch(0.0))
            change()
        self.assertIs(state.breaker.state(0.0), health.BreakerState.CLOSED)

    # Guards against a host that never learns which weights an engine holds,
    # whether or not newer ones than the assumed were announced to it.
    def test_wrongly_assumed_weights_are_corrected_by_the_report(self):
        async def scenario(scene, is_announced):
            (engine,) = scene.engines
            # Another host gives orders and reads reports.
            scene.program.rollout.leadership.try_acquire = mock.AsyncMock(
                return_value=False
            )
            if is_announced:
                scene.announce_weights(2)
                await scene.until(lambda: "m" in scene.site.weights.newest)
            engine.weights = 3
            answer = await scene.call(scene.prompt("/stream/x"))
            self.assertEqual(answer.head.status, 503)
            self.assertEqual(len(engine.arrivals), 2)
            held = scene.site.weights.held_version
            await scene.until(lambda: held(engine.name, "m") == 3)
            await anyio.sleep(1.0)
            answer = await scene.call(scene.prompt("/stream/x"))
            self.assertEqual(answer.head.status, 200)

        for is_announced in (True, False):
            with self.subTest(is_announced=is_announced):
                scene_lib.run_scenario(
                    functools.partial(scenario, is_announced=is_announced),
                    engines=1,
                    plain=0,
                )
