"""Tests of the judge of hosts that get most new connections."""

import unittest

from hillthread.bench.gateway_soak import evidence as evidence_lib
from hillthread.bench.gateway_soak import herd_verdict


def make_evidence(statuses):
    """Returns evidence of a preferred host that answered with statuses."""
    evidence = evidence_lib.Evidence(evidence_lib.Bounds())
    evidence.preferences.append(
        evidence_lib.Disturbance("host_preferred", "h1", 200.0, 210.0)
    )
    for number in range(30):
        at = 100.0 + number
        evidence.exchanges.append(
            evidence_lib.Exchange(
                f"b{number}", "again", "k", "h2", 1, at, at + 0.1, 200
            )
        )
    for number, status in enumerate(statuses):
        at = 203.0 + number / 10.0
        evidence.exchanges.append(
            evidence_lib.Exchange(
                f"d{number}", "again", "k", "h1", 1, at, at + 0.1, status
            )
        )
    return evidence


class HerdVerdictTest(unittest.TestCase):
    def test_refusals_are_read(self):
        evidence = make_evidence([200, 503] * 15)
        self.assertEqual(list(herd_verdict.violations(evidence)), [])

    def test_connections_that_are_not_read_are_found(self):
        evidence = make_evidence([200, 0] * 15)
        found = list(herd_verdict.violations(evidence))
        self.assertEqual([each.subject for each in found], ["h1"])

    def test_disturbed_host_is_excused(self):
        evidence = make_evidence([200, 0] * 15)
        evidence.disturbances.append(
            evidence_lib.Disturbance("host_killed", "h1", 199.0, 209.0)
        )
        self.assertEqual(list(herd_verdict.violations(evidence)), [])
