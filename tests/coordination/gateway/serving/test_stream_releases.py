"""Tests that a stream continues only at the release that began it."""

import collections
import contextlib
import io
import re
import time
import unittest
from unittest import mock

import anyio

from hillthread import clock
from hillthread.coordination.gateway.peers import forwarding
from hillthread.coordination.gateway.peers import stream_lookup
from hillthread.coordination.gateway.serving import stream_keeper
from hillthread.coordination.gateway.store import stream_journal
from hillthread.programs import ctl
from hillthread.protocol import stream_query
from hillthread.standin import platform_target as standin
from tests.coordination.gateway import link_cut
from tests.coordination.gateway import scene as scene_lib
from tests.coordination.gateway.serving import test_quota
from tests.coordination.gateway.serving import test_target_limits

# Refusals of streams that cannot continue must not wait for anything.
REFUSAL_S = 0.1
STREAMS = 12
EVENTS = 6
# Route whose streams are not resumed within an answer.
SINGLE_ATTEMPT = "/single/x"


def set_releases(scene, *releases):
    """Gives the engines their releases, in turn, and lists them again."""
    for number, engine in enumerate(scene.engines):
        engine.release = releases[number % len(releases)]
        engine.events = EVENTS
        engine.includes_release = True
        scene.list_target(engine)


def break_next_stream(engine, events=2):
    engine.queue_behaviours(standin.TruncateStream(events))


def break_all_streams(scene, events=2):
    for engine in scene.engines:
        engine.default_behaviour = standin.TruncateStream(events)


def serve_all_streams(scene):
    for engine in scene.engines:
        engine.default_behaviour = standin.Serve()


def reset_health(programs, scene):
    """Makes hosts use engines again whose streams have broken off."""
    for program in programs:
        for engine in scene.engines:
            program.site.state(engine.name).record_success()


def releases_in(body):
    """Returns the releases that wrote the events of a stream."""
    return set(re.findall(rb" by (\S+)", body))


def event_ids(body):
    return [int(number) for number in re.findall(rb"id: (\d+)\n", body)]


def prompt(scene, number=0, path="/resume/x", **headers):
    """Returns a request whose prompt no other stream shares."""
    prefix = f"s{number}:300,t{number}:500,u{number}:100"
    return scene.prompt(path, x_prompt_prefix=prefix, **headers)


def id_of(request):
    return dict(request.headers)[b"x-request-id"].decode()


async def wait_until_listed(scene, programs):
    """Waits until hosts know the releases of all engines."""
    for program in programs:
        entries = program.site.targets.entries
        await scene.until(
            lambda entries=entries: all(
                e.name in entries and entries[e.name].release == e.release
                for e in scene.engines
            )
        )


async def receive_part(scene, program, request):
    """Returns the part of a stream that reached its caller."""
    connection = await scene.pool.acquire(program.server.address)
    body = b""
    try:
        await connection.send_request(request)
        head = await connection.read_head()
        if head.status != 200:
            return b""
        while part := await connection.read_part():
            body += part
    except scene_lib.http1_client.CallError:
        pass
    finally:
        await scene.pool.release(connection)
    return body


async def begin_stream(scene, program, number=0):
    """Begins a stream that breaks off; returns its request and events."""
    break_all_streams(scene)
    request = prompt(scene, number, SINGLE_ATTEMPT)
    body = await receive_part(scene, program, request)
    serve_all_streams(scene)
    reset_health([program], scene)
    return request, body


def make_reconnect(scene, first, body, number=0, **headers):
    """Returns the caller's next attempt at a stream."""
    values = {
        "resumes": id_of(first),
        "last_event_id": str(event_ids(body)[-1]),
        **headers,
    }
    return prompt(scene, number, SINGLE_ATTEMPT, **values)


async def reconnect(scene, program, first, body, number=0, **headers):
    """Returns the answer to the caller's next attempt."""
    request = make_reconnect(scene, first, body, number, **headers)
    return await test_quota.ask(scene, program, request)


async def start_hosts(scene, count, *releases):
    """Returns hosts that know each other and the releases of all engines."""
    single = scene_lib.route(
        "single",
        "/single/",
        "streaming",
        "engines",
        resumable=True,
        maxAttempts=1,
    )
    scene.configure(routes=[*scene.configuration["routes"], single])
    set_releases(scene, *releases)
    programs = await test_target_limits.hosts_that_list_each_other(scene, count)
    await wait_until_listed(scene, programs)
    for program in programs:
        await scene.until(
            lambda p=program: p.site.configuration.version == scene.version
        )
    return programs


class WithinAnswerTest(unittest.TestCase):
    # Guards against resuming a stream at an engine of another release.
    def test_stream_resumes_at_the_release_that_began_it(self):
        async def scenario(scene):
            set_releases(scene, "v1", "v2")
            await wait_until_listed(scene, [scene.program])
            for number in range(STREAMS):
                for engine in scene.engines:
                    engine.behaviours.clear()
                    break_next_stream(engine)
                request = prompt(scene, number)
                body = await receive_part(scene, scene.program, request)
                self.assertEqual(len(releases_in(body)), 1)
                reset_health([scene.program], scene)

        scene_lib.run_scenario(scenario, engines=4)

    # Guards against joining another release when none of the first is left.
    def test_stream_ends_at_once_when_its_release_is_gone(self):
        async def scenario(scene):
            set_releases(scene, "v1", "v2")
            await wait_until_listed(scene, [scene.program])
            break_all_streams(scene)
            request = prompt(scene)
            began_at = time.monotonic()
            body = await receive_part(scene, scene.program, request)
            self.assertLess(time.monotonic() - began_at, REFUSAL_S)
            self.assertEqual(len(releases_in(body)), 1)
            self.assertLess(len(event_ids(body)), EVENTS)

        scene_lib.run_scenario(scenario, engines=2)

    # Guards against a host without links that has a stream resumed anywhere.
    def test_forwarded_stream_resumes_at_the_release_that_began_it(self):
        async def scenario(scene):
            programs = await start_hosts(scene, 3, "v1", "v2")
            links = link_cut.HostLinks(scene.tasks, programs[0])
            await links.cut(link_cut.CutShape.RESET)
            programs[0].site.are_links_lost = True
            for number in range(STREAMS):
                for engine in scene.engines:
                    engine.behaviours.clear()
                    break_next_stream(engine)
                request = prompt(scene, number)
                body = await receive_part(scene, programs[0], request)
                self.assertEqual(len(releases_in(body)), 1)
                reset_health(programs, scene)

        scene_lib.run_scenario(scenario, engines=4)

    # Guards against bytes of a target that has restarted with other software
    # while the list still has its former start.
    def test_run_of_a_restarted_target_does_not_continue_a_stream(self):
        async def scenario(scene):
            set_releases(scene, "v1", "v1")
            await wait_until_listed(scene, [scene.program])
            may_answer = anyio.Event()
            bodies = []

            async def receive():
                bodies.append(
                    await receive_part(scene, scene.program, prompt(scene))
                )

            # Whichever engine is chosen first breaks the stream, the other one
            # holds its answer back.
            behaviours = collections.deque(
                [standin.TruncateStream(2), standin.HoldAnswer(may_answer)]
            )
            for engine in scene.engines:
                engine.behaviours = behaviours
            scene.tasks.start_soon(receive)
            await scene.until(lambda: all(e.runs for e in scene.engines))
            second = max(scene.engines, key=lambda e: e.runs[0].at)
            second.release = "v2"
            second.born_ms += 1
            scene.list_target(second)
            await wait_until_listed(scene, [scene.program])
            may_answer.set()
            await scene.until(lambda: bodies)
            self.assertEqual(releases_in(bodies[0]), {b"v1"})
            self.assertEqual(event_ids(bodies[0]), [0, 1])

        scene_lib.run_scenario(scenario, engines=2)


class ReconnectTest(unittest.TestCase):
    # Guards against a host that resumes a stream of another host at any
    # release.
    def test_caller_resumes_at_the_release_that_began_its_stream(self):
        async def scenario(scene):
            programs = await start_hosts(scene, 3, "v1", "v2")
            for number in range(STREAMS):
                first, body = await begin_stream(scene, programs[0], number)
                answer = await reconnect(
                    scene, programs[1 + number % 2], first, body, number + 99
                )
                self.assertEqual(answer.head.status, 200)
                whole = body + answer.body
                self.assertEqual(event_ids(whole), list(range(EVENTS)))
                self.assertEqual(len(releases_in(whole)), 1)

        scene_lib.run_scenario(scenario, engines=4)

    # Guards against a caller that has all events and never gets the end.
    def test_caller_that_lacks_only_the_end_gets_it(self):
        async def scenario(scene):
            programs = await start_hosts(scene, 2, "v1", "v2")
            break_all_streams(scene, EVENTS)
            first = prompt(scene, 0, SINGLE_ATTEMPT)
            body = await receive_part(scene, programs[0], first)
            serve_all_streams(scene)
            reset_health(programs, scene)
            self.assertEqual(event_ids(body), list(range(EVENTS)))
            for program in programs:
                answer = await reconnect(scene, program, first, body)
                self.assertEqual(answer.head.status, 200)
                self.assertEqual(answer.body, b"")
                self.assertTrue(answer.head.get(b"x-response-stamp"))

        scene_lib.run_scenario(scenario, engines=4)

    # Guards against a complete stream that lacks an event after a run that was
    # rejected before anything of it was relayed.
    def test_rejected_first_run_of_a_reconnect_skips_nothing(self):
        async def scenario(scene):
            programs = await start_hosts(scene, 2, "v1")
            first, body = await begin_stream(scene, programs[0])
            may_answer = anyio.Event()
            behaviours = collections.deque([standin.HoldAnswer(may_answer)])
            for engine in scene.engines:
                engine.behaviours = behaviours
                engine.runs.clear()
            answers = []

            async def ask():
                request = prompt(
                    scene,
                    99,
                    resumes=id_of(first),
                    last_event_id=str(event_ids(body)[-1]),
                )
                answers.append(
                    await test_quota.ask(scene, programs[1], request)
                )

            scene.tasks.start_soon(ask)
            await scene.until(lambda: any(e.runs for e in scene.engines))
            (restarted,) = [e for e in scene.engines if e.runs]
            restarted.born_ms += 1
            scene.list_target(restarted)
            targets = programs[1].site.targets
            key = targets.key_of(restarted.name)
            await scene.until(lambda: targets.key_of(restarted.name) != key)
            may_answer.set()
            await scene.until(lambda: answers)
            self.assertEqual(answers[0].head.status, 200)
            whole = body + answers[0].body
            self.assertEqual(event_ids(whole), list(range(EVENTS)))

        scene_lib.run_scenario(scenario, engines=3)

    # Guards against losing the origin of a stream at the second and third try.
    def test_caller_resumes_again_and_again_at_different_hosts(self):
        async def scenario(scene):
            programs = await start_hosts(scene, 4, "v1", "v2")
            for number in range(STREAMS):
                first, body = await begin_stream(scene, programs[0], number)
                for tried in (1, 2):
                    break_all_streams(scene, 1)
                    request = make_reconnect(scene, first, body, number + 99)
                    program = programs[(number + tried) % 4]
                    body += await receive_part(scene, program, request)
                    serve_all_streams(scene)
                    reset_health(programs, scene)
                answer = await reconnect(
                    scene, programs[(number + 3) % 4], first, body, number + 99
                )
                whole = body + answer.body
                self.assertEqual(event_ids(whole), list(range(EVENTS)))
                self.assertEqual(len(releases_in(whole)), 1)

        scene_lib.run_scenario(scenario, engines=4)

    # Guards against a stream that is lost with the host that began it.
    def test_caller_resumes_after_the_host_has_forgotten_its_stream(self):
        async def scenario(scene):
            programs = await start_hosts(scene, 3, "v1", "v2")
            first, body = await begin_stream(scene, programs[0])
            key = next(iter(programs[0].streams.records.items()))[0]
            programs[0].streams.records.expire(float("inf"))
            self.assertIsNone(programs[0].streams.records.get(key, 0.0))
            for program in programs[1:]:
                answer = await reconnect(scene, program, first, body)
                self.assertEqual(answer.head.status, 200)
                self.assertEqual(len(releases_in(body + answer.body)), 1)

        scene_lib.run_scenario(scenario, engines=4)

    # Guards against taking up the stream of another tenant by its id.
    def test_stream_of_another_tenant_is_unknown(self):
        async def scenario(scene):
            programs = await start_hosts(scene, 2, "v1", "v2")
            first, body = await begin_stream(scene, programs[0])
            for program in programs:
                answer = await reconnect(
                    scene,
                    program,
                    first,
                    body,
                    authorization="Bearer key-two",
                )
                self.assertEqual(answer.head.status, 503)
                self.assertIn(b"stream_unknown", answer.body)

        scene_lib.run_scenario(scenario, engines=4)

    # Guards against joining streams by ambiguous headers.
    def test_ambiguous_reconnect_is_refused(self):
        async def scenario(scene):
            programs = await start_hosts(scene, 1, "v1", "v2")
            first, body = await begin_stream(scene, programs[0])
            answer = await reconnect(
                scene, programs[0], first, body, resumes="a" * 200
            )
            self.assertEqual(answer.head.status, 400)
            self.assertIn(b"invalid_resumption", answer.body)

        scene_lib.run_scenario(scenario, engines=2)

    # Guards against a final refusal by a host that does not know others yet.
    def test_host_without_a_list_of_hosts_asks_callers_to_return(self):
        async def scenario(scene):
            programs = await start_hosts(scene, 2, "v1", "v2")
            first, body = await begin_stream(scene, programs[0])
            hosts = dict(programs[1].source.hosts)
            for name in hosts:
                programs[1].source.remove(name)
            programs[1].streams.records.expire(float("inf"))
            scene.store.faults.busy_topic = stream_journal.JOURNAL_TOPIC
            answer = await reconnect(scene, programs[1], first, body)
            self.assertEqual(answer.head.status, 503)
            self.assertTrue(answer.head.get(b"retry-after"))
            unknown = prompt(scene, resumes="r-unknown", last_event_id="1")
            scene.store.faults.busy_topic = ""
            answer = await test_quota.ask(scene, programs[1], unknown)
            self.assertEqual(answer.head.status, 503)
            self.assertTrue(answer.head.get(b"retry-after"))
            for entry in hosts.values():
                programs[1].source.put(entry)
            answer = await reconnect(scene, programs[1], first, body)
            self.assertEqual(answer.head.status, 200)

        scene_lib.run_scenario(scenario, engines=4)

    # Guards against a refusal that waits for a host that does not answer.
    def test_unknown_stream_is_refused_beside_a_silent_host(self):
        async def scenario(scene):
            programs = await start_hosts(scene, 3, "v1", "v2")

            async def hang(address):
                await anyio.sleep_forever()

            programs[1].streams.lookup.pool._connect = hang
            began_at = time.monotonic()
            request = prompt(scene, resumes="r-unknown", last_event_id="1")
            answer = await test_quota.ask(scene, programs[1], request)
            self.assertLess(time.monotonic() - began_at, 2 * REFUSAL_S)
            self.assertEqual(answer.head.status, 503)
            self.assertTrue(answer.head.get(b"retry-after"))

        scene_lib.run_scenario(scenario, engines=2)

    # Guards against losing records in a planned stop.
    def test_host_that_stops_hands_its_records_over(self):
        async def scenario(scene):
            programs = await start_hosts(scene, 4, "v1", "v2")
            for number in range(STREAMS):
                await begin_stream(scene, programs[0], number)
            stopping = programs[1]
            kept = dict(stopping.streams.records.items())
            await stopping.streams.hand_off()
            others = [p for p in programs if p is not stopping]
            for key in kept:
                holders = [p for p in others if p.streams.records.get(key, 0.0)]
                self.assertEqual(len(holders), 3)

        scene_lib.run_scenario(scenario, engines=4)

    # Guards against hosts that stop together and forward a record in circles.
    def test_stopping_hosts_forward_a_record_once(self):
        async def scenario(scene):
            programs = await start_hosts(scene, 2, "v1", "v2")
            for program in programs:
                program.site.is_draining = True
            sent = sum(program.work.sent_packets for program in programs)
            programs[0].streams.apply_notice(
                stream_query.StreamNotice(1, b"d" * 16, "engines", "v1", 60)
            )
            await anyio.sleep(0.2)
            sent = sum(p.work.sent_packets for p in programs) - sent
            self.assertLessEqual(sent, 2)
            self.assertEqual(len(programs[1].streams.records), 1)

        scene_lib.run_scenario(scenario, engines=2)

    # Guards against joining another release when the first one has left.
    def test_stream_whose_release_is_gone_is_refused_at_once(self):
        async def scenario(scene):
            programs = await start_hosts(scene, 2, "v1", "v2")
            first, body = await begin_stream(scene, programs[0])
            gone = releases_in(body)
            for engine in scene.engines:
                if engine.release.encode() in gone:
                    scene.list_target(engine, "draining")
                    await scene.until(
                        lambda e=engine: (
                            programs[1].site.targets.entries[e.name].leaving
                        )
                    )
            for program in programs:
                began_at = time.monotonic()
                answer = await reconnect(scene, program, first, body)
                self.assertLess(time.monotonic() - began_at, REFUSAL_S)
                self.assertEqual(answer.head.status, 503)

        scene_lib.run_scenario(scenario, engines=4)

    # Guards against joining a stream of which no host knows the release.
    def test_unknown_stream_is_refused_at_once(self):
        async def scenario(scene):
            programs = await start_hosts(scene, 3, "v1", "v2")
            for headers in (
                {"resumes": "r-unknown", "last_event_id": "1"},
                {"last_event_id": "1"},
            ):
                began_at = time.monotonic()
                request = prompt(scene, **headers)
                answer = await test_quota.ask(scene, programs[1], request)
                self.assertLess(time.monotonic() - began_at, REFUSAL_S)
                self.assertEqual(answer.head.status, 503)
            self.assertEqual(scene.runs(), [])

        scene_lib.run_scenario(scenario, engines=4)


class OperatorsTest(unittest.TestCase):
    # Guards against refusing the rest of a stream that the quota has admitted.
    def test_exhausted_quota_does_not_end_a_stream(self):
        async def scenario(scene):
            scene.configure(tenants=test_quota.tenants())
            programs = await start_hosts(scene, 2, "v1", "v2")
            first, body = await begin_stream(scene, programs[0])
            for program in programs:
                await scene.until(lambda p=program: p.quotas.statuses())
                window = program.quotas.ledger.windows["tenant-one"]
                window.spend(10 * test_quota.LIMIT_TOKENS, clock.now())
            refused = await test_quota.ask(
                scene, programs[1], prompt(scene, 1, SINGLE_ATTEMPT)
            )
            self.assertEqual(refused.head.status, 429)
            answer = await reconnect(scene, programs[1], first, body)
            self.assertEqual(answer.head.status, 200)
            self.assertEqual(releases_in(body), releases_in(answer.body))

        scene_lib.run_scenario(scenario, engines=4)

    def test_operators_see_releases_and_reconnects(self):
        async def scenario(scene):
            programs = await start_hosts(scene, 2, "v1", "v2")
            first, body = await begin_stream(scene, programs[0])
            await reconnect(scene, programs[1], first, body)
            await reconnect(
                scene, programs[1], first, body, resumes="r-unknown"
            )
            scene.list_target(scene.engines[1], "draining")
            entries = programs[1].site.targets.entries
            await scene.until(lambda: entries["e1"].leaving)
            out = io.StringIO()
            address = programs[1].feed_server.address
            with contextlib.redirect_stdout(out):
                await anyio.to_thread.run_sync(ctl.Ctl(address).releases)
            self.assertIn("engines v1: 2 targets\n", out.getvalue())
            self.assertIn("engines v2: 1 targets, 1 leave\n", out.getvalue())
            page = programs[1].metrics.render().decode()
            self.assertIn('reconnects_total{result="answered"} 1.0', page)
            self.assertIn('reconnects_total{result="stream_unknown"} 1.0', page)
            page = programs[0].metrics.render().decode()
            self.assertIn("hillthread_streams_bound_total 1.0", page)

        scene_lib.run_scenario(scenario, engines=4)


class MixedBuildsTest(unittest.TestCase):
    """Hosts of an earlier build keep no records and know no bound streams."""

    async def make_old(self, scene, program):
        """Makes a host answer and relay as the earlier build does."""
        server = program.feed_server
        answer = server.handler

        async def answer_as_before(caller, reply):
            if caller.path in (
                stream_query.STREAMS_PATH,
                forwarding.FORWARD_BOUND_PATH,
            ):
                await reply.send_whole(400, [], b"")
            else:
                await answer(caller, reply)

        server.handler = answer_as_before
        program.work.apply_stream = lambda notice: None

    # Guards against reconnects that depend on a host of an earlier build.
    def test_callers_resume_beside_a_host_of_an_earlier_build(self):
        async def scenario(scene):
            programs = await start_hosts(scene, 4, "v1", "v2")
            await self.make_old(scene, programs[1])
            for number in range(STREAMS):
                first, body = await begin_stream(scene, programs[0], number)
                answer = await reconnect(
                    scene, programs[2 + number % 2], first, body, number
                )
                self.assertEqual(answer.head.status, 200)
                self.assertEqual(len(releases_in(body + answer.body)), 1)

        scene_lib.run_scenario(scenario, engines=4)

    # Guards against a host of an earlier build that continues a forwarded
    # stream at any release.
    def test_bound_streams_are_not_forwarded_to_an_earlier_build(self):
        async def scenario(scene):
            programs = await start_hosts(scene, 3, "v1", "v2")
            await self.make_old(scene, programs[1])
            streams = [
                await begin_stream(scene, programs[0], number)
                for number in range(STREAMS)
            ]
            links = link_cut.HostLinks(scene.tasks, programs[0])
            await links.cut(link_cut.CutShape.RESET)
            programs[0].site.are_links_lost = True
            for number, (first, body) in enumerate(streams):
                answer = await reconnect(
                    scene, programs[0], first, body, number
                )
                self.assertEqual(answer.head.status, 200)
                self.assertEqual(len(releases_in(body + answer.body)), 1)

        scene_lib.run_scenario(scenario, engines=4)


class BoundsTest(unittest.TestCase):
    # Guards against bounds of lookups that hold only as they are.
    def test_reconnects_hold_at_half_and_twice_the_bounds(self):
        for factor in (0.5, 2.0):
            with (
                self.subTest(factor=factor),
                mock.patch.object(stream_lookup, "_TIMEOUT_S", 0.15 * factor),
                mock.patch.object(
                    stream_lookup, "_FALLBACK_AFTER_S", 0.02 * factor
                ),
                mock.patch.object(
                    stream_keeper, "_MAX_RECORDS", int(24 * factor)
                ),
            ):
                scene_lib.run_scenario(self.expect_reconnects, engines=4)

    async def expect_reconnects(self, scene):
        programs = await start_hosts(scene, 4, "v1", "v2")
        for number in range(STREAMS):
            first, body = await begin_stream(scene, programs[0], number)
            answer = await reconnect(
                scene, programs[number % 4], first, body, number
            )
            self.assertEqual(answer.head.status, 200)
            self.assertEqual(len(releases_in(body + answer.body)), 1)
        request = prompt(scene, resumes="r-unknown", last_event_id="1")
        answer = await test_quota.ask(scene, programs[1], request)
        self.assertEqual(answer.head.status, 503)
