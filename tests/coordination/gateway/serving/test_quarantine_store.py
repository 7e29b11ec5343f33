"""Tests that suspects are stored for hosts that start later."""

import unittest

from hillthread import clock
from hillthread.coordination.gateway.store import host_registry
from hillthread.state.targets import request_features
from tests.coordination.gateway import scene as scene_lib

KEY = request_features.encode_part_key("dead01", "tenant-one")


class QuarantineStoreTest(unittest.TestCase):
    def test_record_is_written_read_and_removed(self):
        async def scenario(scene):
            records = scene.program.quarantine.records
            quarantine = scene.site.quarantine
            for incarnation in (1, 2, 3):
                quarantine.record_crash(KEY, incarnation, clock.now())
            records.put(KEY)
            name = host_registry.QUARANTINE_PREFIX + KEY
            await scene.until(
                lambda: name in scene.store.values(host_registry.HOSTS_TOPIC)
            )
            stored = scene.store.values(host_registry.HOSTS_TOPIC)[name]
            self.assertEqual(stored["ended"], [1, 2, 3])
            self.assertTrue(records.has_record(KEY))
            quarantine.clear(KEY)
            scene.store.put(host_registry.HOSTS_TOPIC, name, stored)
            await scene.until(lambda: quarantine.count_crashes(KEY) == 3)
            records.remove(KEY)
            await scene.until(lambda: not quarantine.count_crashes(KEY))

        scene_lib.run_scenario(scenario)

    # Guards against crashes that count once since they are read at once.
    def test_crashes_keep_their_times(self):
        async def scenario(scene):
            quarantine = scene.site.quarantine
            for name, ended, entry in (
                ("with", [1, 2, 3], {"times": [100.0, 105.0, 110.0]}),
                ("without", [4, 5, 6], {}),
            ):
                with self.subTest(name):
                    key = request_features.encode_part_key(name, "tenant-one")
                    scene.store.put(
                        host_registry.HOSTS_TOPIC,
                        host_registry.QUARANTINE_PREFIX + key,
                        {"ended": ended, "last_at": 110.0, **entry},
                    )
                    await scene.until(lambda k=key: quarantine.count_crashes(k))
                    blame = scene.site.part_blame.describe(key, clock.now())
                    self.assertEqual(blame.crashes, 3)

        scene_lib.run_scenario(scenario)
