"""Tests that targets get no more than the limit they name.

Seen: a target that had said it takes 1.5 requests a second got 18 within 4 s
from hosts that it had told; 14 are allowed.
"""

import bisect
import time
import unittest

import anyio

from tests.coordination.gateway import scene as scene_lib
from tests.coordination.gateway.serving import test_quota

LIMIT_PER_S = 2.0
# A target judges its limit over any span of this length, and bears half as much
# again and some requests more, for what hosts do not know of each other.
WINDOW_S = 4.0
ALLOWED = LIMIT_PER_S * WINDOW_S * 1.5 + 5
# From a target's first answer with a limit until hosts keep it.
TOLD_S = 0.5
LENGTH_S = 6.0
# Callers leave a moment between their requests: 40 a second from all of them.
CALLERS = 6
PAUSE_S = 0.15


def most_in_a_window(target, since):
    """Returns the most requests that reached a target within any window."""
    times = [each.at for each in target.arrivals if each.at >= since]
    return max(
        bisect.bisect_right(times, first + WINDOW_S) - number
        for number, first in enumerate(times)
    )


async def send_for(scene, programs, seconds, statuses):
    """Has callers send prompts to all hosts."""

    async def send(number):
        """Sends to one host after the other."""
        while True:
            number += 1
            program = programs[number % len(programs)]
            prefix = f"aa:300,p{number % 7}:500,r{number}:100"
            prompt = scene.prompt("/stream/x", x_prompt_prefix=prefix)
            answer = await test_quota.ask(scene, program, prompt)
            statuses.append(answer.head.status)
            await anyio.sleep(PAUSE_S)

    with anyio.move_on_after(seconds):
        async with anyio.create_task_group() as callers:
            for number in range(CALLERS):
                callers.start_soon(send, number * 5)


async def hosts_that_list_each_other(scene, count):
    """Starts more hosts and returns all."""
    programs = [scene.program]
    for number in range(2, count + 1):
        programs.append(
            await test_quota.test_feed.second_host(scene, host=f"h{number}")
        )
    for program in programs:
        await scene.until(lambda p=program: len(p.source.hosts) == count)
    return programs


class TargetLimitTest(unittest.TestCase):
    def test_all_hosts_together_keep_within_it(self):
        async def story(scene):
            programs = await hosts_that_list_each_other(scene, 3)
            limited = scene.engines[0]
            statuses = []
            await send_for(scene, programs, 1.0, statuses)
            self.assertTrue(limited.arrivals)
            limited.limit_per_s = LIMIT_PER_S
            told_at = time.monotonic() + TOLD_S
            await send_for(scene, programs, LENGTH_S, statuses)
            self.assertLessEqual(most_in_a_window(limited, told_at), ALLOWED)
            # What it cannot take, others serve.
            self.assertEqual(set(statuses), {200})

        scene_lib.play(story)


if __name__ == "__main__":
    unittest.main()
