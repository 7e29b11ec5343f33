"""Tests of the judgement on bodies that crash targets."""

import unittest

from hillthread.bench.gateway_soak import body_verdict
from hillthread.bench.gateway_soak import evidence as evidence_lib
from hillthread.standin import platform_target
from hillthread.transport import http1_server

_HOST = "h0"
_BODY = b"deadly"


class BodyTest(unittest.TestCase):
    def setUp(self):
        self.evidence = evidence_lib.Evidence(evidence_lib.Bounds(contact_s=2))
        self.evidence.deadly.add(_BODY)
        self.target = platform_target.PlatformTargetStandin("i-0", "plain")
        self.evidence.targets.append(self.target)

    def run_at(self, *times):
        """Has the target run the body at some times, in seconds."""
        for at in times:
            name = f"at {at}"
            request = http1_server.CallerRequest(
                b"POST", b"/once/x", [], _BODY, at
            )
            self.target.runs.append(platform_target.Run(name, request, at, 1))
            self.evidence.exchanges.append(
                evidence_lib.Exchange(name, "once", "key", _HOST, 1, at, at, 0)
            )

    def test_three_late_runs_are_allowed(self):
        self.run_at(1.0, 2.0, 3.0, 4.0, 5.1, 5.2, 5.3)
        self.assertEqual(list(body_verdict.violations(self.evidence)), [])

    def test_more_are_not(self):
        self.run_at(1.0, 2.0, 3.0, 5.1, 5.2, 5.3, 5.4)
        (found,) = body_verdict.violations(self.evidence)
        self.assertEqual(found.promise, "budget")

    def test_host_out_of_contact_is_excused(self):
        self.run_at(1.0, 2.0, 3.0, 5.1, 5.2, 5.3, 5.4)
        self.evidence.disturbances.append(
            evidence_lib.Disturbance("host_frozen", _HOST, 4.0, 4.5)
        )
        self.assertEqual(list(body_verdict.violations(self.evidence)), [])


if __name__ == "__main__":
    unittest.main()
