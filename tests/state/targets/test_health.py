"""Tests for circuit breakers."""

import unittest

from hillthread.state.targets import health


class CircuitBreakerTest(unittest.TestCase):
    def test_ejects_probes_and_recovers(self):
        breaker = health.CircuitBreaker(3, 2.0)
        for _ in range(3):
            self.assertEqual(breaker.state(0.0), health.BreakerState.CLOSED)
            breaker.record_failure(0.0)
        self.assertEqual(breaker.state(1.9), health.BreakerState.OPEN)
        self.assertEqual(breaker.state(2.0), health.BreakerState.HALF_OPEN)
        breaker.admit(2.0)
        self.assertEqual(breaker.state(2.0), health.BreakerState.OPEN)
        breaker.record_failure(2.5)
        self.assertEqual(breaker.state(6.4), health.BreakerState.OPEN)
        breaker.admit(6.5)
        breaker.record_success()
        self.assertEqual(breaker.state(6.5), health.BreakerState.CLOSED)

    def test_abandoned_probe_does_not_keep_it_open(self):
        breaker = health.CircuitBreaker(1, 1.0)
        breaker.record_failure(0.0)
        breaker.admit(1.0)
        breaker.cancel_probe()
        self.assertEqual(breaker.state(1.0), health.BreakerState.HALF_OPEN)
