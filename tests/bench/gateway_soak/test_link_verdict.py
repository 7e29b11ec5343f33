"""Tests of the judgement on hosts that reach no target."""

import unittest

from hillthread.bench.gateway_soak import evidence as evidence_lib
from hillthread.bench.gateway_soak import link_verdict

# In touch from 2 s after the cut began.
_CUT = (10.0, 20.0)


class LinkVerdictTest(unittest.TestCase):
    def setUp(self):
        self.evidence = evidence_lib.Evidence(evidence_lib.Bounds())
        self.evidence.keys["key"] = evidence_lib.KeyLife(
            "tenant", 0.0, float("inf")
        )
        self.evidence.disturbances = [
            evidence_lib.Disturbance(
                evidence_lib.TARGETS_LOST, evidence_lib.targets_of("h0"), *_CUT
            )
        ]

    def ask(self, host, served, refused, began_at=13.0):
        for number in range(served + refused):
            sent_at = began_at + number / 100
            self.evidence.exchanges.append(
                evidence_lib.Exchange(
                    f"{host}-{number}",
                    "once",
                    "key",
                    host,
                    1,
                    sent_at,
                    sent_at + 0.01,
                    200 if number < served else 503,
                    whole=True,
                )
            )

    def violations(self):
        return [each.promise for each in link_verdict.violations(self.evidence)]

    def test_host_that_refuses_all_breaks_the_promise(self):
        self.ask("h0", 0, 30)
        self.ask("h1", 30, 0)
        self.assertEqual(self.violations(), ["reach"])

    def test_host_that_is_served_as_well_as_others_keeps_it(self):
        self.ask("h0", 21, 9)
        self.ask("h1", 30, 0)
        self.assertEqual(self.violations(), [])
        self.ask("h0", 0, 40)
        self.ask("h1", 0, 70)
        self.assertEqual(self.violations(), [])

    def test_few_failures_and_the_first_seconds_do_not_count(self):
        self.ask("h0", 0, 10)
        self.ask("h0", 0, 50, began_at=10.5)
        self.ask("h1", 30, 0)
        self.assertEqual(self.violations(), [])

    def test_host_out_of_touch_is_excused(self):
        self.ask("h0", 0, 30)
        self.ask("h1", 30, 0)
        self.evidence.disturbances.append(
            evidence_lib.Disturbance("host_paused", "h0", 12.5, 12.6)
        )
        self.assertEqual(self.violations(), [])
