"""Tests of the clock that counts the time a host was suspended."""

import time
import unittest
from unittest import mock

import anyio

from hillthread import clock


class ClockTest(unittest.TestCase):
    def test_clock_agrees_with_the_steady_one_until_suspended(self):
        before = time.monotonic()
        now = clock.now()
        after = time.monotonic()
        # Both clocks are read one after the other at the start of the module.
        self.assertLess(before - 0.1, now)
        self.assertLess(now, after + 0.1)

    def test_timers_of_the_loop_are_due_after_suspension(self):
        read = time.clock_gettime
        fired = []

        async def sleep_long():
            await anyio.sleep(60.0)
            fired.append("sleep")

        async def deadline():
            with anyio.move_on_after(60.0):
                await anyio.sleep_forever()
            fired.append("deadline")

        async def story():
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(sleep_long)
                tasks.start_soon(deadline)
                await anyio.sleep(0.01)
                ahead = mock.patch.object(
                    time, "clock_gettime", lambda which: read(which) + 61.0
                )
                with ahead:
                    # Something wakes the loop, as a program's own ticks do.
                    await anyio.sleep(0.01)
                    await anyio.sleep(0.01)
                    self.assertEqual(sorted(fired), ["deadline", "sleep"])

        clock.run(story)
