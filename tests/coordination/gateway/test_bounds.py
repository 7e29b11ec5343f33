"""Tests that bounds of a deployment are kept at half and twice their value."""

import time
import unittest

import anyio

from tests.coordination.gateway import scene as scene_lib


class ConfigurationBoundTest(unittest.TestCase):
    """Guards against a late configuration when a held read misses the change.

    A read that reached the store 30 ms before a change was answered only when
    its hold time was over.
    """

    def test_configuration_is_applied_in_time_when_a_held_read_ignores_it(self):
        for config_ms in (1_000, 2_000, 4_000):
            with self.subTest(config_ms=config_ms):
                delay_s = self.measure_delay(config_ms, deaf=True, silent=False)
                self.assertLess(delay_s, config_ms / 1000.0)

    def test_configuration_is_applied_in_time_on_a_silent_connection(self):
        for config_ms in (1_000, 2_000, 4_000):
            with self.subTest(config_ms=config_ms):
                delay_s = self.measure_delay(config_ms, deaf=False, silent=True)
                self.assertLess(delay_s, config_ms / 1000.0)

    def measure_delay(self, config_ms, deaf, silent):
        """Returns the delay of a change that comes just after a read begins."""
        delays_s = []

        async def scenario(scene):
            calls = scene.store.topic_calls
            before = calls["keyed.op"]
            scene.store.faults.ignores_new_records = deaf
            await scene.until(lambda: calls["keyed.op"] > before)
            await anyio.sleep(0.02)
            if silent:
                scene.store_link.silence()
            changed_at = time.monotonic()
            scene.configure(routes=[])
            await scene.until(lambda: scene.site.table.position == 2)
            delays_s.append(time.monotonic() - changed_at)

        scene_lib.run_scenario(scenario, linked=True, config_ms=config_ms)
        return delays_s[0]
