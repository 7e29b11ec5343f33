"""Tests that hosts act on what targets announce in their answers."""

import time
import unittest

import anyio

from tests.coordination.gateway import scene as scene_lib

CALLERS = 4
PAUSE_S = 0.04
# A target judges its back-off from then on after its refusal.
IN_FLIGHT_S = 0.5
MOST_IN_BACKOFF = 2


def prompt(scene, number):
    """Returns a prompt; all of them together reach every engine."""
    prefix = f"aa:300,p{number % 7}:500,r{number}:100"
    return scene.prompt("/stream/x", x_prompt_prefix=prefix)


def plain(scene, number):
    """Returns a request for the plain service."""
    del number
    return scene.request("/once/x")


async def send_for(scene, seconds, make=prompt):
    """Has callers send requests; returns the statuses of the answers."""
    statuses = []

    async def send(number):
        while True:
            number += 1
            answer = await scene.call(make(scene, number))
            statuses.append(answer.head.status)
            await anyio.sleep(PAUSE_S)

    with anyio.move_on_after(seconds):
        async with anyio.create_task_group() as callers:
            for number in range(CALLERS):
                callers.start_soon(send, number * 3)
    return statuses


def arrivals_between(target, begin, end):
    """Returns how many requests reached a target within a time."""
    return sum(begin <= each.at <= end for each in target.arrivals)


class DepartureTest(unittest.TestCase):
    # Guards against requests to a target whose answers announced its
    # departure while the list of targets still had it as ready.
    def test_no_request_follows_an_announced_departure(self):
        for drain_s in (0.5, 1.0, 2.0):
            for make in (prompt, plain):
                with self.subTest(drain_s=drain_s, make=make.__name__):
                    scene_lib.play(
                        lambda scene, d=drain_s, m=make: self.announce(
                            scene, d, m
                        ),
                        drain_ms=drain_s * 1000,
                    )

    async def announce(self, scene, drain_s, make):
        target = scene.engines[0] if make is prompt else scene.plain[0]
        await send_for(scene, 0.3, make)
        self.assertTrue(target.arrivals)
        target.announces_leaving = True
        await send_for(scene, 0.3, make)
        late_at = time.monotonic() + drain_s
        statuses = await send_for(scene, drain_s + 0.5, make)
        self.assertEqual(arrivals_between(target, late_at, float("inf")), 0)
        # The other targets serve what it would have got.
        self.assertEqual(set(statuses), {200})


class BackoffTest(unittest.TestCase):
    # Guards against requests to a target that shed load with a 503 and a
    # Retry-After whose time was not over.
    def test_no_request_reaches_a_target_in_its_backoff(self):
        for backoff_s in (0.8, 1.6, 3.2):
            for make in (prompt, plain):
                with self.subTest(backoff_s=backoff_s, make=make.__name__):
                    scene_lib.play(
                        lambda scene, b=backoff_s, m=make: self.shed(
                            scene, b, m
                        )
                    )

    async def shed(self, scene, backoff_s, make):
        target = scene.engines[0] if make is prompt else scene.plain[0]
        await send_for(scene, 0.3, make)
        self.assertTrue(target.arrivals)
        target.backoff_s = backoff_s
        before = len(target.arrivals)
        statuses = await send_for(scene, 0.3, make)
        shed_at = target.arrivals[before].at
        target.backoff_s = 0.0
        ends_at = shed_at + backoff_s
        statuses += await send_for(scene, ends_at - time.monotonic(), make)
        begin = shed_at + IN_FLIGHT_S
        count = arrivals_between(target, begin, ends_at)
        self.assertLessEqual(count, MOST_IN_BACKOFF)
        # The other targets serve what it would have got.
        self.assertEqual(set(statuses), {200})
        # It is used again when the time is over.
        await send_for(scene, 1.0, make)
        self.assertTrue(arrivals_between(target, ends_at, float("inf")))


if __name__ == "__main__":
    unittest.main()
