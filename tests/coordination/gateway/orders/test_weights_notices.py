"""Tests that hosts send no requests to engines that load weights.

An engine that executes an order refuses all requests that have not begun. A
rollout loads on four in ten engines at once, so hosts that do not know of it
have many of their prompts refused and send them again.
"""

import unittest
from unittest import mock

import anyio

from hillthread.protocol import work_notice
from hillthread.state.cluster import succession
from hillthread.state.targets import target_list
from hillthread.state.targets import target_state
from tests.coordination.gateway import scene as scene_lib
from tests.coordination.gateway.peers import test_feed

# Long compared with the time in which the test sends its prompts.
_LOAD_S = 0.4
_PROMPT_COUNT = 30


async def _start_second_host(scene):
    """Returns a second host once both hosts know of each other."""
    other = await test_feed.second_host(scene)
    await scene.until(
        lambda: (
            "h2" in scene.program.source.hosts and "h1" in other.source.hosts
        )
    )
    return other


class WeightsNoticeTest(unittest.TestCase):
    def test_no_prompt_is_sent_to_a_loading_engine(self):
        async def scenario(scene):
            for engine in scene.engines:
                engine.load_s = _LOAD_S
            scene.announce_weights(2)
            await scene.until(lambda: any(e.busy for e in scene.engines))
            for _ in range(_PROMPT_COUNT):
                answer = await scene.call(scene.prompt("/stream/x"))
                self.assertEqual(answer.head.status, 200)
                await anyio.sleep(0.02)
            attempts = scene.program.metrics.attempts
            refused = attempts.labels("notrun")._value.get()
            self.assertEqual(refused, 0)
            await scene.until(
                lambda: all(e.weights == 2 for e in scene.engines)
            )

        scene_lib.run_scenario(scenario, engines=3, plain=0)

    def test_other_hosts_are_notified_of_a_load_and_its_end(self):
        """The list shows new weights only with the next heartbeat."""

        async def scenario(scene):
            other = await _start_second_host(scene)
            (engine,) = scene.engines
            engine.load_s = _LOAD_S
            notices = []
            original_of_other = other.site.apply_weights_notice
            other.site.apply_weights_notice = lambda notice, now: (
                notices.append(notice),
                original_of_other(notice, now),
            )
            original = scene.site.apply_weights_notice
            scene.site.apply_weights_notice = lambda notice, now: (
                notices.append(notice),
                original(notice, now),
            )
            scene.announce_weights(2)
            await scene.until(lambda: len(notices) >= 2)
            self.assertEqual({each.loading for each in notices}, {True})
            self.assertEqual(engine.weights, 1)
            await scene.until(lambda: len(notices) >= 4)
            for site in (scene.site, other.site):
                self.assertEqual(site.weights.held_version(engine.name, "m"), 2)
                state = site.state(engine.name)
                self.assertLess(state.loading_until, anyio.current_time())

        scene_lib.run_scenario(scenario, engines=1, plain=0)

    def test_only_possible_successors_read_the_lease(self):
        """Hosts that are notified of loads know that some host gives orders.

        A lease's duration counts from when its last record was read. The next
        hosts in line therefore go on reading; otherwise a holder that is cut
        off from the store is succeeded 5 s too late.
        """
        for successor_count, positions in ((0, [-1, 0]), (3, [0, 0])):
            with self.subTest(successor_count=successor_count):

                async def scenario(scene, positions=positions):
                    other = await _start_second_host(scene)
                    (engine,) = scene.engines
                    # Long enough that others would read the lease and that
                    # hosts are notified of loads.
                    engine.load_s = 1.0
                    scene.announce_weights(2)
                    await scene.until(lambda: engine.weights == 2)
                    read_to = [
                        program.rollout.lease.contender.state.position
                        for program in (scene.program, other)
                    ]
                    self.assertEqual(sorted(read_to), positions)

                with mock.patch.object(
                    succession, "WATCHING_HOST_COUNT", successor_count
                ):
                    scene_lib.run_scenario(scenario, engines=1, plain=0)

    def test_notice_for_an_earlier_start_is_ignored(self):
        async def scenario(scene):
            (engine,) = scene.engines
            notice = work_notice.WeightsNotice(
                target_list.incarnation_key(engine.name, engine.born_ms - 1),
                "m",
                9,
                False,
            )
            scene.site.apply_weights_notice(notice, 0.0)
            self.assertEqual(
                scene.site.weights.held_version(engine.name, "m"), 1
            )

        scene_lib.run_scenario(scenario, engines=1, plain=0)


class MissingEndNoticeTest(unittest.TestCase):
    def test_engine_is_used_again_without_an_end_notice(self):
        state = target_state.TargetState()
        state.begin_load(10.0)
        self.assertGreater(state.loading_until, 10.8)
        self.assertLess(state.loading_until, 12.0)
        state.end_load()
        self.assertLess(state.loading_until, 10.0)
