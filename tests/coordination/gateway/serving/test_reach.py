"""Tests unreachable targets, cache stores, and a wrong weights version."""

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
from hillthread.transport import connection_pool
from hillthread.transport import http1
from hillthread.transport import http1_client
from hillthread.transport import http1_server
from tests.coordination.gateway import scene as scene_lib


@contextlib.contextmanager
def closed_port():
    """Yields a port on which no process listens or can begin to listen."""
    with socket.socket() as held:
        held.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        held.bind(("127.0.0.1", 0))
        yield held.getsockname()[1]


@contextlib.contextmanager
def timed_out_probes(*addresses):
    """Has the probes of some addresses, or of all, time out."""
    open_connection = connection_pool.ConnectionPool.open

    async def open_or_time_out(pool, address, reason):
        if reason == "trial" and address in (addresses or (address,)):
            await anyio.sleep(pool.connect_timeout_s)
            raise http1_client.CallError(
                False, "a test", connect_timed_out=True
            )
        return await open_connection(pool, address, reason)

    with mock.patch.object(
        connection_pool.ConnectionPool, "open", open_or_time_out
    ):
        yield


class ReachTest(unittest.TestCase):
    def test_target_comes_back_when_it_can_be_reached_again(self):
        async def scenario(scene):
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
                target.server.on_bad_request,
            )
            scene.tasks.start_soon(again.serve)
            await scene.until(lambda: not state.is_unreachable)
            answer = await scene.call(scene.request("/once/x"))
            self.assertEqual(answer.head.status, 200)

        with contextlib.ExitStack() as ports:
            scene_lib.run_scenario(scenario, plain=1)

    def test_attempt_on_a_silent_target_is_retried_elsewhere(self):
        async def scenario(scene):
            for target in scene.plain:
                target.queue_behaviours(standin.NeverAnswer())
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

        scene_lib.run_scenario(scenario)

    def test_isolated_host_gives_up_no_attempt(self):
        async def scenario(scene):
            for target in scene.plain:
                target.default_behaviour = standin.Serve(1.9)
            scene.site.cluster_size = 1
            request = scene.request("/again/x", x_deadline_ms="2900")
            with timed_out_probes():
                answer = await scene.call(request)
            self.assertEqual(answer.head.status, 200)
            self.assertEqual(len(scene.runs()), 1)

        scene_lib.run_scenario(scenario)

    def test_attempt_on_the_only_unreachable_target_is_given_up(self):
        async def scenario(scene):
            request = scene.request("/again/x")
            for target in scene.plain:
                target.queue_behaviours(standin.NeverAnswer())
            scene.site.cluster_size = 1
            answers = []

            async def call():
                answers.append(await scene.call(request))

            scene.tasks.start_soon(call)
            await scene.until(scene.runs)
            silent = next(t for t in scene.plain if t.runs)
            other = next(t for t in scene.plain if t is not silent)
            other.behaviours.clear()
            with timed_out_probes(silent.address):
                await scene.until(lambda: answers)
            self.assertEqual(answers[0].head.status, 200)
            self.assertIn(other.name.encode(), answers[0].body)

        scene_lib.run_scenario(scenario)

    def test_giving_up_does_not_cut_a_write_to_the_caller(self):
        async def slow_send(connection, events):
            """Sends with a pause between framing and writing."""
            data = b"".join(
                connection.state_machine.send(e) or b"" for e in events
            )
            if connection.state_machine.our_role is h11.SERVER:
                await anyio.sleep(0.1)
            await connection.stream.send(data)

        async def scenario(scene):
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
            scene_lib.run_scenario(scenario)

    def test_attempt_without_retry_budget_is_not_given_up(self):
        """A silent attempt that cannot be retried may still be answered."""

        async def scenario(scene):
            released = anyio.Event()
            for engine in scene.engines:
                engine.default_behaviour = standin.HoldAnswer(released)
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

        scene_lib.run_scenario(scenario, retry_extra=0, retry_ratio=0)

    # Guards against probes of a target that ended, which its replacement
    # answers or which go on until the entry lapses.
    def test_replaced_target_is_not_probed(self):
        async def scenario(scene):
            monitor = scene.program.gateway.dispatcher.monitor
            old = scene.site.targets.entries["p0"].target
            scene.store.put("keyed.servers", "next", scene.plain[0].entry())
            await scene.until(lambda: scene.site.targets.is_replaced("p0"))
            probed = []
            monitor._start_probe = lambda target, now: probed.append(
                target.name
            )
            monitor.mark_unreachable(old, "the test")
            monitor._probe_unreachable(anyio.current_time())
            monitor._sweep(anyio.current_time())
            self.assertEqual(sorted(probed), ["next", "p1"])

        scene_lib.run_scenario(scenario, engines=0)

    def test_new_connection_is_not_probed(self):
        async def scenario(scene):
            for target in scene.plain:
                target.default_behaviour = standin.Serve(0.8)
            pool = scene.program.pool
            answer = await scene.call(scene.request("/again/x"))
            self.assertEqual(answer.head.status, 200)
            self.assertEqual(pool.opened["trial"], 0)
            # A reused connection is probed: it may have died meanwhile.
            await scene.call(scene.request("/again/x"))
            self.assertEqual(pool.opened["trial"], 1)

        scene_lib.run_scenario(scenario, plain=1)

    def test_unrepeatable_request_is_not_given_up(self):
        async def scenario(scene):
            for target in scene.plain:
                target.default_behaviour = standin.Serve(1.2)
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

        scene_lib.run_scenario(scenario)


def list_fetch_sources(scene):
    """Returns the store that each request told its engine to fetch from."""
    return [
        run.request.get(b"x-kv-fetch").decode()
        for engine in scene.engines
        for run in engine.runs
    ]


class CacheTest(unittest.TestCase):
    def test_prefixes_are_spread_over_all_stores(self):
        async def scenario(scene):
            stores = await scene_lib.start_cache_stores(scene, 3)
            for number in range(24):
                parts = f"aa:300,{number:x}b:500,cc:100"
                await scene.call(
                    scene.prompt("/stream/x", x_prompt_prefix=parts)
                )
            counts = collections.Counter(list_fetch_sources(scene))
            self.assertEqual(set(counts), {s.address for s in stores})
            await scene.call(scene.prompt("/stream/x"))
            await scene.call(scene.prompt("/stream/x"))
            self.assertEqual(*list_fetch_sources(scene)[-2:])

        scene_lib.run_scenario(scenario, engines=1)

    def test_unreachable_store_is_not_used(self):
        """Engines would wait for it with each request."""

        async def scenario(scene):
            stores = await scene_lib.start_cache_stores(scene, 2)
            gone, other = stores
            scene.stop_listening(gone)
            cache_watch = (
                scene.program.gateway.dispatcher.chooser.cache_planner.watch
            )
            await scene.until(
                lambda: not cache_watch.contents[gone.address].is_answering
            )
            for number in range(12):
                parts = f"aa:300,{number:x}b:500,cc:100"
                await scene.call(
                    scene.prompt("/stream/x", x_prompt_prefix=parts)
                )
            self.assertEqual(set(list_fetch_sources(scene)), {other.address})
            scene.stop_listening(other)
            await scene.until(
                lambda: not cache_watch.contents[other.address].is_answering
            )
            await scene.call(scene.prompt("/stream/x"))
            self.assertEqual(list_fetch_sources(scene)[-1], "")

        scene_lib.run_scenario(scenario, engines=1)

    def test_prefix_is_saved_only_if_the_store_lacks_it(self):
        async def scenario(scene):
            (store,) = await scene_lib.start_cache_stores(scene, 1)
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
            cache_watch = (
                scene.program.gateway.dispatcher.chooser.cache_planner.watch
            )
            await scene.until(
                lambda: len(cache_watch.contents.get(store.address, ())) == 2
            )
            await scene.call(scene.prompt("/stream/x"))
            run = [r for e in scene.engines for r in e.runs][-1]
            self.assertEqual(run.request.get(b"x-kv-save"), b"")
            self.assertEqual(run.request.get(b"x-kv-fetch"), address)
            store.cache_epoch = 2
            store.cache_events = []
            await scene.until(lambda: not cache_watch.contents[store.address])
            await scene.call(scene.prompt("/stream/x"))
            run = [r for e in scene.engines for r in e.runs][-1]
            self.assertEqual(run.request.get(b"x-kv-save"), address)

        scene_lib.run_scenario(scenario, engines=1)


class WeightsMismatchTest(unittest.TestCase):
    def test_wrong_weights_version_is_corrected_by_a_retry(self):
        async def scenario(scene):
            engine = scene.engines[0]
            engine.weights = 2
            scene.site.weights.record_announcement("m", 2, anyio.current_time())
            answer = await scene.call(scene.prompt("/stream/x"))
            self.assertEqual(answer.head.status, 200)
            self.assertEqual(scene.site.weights.held_version("e0", "m"), 2)

        scene_lib.run_scenario(scenario, engines=1)
