"""Tests of the ids of calls that a host makes on its own behalf."""

import unittest

from hillthread.platform import call_ids
from hillthread.protocol import feed
from hillthread.state.cluster import feed_source
from hillthread.transport import connection_pool
from tests.coordination.gateway import scene as scene_lib


class CallIdTest(unittest.TestCase):
    def test_ids_differ(self):
        ids = {call_ids.make_call_id().value for _ in range(100)}
        self.assertEqual(len(ids), 100)

    # Guards against answers of other hosts that nothing distinguishes.
    def test_hosts_repeat_the_ids_of_each_other(self):
        async def scenario(scene):
            address = scene.program.feed_server.address
            host = feed_source.HostEntry("h1", "here", address)
            for path in (feed.LIMITS_PATH, "/no/such/path"):
                request = call_ids.make_host_request(
                    host, b"GET", path.encode()
                )
                answer = await connection_pool.call(
                    scene.pool, address, request, 1.0, 100_000
                )
                self.assertEqual(
                    answer.head.get(request.call_id.header),
                    request.call_id.value,
                )

        scene_lib.run_scenario(scenario, engines=1, plain=0)


if __name__ == "__main__":
    unittest.main()
