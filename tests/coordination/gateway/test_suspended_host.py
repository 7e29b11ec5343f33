"""Tests a host that was suspended, during which its monotonic clock stops.

Guards against serving withdrawn keys. A host that was suspended for 8 s while
the store fell silent served a key that had been withdrawn meanwhile, in 24
requests of 24, although keys may be trusted for at most 6 s.

All ages were measured on the monotonic clock, which stops while a host is
suspended; the boot clock goes on. A stopped process does not reproduce this,
since both clocks go on. The tests advance the boot clock only.
"""

import contextlib
import time
import unittest
from unittest import mock

import anyio

from hillthread.transport import connection_pool
from tests.coordination.gateway import scene as scene_lib

SUSPENDED_S = 8.0
# Longer than any request may take here.
LONG_SUSPENSION_S = 30.0
CALL_TIMEOUT_S = 100.0
CHECK_COUNT = 200


@contextlib.contextmanager
def suspended(seconds=SUSPENDED_S):
    """Advances the boot clock beyond the monotonic one, as on resuming."""
    read = time.clock_gettime

    def advanced(clock):
        return read(clock) + (seconds if clock == time.CLOCK_BOOTTIME else 0.0)

    with mock.patch.object(time, "clock_gettime", advanced):
        yield


class SuspendedHostTest(unittest.TestCase):
    def test_withdrawn_key_is_not_served_after_a_suspension(self):
        # Held reads get no answer. A new read would succeed and show that the
        # key was withdrawn (401).
        statuses = self.call_after_suspension(lambda link: link.silence())
        self.assertLessEqual(set(statuses), {401, 503})

    def test_withdrawn_key_is_not_served_while_the_store_is_unreachable(self):
        self.assertEqual(
            self.call_after_suspension(lambda link: link.cut()), [503] * 5
        )

    def call_after_suspension(self, cause_fault):
        """Returns the answers of a host that resumes after a withdrawal."""
        statuses = []

        async def scenario(scene):
            answer = await scene.call(scene.request("/again/x"))
            self.assertEqual(answer.head.status, 200)
            cause_fault(scene.store_link)
            scene.configure(tenants=[{"name": "tenant-two", "apiKeys": []}])
            with suspended():
                for _ in range(5):
                    answer = await scene.call(scene.request("/again/x"))
                    statuses.append(answer.head.status)
            self.assertEqual(len(scene.runs()), 1)

        scene_lib.run_scenario(scenario, linked=True, revoke_ms=6000)
        return statuses

    def test_request_that_expired_during_a_suspension_is_answered(self):
        async def scenario(scene):
            routes = scene.configuration["routes"]
            scene.configure(routes=[r | {"timeoutMs": 25000} for r in routes])
            await scene.until(lambda: scene.site.configuration.version == 2)
            scene.plain[0].silent = True
            request = scene.request("/once/x", x_deadline_ms="25000")
            statuses = []

            async def call():
                address = scene.program.server.address
                answer = await connection_pool.call(
                    scene.pool, address, request, CALL_TIMEOUT_S, 1 << 20
                )
                statuses.append(answer.head.status)

            async with anyio.create_task_group() as tasks:
                tasks.start_soon(call)
                monitor = scene.program.gateway.dispatcher.monitor
                while not monitor.attempts:  # noqa: ASYNC110
                    await anyio.sleep(0.01)
                with suspended(LONG_SUSPENSION_S):
                    for _ in range(CHECK_COUNT):
                        await anyio.sleep(0.01)
                tasks.cancel_scope.cancel()
            self.assertEqual(statuses, [504])

        scene_lib.run_scenario(scenario, plain=1)
