"""Tests of what a host knows of a target from its own attempts."""

import unittest

from hillthread.state.targets import target_state


class ForgivenFailuresTest(unittest.TestCase):
    def test_ejection_for_forgiven_failures_ends(self):
        state = target_state.TargetState()
        for _ in range(2):
            state.record_failure(10.0)
        self.assertFalse(state.is_available(10.1))
        state.forgive_failures(10.5)
        self.assertFalse(state.is_available(10.1))
        state.forgive_failures(9.9)
        self.assertTrue(state.is_available(10.1))

    def test_mismatches_are_not_forgiven(self):
        state = target_state.TargetState()
        state.record_unreachable(10.0)
        state.forgive_failures(9.9)
        self.assertFalse(state.is_available(10.1))
