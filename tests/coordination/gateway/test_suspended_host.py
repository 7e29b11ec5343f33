"""Tests of a host that was suspended: its steady clock left that time out.

Seen: a host that was suspended for 8 s while the store fell silent served a key
that had been withdrawn meanwhile, 24 requests of 24, though keys may be trusted
for 6 s at most.

Cause: all ages were counted on the steady clock, which stands still while a
host is suspended; the boot clock goes on. A stopped process does not show it:
there both clocks go on. Here the one clock is moved ahead of the other.
"""

import contextlib
import time
import unittest
from unittest import mock

import anyio

from hillthread.transport import http1_client
from tests.coordination.gateway import scene as scene_lib

SUSPENDED_S = 8.0
# Longer than any request may take here.
LONG_S = 30.0
PATIENCE_S = 100.0
LOOKS = 200


@contextlib.contextmanager
def suspended(seconds=SUSPENDED_S):
    """Has the boot clock go ahead of the steady one, as on waking."""
    read = time.clock_gettime

    def ahead(clock):
        return read(clock) + (seconds if clock == time.CLOCK_BOOTTIME else 0.0)

    with mock.patch.object(time, "clock_gettime", ahead):
        yield


class SuspendedHostTest(unittest.TestCase):
    def test_withdrawn_key_is_not_served_on_waking(self):
        # Reads that are held fall silent; new ones would work, and tell (401).
        statuses = self.play(lambda link: link.silence())
        self.assertLessEqual(set(statuses), {401, 503})

    def test_nor_while_the_store_cannot_be_reached(self):
        self.assertEqual(self.play(lambda link: link.cut()), [503] * 5)

    def play(self, trouble):
        """Returns the answers of a host that wakes after a key's end."""
        statuses = []

        async def story(scene):
            answer = await scene.call(scene.request("/again/x"))
            self.assertEqual(answer.head.status, 200)
            trouble(scene.store_link)
            scene.configure(tenants=[{"name": "tenant-two", "apiKeys": []}])
            with suspended():
                for _ in range(5):
                    answer = await scene.call(scene.request("/again/x"))
                    statuses.append(answer.head.status)
            self.assertEqual(len(scene.runs()), 1)

        scene_lib.run_scenario(story, linked=True, revoke_ms=6000)
        return statuses

    def test_request_whose_time_passed_meanwhile_is_answered_on_waking(self):
        async def story(scene):
            routes = scene.configuration["routes"]
            scene.configure(routes=[r | {"timeoutMs": 25000} for r in routes])
            await scene.until(lambda: scene.site.configuration.version == 2)
            scene.plain[0].silent = True
            request = scene.request("/once/x", x_deadline_ms="25000")
            statuses = []

            async def call():
                address = scene.program.server.address
                answer = await http1_client.call(
                    scene.pool, address, request, PATIENCE_S, 1 << 20
                )
                statuses.append(answer.head.status)

            async with anyio.create_task_group() as tasks:
                tasks.start_soon(call)
                monitor = scene.program.gateway.dispatcher.monitor
                while not monitor.attempts:  # noqa: ASYNC110
                    await anyio.sleep(0.01)
                with suspended(LONG_S):
                    for _ in range(LOOKS):
                        await anyio.sleep(0.01)
                tasks.cancel_scope.cancel()
            self.assertEqual(statuses, [504])

        scene_lib.run_scenario(story, plain=1)
