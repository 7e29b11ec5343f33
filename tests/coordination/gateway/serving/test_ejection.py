"""Tests of pools whose targets are all ejected."""

import time
import unittest

from hillthread.standin import platform_target as standin
from tests.coordination.gateway import scene as scene_lib


def eject(scene, targets):
    for target in targets:
        while scene.site.state(target.name).is_available(time.monotonic()):
            scene.site.state(target.name).record_failure(time.monotonic())


class AllEjectedTest(unittest.TestCase):
    # Guards against refusing requests although ejected targets would answer.
    def test_repeatable_requests_are_sent_to_ejected_targets(self):
        async def scenario(scene):
            for path, targets in (
                ("/again/x", scene.plain),
                ("/resume/x", scene.engines),
            ):
                eject(scene, targets)
                make = scene.prompt if "resume" in path else scene.request
                answer = await scene.call(make(path))
                self.assertEqual(answer.head.status, 200)

        scene_lib.run_scenario(scenario)

    def test_sound_targets_are_used_first(self):
        async def scenario(scene):
            ejected, sound = scene.plain
            eject(scene, [ejected])
            for _ in range(5):
                await scene.call(scene.request("/again/x"))
            self.assertEqual(len(sound.runs), 5)

        scene_lib.run_scenario(scenario)

    def test_requests_that_may_not_run_again_are_refused(self):
        async def scenario(scene):
            eject(scene, scene.plain)
            answer = await scene.call(scene.request("/once/x"))
            self.assertEqual(answer.head.status, 503)
            self.assertEqual(scene.runs(), [])

        scene_lib.run_scenario(scenario)

    def test_ejected_target_that_fails_stays_ejected(self):
        async def scenario(scene):
            eject(scene, scene.plain)
            for target in scene.plain:
                target.default_behaviour = standin.ResetConnection()
            answer = await scene.call(scene.request("/again/x"))
            self.assertEqual(answer.head.status, 502)
            now = time.monotonic()
            for target in scene.plain:
                state = scene.site.state(target.name)
                self.assertFalse(state.is_available(now))

        scene_lib.run_scenario(scenario)
