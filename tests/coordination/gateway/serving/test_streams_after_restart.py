"""Tests that streams go on after all hosts have failed at once."""

import contextlib
import time
import unittest
from unittest import mock

import anyio

from hillthread.coordination.gateway import host as host_lib
from hillthread.coordination.gateway import settings as settings_lib
from hillthread.coordination.gateway.store import stream_journal
from hillthread.transport import log_writer
from tests.coordination.gateway import scene as scene_lib
from tests.coordination.gateway.serving import test_quota
from tests.coordination.gateway.serving import test_stream_releases as streams

# From the first event until a stream must survive a failure of all hosts.
DURABLE_AFTER_S = 0.6
HOSTS = 4


def lists_all(program, programs):
    """Returns whether a host knows the present addresses of others."""
    known = {entry.feed for entry in program.source.hosts.values()}
    return known >= {each.feed_server.address for each in programs}


async def start_fleet(scene, tasks, count=HOSTS):
    """Starts hosts in two data centres that end with a task group."""
    programs = []
    for number in range(count):
        program = host_lib.GatewayHost(
            settings_lib.GatewaySettings(
                host=f"f{number}",
                data_centre=f"dc{number % 2}",
                listen="127.0.0.1:0",
                ready_listen="127.0.0.1:0",
                store=scene.store.address,
            ),
            tasks,
            log_writer.BufferedLogHandler(scene.log.fileno()),
        )
        await program.run()
        programs.append(program)
    for program in programs:
        await scene.until(
            lambda p=program: not p.site.not_ready_reason(anyio.current_time())
        )
        # The host of the scene is listed as well, and so are former ones.
        await scene.until(lambda p=program: len(p.source.hosts) > count)
        await scene.until(lambda p=program: lists_all(p, programs))
    await streams.wait_until_listed(scene, programs)
    return programs


@contextlib.asynccontextmanager
async def fleet(scene, count=HOSTS):
    """Yields hosts; all of them end at once, without notice."""
    async with anyio.create_task_group() as tasks:
        try:
            yield await start_fleet(scene, tasks, count)
        finally:
            tasks.cancel_scope.cancel()
    # The host of the scene must not remember for the others.
    scene.program.streams.records.expire(float("inf"))


def configure(scene):
    """Adds the route whose streams are not resumed within an answer."""
    single = scene_lib.route(
        "single",
        "/single/",
        "streaming",
        "engines",
        resumable=True,
        maxAttempts=1,
    )
    scene.configure(routes=[*scene.configuration["routes"], single])
    streams.set_releases(scene, "v1", "v2")


async def begin_streams(scene, programs):
    return [
        await streams.begin_stream(
            scene, programs[number % len(programs)], number
        )
        for number in range(streams.STREAMS)
    ]


async def reconnect_all(scene, programs, begun):
    """Returns the answers to callers who reconnect at other hosts."""
    return [
        await streams.reconnect(
            scene,
            programs[(number + 1) % len(programs)],
            *begun[number],
            number + 99,
        )
        for number in range(len(begun))
    ]


class AllHostsFailTest(unittest.TestCase):
    def assert_unmixed(self, begun, answers):
        for (_, body), answer in zip(begun, answers, strict=True):
            if answer.head.status != 200:
                self.assertIn(b"stream_unknown", answer.body)
                continue
            whole = body + answer.body
            self.assertEqual(len(streams.releases_in(whole)), 1)
            self.assertEqual(
                streams.event_ids(whole), list(range(streams.EVENTS))
            )

    # Guards against losing all streams when all hosts fail at once.
    def test_streams_go_on_after_all_hosts_have_failed(self):
        async def scenario(scene):
            configure(scene)
            async with fleet(scene) as programs:
                begun = await begin_streams(scene, programs)
                await anyio.sleep(DURABLE_AFTER_S)
            async with fleet(scene) as programs:
                answers = await reconnect_all(scene, programs, begun)
            self.assertEqual({a.head.status for a in answers}, {200})
            self.assert_unmixed(begun, answers)

        scene_lib.run_scenario(scenario, engines=4)

    # Guards against losing streams when most hosts do not come back.
    def test_streams_go_on_at_the_few_hosts_that_come_back(self):
        async def scenario(scene):
            configure(scene)
            async with fleet(scene) as programs:
                begun = await begin_streams(scene, programs)
                await anyio.sleep(DURABLE_AFTER_S)
            for count in (2, 1):
                async with fleet(scene, count) as programs:
                    answers = await reconnect_all(scene, programs, begun)
                self.assertEqual({a.head.status for a in answers}, {200})
                self.assert_unmixed(begun, answers)

        scene_lib.run_scenario(scenario, engines=4)

    # Guards against losing streams when hosts fail again before others have
    # read the journal.
    def test_streams_go_on_after_all_hosts_have_failed_twice(self):
        async def scenario(scene):
            configure(scene)
            async with fleet(scene) as programs:
                begun = await begin_streams(scene, programs)
                await anyio.sleep(DURABLE_AFTER_S)
            async with fleet(scene):
                pass
            async with fleet(scene) as programs:
                answers = await reconnect_all(scene, programs, begun)
            self.assertEqual({a.head.status for a in answers}, {200})
            self.assert_unmixed(begun, answers)

        scene_lib.run_scenario(scenario, engines=4)

    # Guards against joining another release when the first has left while no
    # host was running.
    def test_stream_whose_release_left_meanwhile_is_refused(self):
        async def scenario(scene):
            configure(scene)
            async with fleet(scene) as programs:
                begun = await begin_streams(scene, programs)
                await anyio.sleep(DURABLE_AFTER_S)
            for engine in scene.engines:
                if engine.release == "v1":
                    scene.store.remove("keyed.servers", engine.name)
            scene.engines = [e for e in scene.engines if e.release == "v2"]
            async with fleet(scene) as programs:
                answers = await reconnect_all(scene, programs, begun)
            for (_, body), answer in zip(begun, answers, strict=True):
                if streams.releases_in(body) == {b"v1"}:
                    self.assertEqual(answer.head.status, 503)
                    self.assertIn(b"stream_release_gone", answer.body)
                else:
                    self.assertEqual(answer.head.status, 200)

        scene_lib.run_scenario(scenario, engines=4)

    # Guards against joining streams whose records the store has lost.
    def test_streams_that_a_restored_store_lacks_are_refused(self):
        async def scenario(scene):
            scene.store.era = 1
            configure(scene)
            async with fleet(scene) as programs:
                backup = scene.store.backup()
                begun = await begin_streams(scene, programs)
                await anyio.sleep(DURABLE_AFTER_S)
            scene.store.restore(backup)
            async with fleet(scene) as programs:
                answers = await reconnect_all(scene, programs, begun)
                self.assertEqual({a.head.status for a in answers}, {503})
                # Streams that begin in the new era are found again.
                later = await begin_streams(scene, programs)
                await anyio.sleep(DURABLE_AFTER_S)
            async with fleet(scene) as programs:
                answers = await reconnect_all(scene, programs, later)
            self.assertEqual({a.head.status for a in answers}, {200})
            self.assert_unmixed(later, answers)

        scene_lib.run_scenario(scenario, engines=4)

    # Guards against a journal that answers wait for, or that fails for good
    # with the store.
    def test_answers_do_not_wait_for_a_store_that_is_away(self):
        async def scenario(scene):
            configure(scene)
            async with fleet(scene) as programs:
                scene.store.faults.silent = True
                began_at = time.monotonic()
                begun = [await streams.begin_stream(scene, programs[0])]
                self.assertLess(time.monotonic() - began_at, DURABLE_AFTER_S)
                await anyio.sleep(DURABLE_AFTER_S)
                scene.store.faults.silent = False
                await scene.until(
                    lambda: scene.store.topics.get(stream_journal.JOURNAL_TOPIC)
                )
            async with fleet(scene) as programs:
                answers = await reconnect_all(scene, programs, begun)
            self.assertEqual({a.head.status for a in answers}, {200})
            self.assert_unmixed(begun, answers)

        scene_lib.run_scenario(scenario, engines=4)

    # Guards against a final refusal while the journal cannot be read.
    def test_unreadable_journal_asks_callers_to_return(self):
        async def scenario(scene):
            configure(scene)
            async with fleet(scene) as programs:
                begun = await begin_streams(scene, programs)
                await anyio.sleep(DURABLE_AFTER_S)
            async with fleet(scene) as programs:
                scene.store.faults.busy_topic = stream_journal.JOURNAL_TOPIC
                began_at = time.monotonic()
                answers = await reconnect_all(scene, programs, begun[:1])
                self.assertLess(
                    time.monotonic() - began_at, 2 * streams.REFUSAL_S
                )
                self.assertEqual(answers[0].head.status, 503)
                self.assertTrue(answers[0].head.get(b"retry-after"))
                scene.store.faults.busy_topic = ""
                answers = await reconnect_all(scene, programs, begun)
            self.assertEqual({a.head.status for a in answers}, {200})

        scene_lib.run_scenario(scenario, engines=4)


class JournalCostTest(unittest.TestCase):
    # Guards against a call to the store for each stream.
    def test_hosts_share_calls_to_the_store(self):
        async def scenario(scene):
            configure(scene)
            async with fleet(scene) as programs:
                before = scene.store.topic_calls[stream_journal.JOURNAL_TOPIC]
                began_at = time.monotonic()
                await begin_streams(scene, programs)
                await anyio.sleep(DURABLE_AFTER_S)
                seconds = time.monotonic() - began_at
            calls = scene.store.topic_calls[stream_journal.JOURNAL_TOPIC]
            self.assertLessEqual(calls - before, 1 + seconds / 0.3)

        scene_lib.run_scenario(scenario, engines=4)

    # Guards against a call to the store for each id that was never used.
    def test_unknown_streams_share_reads_of_the_journal(self):
        async def scenario(scene):
            configure(scene)
            async with fleet(scene) as programs:
                before = scene.store.topic_calls[stream_journal.JOURNAL_TOPIC]
                began_at = time.monotonic()
                for number in range(40):
                    request = streams.prompt(
                        scene, resumes=f"r-unknown-{number}", last_event_id="1"
                    )
                    answer = await test_quota.ask(scene, programs[0], request)
                    self.assertEqual(answer.head.status, 503)
                seconds = time.monotonic() - began_at
            calls = scene.store.topic_calls[stream_journal.JOURNAL_TOPIC]
            self.assertLessEqual(calls - before, 1 + seconds / 0.1)

        scene_lib.run_scenario(scenario, engines=2)

    # Guards against records that wait at a writer which is cut off from the
    # store until it fails.
    def test_records_are_written_while_the_writer_has_lost_the_store(self):
        async def scenario(scene):
            configure(scene)
            async with fleet(scene) as programs:
                writer = programs[0].streams.journal_writer
                chosen = writer._choose_writer() or programs[0].source
                for program in [scene.program, *programs]:
                    if program.source.name == chosen.name:
                        program.site.is_store_lost = True
                begun = await begin_streams(scene, programs)
                await anyio.sleep(DURABLE_AFTER_S)
            async with fleet(scene) as programs:
                answers = await reconnect_all(scene, programs, begun)
            self.assertEqual({a.head.status for a in answers}, {200})

        scene_lib.run_scenario(scenario, engines=4)

    # Guards against records that are lost with the host that was to write them.
    def test_records_are_written_without_the_chosen_writer(self):
        async def scenario(scene):
            configure(scene)
            async with fleet(scene) as programs:
                for program in programs:
                    writer = program.streams.journal_writer
                    call = mock.AsyncMock(return_value=False)
                    writer._call_writer = call
                begun = await begin_streams(scene, programs)
                await anyio.sleep(DURABLE_AFTER_S)
            async with fleet(scene) as programs:
                answers = await reconnect_all(scene, programs, begun)
            self.assertEqual({a.head.status for a in answers}, {200})

        scene_lib.run_scenario(scenario, engines=4)
