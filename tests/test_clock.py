"""Tests of the clock that counts suspended time."""

import time
import unittest
from unittest import mock

import anyio

from hillthread import clock


class ClockTest(unittest.TestCase):
    def test_clock_agrees_with_the_monotonic_clock_without_suspension(self):
        before = time.monotonic()
        now = clock.now()
        after = time.monotonic()
        # The module reads both clocks one after the other when it is imported,
        # so they may differ slightly.
        self.assertLess(before - 0.1, now)
        self.assertLess(now, after + 0.1)

    def test_timers_expire_after_suspension(self):
        read_clock = time.clock_gettime
        expired = []

        async def sleep_long():
            await anyio.sleep(60.0)
            expired.append("sleep")

        async def wait_for_deadline():
            with anyio.move_on_after(60.0):
                await anyio.sleep_forever()
            expired.append("deadline")

        async def scenario():
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(sleep_long)
                tasks.start_soon(wait_for_deadline)
                await anyio.sleep(0.01)
                advanced_clock = mock.patch.object(
                    time,
                    "clock_gettime",
                    lambda clock_id: read_clock(clock_id) + 61.0,
                )
                with advanced_clock:
                    # Wakes the loop, as periodic tasks of a program do.
                    await anyio.sleep(0.01)
                    await anyio.sleep(0.01)
                    self.assertEqual(sorted(expired), ["deadline", "sleep"])

        clock.run(scenario)
