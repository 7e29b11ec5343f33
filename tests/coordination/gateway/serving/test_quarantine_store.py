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
