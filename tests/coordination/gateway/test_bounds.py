"""Tests that bounds of a deployment are kept, at half and twice their value."""

import time
import unittest

import anyio

from tests.coordination.gateway import scene as scene_lib


class ConfigurationBoundTest(unittest.TestCase):
    """A held read is not answered when a new configuration comes.

    Seen on a day with five changes: a read that reached the store 30 ms before
    a change was answered only when its time was over.
    """

    def test_configuration_is_in_force_in_time_though_its_read_is_deaf(self):
        for config_ms in (1_000, 2_000, 4_000):
            with self.subTest(config_ms=config_ms):
                late_s = self.play(config_ms, deaf=True, silent=False)
                self.assertLess(late_s, config_ms / 1000.0)

    def test_the_same_when_its_connection_falls_silent(self):
        for config_ms in (1_000, 2_000, 4_000):
            with self.subTest(config_ms=config_ms):
                late_s = self.play(config_ms, deaf=False, silent=True)
                self.assertLess(late_s, config_ms / 1000.0)

    def play(self, config_ms, deaf, silent):
        """Returns how long a change takes that comes as a read begins."""
        took_s = []

        async def story(scene):
            calls = scene.store.topic_calls
            before = calls["keyed.op"]
            scene.store.faults.deaf = deaf
            await scene.until(lambda: calls["keyed.op"] > before)
            await anyio.sleep(0.02)
            if silent:
                scene.store_link.silence()
            changed_at = time.monotonic()
            scene.configure(routes=[])
            await scene.until(lambda: scene.site.table.position == 2)
            took_s.append(time.monotonic() - changed_at)

        scene_lib.run_scenario(story, linked=True, config_ms=config_ms)
        return took_s[0]
