"""Tests that nothing starts on weights that were named too long ago.

They run in real time: a start on older weights is forbidden from 10 s after
newer ones were named, whatever a host or an engine has gone through since.
"""

import time
import unittest

import anyio

from tests.coordination.gateway import scene as scene_lib

_FORBIDDEN_S = 10.0
# A host counts as reachable so long after its start or an outage.
_IN_TOUCH_S = 3.0
_MARGIN_S = 0.05


async def _wait_until(at):
    await anyio.sleep(max(0.0, at - time.monotonic()))


class OldWeightsTest(unittest.TestCase):
    def assert_refused(self, answer, engine):
        """Checks that an engine with old weights ran nothing."""
        self.assertEqual([run.weights for run in engine.runs], [])
        self.assertEqual(answer.head.status, 503)
        self.assertTrue(answer.head.get(b"retry-after"))

    def test_newer_weights_do_not_prolong_the_time_of_older_ones(self):
        async def story(scene):
            engine = scene.engines[0]
            engine.order_status = 409  # it never loads
            named_at = time.monotonic()
            scene.name_weights(2)
            await _wait_until(named_at + 6.0)
            scene.name_weights(3)
            await _wait_until(named_at + _FORBIDDEN_S + _MARGIN_S)
            answer = await scene.call(scene.prompt("/stream/x"))
            self.assert_refused(answer, engine)

        scene_lib.play(story, engines=1)

    def test_weights_found_at_the_start_may_have_been_named_long_ago(self):
        async def story(scene):
            engine = scene.engines[0]
            engine.order_status = 409
            await _wait_until(scene.site.started_at + _IN_TOUCH_S + _MARGIN_S)
            answer = await scene.call(scene.prompt("/stream/x"))
            self.assert_refused(answer, engine)

        scene_lib.play(story, engines=1, weights=2)

    def test_weights_learned_of_late_were_named_before(self):
        async def story(scene):
            engine = scene.engines[0]
            engine.order_status = 409
            scene.store.faults.silent = True
            await anyio.sleep(3.0)  # a read under way has ended by then
            named_at = time.monotonic()
            scene.name_weights(2)
            await _wait_until(named_at + 3.0)
            scene.store.faults.silent = False
            await scene.until(lambda: "m" in scene.site.weights.named)
            await _wait_until(named_at + _FORBIDDEN_S + _MARGIN_S)
            answer = await scene.call(scene.prompt("/stream/x"))
            self.assert_refused(answer, engine)

        scene_lib.play(story, engines=1)

    def test_old_weights_serve_while_newer_ones_are_loaded(self):
        async def story(scene):
            engine = scene.engines[0]
            engine.order_status = 409
            scene.name_weights(2)
            await scene.until(lambda: "m" in scene.site.weights.named)
            answer = await scene.call(scene.prompt("/stream/x"))
            self.assertEqual(answer.head.status, 200)
            self.assertEqual([run.weights for run in engine.runs], [1])

        scene_lib.play(story, engines=1)

    def test_wait_in_an_engine_counts_as_far_as_it_is_foreseen(self):
        async def story(scene):
            scene.engines[0].order_status = 409
            board = scene.site.weights
            now = time.monotonic()
            board.name("m", 2, now - 8.0, now - 8.0)
            first = await scene.call(scene.prompt("/stream/x"))
            self.assertEqual(first.head.status, 200)
            scene.site.state("e0").seconds = 1.5
            second = await scene.call(scene.prompt("/stream/x"))
            self.assertEqual(second.head.status, 503)

        scene_lib.play(story, engines=1)

    def test_limit_is_a_setting(self):
        async def story(scene):
            scene.engines[0].order_status = 409
            scene.name_weights(2)
            await scene.until(lambda: "m" in scene.site.weights.named)
            await anyio.sleep(2.0)
            answer = await scene.call(scene.prompt("/stream/x"))
            self.assert_refused(answer, scene.engines[0])

        scene_lib.play(story, engines=1, version_ms=2_000)
