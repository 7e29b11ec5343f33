"""Tests that the store alone brings back all that must outlive the hosts.

Hosts have no disks, so that power lost on all of them at the same moment
leaves nothing else.
"""

import unittest

import anyio

from hillthread.coordination.gateway.store import host_registry
from hillthread.state.targets import request_features
from tests.coordination.gateway import scene as scene_lib
from tests.coordination.gateway.peers import test_feed
from tests.coordination.gateway.serving import test_quota

PART_KEY = request_features.encode_part_key("dead01", "tenant-one")
# Time within which hosts that start serve all requests.
SERVED_AFTER_S = 1.0


async def run_until_power_loss(scene, names, use):
    """Runs hosts, calls a function with them, and ends all at once."""
    others = scene.tasks
    async with anyio.create_task_group() as power:
        scene.tasks = power
        hosts = [await test_feed.second_host(scene, host=n) for n in names]
        scene.tasks = others
        await use(hosts)
        power.cancel_scope.cancel()


class PowerLossTest(unittest.TestCase):
    def test_successors_serve_and_hold_what_the_store_has(self):
        async def scenario(scene):
            async def crash_targets(hosts):
                (host, *_) = hosts
                now = scene_lib.clock.now()
                for incarnation in (1, 2, 3):
                    host.site.quarantine.record_crash(
                        PART_KEY, incarnation, now, 3.0 - incarnation
                    )
                host.quarantine.records.put(PART_KEY)
                topic = host_registry.HOSTS_TOPIC
                await scene.until(
                    lambda: any(
                        PART_KEY in key for key in scene.store.values(topic)
                    )
                )
                scene.configure()
                scene.announce_weights(1)

            async def check_successors(hosts):
                sound = scene.prompt("/resume/x")
                deadly = scene.prompt(
                    "/resume/x", x_prompt_prefix="aa:9,dead01:9,cc:9"
                )
                for host in hosts:
                    await scene.until(
                        lambda h=host: h.site.quarantine.count_crashes(PART_KEY)
                    )
                    with anyio.fail_after(SERVED_AFTER_S):
                        answer = await test_quota.ask(scene, host, sound)
                    self.assertEqual(answer.head.status, 200)
                    answer = await test_quota.ask(scene, host, deadly)
                    self.assertEqual(answer.head.status, 503)
                    self.assertEqual(
                        host.site.configuration.version, scene.version
                    )
                    self.assertFalse(
                        host.site.retry_share(
                            "plain", scene_lib.clock.now()
                        ).withdraw()
                    )

            await run_until_power_loss(scene, ("a1", "a2"), crash_targets)
            await run_until_power_loss(scene, ("b1", "b2"), check_successors)

        scene_lib.run_scenario(scenario, initial_retry_share=0.0)


if __name__ == "__main__":
    unittest.main()
