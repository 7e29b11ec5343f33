"""Tests that every example file is valid."""

import pathlib
import unittest

from hillthread import errors
from hillthread import settings
from hillthread.coordination import configuration_file
from hillthread.coordination.gateway import settings as gateway_settings
from hillthread.standin import engine
from hillthread.standin import fault_proxy
from hillthread.standin import services
from hillthread.state.config import objects
from hillthread.state.config import routing_table

EXAMPLES = pathlib.Path(__file__).resolve().parents[1] / "examples"
KINDS = {
    "router.json": settings.RouterSettings,
    "control.json": settings.ControlSettings,
    "gateway.json": gateway_settings.GatewaySettings,
    "standin-engine.json": engine.EngineSettings,
    "standin-log.json": services.StandinSettings,
    "standin-hosts.json": services.StandinSettings,
    "standin-plain.json": services.StandinSettings,
    "standin-proxy.json": fault_proxy.ProxySettings,
}


class ExamplesTest(unittest.TestCase):
    def test_settings_files_are_valid(self):
        for name, kind in KINDS.items():
            with self.subTest(name):
                settings.load_settings(str(EXAMPLES / name), kind)

    def test_object_files_route_requests(self):
        for path in EXAMPLES.glob("objects-*.json"):
            with self.subTest(path.name):
                values = configuration_file.load_objects(str(path))
                table = routing_table.RoutingTable(
                    0, {objects.object_key(value): value for value in values}
                )
                tenant = next(iter(table.tenants.values()))
                found = table.resolve(tenant, "/v1/chat/completions", "m1")
                self.assertEqual(found.targets[0].name, "runner1")
                self.assertNotEqual(found.policy.name, "default")

    def test_every_example_file_is_tested(self):
        names = {path.name for path in EXAMPLES.iterdir()}
        known = set(KINDS) | {p.name for p in EXAMPLES.glob("objects-*")}
        self.assertEqual(names, known)

    def test_settings_errors_contain_field_and_remedy(self):
        bad = EXAMPLES / "standin-log.json"
        with self.assertRaises(errors.SettingsError) as caught:
            settings.load_settings(str(bad), settings.RouterSettings)
        self.assertIn("host", caught.exception.message)
        self.assertIn("Remedy", str(caught.exception))
