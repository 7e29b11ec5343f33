"""Tests of attempts, retries, resumed streams and run states of refusals."""

import collections
import socket
import time
import unittest
from unittest import mock

import anyio
import msgspec

from hillthread.coordination.gateway.serving import job as job_lib
from hillthread.standin import platform_target as standin
from hillthread.state.targets import health
from hillthread.transport import http1_client
from hillthread.transport import http1_server
from tests.coordination.gateway import scene as scene_lib


class PlainServiceTest(unittest.TestCase):
    def test_trial_of_an_ejected_target_that_fails_ejects_it_again(self):
        async def story(scene):
            (target,) = scene.plain
            breaker = scene.site.state(target.name).breaker
            breaker.trip(time.monotonic() - 5.0)
            target.queue_behaviours(standin.Fail())
            answer = await scene.call(scene.request("/once/x"))
            self.assertEqual(answer.head.status, 500)
            state = breaker.state(time.monotonic())
            self.assertIs(state, health.BreakerState.OPEN)

        scene_lib.run_scenario(story, plain=1)

    def test_answer_is_relayed_unchanged_and_key_is_removed(self):
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

        scene_lib.run_scenario(story)

    def test_request_that_may_have_run_is_not_repeated(self):
        for behaviour in (
            standin.ResetConnection(),
            standin.MismatchedAnswer(),
            standin.EncodedAnswer(),
            standin.UnframedAnswer(reset=True),
            standin.Fail(503),
        ):
            with self.subTest(behaviour=behaviour):

                async def story(scene, behaviour=behaviour):
                    for target in scene.plain:
                        target.queue_behaviours(behaviour)
                    answer = await scene.call(scene.request("/once/x"))
                    self.assertEqual(answer.head.status, 502)
                    self.assertEqual(len(scene.runs()), 1)
                    self.assertFalse(answer.head.get(b"x-response-stamp"))

                scene_lib.run_scenario(story)

    def test_refused_request_is_sent_to_another_target(self):
        async def story(scene):
            for target in scene.plain:
                target.queue_behaviours(standin.Refuse())
            first = await scene.call(scene.request("/once/x"))
            self.assertEqual(first.head.status, 503)
            self.assertGreater(float(first.head.get(b"retry-after")), 0.0)
            self.assertEqual(scene.runs(), [])
            await anyio.sleep(0.3)
            scene.plain[0].queue_behaviours(standin.Refuse())
            second = await scene.call(scene.request("/once/x"))
            self.assertEqual(second.head.status, 200)

        scene_lib.run_scenario(story)

    def test_unreachable_target_is_skipped(self):
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

        scene_lib.run_scenario(story)

    def test_idempotent_request_is_retried_on_another_target(self):
        for behaviour in (
            standin.ResetConnection(),
            standin.Fail(),
            standin.MismatchedAnswer(),
            standin.EncodedAnswer(),
            standin.UnframedAnswer(reset=True),
        ):
            with self.subTest(behaviour=behaviour):

                async def story(scene, behaviour=behaviour):
                    bad, good = scene.plain
                    bad.default_behaviour = behaviour
                    statuses = set()
                    for _ in range(4):
                        answer = await scene.call(scene.request("/again/x"))
                        statuses.add(answer.head.status)
                        self.assertIn(b"answer of p1", answer.body)
                    self.assertEqual(statuses, {200})
                    self.assertEqual(len(good.runs), 4)

                scene_lib.run_scenario(story)

    def test_failure_of_all_targets_is_relayed_with_its_receipt(self):
        async def story(scene):
            for target in scene.plain:
                target.default_behaviour = standin.Fail(500)
            answer = await scene.call(scene.request("/again/x"))
            self.assertEqual(answer.head.status, 500)
            self.assertTrue(answer.head.get(b"x-response-stamp"))
            self.assertEqual(len(scene.runs()), 2)

        scene_lib.run_scenario(story)

    def test_unframed_answer_is_complete_when_its_connection_ends(self):
        async def story(scene):
            for target in scene.plain:
                target.queue_behaviours(standin.UnframedAnswer())
            answer = await scene.call(scene.request("/once/x"))
            self.assertEqual(answer.head.status, 200)
            self.assertIn(b"answer of p", answer.body)

        scene_lib.run_scenario(story)

    def test_surplus_answer_is_never_relayed(self):
        for delay_s in (0.0, 0.03):
            with self.subTest(delay_s=delay_s):

                async def story(scene, delay_s=delay_s):
                    for target in scene.plain:
                        target.default_behaviour = standin.ExtraAnswer(delay_s)
                    for _ in range(6):
                        answer = await scene.call(scene.request("/once/x"))
                        self.assertEqual(answer.head.status, 200)
                        self.assertIn(b"answer of p", answer.body)
                        await anyio.sleep(0.05)

                scene_lib.run_scenario(story)

    def test_deadline_gives_a_final_answer_with_the_run_state(self):
        async def story(scene):
            for target in scene.plain:
                target.default_behaviour = standin.NeverAnswer()
            request = scene.request("/once/x", x_deadline_ms="200")
            started = anyio.current_time()
            answer = await scene.call(request)
            self.assertEqual(answer.head.status, 504)
            self.assertIn(b'"run":"unknown"', answer.body)
            self.assertLess(anyio.current_time() - started, 1.0)
            self.assertEqual(len(scene.runs()), 1)
            await scene.until(
                lambda: any(t.disconnected_requests for t in scene.plain)
            )

        scene_lib.run_scenario(story)

    def test_complete_answer_is_relayed_after_the_deadline(self):
        """The deadline passes while an answer is written to the caller."""
        send_whole = http1_server.CallerAnswer.send_whole

        async def write_slowly(answer, status, headers, body):
            if body.startswith(b"answer of") and answer.is_closing():
                await anyio.sleep(0.6)
            await send_whole(answer, status, headers, body)

        async def story(scene):
            # A stopping server closes its connections, which distinguishes the
            # gateway's answer from the target's identical one.
            scene.program.server.stopping = True
            with mock.patch.object(
                http1_server.CallerAnswer, "send_whole", write_slowly
            ):
                answer = await scene.call(
                    scene.request("/once/x", x_deadline_ms="300")
                )
            self.assertEqual(answer.head.status, 200)
            self.assertTrue(answer.head.get(b"x-response-stamp"))

        scene_lib.run_scenario(story)

    def test_answer_that_arrives_just_after_the_deadline_is_relayed(self):
        """A target's time starts when the request reaches it."""

        async def story(scene):
            for target in scene.plain:
                target.default_behaviour = standin.Serve(0.34)
            answer = await scene.call(
                scene.request("/once/x", x_deadline_ms="300")
            )
            self.assertEqual(answer.head.status, 200)

        scene_lib.run_scenario(story)

    def test_failure_is_relayed_when_a_later_attempt_brings_no_answer(self):
        for later in (
            standin.NeverAnswer(),
            standin.ResetConnection(),
            standin.Refuse(),
        ):
            with self.subTest(later=later):

                async def story(scene, later=later):
                    shared = collections.deque([standin.Fail(500), later])
                    for target in scene.plain:
                        target.behaviours = shared
                    answer = await scene.call(
                        scene.request("/again/x", x_deadline_ms="400")
                    )
                    self.assertEqual(answer.head.status, 500)
                    self.assertTrue(answer.head.get(b"x-response-stamp"))

                scene_lib.run_scenario(story)

    def test_failure_is_relayed_when_keys_can_no_longer_be_checked(self):
        async def story(scene):
            for target in scene.plain:
                target.default_behaviour = standin.Fail(500)
                run_target = target._run

                async def lose_store_and_run(*arguments, run_target=run_target):
                    scene.site.freshness.known_until -= 60.0
                    await run_target(*arguments)

                target._run = lose_store_and_run
            answer = await scene.call(scene.request("/again/x"))
            self.assertEqual(answer.head.status, 500)
            self.assertTrue(answer.head.get(b"x-response-stamp"))

        scene_lib.run_scenario(story)

    def test_lost_run_is_not_reported_as_not_run(self):
        """The store is lost after a run whose outcome is unknown."""

        async def story(scene):
            for target in scene.plain:
                target.default_behaviour = standin.ResetConnection()
                run = target._run

                async def lose_store_and_run(*arguments, run=run):
                    scene.site.freshness.known_until -= 60.0
                    await run(*arguments)

                target._run = lose_store_and_run
            answer = await scene.call(scene.request("/again/x"))
            self.assertEqual(answer.head.status, 502)
            self.assertIn(b'"run":"unknown"', answer.body)

        scene_lib.run_scenario(story)

    def test_failure_is_relayed_when_the_retry_budget_is_exhausted(self):
        async def story(scene):
            shared = collections.deque([standin.Fail(500), standin.Refuse()])
            for target in scene.plain:
                target.behaviours = shared
            scene.site.settings = msgspec.structs.replace(
                scene.site.settings, retry_extra=1.0, retry_ratio=0.0
            )
            scene.site.cluster_size = 1
            answer = await scene.call(scene.request("/again/x"))
            self.assertEqual(answer.head.status, 500)
            self.assertEqual(len(scene.runs()), 1)

        scene_lib.run_scenario(story, plain=3)

    # Guards against attempts that are identified by the ids of callers.
    def test_simultaneous_requests_with_the_same_id_are_served(self):
        async def story(scene):
            for target in scene.targets:
                target.default_behaviour = standin.Serve(0.05)
            statuses = []

            async def call():
                request = scene.prompt("/resume/x", x_request_id="same")
                answer = await scene.call(request)
                statuses.append(answer.head.status)

            async with anyio.create_task_group() as tasks:
                for _ in range(3):
                    tasks.start_soon(call)
            self.assertEqual(statuses, [200] * 3)
            requests = scene.program.metrics.requests
            await scene.until(lambda: not scene.program.gateway.inflight)
            outcomes = {
                (sample.labels["outcome"], sample.labels["code"]): sample.value
                for metric in requests.collect()
                for sample in metric.samples
                if sample.name.endswith("_total")
            }
            self.assertEqual(outcomes, {("answered", ""): 3.0})

        scene_lib.run_scenario(story)

    def test_request_that_reached_no_target_is_refused_as_not_run(self):
        async def story(scene):
            with socket.socket() as peer:
                peer.bind(("127.0.0.1", 0))
                peer.listen(0)
                ip, port = peer.getsockname()
                with socket.create_connection((ip, port)):
                    await self.list_only(scene, f"{ip}:{port}")
                    answer = await scene.call(
                        scene.request("/once/x", x_deadline_ms="60")
                    )
            self.assertEqual(answer.head.status, 503)
            self.assertIn(b'"run":"not_run"', answer.body)
            self.assertTrue(answer.head.get(b"retry-after"))

        scene_lib.run_scenario(story)

    async def list_only(self, scene, address):
        """Lists just one target of the plain service, at the given address."""
        entry = {**scene.plain[0].entry(), "address": address}
        scene.store.put("keyed.servers", "only", entry)
        for target in scene.plain:
            scene.store.remove("keyed.servers", target.name)
        known = scene.site.targets.entries
        await scene.until(
            lambda: "only" in known and not {"p0", "p1"} & set(known)
        )

    def test_internal_error_tells_whether_the_request_has_run(self):
        async def story(scene):
            dispatcher = scene.program.gateway.dispatcher
            fault = RuntimeError("a fault")
            with mock.patch.object(
                dispatcher.chooser, "plan", side_effect=fault
            ):
                answer = await scene.call(scene.request("/once/x"))
            self.assertEqual(answer.head.status, 503)
            self.assertIn(b'"run":"not_run"', answer.body)
            self.assertTrue(answer.head.get(b"retry-after"))
            with mock.patch.object(
                job_lib.Job, "_handle_outcome", side_effect=fault
            ):
                answer = await scene.call(scene.request("/once/x"))
            self.assertEqual(answer.head.status, 502)
            self.assertIn(b'"run":"unknown"', answer.body)

        scene_lib.run_scenario(story)

    def test_refusal_with_a_cut_off_body_is_still_a_refusal(self):
        async def story(scene):
            scene.plain[0].default_behaviour = standin.Refuse(cut=True)
            scene.plain[1].default_behaviour = standin.Refuse(cut=True)
            answer = await scene.call(scene.request("/once/x"))
            self.assertEqual(answer.head.status, 503)
            self.assertIn(b'"run":"not_run"', answer.body)

        scene_lib.run_scenario(story)

    def test_request_without_time_to_be_served_is_refused_at_once(self):
        async def story(scene):
            answer = await scene.call(
                scene.request("/once/x", x_deadline_ms="40")
            )
            self.assertEqual(answer.head.status, 503)
            self.assertIn(b'"run":"not_run"', answer.body)
            self.assertEqual(scene.runs(), [])

        scene_lib.run_scenario(story)

    def test_deadline_header_has_the_time_left_when_the_request_is_sent(self):
        async def story(scene):
            pool = scene.program.pool
            take = pool.acquire

            async def take_slowly(*arguments):
                await anyio.sleep(0.3)
                return await take(*arguments)

            pool.acquire = take_slowly
            await scene.call(scene.request("/once/x", x_deadline_ms="1000"))
            (run,) = [r for t in scene.plain for r in t.runs]
            told_ms = int(run.request.get(b"x-deadline-ms"))
            self.assertLessEqual(told_ms, 700)

        scene_lib.run_scenario(story)

    def test_connection_to_the_target_is_closed_when_the_caller_leaves(self):
        async def story(scene):
            for target in scene.plain:
                target.default_behaviour = standin.NeverAnswer()
            connection = await scene.pool.acquire(scene.program.server.address)
            await connection.send_request(scene.request("/once/x"))
            await scene.until(scene.runs)
            await connection.close()
            await scene.until(
                lambda: any(t.disconnected_requests for t in scene.plain)
            )

        scene_lib.run_scenario(story)

    def test_retries_stop_when_the_budget_is_exhausted(self):
        async def story(scene):
            for target in scene.plain:
                target.default_behaviour = standin.Fail()
            scene.site.cluster_size = 8
            for _ in range(40):
                await scene.call(scene.request("/again/x"))
                for target in scene.plain:
                    scene.site.state(target.name).record_success()
            # 40 requests, a fifth of them as retries, and this host's share of
            # the extra budget.
            self.assertLessEqual(len(scene.runs()), 40 + 8 + 50 / 8)

        scene_lib.run_scenario(story)


class StreamTest(unittest.TestCase):
    def test_stream_is_relayed_completely(self):
        async def story(scene):
            answer = await scene.call(scene.prompt("/stream/x"))
            self.assertEqual(answer.head.status, 200)
            engine = scene.engines[0]
            whole = b"".join(engine.event(n) for n in range(engine.events))
            self.assertEqual(answer.body, whole)

        scene_lib.run_scenario(story)

    def test_stream_is_resumed_on_another_engine_within_one_answer(self):
        async def story(scene):
            for engine in scene.engines:
                engine.events = 6
            await scene.call(scene.prompt("/resume/x"))
            warm = next(e for e in scene.engines if e.runs)
            other = next(e for e in scene.engines if e is not warm)
            warm.queue_behaviours(standin.TruncateStream(2))
            answer = await scene.call(scene.prompt("/resume/x"))
            whole = b"".join(warm.event(n) for n in range(6))
            self.assertEqual(answer.body, whole)
            receipt = answer.head.get(b"x-response-stamp").decode()
            self.assertEqual(receipt, f"stamp-{warm.name}")
            self.assertEqual(other.runs[-1].request.get(b"last-event-id"), b"1")

        scene_lib.run_scenario(story)

    def test_stream_that_cannot_be_resumed_is_never_ended_cleanly(self):
        async def story(scene):
            for engine in scene.engines:
                engine.default_behaviour = standin.TruncateStream(2)
            with self.assertRaises(http1_client.CallError):
                await scene.call(scene.prompt("/stream/x"))
            self.assertEqual(len(scene.runs()), 1)
            with self.assertRaises(http1_client.CallError):
                await scene.call(scene.prompt("/resume/x"))

        scene_lib.run_scenario(story)

    def test_same_prefix_goes_to_one_engine(self):
        async def story(scene):
            for _ in range(4):
                await scene.call(scene.prompt("/stream/x"))
            self.assertEqual(sum(1 for e in scene.engines if e.runs), 1)

        scene_lib.run_scenario(story, engines=3)

    def test_prompt_that_would_wait_longer_than_its_aim_is_refused(self):
        """Retry-After covers the time to read what other hosts sent."""

        async def story(scene):
            now = time.monotonic()
            for engine in scene.engines:
                load = scene.site.state(engine.name).load
                load.add_peer_prefill(
                    load.prefill_tokens_per_s, now
                )  # a second's work
            answer = await scene.call(scene.prompt("/stream/x"))
            self.assertEqual(answer.head.status, 503)
            self.assertIn(b"queue_too_long", answer.body)
            self.assertIn(b"the aim is 0.50 s", answer.body)
            after_s = float(answer.head.get(b"retry-after"))
            self.assertGreater(after_s, 0.8)
            self.assertEqual(scene.runs(), [])
            # Plain requests and later prompts are served.
            plain = await scene.call(scene.request("/again/x"))
            self.assertEqual(plain.head.status, 200)
            await anyio.sleep(now + 1.0 - time.monotonic())
            answer = await scene.call(scene.prompt("/stream/x"))
            self.assertEqual(answer.head.status, 200)

        scene_lib.run_scenario(story)

    def test_cache_salt_separates_isolated_tenants(self):
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

        scene_lib.run_scenario(story)

    # Guards against a run that is resumed with the memory of others after its
    # tenant has become isolated.
    def test_resumed_run_uses_the_scope_of_the_newest_configuration(self):
        async def story(scene):
            first, second = scene.configuration["tenants"]
            scene.configure(tenants=[first | {"isolated": False}, second])
            await scene.until(
                lambda: scene.site.configuration.version == scene.version
            )
            released = anyio.Event()
            behaviours = collections.deque(
                [standin.HoldAnswer(released, standin.TruncateStream(2))]
            )
            for engine in scene.engines:
                engine.behaviours = behaviours
            answers = []

            async def ask():
                answers.append(await scene.call(scene.prompt("/resume/x")))

            scene.tasks.start_soon(ask)
            await scene.until(scene.runs)
            scene.configure(tenants=[first | {"isolated": True}, second])
            await scene.until(
                lambda: scene.site.configuration.version == scene.version
            )
            released.set()
            await scene.until(lambda: answers)
            self.assertEqual(answers[0].head.status, 200)
            runs = [run for e in scene.engines for run in e.runs]
            runs.sort(key=lambda run: run.at)
            salts = [run.request.get(b"x-cache-salt") for run in runs]
            self.assertEqual(len(salts), 2)
            self.assertTrue(salts[0].startswith(b"shared/"), salts)
            self.assertTrue(salts[1].startswith(b"tenant:tenant-one/"), salts)

        scene_lib.run_scenario(story)
