"""Tests of following the stores of KV cache."""

import unittest

from tests.coordination.gateway import scene as scene_lib


class OccupiedAddressTest(unittest.TestCase):
    # Guards against reads at the address of a store that another service has
    # taken over, and against saving prompts there.
    def test_store_is_not_read_while_a_target_has_its_address(self):
        async def scenario(scene):
            (store,) = await scene_lib.start_cache_stores(scene, 1)
            planner = scene.program.gateway.dispatcher.chooser.cache_planner
            watch = planner.watch
            successor = scene.plain[0]
            entry = {**successor.entry("ready"), "address": store.address}
            scene.store.put("keyed.servers", "successor", entry)
            await scene.until(lambda: store.address not in watch.contents)
            self.assertFalse(watch.is_reachable(store.address))
            scene.store.remove("keyed.servers", "successor")
            await scene.until(
                lambda: (
                    store.address in watch.contents
                    and watch.contents[store.address].is_known
                )
            )
            self.assertTrue(watch.is_reachable(store.address))

        scene_lib.run_scenario(scenario, drain_ms=200)


if __name__ == "__main__":
    unittest.main()
