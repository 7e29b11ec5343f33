"""Tests of targets that send bytes without end."""

import itertools
import unittest

import anyio

from hillthread.standin import platform_target as standin
from tests.coordination.gateway import scene as scene_lib

# Well under the time limit of a request, and above the time that reads take.
_MAX_ANSWER_S = 1.0
# Bytes that a host may read of one answer, and those in its kernel's buffers.
_MAX_TAKEN_BYTES = 6_000_000
_FAILURES = [
    shape
    for shape in standin.EndlessShape
    if shape is not standin.EndlessShape.REFUSAL_BODY
]
# A target that refused is not used again for about this time.
_REFUSAL_PAUSE_S = 0.2
_FAST = 0.0
_SLOW = 0.1


class EndlessAnswerTest(unittest.TestCase):
    # Guards against reading interim answers, heads and events until the time
    # of the request is over.
    def test_request_fails_soon_and_the_target_is_disconnected(self):
        async def scenario(scene):
            engine = scene.engines[0]
            for shape, interval_s in itertools.product(
                _FAILURES, (_FAST, _SLOW)
            ):
                engine.endless_bytes = 0
                engine.queue_behaviours(
                    standin.EndlessAnswer(shape, interval_s=interval_s)
                )
                with self.subTest(shape=shape, interval_s=interval_s):
                    began_at = anyio.current_time()
                    answer = await scene.call(scene.prompt("/stream/x"))
                    self.assertEqual(answer.head.status, 502)
                    elapsed_s = anyio.current_time() - began_at
                    if shape is not standin.EndlessShape.EVENT:
                        self.assertLess(elapsed_s, _MAX_ANSWER_S)
                    self.assertLess(engine.endless_bytes, _MAX_TAKEN_BYTES)
                    await scene.until(lambda: not engine.is_serving)
                    self.assertEqual(scene.program.buffers.held_bytes, 0)
                scene.site.state(engine.name).record_success()

        scene_lib.run_scenario(scenario, engines=1)

    # Guards against reading the body of a refusal while the caller waits.
    def test_refusal_whose_body_has_no_end_is_retried_at_once(self):
        async def scenario(scene):
            for interval_s in (_FAST, _SLOW):
                for _ in range(5):
                    await anyio.sleep(_REFUSAL_PAUSE_S)
                    for engine in scene.engines:
                        engine.behaviours.clear()
                    await scene.call(scene.prompt("/stream/x"))
                    warm = max(
                        scene.engines,
                        key=lambda e: (e.runs[-1:] and e.runs[-1].at) or 0.0,
                    )
                    warm.queue_behaviours(
                        standin.EndlessAnswer(
                            standin.EndlessShape.REFUSAL_BODY,
                            interval_s=interval_s,
                        )
                    )
                    began_at = anyio.current_time()
                    answer = await scene.call(scene.prompt("/stream/x"))
                    elapsed_s = anyio.current_time() - began_at
                    self.assertEqual(answer.head.status, 200)
                    self.assertLess(elapsed_s, 0.3)
            self.assertEqual(len(set(scene.runs())), len(scene.runs()))
            sent = [engine.endless_bytes for engine in scene.engines]
            self.assertGreater(sum(sent), 0)

        scene_lib.run_scenario(scenario)

    # Guards against waiting for a head of which only some bytes arrive.
    def test_head_that_arrives_too_slowly_is_given_up(self):
        async def scenario(scene):
            for shape in (
                standin.EndlessShape.HEAD_LINE,
                standin.EndlessShape.HEAD_LINES,
            ):
                scene.engines[0].queue_behaviours(
                    standin.EndlessAnswer(shape, 1, 0.5)
                )
                request = scene.prompt("/stream/x", x_deadline_ms="3000")
                began_at = anyio.current_time()
                answer = await scene.call(request)
                self.assertEqual(answer.head.status, 502)
                self.assertLess(anyio.current_time() - began_at, 2.6)

        scene_lib.run_scenario(scenario, engines=1)

    # Guards against counting answers that a host rejects as cut by a crash.
    def test_rejected_answers_are_counted_and_are_no_crashes(self):
        async def scenario(scene):
            for shape in _FAILURES:
                scene.engines[0].queue_behaviours(standin.EndlessAnswer(shape))
                await scene.call(scene.prompt("/stream/x"))
                scene.site.state("e0").record_success()
            self.assertEqual(scene.program.quarantine.suspects(), [])
            cut = scene.program.quarantine._cut_incarnations
            self.assertFalse(cut)
            self.assertEqual(scene.program.pool.faults.total(), len(_FAILURES))

        scene_lib.run_scenario(scenario, engines=1)

    # Guards against unfinished events outside the budget of buffered bytes.
    def test_unfinished_events_are_bounded_by_the_budget(self):
        async def scenario(scene):
            scene.engines[0].default_behaviour = standin.EndlessAnswer(
                standin.EndlessShape.EVENT, 262_144, 0.0
            )
            most = 0

            async def send():
                answer = await scene.call(scene.prompt("/stream/x"))
                self.assertGreaterEqual(answer.head.status, 500)

            async def watch():
                nonlocal most
                while True:
                    most = max(most, scene.program.buffers.held_bytes)
                    await anyio.sleep(0.001)

            async with anyio.create_task_group() as watching:
                watching.start_soon(watch)
                async with anyio.create_task_group() as tasks:
                    for _ in range(20):
                        tasks.start_soon(send)
                watching.cancel_scope.cancel()
            total_bytes = scene.program.buffers.bounds.total_bytes
            self.assertLess(most, total_bytes)
            self.assertGreater(most, total_bytes / 4)
            self.assertEqual(scene.program.buffers.held_bytes, 0)

        scene_lib.run_scenario(scenario, engines=1, memory_mb=60)


if __name__ == "__main__":
    unittest.main()
