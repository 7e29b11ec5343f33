"""Tests of ejection and retry budgets."""

import unittest

from hillthread.state.targets import health


class BreakerTest(unittest.TestCase):
    def test_ejects_probes_and_recovers(self):
        breaker = health.Breaker(3, 2.0)
        for _ in range(3):
            self.assertEqual(breaker.state(0.0), health.BreakerState.CLOSED)
            breaker.fail(0.0)
        self.assertEqual(breaker.state(1.9), health.BreakerState.OPEN)
        self.assertEqual(breaker.state(2.0), health.BreakerState.HALF_OPEN)
        breaker.admit(2.0)
        self.assertEqual(breaker.state(2.0), health.BreakerState.OPEN)
        breaker.fail(2.5)
        self.assertEqual(breaker.state(6.4), health.BreakerState.OPEN)
        breaker.admit(6.5)
        breaker.succeed()
        self.assertEqual(breaker.state(6.5), health.BreakerState.CLOSED)

    def test_abandoned_probe_does_not_keep_it_open(self):
        breaker = health.Breaker(1, 1.0)
        breaker.fail(0.0)
        breaker.admit(1.0)
        breaker.release()
        self.assertEqual(breaker.state(1.0), health.BreakerState.HALF_OPEN)
