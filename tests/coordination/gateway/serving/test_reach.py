"""Tests of targets that cannot be reached, and of caches that are watched."""

import collections
import contextlib
import socket
import unittest
from unittest import mock

import anyio
import h11

from hillthread.coordination.gateway.serving import attempt as attempt_lib
from hillthread.standin import platform_target as standin
from hillthread.state.config import caller_bounds
from hillthread.transport import http1
from hillthread.transport import http1_client
from hillthread.transport import http1_server
from tests.coordination.gateway import scene as scene_lib


@contextlib.contextmanager
def closed_port():
    """Yields a port on which nobody listens, nor can any other process."""
    with socket.socket() as held:
        held.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        held.bind(("127.0.0.1", 0))
        yield held.getsockname()[1]


@contextlib.contextmanager
def unheard_trials(*addresses):
    """Has trials time out: those of some addresses, or all."""
    open_connection = http1_client.ConnectionPool.open

    async def opened(pool, address, reason):
        if reason == "trial" and address in (addresses or (address,)):
            await anyio.sleep(pool.connect_timeout_s)
            raise http1_client.CallError(False, "a test", unheard=True)
        return await open_connection(pool, address, reason)

    with mock.patch.object(http1_client.ConnectionPool, "open", opened):
        yield


class ReachTest(unittest.TestCase):
    def test_target_comes_back_when_it_can_be_reached_again(self):
        async def story(scene):
            target = scene.plain[0]
            address = ("127.0.0.1", ports.enter_context(closed_port()))
            entry = {**target.entry(), "address": f"127.0.0.1:{address[1]}"}
            scene.store.put("keyed.servers", "moved", entry)
            scene.store.remove("keyed.servers", "p0")
            await scene.until(lambda: "p0" not in scene.site.targets.entries)
            answer = await scene.call(scene.request("/once/x"))
            self.assertEqual(answer.head.status, 503)
            state = scene.site.state("moved")
            self.assertTrue(state.is_unreachable)
            target.name = "moved"
            again = http1_server.Server(
                address,
                target.server.handler,
                caller_bounds.CallerBounds,
                target.server.refused,
            )
            scene.tasks.start_soon(again.serve)
            await scene.until(lambda: not state.is_unreachable)
            answer = await scene.call(scene.request("/once/x"))
            self.assertEqual(answer.head.status, 200)

        with contextlib.ExitStack() as ports:
            scene_lib.play(story, plain=1)

    def test_attempt_on_a_target_that_fell_silent_goes_elsewhere(self):
        async def story(scene):
            for target in scene.plain:
                target.behave(standin.Hang())
            request = scene.request("/again/x")
            answers = []

            async def call():
                answers.append(await scene.call(request))

            scene.tasks.start_soon(call)
            await scene.until(scene.runs)
            silent = next(t for t in scene.plain if t.runs)
            other = next(t for t in scene.plain if t is not silent)
            other.behaviours.clear()
            scene.stop_listening(silent)
            await scene.until(lambda: answers)
            self.assertEqual(answers[0].head.status, 200)
            self.assertIn(other.name.encode(), answers[0].body)

        scene_lib.play(story)

    def test_host_that_reaches_nobody_gives_no_attempt_up(self):
        async def story(scene):
            for target in scene.plain:
                target.always = standin.Serve(1.9)
            scene.site.budget("plain").extra = 50.0
            request = scene.request("/again/x", x_deadline_ms="2900")
            with unheard_trials():
                answer = await scene.call(request)
            self.assertEqual(answer.head.status, 200)
            self.assertEqual(len(scene.runs()), 1)

        scene_lib.play(story)

    def test_target_that_alone_is_not_reached_is_given_up(self):
        async def story(scene):
            request = scene.request("/again/x")
            for target in scene.plain:
                target.behave(standin.Hang())
            scene.site.budget("plain").extra = 50.0
            answers = []

            async def call():
                answers.append(await scene.call(request))

            scene.tasks.start_soon(call)
            await scene.until(scene.runs)
            silent = next(t for t in scene.plain if t.runs)
            other = next(t for t in scene.plain if t is not silent)
            other.behaviours.clear()
            with unheard_trials(silent.address):
                await scene.until(lambda: answers)
            self.assertEqual(answers[0].head.status, 200)
            self.assertIn(other.name.encode(), answers[0].body)

        scene_lib.play(story)

    def test_giving_up_never_cuts_what_is_being_written_to_the_caller(self):
        async def slow_send(connection, events):
            """Sends with a pause between framing and writing."""
            data = b"".join(connection.machine.send(e) or b"" for e in events)
            if connection.machine.our_role is h11.SERVER:
                await anyio.sleep(0.1)
            await connection.stream.send(data)

        async def story(scene):
            answers = []

            async def call():
                answers.append(await scene.call(scene.prompt("/resume/x")))

            scene.tasks.start_soon(call)
            monitor = scene.program.gateway.dispatcher.monitor
            await scene.until(lambda: monitor.attempts)
            answer = next(iter(monitor.attempts)).relay.answer
            await scene.until(lambda: answer.started)
            for attempt in list(monitor.attempts):
                attempt.give_up("given up by the test")
            await scene.until(lambda: answers)
            event = scene.engines[0].event
            whole = b"".join(event(n) for n in range(4))
            self.assertEqual(answers[0].body, whole)

        with mock.patch.object(http1.Http1Connection, "send", slow_send):
            scene_lib.play(story)

    def test_nothing_is_given_up_that_the_budget_could_not_repeat(self):
        """Silence is no reason to end an answer that cannot go on."""

        async def story(scene):
            released = anyio.Event()
            for engine in scene.engines:
                engine.always = standin.Held(released)
            answers = []

            async def call():
                answers.append(await scene.call(scene.prompt("/resume/x")))

            with mock.patch.object(
                attempt_lib.Attempt,
                "give_up",
                autospec=True,
                side_effect=attempt_lib.Attempt.give_up,
            ) as give_up:
                scene.tasks.start_soon(call)
                await scene.until(scene.runs)
                silent = next(e for e in scene.engines if e.runs)
                scene.stop_listening(silent)
                state = scene.site.state(silent.name)
                scene.program.gateway.dispatcher.monitor.mark_unreachable(
                    scene.site.targets.entries[silent.name].target, "the test"
                )
                await scene.until(lambda: give_up.called)
            self.assertTrue(state.is_unreachable)
            released.set()
            await scene.until(lambda: answers)
            event = scene.engines[0].event
            whole = b"".join(event(n) for n in range(4))
            self.assertEqual(answers[0].body, whole)
            self.assertEqual(len(scene.runs()), 1)

        scene_lib.play(story, retry_extra=0, retry_ratio=0)

    def test_connection_that_has_just_come_up_is_not_tried_again(self):
        async def story(scene):
            for target in scene.plain:
                target.always = standin.Serve(0.8)
            pool = scene.program.pool
            answer = await scene.call(scene.request("/again/x"))
            self.assertEqual(answer.head.status, 200)
            self.assertEqual(pool.opened["trial"], 0)
            # The same over the kept connection: it may have died meanwhile.
            await scene.call(scene.request("/again/x"))
            self.assertEqual(pool.opened["trial"], 1)

        scene_lib.play(story, plain=1)

    def test_request_that_may_not_be_repeated_is_left_alone(self):
        async def story(scene):
            for target in scene.plain:
                target.always = standin.Serve(1.2)
            answers = []

            async def call():
                answers.append(await scene.call(scene.request("/once/x")))

            scene.tasks.start_soon(call)
            await scene.until(scene.runs)
            silent = next(t for t in scene.plain if t.runs)
            scene.stop_listening(silent)
            await scene.until(lambda: answers)
            self.assertEqual(answers[0].head.status, 200)
            self.assertEqual(len(scene.runs()), 1)

        scene_lib.play(story)


def sources(scene):
    """Returns where engines were told to fetch from, request by request."""
    return [
        run.request.get(b"x-kv-fetch").decode()
        for engine in scene.engines
        for run in engine.runs
    ]


class CacheTest(unittest.TestCase):
    def test_prefixes_are_spread_over_all_stores(self):
        async def story(scene):
            stores = await scene_lib.keep_caches(scene, 3)
            for number in range(24):
                parts = f"aa:300,{number:x}b:500,cc:100"
                await scene.call(
                    scene.prompt("/stream/x", x_prompt_prefix=parts)
                )
            counts = collections.Counter(sources(scene))
            self.assertEqual(set(counts), {s.address for s in stores})
            await scene.call(scene.prompt("/stream/x"))
            await scene.call(scene.prompt("/stream/x"))
            self.assertEqual(*sources(scene)[-2:])

        scene_lib.play(story, engines=1)

    def test_store_that_cannot_be_reached_is_passed_over(self):
        """Engines would wait for it, each request anew."""

        async def story(scene):
            stores = await scene_lib.keep_caches(scene, 2)
            gone, other = stores
            scene.stop_listening(gone)
            caches = (
                scene.program.gateway.dispatcher.chooser.cache_planner.watch
            )
            await scene.until(
                lambda: not caches.contents[gone.address].is_answering
            )
            for number in range(12):
                parts = f"aa:300,{number:x}b:500,cc:100"
                await scene.call(
                    scene.prompt("/stream/x", x_prompt_prefix=parts)
                )
            self.assertEqual(set(sources(scene)), {other.address})
            scene.stop_listening(other)
            await scene.until(
                lambda: not caches.contents[other.address].is_answering
            )
            await scene.call(scene.prompt("/stream/x"))
            self.assertEqual(sources(scene)[-1], "")

        scene_lib.play(story, engines=1)

    def test_only_what_the_store_lacks_is_saved(self):
        async def story(scene):
            (store,) = await scene_lib.keep_caches(scene, 1)
            address = store.address.encode()
            await scene.call(scene.prompt("/stream/x"))
            run = next(r for e in scene.engines for r in e.runs)
            self.assertEqual(run.request.get(b"x-kv-save"), address)
            self.assertEqual(run.request.get(b"x-kv-fetch"), address)
            salt = run.request.get(b"x-cache-salt").decode()
            store.cache_events = [
                (0, "+", salt, "aa", 288, "m"),
                (1, "+", salt, "bb", 496, "m"),
            ]
            caches = (
                scene.program.gateway.dispatcher.chooser.cache_planner.watch
            )
            await scene.until(
                lambda: len(caches.contents.get(store.address, ())) == 2
            )
            await scene.call(scene.prompt("/stream/x"))
            run = [r for e in scene.engines for r in e.runs][-1]
            self.assertEqual(run.request.get(b"x-kv-save"), b"")
            self.assertEqual(run.request.get(b"x-kv-fetch"), address)
            store.cache_epoch = 2
            store.cache_events = []
            await scene.until(lambda: not caches.contents[store.address])
            await scene.call(scene.prompt("/stream/x"))
            run = [r for e in scene.engines for r in e.runs][-1]
            self.assertEqual(run.request.get(b"x-kv-save"), address)

        scene_lib.play(story, engines=1)


class WeightsMismatchTest(unittest.TestCase):
    def test_wrong_belief_of_weights_costs_one_send(self):
        async def story(scene):
            engine = scene.engines[0]
            engine.weights = 2
            scene.site.weights.record_announcement("m", 2, anyio.current_time())
            answer = await scene.call(scene.prompt("/stream/x"))
            self.assertEqual(answer.head.status, 200)
            self.assertEqual(scene.site.weights.held_version("e0", "m"), 2)

        scene_lib.play(story, engines=1)
