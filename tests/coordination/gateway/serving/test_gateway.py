"""Tests what the gateway logs of requests that it refuses at intake."""

import unittest
from unittest import mock

from hillthread import errors
from hillthread.coordination.gateway.serving import intake
from tests.coordination.gateway import scene as scene_lib


class RefusedLineTest(unittest.TestCase):
    # Guards against refusals that cannot be attributed to a route or an
    # organisation, and against digests of bodies that anybody may send.
    def test_refusal_at_intake_logs_what_is_known(self):
        async def scenario(scene):
            full = mock.Mock(side_effect=errors.RefusalError("q", 429, "", ""))
            scene.program.gateway.quotas.admit = full
            keys = ("path", "route", "tenant", "digest")
            for request, expected in (
                (
                    scene.request("/once/x"),
                    ("/once/x", "once", "tenant-one", "0a"),
                ),
                (scene.request("/open/x"), ("/open/x", "open", "", "0a")),
                (
                    scene.request("/once/x", authorization="Bearer wrong"),
                    ("/once/x", "once", None, None),
                ),
                (scene.request("/none"), ("/none", None, None, None)),
            ):
                with self.assertLogs("hillthread.request", "INFO") as logs:
                    await scene.call(request)
                (line,) = (r for r in logs.records if r.event == "refused")
                found = tuple(getattr(line, key, None) for key in keys)
                self.assertEqual(found, expected)

        with mock.patch.object(intake.GatewayRequest, "digest", "0a"):
            scene_lib.run_scenario(scenario, engines=0)
