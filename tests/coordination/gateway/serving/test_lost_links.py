"""Tests of hosts that reach no target while other hosts do."""

import time
import unittest

import anyio

from hillthread.standin import platform_target as standin
from hillthread.transport import http1_client
from tests.coordination.gateway import link_cut
from tests.coordination.gateway import scene as scene_lib
from tests.coordination.gateway.serving import test_quota
from tests.coordination.gateway.serving import test_target_limits

# Half of the time after which callers of a host without links must be served.
RECOGNITION_S = 1.5
# A long cut, after which probes of single targets are rare.
CUT_S = 4.0
# A host uses its targets again within this time.
RETURN_S = 0.5
ROUTES = ("/stream/x", "/resume/x", "/once/x", "/again/x")


async def ask(scene, program, path, body=b"hello"):
    """Returns the answer of one host; None if the connection broke off."""
    is_prompt = path in ("/stream/x", "/resume/x")
    request = (scene.prompt if is_prompt else scene.request)(path, body=body)
    try:
        return await test_quota.ask(scene, program, request)
    except http1_client.CallError:
        return None


async def count_served(scene, program, rounds=5):
    """Returns how many first attempts are served, and how many are not."""
    statuses = []
    for _ in range(rounds):
        for path in ROUTES:
            answer = await ask(scene, program, path)
            statuses.append(answer.head.status if answer else 0)
    served = statuses.count(200)
    return served, len(statuses) - served


async def start_hosts(scene, count, **settings):
    """Returns hosts that list each other, each with links of its own."""
    programs = await test_target_limits.hosts_that_list_each_other(
        scene, count, **settings
    )
    links = [link_cut.HostLinks(scene.tasks, each) for each in programs]
    for program in programs:
        for path in ROUTES:
            await ask(scene, program, path)
    return programs, links


class LostLinksTest(unittest.TestCase):
    # Guards against refusing everything at a host without links to targets.
    def test_callers_of_a_host_without_links_are_served(self):
        for shape in link_cut.CutShape:
            with self.subTest(shape=shape):

                async def scenario(scene, shape=shape):
                    programs, links = await start_hosts(scene, 3)
                    await links[0].cut(shape)
                    with anyio.move_on_after(RECOGNITION_S):
                        while True:
                            await count_served(scene, programs[0], 1)
                    served, failed = await count_served(scene, programs[0])
                    self.assertEqual(failed, 0)
                    self.assertEqual(
                        await count_served(scene, programs[1]), (served, 0)
                    )

                scene_lib.run_scenario(scenario)

    # Guards against a data centre whose hosts have all lost their links.
    def test_hosts_of_another_data_centre_serve_when_all_of_one_are_cut(self):
        async def scenario(scene):
            programs, links = await start_hosts(scene, 2)
            other = await test_quota.test_feed.second_host(
                scene, host="far", data_centre="there"
            )
            for program in programs:
                await scene.until(lambda p=program: len(p.source.hosts) == 3)
            for each in links:
                await each.cut(link_cut.CutShape.RESET)
            await anyio.sleep(RECOGNITION_S)
            for program in programs:
                _, failed = await count_served(scene, program)
                self.assertEqual(failed, 0)
            del other

        scene_lib.run_scenario(scenario)

    # Guards against requests that a host with an older configuration serves by
    # a service from which the operator has moved the route.
    def test_host_with_an_older_configuration_serves_no_forwarded_request(
        self,
    ):
        async def scenario(scene):
            programs, links = await start_hosts(scene, 3)
            # The third host has lost the store.
            held = programs[2].site
            held.apply_configuration = lambda payload: None
            routes = [
                {**each, "service": "moved"} if each["name"] == "open" else each
                for each in scene.configuration["routes"]
            ]
            services = [*scene.configuration["services"], {"name": "moved"}]
            moved = standin.PlatformTargetStandin("moved-1", "moved")
            scene.tasks.start_soon(scene.listen, moved)
            scene.list_target(moved)
            scene.configure(routes=routes, services=services)
            for program in programs[:2]:
                await scene.until(
                    lambda p=program: (
                        p.site.configuration_version == scene.version
                    )
                )
            for each in links[:2]:
                await each.cut(link_cut.CutShape.RESET)
            await anyio.sleep(RECOGNITION_S)
            runs_before = sum(len(target.runs) for target in scene.plain)
            answers = [
                await ask(scene, programs[0], "/open/x") for _ in range(5)
            ]
            self.assertEqual([a.head.status for a in answers], [503] * 5)
            runs_now = sum(len(target.runs) for target in scene.plain)
            self.assertEqual(runs_now, runs_before)

        scene_lib.run_scenario(scenario)

    # Guards against open requests that wait on silent connections until their
    # deadline although they may run again.
    def test_open_requests_on_silent_links_go_on_at_another_host(self):
        async def scenario(scene):
            programs, links = await start_hosts(scene, 2)
            for target in scene.targets:
                target.default_behaviour = standin.Serve(0.3)
            answers = {}

            async def call(path):
                answers[path] = await ask(scene, programs[0], path)

            for path in ("/resume/x", "/again/x"):
                scene.tasks.start_soon(call, path)
            monitor = programs[0].gateway.dispatcher.monitor
            await scene.until(lambda: len(monitor.attempts) == 2)
            await links[0].cut(link_cut.CutShape.SILENT)
            for target in scene.targets:
                target.default_behaviour = standin.Serve()
            await scene.until(lambda: len(answers) == 2)
            for path, answer in answers.items():
                self.assertEqual(answer and answer.head.status, 200, path)

        scene_lib.run_scenario(scenario)


class EvidenceTest(unittest.TestCase):
    # Guards against taking targets behind a cut for crashed, which makes the
    # requests that were open there suspects at all hosts.
    def test_targets_behind_a_cut_do_not_count_as_crashed(self):
        async def scenario(scene):
            programs, links = await start_hosts(scene, 2)
            for target in scene.targets:
                target.default_behaviour = standin.Serve(0.3)
            # Bodies that have not succeeded before, so that they are suspects.
            for number, path in enumerate(ROUTES * 2):
                body = b"body %d" % number
                scene.tasks.start_soon(ask, scene, programs[0], path, body)
            await scene.until(
                lambda: (
                    len(programs[0].gateway.dispatcher.monitor.attempts)
                    == 2 * len(ROUTES)
                )
            )
            await links[0].cut(link_cut.CutShape.RESET)
            await anyio.sleep(RECOGNITION_S)
            self.assertTrue(programs[0].site.are_links_lost)
            for program in programs:
                self.assertEqual(program.site.quarantine.suspect_count, 0)

        scene_lib.run_scenario(scenario)

    def test_target_that_crashes_alone_counts_as_crashed(self):
        async def scenario(scene):
            programs = await test_target_limits.hosts_that_list_each_other(
                scene, 2
            )
            for engine in scene.engines:
                engine.default_behaviour = standin.Serve(0.3)
            scene.tasks.start_soon(ask, scene, programs[0], "/stream/x", b"new")
            monitor = programs[0].gateway.dispatcher.monitor
            await scene.until(lambda: monitor.attempts)
            (attempt,) = monitor.attempts
            await scene.until(lambda: attempt.meaning is not None)
            target = next(
                e for e in scene.engines if e.name == attempt.target.name
            )
            scene.stop_listening(target)
            for connection in target.server.connections:
                await connection.http.reset()
            for program in programs:
                await scene.until(
                    lambda p=program: p.site.quarantine.suspect_count
                )

        scene_lib.run_scenario(scenario)


class ReturnTest(unittest.TestCase):
    # Guards against targets that stay ejected, or are probed late, after the
    # links of a host are back.
    def test_host_serves_by_itself_soon_after_its_links_are_back(self):
        for shape in link_cut.CutShape:
            with self.subTest(shape=shape):

                async def scenario(scene, shape=shape):
                    programs, links = await start_hosts(scene, 2)
                    for target in scene.targets:
                        target.default_behaviour = standin.Serve(0.02)
                    async with anyio.create_task_group() as callers:
                        for path in ROUTES * 3:
                            callers.start_soon(ask, scene, programs[0], path)
                        await anyio.sleep(0.01)
                        await links[0].cut(shape)
                    with anyio.move_on_after(CUT_S):
                        while True:
                            await count_served(scene, programs[0], 1)
                    links[0].heal()
                    await anyio.sleep(RETURN_S)
                    states = programs[0].site.states
                    unavailable = [
                        name
                        for name, state in states.items()
                        if not state.is_available(time.monotonic())
                    ]
                    self.assertEqual(unavailable, [])
                    self.assertFalse(programs[0].site.are_links_lost)

                scene_lib.run_scenario(scenario)
