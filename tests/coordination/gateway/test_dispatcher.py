"""Tests of attempts, retries, resumes and the truth of refusals."""

import socket
import time
import unittest

import anyio

from hillthread.standin import platform_target as standin
from hillthread.state import health
from hillthread.transport import http1_client
from tests.coordination.gateway import scene as scene_lib


class PlainServiceTest(unittest.TestCase):
    def test_trial_of_an_ejected_target_that_fails_ejects_it_again(self):
        async def story(scene):
            (target,) = scene.plain
            breaker = scene.site.state(target.name).breaker
            breaker.trip(time.monotonic() - 5.0)
            target.behave(standin.Fail())
            answer = await scene.call(scene.request("/once/x"))
            self.assertEqual(answer.head.status, 500)
            state = breaker.state(time.monotonic())
            self.assertIs(state, health.BreakerState.OPEN)

        scene_lib.play(story, plain=1)

    def test_answer_passes_unchanged_and_key_stays_here(self):
        async def story(scene):
            request = scene.request("/once/x?q=1", x_kept="yes", x_hold="no")
            answer = await scene.call(request)
            self.assertEqual(answer.head.status, 200)
            self.assertIn(b"answer of p", answer.body)
            self.assertTrue(answer.head.get(b"x-response-stamp"))
            (run,) = [r for t in scene.plain for r in t.runs]
            self.assertEqual(run.request.target, b"/once/x?q=1")
            self.assertEqual(run.request.body, b"hello")
            self.assertEqual(run.request.get(b"x-tenant"), b"tenant-one")
            self.assertEqual(run.request.get(b"x-kept"), b"yes")
            self.assertEqual(run.request.get(b"x-hold"), b"")
            self.assertEqual(run.request.get(b"authorization"), b"")
            self.assertLessEqual(int(run.request.get(b"x-deadline-ms")), 2000)

        scene_lib.play(story)

    def test_request_that_may_have_run_is_not_repeated(self):
        for behaviour in (
            standin.Vanish(),
            standin.OtherAnswer(),
            standin.Encoded(),
            standin.Unframed(reset=True),
            standin.Fail(503),
        ):
            with self.subTest(behaviour=behaviour):

                async def story(scene, behaviour=behaviour):
                    for target in scene.plain:
                        target.behave(behaviour)
                    answer = await scene.call(scene.request("/once/x"))
                    self.assertEqual(answer.head.status, 502)
                    self.assertEqual(len(scene.runs()), 1)
                    self.assertFalse(answer.head.get(b"x-response-stamp"))

                scene_lib.play(story)

    def test_request_that_was_refused_goes_elsewhere(self):
        async def story(scene):
            for target in scene.plain:
                target.behave(standin.Refuse())
            first = await scene.call(scene.request("/once/x"))
            self.assertEqual(first.head.status, 503)
            self.assertGreater(float(first.head.get(b"retry-after")), 0.0)
            self.assertEqual(scene.runs(), [])
            await anyio.sleep(0.3)
            scene.plain[0].behave(standin.Refuse())
            second = await scene.call(scene.request("/once/x"))
            self.assertEqual(second.head.status, 200)

        scene_lib.play(story)

    def test_unreachable_target_is_passed_over(self):
        async def story(scene):
            with socket.socket() as unused:
                unused.bind(("127.0.0.1", 0))
                port = unused.getsockname()[1]
            entry = {**scene.plain[0].entry(), "address": f"127.0.0.1:{port}"}
            scene.store.put("keyed.servers", "dead", entry)
            await scene.until(lambda: "dead" in scene.site.targets.entries)
            for _ in range(4):
                answer = await scene.call(scene.request("/once/x"))
                self.assertEqual(answer.head.status, 200)

        scene_lib.play(story)

    def test_idempotent_request_is_repeated_elsewhere(self):
        for behaviour in (
            standin.Vanish(),
            standin.Fail(),
            standin.OtherAnswer(),
            standin.Encoded(),
            standin.Unframed(reset=True),
        ):
            with self.subTest(behaviour=behaviour):

                async def story(scene, behaviour=behaviour):
                    bad, good = scene.plain
                    bad.always = behaviour
                    statuses = set()
                    for _ in range(4):
                        answer = await scene.call(scene.request("/again/x"))
                        statuses.add(answer.head.status)
                        self.assertIn(b"answer of p1", answer.body)
                    self.assertEqual(statuses, {200})
                    self.assertEqual(len(good.runs), 4)

                scene_lib.play(story)

    def test_failure_of_all_targets_is_relayed_with_its_receipt(self):
        async def story(scene):
            for target in scene.plain:
                target.always = standin.Fail(500)
            answer = await scene.call(scene.request("/again/x"))
            self.assertEqual(answer.head.status, 500)
            self.assertTrue(answer.head.get(b"x-response-stamp"))
            self.assertEqual(len(scene.runs()), 2)

        scene_lib.play(story)

    def test_unframed_answer_is_whole_when_its_connection_ends(self):
        async def story(scene):
            for target in scene.plain:
                target.behave(standin.Unframed())
            answer = await scene.call(scene.request("/once/x"))
            self.assertEqual(answer.head.status, 200)
            self.assertIn(b"answer of p", answer.body)

        scene_lib.play(story)

    def test_surplus_answer_reaches_nobody(self):
        for delay_s in (0.0, 0.03):
            with self.subTest(delay_s=delay_s):

                async def story(scene, delay_s=delay_s):
                    for target in scene.plain:
                        target.always = standin.Surplus(delay_s)
                    for _ in range(6):
                        answer = await scene.call(scene.request("/once/x"))
                        self.assertEqual(answer.head.status, 200)
                        self.assertIn(b"answer of p", answer.body)
                        await anyio.sleep(0.05)

                scene_lib.play(story)

    def test_deadline_ends_in_a_true_final_answer(self):
        async def story(scene):
            for target in scene.plain:
                target.always = standin.Hang()
            request = scene.request("/once/x", x_deadline_ms="200")
            started = anyio.current_time()
            answer = await scene.call(request)
            self.assertEqual(answer.head.status, 504)
            self.assertIn(b'"run":"unknown"', answer.body)
            self.assertLess(anyio.current_time() - started, 1.0)
            self.assertEqual(len(scene.runs()), 1)
            await scene.until(lambda: any(t.left for t in scene.plain))

        scene_lib.play(story)

    def test_target_is_told_at_once_when_the_caller_leaves(self):
        async def story(scene):
            for target in scene.plain:
                target.always = standin.Hang()
            connection = await scene.pool.take(scene.program.server.address)
            await connection.send_request(scene.request("/once/x"))
            await scene.until(scene.runs)
            await connection.close()
            await scene.until(lambda: any(t.left for t in scene.plain))

        scene_lib.play(story)

    def test_retries_end_with_the_budget(self):
        async def story(scene):
            for target in scene.plain:
                target.always = standin.Fail()
            scene.site.hosts = 8
            for _ in range(40):
                await scene.call(scene.request("/again/x"))
                for target in scene.plain:
                    scene.site.state(target.name).succeed()
            # 40 requests, a fifth of them, and this host's part of the extra.
            self.assertLessEqual(len(scene.runs()), 40 + 8 + 50 / 8)

        scene_lib.play(story)


class StreamTest(unittest.TestCase):
    def test_stream_passes_whole(self):
        async def story(scene):
            answer = await scene.call(scene.prompt("/stream/x"))
            self.assertEqual(answer.head.status, 200)
            engine = scene.engines[0]
            whole = b"".join(engine.event(n) for n in range(engine.events))
            self.assertEqual(answer.body, whole)

        scene_lib.play(story)

    def test_stream_goes_on_elsewhere_within_one_answer(self):
        async def story(scene):
            for engine in scene.engines:
                engine.events = 6
            await scene.call(scene.prompt("/resume/x"))
            warm = next(e for e in scene.engines if e.runs)
            other = next(e for e in scene.engines if e is not warm)
            warm.behave(standin.Cut(2))
            answer = await scene.call(scene.prompt("/resume/x"))
            whole = b"".join(warm.event(n) for n in range(6))
            self.assertEqual(answer.body, whole)
            receipt = answer.head.get(b"x-response-stamp").decode()
            self.assertEqual(receipt, f"stamp-{warm.name}")
            self.assertEqual(other.runs[-1].request.get(b"last-event-id"), b"1")

        scene_lib.play(story)

    def test_stream_that_cannot_go_on_is_never_ended_cleanly(self):
        async def story(scene):
            for engine in scene.engines:
                engine.always = standin.Cut(2)
            with self.assertRaises(http1_client.CallError):
                await scene.call(scene.prompt("/stream/x"))
            self.assertEqual(len(scene.runs()), 1)
            with self.assertRaises(http1_client.CallError):
                await scene.call(scene.prompt("/resume/x"))

        scene_lib.play(story)

    def test_same_prefix_goes_to_one_engine(self):
        async def story(scene):
            for _ in range(4):
                await scene.call(scene.prompt("/stream/x"))
            self.assertEqual(sum(1 for e in scene.engines if e.runs), 1)

        scene_lib.play(story, engines=3)

    def test_salt_parts_isolated_tenants(self):
        async def story(scene):
            await scene.call(scene.prompt("/stream/x"))
            await scene.call(
                scene.prompt("/stream/x", authorization="Bearer key-two")
            )
            requests = [r.request for e in scene.engines for r in e.runs]
            salts = {each.get(b"x-cache-salt") for each in requests}
            self.assertEqual(len(salts), 2)
            for each in requests:
                self.assertEqual(each.get(b"x-expect-version"), b"1")

        scene_lib.play(story)
