"""Tests that idle connections of all hosts leave room for those in use.

A target accepts a maximum number of connections from all hosts together and
resets further ones, including those that carry requests. Guards against a limit
on idle connections that ignores the number of hosts: 64 on each.
"""

import unittest

import anyio

from tests.coordination.gateway import scene as scene_lib
from tests.coordination.gateway.serving import test_quota
from tests.coordination.gateway.serving import test_target_limits

MAX_CONNECTIONS = 12
REQUESTS_PER_HOST = 8


def count_idle_connections(programs, target):
    """Returns how many idle connections all hosts keep to a target."""
    return sum(
        len(program.pool.idle.get(target.address, ())) for program in programs
    )


class KeptConnectionsTest(unittest.TestCase):
    def test_all_hosts_leave_room_for_connections_in_use(self):
        async def story(scene):
            services = [
                service | {"maxConnections": MAX_CONNECTIONS}
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
                await scene.until(lambda p=program: p.site.cluster_size == 3)
            target = scene.plain[0]
            released = anyio.Event()
            target.default_behaviour = scene_lib.platform_target.HoldAnswer(
                released
            )
            async with anyio.create_task_group() as callers:
                for program in programs:
                    for _ in range(REQUESTS_PER_HOST):
                        callers.start_soon(
                            test_quota.ask,
                            scene,
                            program,
                            scene.request("/once/x"),
                        )
                await scene.until(
                    lambda: (
                        len(target.runs) == REQUESTS_PER_HOST * len(programs)
                    )
                )
                released.set()
            await scene.until(lambda: count_idle_connections(programs, target))
            await anyio.sleep(0.1)
            self.assertLessEqual(
                count_idle_connections(programs, target), MAX_CONNECTIONS / 2
            )

        scene_lib.run_scenario(story, plain=1)


if __name__ == "__main__":
    unittest.main()
