"""Tests that hosts together keep no more connections than a target takes.

A target takes so many connections from all hosts together and resets further
ones, also those that carry requests. Hosts kept up to 64 each for later use,
whatever their number: found while looking for what else all hosts together may
do only so much of.
"""

import unittest

import anyio

from tests.coordination.gateway import scene as scene_lib
from tests.coordination.gateway.serving import test_quota
from tests.coordination.gateway.serving import test_target_limits

MOST = 12
AT_ONCE = 8


def idle_at(programs, target):
    """Returns how many connections all hosts keep to a target."""
    return sum(
        len(program.pool.idle.get(target.address, ())) for program in programs
    )


class KeptConnectionsTest(unittest.TestCase):
    def test_all_hosts_leave_room_for_connections_in_use(self):
        async def story(scene):
            services = [
                service | {"maxConnections": MOST}
                for service in scene.configuration["services"]
            ]
            scene.configure(services=services)
            programs = await test_target_limits.hosts_that_list_each_other(
                scene, 3
            )
            for program in programs:
                await scene.until(
                    lambda p=program: p.site.table.pool("plain").max_connections
                )
                await scene.until(lambda p=program: p.site.hosts == 3)
            target = scene.plain[0]
            released = anyio.Event()
            target.always = scene_lib.platform_target.Held(released)
            async with anyio.create_task_group() as callers:
                for program in programs:
                    for _ in range(AT_ONCE):
                        callers.start_soon(
                            test_quota.ask,
                            scene,
                            program,
                            scene.request("/once/x"),
                        )
                await scene.until(
                    lambda: len(target.runs) == AT_ONCE * len(programs)
                )
                released.set()
            await scene.until(lambda: idle_at(programs, target))
            await anyio.sleep(0.1)
            self.assertLessEqual(idle_at(programs, target), MOST / 2)

        scene_lib.play(story, plain=1)


if __name__ == "__main__":
    unittest.main()
