"""Tests of the judgement on denied requests."""

import unittest

from hillthread.bench.gateway_soak import denial_verdict
from hillthread.bench.gateway_soak import evidence as evidence_lib

_HOST = "h0"


class DenialTest(unittest.TestCase):
    def setUp(self):
        self.evidence = evidence_lib.Evidence(evidence_lib.Bounds(grace_s=6.0))
        self.evidence.keys["key"] = evidence_lib.KeyLife(
            "tenant", 0.0, float("inf")
        )

    def denied(self, *disturbances):
        """Returns the promises broken by a request whose key was denied."""
        self.evidence.disturbances = [
            evidence_lib.Disturbance(kind, subject, at, at)
            for kind, subject, at in disturbances
        ]
        self.evidence.exchanges = [
            evidence_lib.Exchange(
                "request", "once", "key", _HOST, 1, 99.9, 100.0, 401, whole=True
            )
        ]
        found = denial_verdict.violations(self.evidence)
        return [each.promise for each in found]

    def test_key_that_holds_must_not_be_denied(self):
        self.assertEqual(self.denied(), ["denied"])
        self.assertEqual(self.denied(("host_killed", _HOST, 99.0)), ["denied"])

    def test_process_that_knows_a_restored_copy_only_is_excused(self):
        restored = ("store_restored", "store", 98.5)
        self.assertEqual(
            self.denied(("host_killed", _HOST, 99.0), restored), []
        )
        # One that went on knows what it knew; later all know it again.
        self.assertEqual(self.denied(restored), ["denied"])
        earlier = ("store_restored", "store", 97.0)
        killed = ("host_killed", _HOST, 99.0)
        self.assertEqual(self.denied(killed, earlier), ["denied"])

    # Guards against a host that is blamed for a key which the store lost before
    # the host had to have read it.
    def test_key_lost_before_it_had_to_be_known_is_new_when_written_again(self):
        slack_s = self.evidence.bounds.configuration_s
        restored = ("store_restored", "store", 99.9 - slack_s)
        issued_at = 99.9 - 1.5 * slack_s
        self.evidence.keys["key"] = evidence_lib.KeyLife(
            "tenant", issued_at, float("inf")
        )
        self.assertEqual(self.denied(restored), [])
        # A restoration after the time in which it had to be known.
        self.evidence.keys["key"] = evidence_lib.KeyLife(
            "tenant", issued_at - slack_s, float("inf")
        )
        self.assertEqual(self.denied(restored), ["denied"])


if __name__ == "__main__":
    unittest.main()
