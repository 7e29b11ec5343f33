"""Tests that changed settings are applied wherever they are used."""

import json
import pathlib
import tempfile
import unittest
from unittest import mock

import anyio

from hillthread import settings as settings_lib
from hillthread.coordination.gateway import metrics
from hillthread.coordination.gateway import settings as gateway_settings
from hillthread.coordination.gateway import settings_watch
from hillthread.coordination.gateway import site as site_lib

_SETTINGS = {
    "host": "h1",
    "data_centre": "here",
    "listen": "127.0.0.1:0",
    "ready_listen": "127.0.0.1:0",
    "store": "127.0.0.1:1",
}


class SettingsWatchTest(unittest.TestCase):
    def setUp(self):
        folder = self.enterContext(tempfile.TemporaryDirectory())
        self.path = pathlib.Path(folder) / "gateway.json"
        self.write()
        loaded = settings_lib.load_settings(
            str(self.path), gateway_settings.GatewaySettings
        )
        self.site = site_lib.Site(loaded, metrics.GatewayMetrics())
        self.watch = settings_watch.SettingsWatch(self.site, str(self.path))

    def write(self, **changes):
        self.path.write_text(json.dumps({**_SETTINGS, **changes}))

    def test_changed_bounds_are_applied_to_targets_and_weights(self):
        self.assertAlmostEqual(self.site.targets.max_missing_s, 1.2)
        self.assertAlmostEqual(self.site.weights.limit_s, 10.0)
        self.write(drain_ms=1_000, version_ms=4_000)
        self.watch.reload()
        self.assertAlmostEqual(self.site.targets.max_missing_s, 0.6)
        self.assertAlmostEqual(self.site.weights.limit_s, 4.0)

    def test_file_that_changed_before_the_watch_started_is_read(self):
        self.write(drain_ms=1_000)

        async def watch():
            with anyio.move_on_after(5.0):
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(self.watch.run)
                    while self.site.settings.drain_ms != 1_000:  # noqa: ASYNC110
                        await anyio.sleep(0.01)
                    tasks.cancel_scope.cancel()

        with mock.patch.object(settings_watch, "_POLL_INTERVAL_S", 0.02):
            anyio.run(watch)
        self.assertEqual(self.site.settings.drain_ms, 1_000)
