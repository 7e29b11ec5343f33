"""Tests of the hosts that share budgets and duties."""

import unittest
from unittest import mock

import anyio

from hillthread import clock
from hillthread.coordination.gateway.store import host_registry
from tests.coordination.gateway import scene as scene_lib
from tests.coordination.gateway.peers import test_feed

ENTRY = {"data_centre": "there", "feed": "127.0.0.1:1"}
# Longer than it takes a host to apply a change of the list.
APPLIED_S = 0.5


def remove_entries(scene, names):
    """Removes entries of hosts from the store, as a lapse does."""
    for name in names:
        scene.store.remove(host_registry.HOSTS_TOPIC, name)


class HostRegistryTest(unittest.TestCase):
    # Guards against shares that grow while hosts whose entries vanished still
    # spend theirs.
    def test_hosts_whose_entries_vanish_keep_their_shares(self):
        async def scenario(scene):
            others = [f"h{number}" for number in range(2, 7)]
            for name in others:
                scene.store.put(host_registry.HOSTS_TOPIC, name, ENTRY)
            await scene.until(lambda: scene.site.cluster_size == 6)
            remove_entries(scene, others)
            await anyio.sleep(APPLIED_S)
            share = scene.site.retry_share("plain", clock.now())
            self.assertEqual(share.host_count, 6)
            self.assertEqual(len(scene.program.source.hosts), 6)

        scene_lib.run_scenario(scenario)

    def test_host_whose_entry_comes_back_is_kept(self):
        async def scenario(scene):
            scene.store.put(host_registry.HOSTS_TOPIC, "h2", ENTRY)
            await scene.until(lambda: scene.site.cluster_size == 2)
            remove_entries(scene, ["h2"])
            await anyio.sleep(APPLIED_S / 2)
            scene.store.put(host_registry.HOSTS_TOPIC, "h2", ENTRY)
            await anyio.sleep(2 * APPLIED_S)
            self.assertEqual(scene.site.cluster_size, 2)

        with mock.patch.object(host_registry, "_REMOVAL_DELAY_S", APPLIED_S):
            scene_lib.run_scenario(scenario)

    def test_host_whose_entry_stays_away_is_removed(self):
        async def scenario(scene):
            scene.store.put(host_registry.HOSTS_TOPIC, "h2", ENTRY)
            await scene.until(lambda: scene.site.cluster_size == 2)
            remove_entries(scene, ["h2"])
            await scene.until(lambda: scene.site.cluster_size == 1)

        with mock.patch.object(host_registry, "_REMOVAL_DELAY_S", APPLIED_S):
            scene_lib.run_scenario(scenario)

    # Guards against hosts that serve on while no other host counts them.
    def test_host_whose_own_entry_vanishes_registers_again(self):
        async def scenario(scene):
            other = await test_feed.second_host(scene, host="h2")
            for program in (scene.program, other):
                await scene.until(lambda p=program: len(p.source.hosts) == 2)
            remove_entries(scene, ["h1", "h2"])
            await scene.until(
                lambda: (
                    {"h1", "h2"}
                    <= set(scene.store.values(host_registry.HOSTS_TOPIC))
                )
            )

        scene_lib.run_scenario(scenario)


if __name__ == "__main__":
    unittest.main()
