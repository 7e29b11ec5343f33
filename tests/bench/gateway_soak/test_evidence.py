"""Tests of what a soak has recorded."""

import unittest

from hillthread.bench.gateway_soak import evidence as evidence_lib


class ObservedTimeTest(unittest.TestCase):
    def setUp(self):
        self.evidence = evidence_lib.Evidence(evidence_lib.Bounds(contact_s=2))

    def add(self, subject, began_at, ended_at):
        self.evidence.disturbances.append(
            evidence_lib.Disturbance("any", subject, began_at, ended_at)
        )

    def test_all_time_is_observed_without_standstills(self):
        self.add("h0", 1.0, 9.0)
        self.assertEqual(self.evidence.observed_s(0.0, 10.0), 10.0)

    # Guards against a run that ends on a busy machine before hosts were judged
    # for the planned time.
    def test_time_of_contact_after_standstills_is_not_observed(self):
        for began_at in (1.0, 1.5, 6.0):
            self.add(evidence_lib.OBSERVER, began_at, began_at + 0.5)
        self.assertEqual(self.evidence.observed_s(0.0, 10.0), 4.5)

    def test_standstill_at_the_end_counts_until_then(self):
        self.add(evidence_lib.OBSERVER, 9.5, 9.9)
        self.assertEqual(self.evidence.observed_s(0.0, 10.0), 9.5)


if __name__ == "__main__":
    unittest.main()
