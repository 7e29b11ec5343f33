"""Tests of answers that targets send a second time, late, to no request."""

import unittest

import anyio

from hillthread.standin import platform_target as standin
from tests.coordination.gateway import scene as scene_lib

_REFUSALS = standin.SurplusAnswers({standin.AnswerKind.REFUSAL})


class SurplusRefusalTest(unittest.TestCase):
    # Guards against taking a late second 421 to the first attempt for the
    # answer to the second one, which runs, and running the request elsewhere.
    def test_request_sent_again_after_a_mismatch_runs_once(self):
        async def scenario(scene):
            for engine in scene.engines:
                engine.surplus = _REFUSALS
                engine.default_behaviour = standin.Serve(0.03)
            for number in range(12):
                for engine in scene.engines:
                    engine.behaviours.clear()
                    engine.queue_behaviours(standin.Refuse(421))
                answer = await scene.call(scene.prompt("/stream/x"))
                runs = scene.runs()
                with self.subTest(number=number):
                    self.assertEqual(len(runs), len(set(runs)))
                    self.assertEqual(answer.head.status, 200)
            self.assertGreater(
                sum(len(engine.arrivals) for engine in scene.engines),
                len(scene.runs()),
            )

        scene_lib.run_scenario(scenario, engines=3)

    # Guards against refusing a request as not run while its target runs it.
    def test_request_of_the_only_target_is_not_refused_while_it_runs(self):
        async def scenario(scene):
            engine = scene.engines[0]
            engine.surplus = _REFUSALS
            engine.default_behaviour = standin.Serve(0.03)
            for _ in range(6):
                engine.queue_behaviours(standin.Refuse(421))
                answer = await scene.call(scene.prompt("/stream/x"))
                self.assertEqual(answer.head.status, 200)
                await anyio.sleep(0.2)

        scene_lib.run_scenario(scenario, engines=1)

    # Guards against failing the call whose answer comes after a surplus answer
    # to an earlier call.
    def test_call_behind_a_surplus_answer_gets_its_own(self):
        async def scenario(scene):
            (target,) = scene.engines
            target.surplus = standin.SurplusAnswers(
                {standin.AnswerKind.REFUSAL}, 0.03
            )
            statuses = []

            async def call():
                answer = await scene.call(scene.prompt("/stream/x"))
                statuses.append(answer.head.status)

            for _ in range(20):
                target.default_behaviour = standin.Serve(0.001)
                target.queue_behaviours(standin.Refuse(421))
                await scene.call(scene.prompt("/stream/x"))
                target.default_behaviour = standin.Serve(0.05)
                async with anyio.create_task_group() as tasks:
                    for _ in range(2):
                        tasks.start_soon(call)
            self.assertEqual(statuses, [200] * len(statuses))
            runs = scene.runs()
            self.assertEqual(len(runs), len(set(runs)))
            self.assertGreater(scene.program.pool.faults["surplus_answer"], 0)

        scene_lib.run_scenario(scenario, engines=1)

    # Guards against matching answers of requests that share an id, or have
    # none, to each other.
    def test_requests_with_the_same_id_do_not_share_a_connection(self):
        async def scenario(scene):
            opened = scene.program.pool.opened
            before = opened.total()
            for request_id, count in (("same", 4), ("", 6)):
                for _ in range(count):
                    request = scene.prompt("/stream/x", x_request_id=request_id)
                    answer = await scene.call(request)
                    self.assertEqual(answer.head.status, 200)
                self.assertGreaterEqual(opened.total() - before, count)

        scene_lib.run_scenario(scenario, engines=1)


if __name__ == "__main__":
    unittest.main()


def _answers_to_other_calls(count):
    """Returns late answers to other calls, which name their ids."""
    headers = [(b"x-request-id", b"another")]
    return [standin.encode_answer(200, headers, b"")] * count


class SurplusOrderAnswerTest(unittest.TestCase):
    # Guards against taking a late answer to another call for the answer to an
    # order that was lost, which left engines with outdated weights for good.
    def test_lost_orders_are_repeated_though_other_answers_arrive(self):
        async def scenario(scene):
            for engine in scene.engines:
                engine.misplaced_order_answers.extend(
                    _answers_to_other_calls(1)
                )
            scene.announce_weights(2)
            await scene.until(
                lambda: all(e.weights == 2 for e in scene.engines)
            )

        scene_lib.run_scenario(scenario, engines=3, plain=0)
