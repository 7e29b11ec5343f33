"""Tests that hosts together spare targets that crash when they refuse much."""

import bisect
import unittest

import anyio

from hillthread.standin import platform_target as standin
from tests.coordination.gateway import scene as scene_lib
from tests.coordination.gateway.serving import test_quota
from tests.coordination.gateway.serving import test_target_limits

WITHSTOOD_PER_S = 4.0
# From the first announcement until targets may have less room.
CONTACT_S = 3.0
DURATION_S = 4.0
SERVICE_S = 0.1
ROOM = 8
CALLERS = 12


def max_refusals_in_a_second(target):
    """Returns the most refusals of a target within any second."""
    times = target.refusal_times
    return max(
        (
            bisect.bisect_right(times, first + 1.0) - number
            for number, first in enumerate(times)
        ),
        default=0,
    )


async def load(scene, programs, seconds, statuses):
    """Has callers ask all hosts, and return after a refusal."""

    async def call(number):
        while True:
            number += 1
            program = programs[number % len(programs)]
            request = scene.request("/again/x")
            answer = await test_quota.ask(scene, program, request)
            statuses.append(answer.head.status)
            retry_after_s = answer.head.get(b"retry-after")
            await anyio.sleep(float(retry_after_s or 0.01))

    with anyio.move_on_after(seconds):
        async with anyio.create_task_group() as callers:
            for number in range(CALLERS):
                callers.start_soon(call, number)


class BrittleTargetTest(unittest.TestCase):
    # Guards against hosts that go on sending to targets that refuse, and make
    # them crash one after the other.
    def test_hosts_together_stay_below_the_refusals_that_targets_withstand(
        self,
    ):
        async def scenario(scene):
            programs = await test_target_limits.hosts_that_list_each_other(
                scene, 3
            )
            for target in scene.plain:
                target.default_behaviour = standin.Serve(SERVICE_S)
                target.withstood_refusals_per_s = WITHSTOOD_PER_S
                target.room = ROOM
            statuses = []
            await load(scene, programs, CONTACT_S, statuses)
            for program in programs:
                self.assertEqual(len(program.site.brittle), 2)
            for target in scene.plain:
                target.room = ROOM / 4
                target.refusal_times.clear()
            statuses.clear()
            await load(scene, programs, DURATION_S, statuses)
            for target in scene.plain:
                self.assertLessEqual(
                    max_refusals_in_a_second(target), WITHSTOOD_PER_S
                )
            self.assertGreater(statuses.count(200), 10)

        scene_lib.run_scenario(scenario, engines=0)

    def test_sound_targets_are_used_as_before(self):
        async def scenario(scene):
            for target in scene.plain:
                target.withstood_refusals_per_s = WITHSTOOD_PER_S
            await scene.call(scene.request("/again/x"))
            await scene.until(lambda: len(scene.site.brittle))
            for target in scene.plain:
                target.withstood_refusals_per_s = None
            for _ in range(8):
                answer = await scene.call(scene.request("/again/x"))
                self.assertEqual(answer.head.status, 200)
            self.assertEqual(len(scene.site.brittle), 0)

        scene_lib.run_scenario(scenario, engines=0)
