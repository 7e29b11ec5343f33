"""Tests of refusing prompts that would miss their objective."""

import unittest

from hillthread.state.quotas import aim_admission
from hillthread.state.routing import first_byte


def make_estimate(queue_s, prefill_s=0.1):
    """Returns an estimate for a queue and a prompt of the given length."""
    tokens = int(prefill_s * 40_000)
    return first_byte.Estimate(queue_s, 0.0, prefill_s, tokens, 0)


class AimAdmissionTest(unittest.TestCase):
    def test_queue_as_long_as_the_objective_is_refused(self):
        self.assertTrue(
            aim_admission.is_queue_too_long(make_estimate(0.7), 0.6)
        )
        self.assertFalse(
            aim_admission.is_queue_too_long(make_estimate(0.4), 0.6)
        )

    def test_long_prompt_without_a_queue_is_sent(self):
        self.assertFalse(
            aim_admission.is_queue_too_long(make_estimate(0.0, 2.0), 0.6)
        )

    def test_nothing_is_refused_without_an_objective(self):
        self.assertFalse(
            aim_admission.is_queue_too_long(make_estimate(9.0), 0.0)
        )

    def test_retry_time_is_when_the_queue_has_drained(self):
        self.assertAlmostEqual(
            aim_admission.queue_drain_s(make_estimate(0.7)), 0.7
        )
