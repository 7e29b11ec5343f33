"""Tests of requests that hosts without links forward to other hosts."""

import time
import unittest
from unittest import mock

import anyio

from hillthread import clock
from hillthread.coordination.gateway.peers import forwarding
from hillthread.coordination.gateway.serving import gateway as gateway_lib
from hillthread.coordination.gateway.serving import quota_keeper
from hillthread.standin import platform_target as standin
from hillthread.transport import connection_pool
from tests.coordination.gateway import link_cut
from tests.coordination.gateway import scene as scene_lib
from tests.coordination.gateway.serving import test_lost_links
from tests.coordination.gateway.serving import test_quota


async def start_cut_host(scene, count=2, **settings):
    """Returns hosts of which the first knows that it reaches no target."""
    programs, links = await test_lost_links.start_hosts(
        scene, count, **settings
    )
    await links[0].cut(link_cut.CutShape.RESET)
    await lose_links(scene, programs[0])
    return programs, links


async def lose_links(scene, program):
    """Waits until a host whose links are cut knows it."""
    await test_lost_links.ask(scene, program, "/again/x")
    await scene.until(lambda: program.site.are_links_lost)


async def ask(scene, program, path, **headers):
    """Returns a host's answer to a plain request."""
    return await test_quota.ask(scene, program, scene.request(path, **headers))


def count_forwards(program):
    """Returns how many requests other hosts have forwarded to a host."""
    return sum(
        sample.value
        for metric in program.metrics.received_forwarded.collect()
        for sample in metric.samples
        if sample.name.endswith("_total")
    )


class ForwardTest(unittest.TestCase):
    def test_target_gets_the_request_of_the_caller(self):
        async def scenario(scene):
            programs, _ = await start_cut_host(scene)
            request = scene.request(
                "/once/x?q=1", x_kept="yes", x_hold="no", connection="x-mine"
            )
            answer = await test_quota.ask(scene, programs[0], request)
            self.assertEqual(answer.head.status, 200)
            (run,) = [
                run
                for target in scene.plain
                for run in target.runs
                if run.request.target == b"/once/x?q=1"
            ]
            received = run.request
            self.assertEqual(received.body, b"hello")
            self.assertEqual(received.get(b"x-tenant"), b"tenant-one")
            self.assertEqual(received.get(b"x-kept"), b"yes")
            for name in (b"authorization", b"x-hold", b"hillthread-from"):
                self.assertEqual(received.get(name), b"")
            self.assertLessEqual(int(received.get(b"x-deadline-ms")), 2000)
            names = {name for name, _ in answer.head.headers}
            self.assertFalse(any(n.startswith(b"hillthread") for n in names))

        scene_lib.run_scenario(scenario)

    def test_other_host_authenticates_forwarded_requests(self):
        async def scenario(scene):
            _, other = await test_lost_links.start_hosts(scene, 2)
            request = scene.request("/once/x", authorization="Bearer wrong")
            caller = gateway_lib.http1_server.CallerRequest(
                b"POST", request.target, request.headers, b"", 0.0
            )
            sent = forwarding.encode_request(
                forwarding.ForwardOrigin("h2", 0, 0), "h1", caller, 2.0, None
            )
            before = len(scene.runs())
            answer = await connection_pool.call(
                scene.pool, scene.program.feed_server.address, sent, 2.0, 9999
            )
            self.assertEqual(answer.head.status, 401)
            self.assertEqual(len(scene.runs()), before)
            del other

        scene_lib.run_scenario(scenario)

    def test_quota_and_retry_budget_count_at_the_other_host_only(self):
        async def scenario(scene):
            programs, _ = await start_cut_host(scene)
            charge = quota_keeper.QuotaKeeper.charge
            with mock.patch.object(
                quota_keeper.QuotaKeeper,
                "charge",
                autospec=True,
                side_effect=charge,
            ) as charged:
                now = time.monotonic()
                share = programs[0].site.retry_share("plain", now)
                before = share.balance
                answer = await ask(scene, programs[0], "/again/x")
                after = share.balance
            self.assertEqual(answer.head.status, 200)
            keepers = [call.args[0] for call in charged.call_args_list]
            self.assertEqual(keepers, [programs[1].quotas])
            self.assertEqual(before, after)

        scene_lib.run_scenario(scenario)

    # Guards against quotas that both hosts check: the one without links sends
    # nothing by itself, so that hardly any of a quota is left to it.
    def test_quota_is_checked_by_the_other_host_only(self):
        async def scenario(scene):
            programs, _ = await start_cut_host(scene)
            with mock.patch.object(
                quota_keeper.QuotaKeeper, "admit", autospec=True
            ) as admit:
                answer = await ask(scene, programs[0], "/once/x")
            self.assertEqual(answer.head.status, 200)
            keepers = [call.args[0] for call in admit.call_args_list]
            self.assertEqual(keepers, [programs[1].quotas])

        scene_lib.run_scenario(scenario)

    # Guards against a refusal by one host while another one could serve.
    def test_another_host_is_asked_if_one_has_no_target_left(self):
        async def scenario(scene):
            programs, _ = await start_cut_host(scene, 3)
            for target in scene.plain:
                breaker = programs[1].site.state(target.name).breaker
                breaker.trip(time.monotonic() + 5.0)
            for _ in range(8):
                answer = await ask(scene, programs[0], "/once/x")
                self.assertEqual(answer.head.status, 200)

        scene_lib.run_scenario(scenario)

    # Guards against hosts that pass a request round while none can serve it.
    # Guards against refusing all callers while the only other host, which has
    # come back, is avoided.
    def test_avoided_host_is_probed_by_a_request(self):
        async def scenario(scene):
            programs, _ = await start_cut_host(scene)
            forwarder = programs[0].gateway.dispatcher.context.forwarder
            forwarder.choice.avoid("h2", "", clock.now() + 30.0)
            answer = await ask(scene, programs[0], "/again/x")
            self.assertEqual(answer.head.status, 200)

        scene_lib.run_scenario(scenario)

    def test_request_is_refused_at_once_when_no_host_reaches_a_target(self):
        async def scenario(scene):
            programs, links = await start_cut_host(scene, 3)
            for each in links[1:]:
                await each.cut(link_cut.CutShape.RESET)
            for program in programs[1:]:
                await lose_links(scene, program)
            before = [count_forwards(each) for each in programs]
            began_at = time.monotonic()
            answer = await ask(scene, programs[0], "/once/x")
            self.assertLess(time.monotonic() - began_at, 0.2)
            self.assertEqual(answer.head.status, 503)
            self.assertGreater(float(answer.head.get(b"retry-after")), 0.0)
            received = [
                count_forwards(each) - count
                for each, count in zip(programs, before, strict=True)
            ]
            self.assertLessEqual(sum(received), 2)
            self.assertEqual(received[0], 0)

        scene_lib.run_scenario(scenario)

    def test_host_of_an_earlier_release_is_not_asked_again(self):
        async def scenario(scene):
            programs, _ = await start_cut_host(scene, 3)
            received = []

            async def refuse_unknown_path(caller, answer):
                received.append(caller.path)
                await answer.send_whole(400, [], b"")

            handler = programs[1].feed_server.handler
            programs[1].feed_server.handler = refuse_unknown_path
            for _ in range(8):
                answer = await ask(scene, programs[0], "/once/x")
                self.assertEqual(answer.head.status, 200)
            self.assertLessEqual(received.count("/forward"), 1)
            programs[1].feed_server.handler = handler

        scene_lib.run_scenario(scenario)

    def test_host_that_serves_many_others_declines(self):
        async def scenario(scene):
            programs, _ = await start_cut_host(scene, 3)
            programs[1].gateway.forwarded_inflight = 99
            for _ in range(6):
                answer = await ask(scene, programs[0], "/once/x")
                self.assertEqual(answer.head.status, 200)
            self.assertGreater(count_forwards(programs[2]), 5)

        scene_lib.run_scenario(scenario)

    def test_lost_run_is_not_repeated_by_the_other_host_beyond_the_maximum(
        self,
    ):
        async def scenario(scene):
            programs, _ = await start_cut_host(scene)
            for target in scene.plain:
                target.default_behaviour = standin.ResetConnection()
            before = len(scene.runs())
            for path, most in (("/once/x", 1), ("/again/x", 2)):
                answer = await ask(scene, programs[0], path)
                self.assertEqual(answer.head.status, 502)
                self.assertLessEqual(len(scene.runs()) - before, most)
                before = len(scene.runs())

        scene_lib.run_scenario(scenario)

    def test_departure_of_the_caller_reaches_the_target(self):
        async def scenario(scene):
            programs, _ = await start_cut_host(scene)
            for target in scene.plain:
                target.default_behaviour = standin.NeverAnswer()
            with anyio.move_on_after(0.3):
                await ask(scene, programs[0], "/once/x")
            await scene.until(
                lambda: any(t.disconnected_requests for t in scene.plain)
            )

        scene_lib.run_scenario(scenario)

    def test_stream_that_the_cut_breaks_off_is_resumed_by_another_host(self):
        async def scenario(scene):
            programs, links = await test_lost_links.start_hosts(scene, 2)
            for engine in scene.engines:
                engine.default_behaviour = standin.Serve(0.15)
            answers = []

            async def call():
                request = scene.prompt("/resume/x", x_deadline_ms="4000")
                answers.append(
                    await test_quota.ask(scene, programs[0], request)
                )

            scene.tasks.start_soon(call)
            await anyio.sleep(0.3)
            await links[0].cut(link_cut.CutShape.RESET)
            await scene.until(lambda: answers)
            event = scene.engines[0].event
            whole = b"".join(event(n) for n in range(4))
            self.assertEqual(answers[0].body, whole)

        scene_lib.run_scenario(scenario)

    def test_host_that_stops_completes_what_was_forwarded_to_it(self):
        async def scenario(scene):
            programs, _ = await start_cut_host(scene)
            for target in scene.plain:
                target.default_behaviour = standin.Serve(0.5)
            answers = []

            async def call():
                answers.append(await ask(scene, programs[0], "/once/x"))

            scene.tasks.start_soon(call)
            await scene.until(lambda: programs[1].gateway.forwarded_inflight)
            scene.tasks.start_soon(programs[1].drain, time.monotonic())
            await scene.until(lambda: answers)
            self.assertEqual(answers[0].head.status, 200)
            # New requests are not accepted any more.
            answer = await ask(scene, programs[0], "/once/x")
            self.assertEqual(answer.head.status, 503)

        scene_lib.run_scenario(scenario, grace_s=4.0)

    # Guards against a host that relays an announcement and does not obey it.
    def test_announcements_in_forwarded_answers_apply_at_both_hosts(self):
        async def scenario(scene):
            programs, _ = await start_cut_host(scene)
            leaving = scene.engines[0]
            leaving.announces_leaving = True
            leaving.limit_per_s = 2.0
            programs[0].work.apply_departure = lambda notice: None
            programs[0].work.apply_limit = lambda notice: None
            for program in programs:
                while not leaving.announcements:
                    await test_lost_links.ask(scene, programs[0], "/stream/x")
                entry = program.site.targets.entries[leaving.name]
                self.assertTrue(entry.leaving)
                self.assertIn(leaving.name, program.limits.limits)

        scene_lib.run_scenario(scenario, engines=1)
