"""Tests that targets get no more requests than the limit they announce.

An overloaded target announces a limit in its answers. Guards against hosts that
ignore it, and against hosts that do not count together what they send to the
target: one that announced 1.5 requests a second then got 5.6 a second, as
before and as much as other targets. It got 18 within 4 s, where 14 are allowed.
"""

import bisect
import contextlib
import io
import itertools
import time
import unittest

import anyio

from hillthread.programs import ctl
from tests.coordination.gateway import scene as scene_lib
from tests.coordination.gateway.serving import test_quota

LIMIT_PER_S = 2.0
# A target checks its limit over any window of this length. It allows half as
# much again and some more requests, since hosts learn of usage late.
WINDOW_S = 4.0
MAX_REQUESTS = LIMIT_PER_S * WINDOW_S * 1.5 + 5
# Time from a target's first answer with a limit until all hosts apply it.
NOTICE_DELAY_S = 0.5
DURATION_S = 6.0
# Callers pause between their requests: 40 a second from all of them.
CALLERS = 6
PAUSE_S = 0.15
REQUESTS_PER_S = CALLERS / PAUSE_S
_numbers = itertools.count()


def max_requests_in_a_window(target, since):
    """Returns the most requests that reached a target within any window."""
    times = [each.at for each in target.arrivals if each.at >= since]
    return max(
        bisect.bisect_right(times, first + WINDOW_S) - number
        for number, first in enumerate(times)
    )


async def send_for(scene, programs, seconds, statuses):
    """Has callers send prompts to all hosts.

    No two share a part, so that no target is chosen for what it has cached.
    """

    async def send(number):
        """Sends to one host after the other."""
        while True:
            number += 1
            program = programs[number % len(programs)]
            unique = next(_numbers)
            prefix = f"a{unique}:300,p{unique}:500,r{unique}:100"
            prompt = scene.prompt("/stream/x", x_prompt_prefix=prefix)
            answer = await test_quota.ask(scene, program, prompt)
            statuses.append(answer.head.status)
            await anyio.sleep(PAUSE_S)

    with anyio.move_on_after(seconds):
        async with anyio.create_task_group() as callers:
            for number in range(CALLERS):
                callers.start_soon(send, number * 5)


async def send_count(scene, programs, count, statuses):
    """Has callers send prompts until some number of them is answered.

    It takes longer on a busy machine, where callers send fewer a second.
    """
    until = len(statuses) + count
    while len(statuses) < until:
        await send_for(scene, programs, 0.25, statuses)


async def hosts_that_list_each_other(scene, count, **settings):
    """Starts more hosts and returns all."""
    programs = [scene.program]
    for number in range(2, count + 1):
        programs.append(
            await test_quota.test_feed.second_host(
                scene, host=f"h{number}", **settings
            )
        )
    for program in programs:
        await scene.until(lambda p=program: len(p.source.hosts) == count)
    return programs


class TargetLimitTest(unittest.TestCase):
    def test_hosts_together_stay_within_limit(self):
        async def scenario(scene):
            programs = await hosts_that_list_each_other(scene, 3)
            limited = scene.engines[0]
            statuses = []
            await send_for(scene, programs, 1.0, statuses)
            self.assertTrue(limited.arrivals)
            limited.limit_per_s = LIMIT_PER_S
            applied_at = time.monotonic() + NOTICE_DELAY_S
            await send_for(scene, programs, DURATION_S, statuses)
            self.assertLessEqual(
                max_requests_in_a_window(limited, applied_at), MAX_REQUESTS
            )
            # The other targets serve what exceeds its limit.
            self.assertEqual(set(statuses), {200})

        scene_lib.run_scenario(scenario)

    def test_removed_limit_is_lifted_at_all_hosts(self):
        async def scenario(scene):
            programs = await hosts_that_list_each_other(scene, 2)
            limited = scene.engines[0]
            limited.limit_per_s = LIMIT_PER_S
            await send_for(scene, programs[:1], 0.5, [])
            for program in programs:
                await scene.until(
                    lambda p=program: limited.name in p.limits.limits
                )
            limited.limit_per_s = None
            statuses = []
            await send_for(scene, programs[:1], 3.0, statuses)
            for program in programs:
                await scene.until(
                    lambda p=program: limited.name not in p.limits.limits
                )
            count = len(limited.arrivals)
            await send_count(scene, programs, REQUESTS_PER_S, statuses)
            self.assertGreater(len(limited.arrivals) - count, 2 * LIMIT_PER_S)
            self.assertEqual(set(statuses), {200})

        scene_lib.run_scenario(scenario)

    def test_changed_limit_applies_at_all_hosts(self):
        async def scenario(scene):
            programs = await hosts_that_list_each_other(scene, 2)
            limited = scene.engines[0]
            limited.limit_per_s = LIMIT_PER_S
            await send_for(scene, programs, 0.5, [])
            limited.limit_per_s = 40.0
            await send_for(scene, programs, 5.0, [])
            for program in programs:
                listed = program.limits.statuses()
                self.assertEqual([each.per_s for each in listed], [40.0])
            count = len(limited.arrivals)
            await send_count(scene, programs, REQUESTS_PER_S, [])
            self.assertGreater(len(limited.arrivals) - count, 2 * LIMIT_PER_S)

        scene_lib.run_scenario(scenario)

    def test_request_is_refused_at_once_if_all_targets_are_limited(self):
        async def scenario(scene):
            for target in scene.plain:
                target.limit_per_s = 1.0
            statuses, refused = [], []
            for _ in range(20):
                asked_at = time.monotonic()
                answer = await scene.call(scene.request("/once/x"))
                statuses.append(answer.head.status)
                if answer.head.status != 200:
                    refused.append((answer, time.monotonic() - asked_at))
            self.assertEqual(set(statuses), {200, 503})
            # The refused requests have reached no target.
            arrived = sum(len(target.arrivals) for target in scene.plain)
            self.assertEqual(arrived, statuses.count(200))
            for answer, seconds in refused:
                self.assertIn(b"targets_limited", answer.body)
                self.assertLess(seconds, 1.0)
                after_s = float(answer.head.get(b"retry-after"))
                self.assertGreater(after_s, 0.0)
                self.assertLessEqual(after_s, WINDOW_S * 1.5)

        scene_lib.run_scenario(scenario)

    def test_target_with_limit_zero_gets_occasional_requests(self):
        async def scenario(scene):
            limited = scene.engines[0]
            limited.limit_per_s = 0.0
            await send_for(scene, [scene.program], 0.5, [])
            applied_at = time.monotonic()
            await send_for(scene, [scene.program], 9.0, [])
            since = [a for a in limited.arrivals if a.at > applied_at]
            self.assertGreaterEqual(len(since), 1)
            self.assertLessEqual(
                max_requests_in_a_window(limited, applied_at), 2
            )

        scene_lib.run_scenario(scenario)

    def test_request_that_missed_its_target_is_refunded(self):
        async def scenario(scene):
            limited = scene.engines[0]
            limited.limit_per_s = 50.0
            await send_for(scene, [scene.program], 1.0, [])
            self.assertGreater(scene.program.limits.statuses()[0].used, 0)
            scene.stop_listening(limited)
            state = scene.site.state(limited.name)
            await scene.until(lambda: not state.open_attempts)
            await scene.program.pool.drop(limited.address)
            await send_for(scene, [scene.program], WINDOW_S + 0.5, [])
            self.assertEqual(scene.program.limits.statuses()[0].used, 0)

        scene_lib.run_scenario(scenario)

    def test_limit_of_a_removed_target_is_forgotten(self):
        async def scenario(scene):
            limited = scene.engines[0]
            limited.limit_per_s = LIMIT_PER_S
            await send_for(scene, [scene.program], 0.5, [])
            self.assertIn(limited.name, scene.program.limits.limits)
            scene.store.remove("keyed.servers", limited.name)
            await scene.until(
                lambda: limited.name not in scene.program.limits.limits
            )

        scene_lib.run_scenario(scenario)

    def test_operators_list_limits(self):
        async def scenario(scene):
            limited = scene.engines[0]
            limited.limit_per_s = LIMIT_PER_S
            await send_for(scene, [scene.program], 1.0, [])
            address = scene.program.feed_server.address
            out = io.StringIO()
            with contextlib.redirect_stdout(out):
                await anyio.to_thread.run_sync(ctl.Ctl(address).limits)
            self.assertIn(f"{limited.name} takes 2/s", out.getvalue())
            page = scene.program.metrics.render().decode()
            self.assertIn("hillthread_targets_limited 1.0", page)
            self.assertRegex(page, r"hillthread_limit_passes_total [1-9]")

        scene_lib.run_scenario(scenario)


if __name__ == "__main__":
    unittest.main()
