"""Tests for the tracking of weights versions."""

import unittest

import hypothesis
from hypothesis import strategies as st

from hillthread.state.targets import rollout
from hillthread.state.targets import weights


class WeightsBoardTest(unittest.TestCase):
    def test_versions_only_increase(self):
        tracker = weights.WeightsTracker()
        self.assertTrue(tracker.record_announcement("m", 3, 0.0))
        self.assertFalse(tracker.record_announcement("m", 2, 1.0))
        self.assertFalse(tracker.record_announcement("m", 3, 1.0))
        self.assertEqual(tracker.newest["m"].version, 3)

    def test_lagging_list_does_not_override_an_answer(self):
        tracker = weights.WeightsTracker()
        tracker.update_from_list("t", "m", 1)
        self.assertTrue(tracker.update_from_answer("t", "m", 2))
        tracker.update_from_list("t", "m", 1)
        self.assertEqual(tracker.held_version("t", "m"), 2)

    def test_answer_begun_before_a_load_does_not_lower_the_version(self):
        tracker = weights.WeightsTracker()
        tracker.update_from_answer("t", "m", 2)
        self.assertFalse(tracker.update_from_answer("t", "m", 1))
        self.assertEqual(tracker.held_version("t", "m"), 2)
        tracker.update_from_report("t", "m", 1)
        self.assertEqual(tracker.held_version("t", "m"), 1)

    def test_rejected_version_is_replaced_by_a_guess(self):
        tracker = weights.WeightsTracker()
        tracker.record_announcement("m", 2, 0.0)
        tracker.update_from_list("t", "m", 1)
        tracker.reject_version("t", "m", 1)
        self.assertEqual(tracker.held_version("t", "m"), 2)
        tracker.reject_version("t", "m", 2)
        self.assertTrue(tracker.is_behind("t", "m"))

    def test_rejected_version_is_not_guessed_again(self):
        tracker = weights.WeightsTracker()
        tracker.update_from_list("t", "m", 1)
        tracker.record_announcement("m", 2, 0.0)
        tracker.record_announcement("m", 3, 0.0)
        held = []
        for _ in range(4):
            tracker.reject_version("t", "m", tracker.held_version("t", "m"))
            held.append(tracker.held_version("t", "m"))
        self.assertEqual(held[:2], [3, 2])
        self.assertIn(1, held)  # all were rejected, so guessing starts again
        self.assertNotIn(None, held)

    def test_target_stays_behind_after_its_version_is_rejected(self):
        tracker = weights.WeightsTracker()
        tracker.update_from_list("t", "m", 1)
        tracker.record_announcement("m", 2, 0.0)
        tracker.update_from_answer("t", "m", 2)
        tracker.record_announcement("m", 3, 0.0)
        tracker.reject_version("t", "m", 2)
        self.assertTrue(tracker.is_behind("t", "m"))

    def test_late_rejection_does_not_replace_a_newer_version(self):
        tracker = weights.WeightsTracker()
        tracker.update_from_list("t", "m", 3)
        tracker.record_announcement("m", 3, 0.0)
        tracker.update_from_list("t", "m", 4)
        self.assertFalse(tracker.reject_version("t", "m", 3))
        self.assertEqual(tracker.held_version("t", "m"), 4)

    def test_listed_version_replaces_a_guess_even_if_unchanged(self):
        tracker = weights.WeightsTracker()
        tracker.record_announcement("m", 2, 0.0)
        tracker.update_from_list("t", "m", 1)
        self.assertTrue(tracker.reject_version("t", "m", 1))
        self.assertEqual(tracker.held_version("t", "m"), 2)
        tracker.update_from_list("t", "m", 1)
        self.assertEqual(tracker.held_version("t", "m"), 1)

    def test_forgotten_target_leaves_no_state(self):
        tracker = weights.WeightsTracker()
        tracker.update_from_list("t", "m", 1)
        tracker.forget("t")
        self.assertIsNone(tracker.held_version("t", "m"))
        tracker.update_from_list("t", "m", 1)
        self.assertEqual(tracker.held_version("t", "m"), 1)

    def test_lags_are_returned_for_each_model(self):
        tracker = weights.WeightsTracker()
        tracker.update_from_list("t", "m", 1)
        tracker.update_from_list("t", "n", 1)
        tracker.record_announcement("m", 2, 0.0)
        self.assertEqual(list(tracker.lags(0.0)), [("t", "m")])

    def test_rejected_newest_version_falls_back_to_the_listed_one(self):
        tracker = weights.WeightsTracker()
        tracker.update_from_list("t", "m", 1)
        tracker.record_announcement("m", 2, 0.0)
        tracker.record_announcement("m", 3, 0.0)
        tracker.update_from_answer("t", "m", 3)
        tracker.reject_version("t", "m", 3)
        self.assertEqual(tracker.held_version("t", "m"), 1)

    def test_max_concurrent_loads(self):
        self.assertEqual(
            [rollout.max_concurrent_loads(n) for n in (1, 4, 5, 45, 70)],
            [1, 2, 2, 18, 28],
        )


class GraceTest(unittest.TestCase):
    """Tests for the period in which starts on older weights are allowed."""

    def setUp(self):
        self.tracker = weights.WeightsTracker(limit_s=10.0)

    def grace(self, held, at):
        """Returns the grace of a start on a held version."""
        self.tracker.update_from_report("t", "m", held)
        lag = self.tracker.lag("t", "m", at)
        return lag and lag.grace

    def test_grace_ends_before_the_limit(self):
        self.assertIsNone(self.grace(1, 0.0))
        self.tracker.record_announcement("m", 2, 0.0, -0.5)
        self.assertEqual(self.grace(1, 1.0), weights.WeightsGrace.FREE)
        self.assertEqual(self.grace(1, 5.0), weights.WeightsGrace.COSTLY)
        self.assertEqual(self.grace(1, 9.0), weights.WeightsGrace.FORBIDDEN)
        self.assertIsNone(self.grace(2, 99.0))

    def test_each_version_has_its_own_grace(self):
        self.tracker.record_announcement("m", 2, 0.0, -0.1)
        self.tracker.record_announcement("m", 3, 7.0, 6.9)
        self.assertEqual(self.grace(1, 9.0), weights.WeightsGrace.FORBIDDEN)
        self.assertEqual(self.grace(2, 9.0), weights.WeightsGrace.COSTLY)
        self.tracker.record_announcement("m", 4, 9.0, 8.9)
        self.assertEqual(self.grace(1, 10.0), weights.WeightsGrace.FORBIDDEN)
        self.assertEqual(self.grace(2, 10.0), weights.WeightsGrace.COSTLY)
        self.assertEqual(self.grace(3, 10.0), weights.WeightsGrace.FREE)

    def test_announcements_do_not_allow_a_forbidden_version(self):
        self.tracker.record_announcement("m", 2, 0.0, -0.1)
        for version in range(3, 40):
            self.tracker.record_announcement(
                "m", version, 3.0 * version, 3.0 * version
            )
            self.assertEqual(
                self.grace(1, 3.0 * version), weights.WeightsGrace.FORBIDDEN
            )

    def test_grace_counts_from_the_earliest_possible_announcement(self):
        self.tracker.record_announcement("m", 2, 8.0, 0.0)
        self.assertEqual(self.grace(1, 8.1), weights.WeightsGrace.COSTLY)
        self.assertEqual(self.grace(1, 9.6), weights.WeightsGrace.FORBIDDEN)

    def test_weights_found_at_the_start_get_a_short_grace(self):
        self.tracker.record_announcement("m", 2, 0.0)
        self.assertEqual(self.grace(1, 0.1), weights.WeightsGrace.COSTLY)
        self.assertEqual(self.grace(1, 1.4), weights.WeightsGrace.COSTLY)
        self.assertEqual(self.grace(1, 1.6), weights.WeightsGrace.FORBIDDEN)
        self.tracker = weights.WeightsTracker(limit_s=2.0)
        self.tracker.record_announcement("m", 2, 0.0)
        self.assertEqual(self.grace(1, 0.4), weights.WeightsGrace.COSTLY)
        self.assertEqual(self.grace(1, 0.6), weights.WeightsGrace.FORBIDDEN)

    def test_unknown_weights_count_as_the_oldest(self):
        self.tracker.record_announcement("m", 2, 0.0, -0.1)
        self.tracker.record_announcement("m", 3, 8.0, 7.9)
        self.assertEqual(
            self.tracker.lag("new", "m", 9.5).grace,
            weights.WeightsGrace.FORBIDDEN,
        )

    @hypothesis.given(
        st.lists(st.floats(0.05, 12.0), min_size=1, max_size=20),
        st.data(),
    )
    def test_no_series_of_announcements_prolongs_the_grace(self, gaps, data):
        self.tracker = weights.WeightsTracker(limit_s=10.0)
        announced_at = {}
        learned_at = {}
        now = 0.0
        for version, gap in enumerate(gaps, start=2):
            before = now
            now += gap
            announced_at[version] = before + gap * data.draw(
                st.floats(0.0, 1.0)
            )
            learned_at[version] = now
            share = data.draw(st.floats(0.0, 1.0))
            not_before = before + (announced_at[version] - before) * share
            self.tracker.record_announcement("m", version, now, not_before)
        held = data.draw(st.integers(0, len(gaps)))
        at = now + data.draw(st.floats(0.0, 15.0))
        if held:
            self.tracker.update_from_report("t", "m", held)
        grace = self.tracker.lag("t", "m", at).grace
        first = max(2, held + 1)
        limit = max(announced_at[first] + 10.0, learned_at[first] + 3.0)
        if at > limit:
            self.assertEqual(grace, weights.WeightsGrace.FORBIDDEN)
        if at < learned_at[first] + 1.4:
            self.assertNotEqual(grace, weights.WeightsGrace.FORBIDDEN)
