"""Tests of which prompts are refused because they would be late."""

import unittest

from hillthread.state.quotas import aim_admission
from hillthread.state.routing import first_byte


def expect(queue_s, read_s=0.1):
    """Returns an estimate with a queue and a prompt of some length."""
    tokens = int(read_s * 40_000)
    return first_byte.Estimate(queue_s, 0.0, read_s, tokens, 0)


class AimAdmissionTest(unittest.TestCase):
    def test_prompt_behind_a_queue_as_long_as_its_aim_is_refused(self):
        self.assertTrue(aim_admission.is_queue_too_long(expect(0.7), 0.6))
        self.assertFalse(aim_admission.is_queue_too_long(expect(0.4), 0.6))

    def test_long_prompt_that_waits_for_nobody_is_sent(self):
        self.assertFalse(aim_admission.is_queue_too_long(expect(0.0, 2.0), 0.6))

    def test_without_an_aim_nothing_is_refused(self):
        self.assertFalse(aim_admission.is_queue_too_long(expect(9.0), 0.0))

    def test_return_is_when_the_queue_is_over(self):
        self.assertAlmostEqual(aim_admission.queue_drain_s(expect(0.7)), 0.7)
