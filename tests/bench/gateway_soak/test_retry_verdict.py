"""Tests of the judge of retries of all hosts together."""

import unittest

from hillthread.bench.gateway_soak import evidence as evidence_lib
from hillthread.bench.gateway_soak import retry_verdict
from hillthread.standin import platform_target


def make_evidence(requests, retries_of_each):
    """Returns evidence of requests that reached one target several times."""
    evidence = evidence_lib.Evidence(evidence_lib.Bounds())
    target = platform_target.PlatformTargetStandin("t", "plain")
    evidence.targets.append(target)
    for number in range(requests):
        at = 100.0 + number / requests
        evidence.exchanges.append(
            evidence_lib.Exchange(f"r{number}", "again", "k", "h", 1, at)
        )
        target.arrivals += [
            platform_target.Arrival(f"r{number}", at + 0.1 * again, 0)
            for again in range(1 + retries_of_each)
        ]
    return evidence


class RetryVerdictTest(unittest.TestCase):
    def test_retries_within_the_bound_are_allowed(self):
        self.assertEqual(
            list(retry_verdict.violations(make_evidence(25, 1))), []
        )

    def test_retries_beyond_the_bound_are_found(self):
        found = list(retry_verdict.violations(make_evidence(26, 1)))
        self.assertEqual([each.promise for each in found], ["retries"])

    def test_arrivals_that_a_link_delayed_are_excused(self):
        evidence = make_evidence(40, 1)
        evidence.disturbances.append(
            evidence_lib.Disturbance("link_slow", "t", 99.0, 100.5)
        )
        self.assertEqual(list(retry_verdict.violations(evidence)), [])
