"""Tests for the signals that start and end a departure."""

import unittest

from hillthread.state.targets import departures


class DeparturesTest(unittest.TestCase):
    def setUp(self):
        self.departures = departures.Departures()
        self.departures.mark_leaving("t", "i1")

    def test_late_signal_of_an_ended_departure_is_ignored(self):
        """A host that was cut off still sends what it knew."""
        self.assertTrue(self.departures.mark_live("t", "i2"))
        self.assertFalse(self.departures.mark_leaving("t", "i1"))
        self.assertEqual(self.departures.leaving, {})

    def test_live_incarnation_can_leave_later(self):
        self.departures.mark_live("t", "i2")
        self.assertTrue(self.departures.mark_leaving("t", "i2"))
        self.assertEqual(self.departures.leaving, {"t": "i2"})
        self.assertFalse(self.departures.mark_live("t", "i1"))
        self.assertTrue(self.departures.mark_live("t", "i3"))
        self.assertFalse(self.departures.mark_leaving("t", "i2"))

    def test_departure_of_an_unknown_incarnation_counts(self):
        self.departures.mark_leaving("t", "")
        self.departures.mark_live("t", "i2")
        self.assertTrue(self.departures.mark_leaving("t", "i3"))
        self.assertTrue(self.departures.mark_live("t", "i4"))
        self.assertTrue(self.departures.mark_leaving("t", ""))

    def test_target_configured_again_can_leave_again(self):
        self.departures.mark_live("t", "i2")
        self.departures.forget("t")
        self.assertTrue(self.departures.mark_leaving("t", "i1"))
