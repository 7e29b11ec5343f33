"""Tests that hosts know which engines load weights, and send them nothing.

An engine that carries out an order refuses all that it has not begun. Where a
rollout moves four in ten engines at once, hosts that do not know of it have a
good part of their prompts refused, and send them once more.
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

# Long beside the time in which prompts are sent here.
_LOAD_S = 0.4
_PROMPTS = 30


async def two_hosts(scene):
    """Returns another host, when each knows of the other."""
    other = await test_feed.second_host(scene)
    await scene.until(
        lambda: (
            "h2" in scene.program.source.hosts and "h1" in other.source.hosts
        )
    )
    return other


class WeightsNoticeTest(unittest.TestCase):
    def test_no_prompt_is_sent_to_an_engine_that_loads(self):
        async def story(scene):
            for engine in scene.engines:
                engine.load_s = _LOAD_S
            scene.name_weights(2)
            await scene.until(lambda: any(e.busy for e in scene.engines))
            for _ in range(_PROMPTS):
                answer = await scene.call(scene.prompt("/stream/x"))
                self.assertEqual(answer.head.status, 200)
                await anyio.sleep(0.02)
            attempts = scene.program.metrics.attempts
            refused = attempts.labels("notrun")._value.get()
            self.assertEqual(refused, 0)
            await scene.until(
                lambda: all(e.weights == 2 for e in scene.engines)
            )

        scene_lib.play(story, engines=3, plain=0)

    def test_other_hosts_hear_of_the_load_and_of_its_end(self):
        """The list tells of new weights only with the next heartbeat."""

        async def story(scene):
            other = await two_hosts(scene)
            (engine,) = scene.engines
            engine.load_s = _LOAD_S
            seen = []
            take = other.site.take_weights_notice
            other.site.take_weights_notice = lambda notice, now: (
                seen.append(notice),
                take(notice, now),
            )
            first = scene.site.take_weights_notice
            scene.site.take_weights_notice = lambda notice, now: (
                seen.append(notice),
                first(notice, now),
            )
            scene.name_weights(2)
            await scene.until(lambda: len(seen) >= 2)
            self.assertEqual({each.loading for each in seen}, {True})
            self.assertEqual(engine.weights, 1)
            await scene.until(lambda: len(seen) >= 4)
            for site in (scene.site, other.site):
                self.assertEqual(site.weights.held_version(engine.name, "m"), 2)
                state = site.state(engine.name)
                self.assertLess(state.loading_until, anyio.current_time())

        scene_lib.play(story, engines=1, plain=0)

    def test_only_those_that_would_follow_ask_who_orders(self):
        """Hosts that hear of loads know that somebody does.

        How long a lease lasts counts from when its last record was read: hosts
        that would follow next read on, or a holder that is cut off from the
        store is followed 5 s too late.
        """
        for followers, positions in ((0, [-1, 0]), (3, [0, 0])):
            with self.subTest(followers=followers):

                async def story(scene, positions=positions):
                    other = await two_hosts(scene)
                    (engine,) = scene.engines
                    # So long that others would ask, and that loads are told of.
                    engine.load_s = 1.0
                    scene.name_weights(2)
                    await scene.until(lambda: engine.weights == 2)
                    read_to = [
                        program.rollout.lease.contender.state.position
                        for program in (scene.program, other)
                    ]
                    self.assertEqual(sorted(read_to), positions)

                with mock.patch.object(
                    succession, "WATCHING_HOST_COUNT", followers
                ):
                    scene_lib.play(story, engines=1, plain=0)

    def test_notice_for_an_earlier_start_changes_nothing(self):
        async def story(scene):
            (engine,) = scene.engines
            notice = work_notice.WeightsNotice(
                target_list.incarnation_key(engine.name, engine.born_ms - 1),
                "m",
                9,
                False,
            )
            scene.site.take_weights_notice(notice, 0.0)
            self.assertEqual(
                scene.site.weights.held_version(engine.name, "m"), 1
            )

        scene_lib.play(story, engines=1, plain=0)


class LoadWithoutEndTest(unittest.TestCase):
    def test_engine_is_used_again_when_no_end_is_heard(self):
        state = target_state.TargetState()
        state.begin_load(10.0)
        self.assertGreater(state.loading_until, 10.8)
        self.assertLess(state.loading_until, 12.0)
        state.end_load()
        self.assertLess(state.loading_until, 10.0)
