"""Tests of what a host knows of weights."""

import unittest

import hypothesis
from hypothesis import strategies as st

from hillthread.state.targets import rollout
from hillthread.state.targets import weights


class WeightsBoardTest(unittest.TestCase):
    def test_versions_only_rise(self):
        board = weights.WeightsTracker()
        self.assertTrue(board.record_announcement("m", 3, 0.0))
        self.assertFalse(board.record_announcement("m", 2, 1.0))
        self.assertFalse(board.record_announcement("m", 3, 1.0))
        self.assertEqual(board.newest["m"].version, 3)

    def test_lagging_list_does_not_undo_what_a_target_said(self):
        board = weights.WeightsTracker()
        board.update_from_list("t", "m", 1)
        self.assertTrue(board.update_from_answer("t", "m", 2))
        board.update_from_list("t", "m", 1)
        self.assertEqual(board.held_version("t", "m"), 2)

    def test_answer_begun_before_a_load_does_not_lower_the_version(self):
        board = weights.WeightsTracker()
        board.update_from_answer("t", "m", 2)
        self.assertFalse(board.update_from_answer("t", "m", 1))
        self.assertEqual(board.held_version("t", "m"), 2)
        board.update_from_report("t", "m", 1)
        self.assertEqual(board.held_version("t", "m"), 1)

    def test_refuted_belief(self):
        board = weights.WeightsTracker()
        board.record_announcement("m", 2, 0.0)
        board.update_from_list("t", "m", 1)
        board.reject_version("t", "m", 1)
        self.assertEqual(board.held_version("t", "m"), 2)
        board.reject_version("t", "m", 2)
        self.assertTrue(board.is_behind("t", "m"))

    def test_what_was_refuted_is_not_guessed_again(self):
        board = weights.WeightsTracker()
        board.update_from_list("t", "m", 1)
        board.record_announcement("m", 2, 0.0)
        board.record_announcement("m", 3, 0.0)
        held = []
        for _ in range(4):
            board.reject_version("t", "m", board.held_version("t", "m"))
            held.append(board.held_version("t", "m"))
        self.assertEqual(held[:2], [3, 2])
        self.assertIn(1, held)  # all were refuted: it starts again
        self.assertNotIn(None, held)

    def test_refuted_weights_are_not_taken_for_those_named_since(self):
        board = weights.WeightsTracker()
        board.update_from_list("t", "m", 1)
        board.record_announcement("m", 2, 0.0)
        board.update_from_answer("t", "m", 2)
        board.record_announcement("m", 3, 0.0)
        board.reject_version("t", "m", 2)
        self.assertTrue(board.is_behind("t", "m"))

    def test_late_refusal_does_not_replace_what_was_told_since(self):
        board = weights.WeightsTracker()
        board.update_from_list("t", "m", 3)
        board.record_announcement("m", 3, 0.0)
        board.update_from_list("t", "m", 4)
        self.assertFalse(board.reject_version("t", "m", 3))
        self.assertEqual(board.held_version("t", "m"), 4)

    def test_listing_ends_a_guess_also_when_it_is_the_same(self):
        board = weights.WeightsTracker()
        board.record_announcement("m", 2, 0.0)
        board.update_from_list("t", "m", 1)
        self.assertTrue(board.reject_version("t", "m", 1))
        self.assertEqual(board.held_version("t", "m"), 2)
        board.update_from_list("t", "m", 1)
        self.assertEqual(board.held_version("t", "m"), 1)

    def test_target_that_is_gone_leaves_nothing(self):
        board = weights.WeightsTracker()
        board.update_from_list("t", "m", 1)
        board.forget("t")
        self.assertIsNone(board.held_version("t", "m"))
        board.update_from_list("t", "m", 1)
        self.assertEqual(board.held_version("t", "m"), 1)

    def test_lags_are_told_for_each_model(self):
        board = weights.WeightsTracker()
        board.update_from_list("t", "m", 1)
        board.update_from_list("t", "n", 1)
        board.record_announcement("m", 2, 0.0)
        self.assertEqual(list(board.lags(0.0)), [("t", "m")])

    def test_refuted_newest_weights_are_what_was_listed(self):
        board = weights.WeightsTracker()
        board.update_from_list("t", "m", 1)
        board.record_announcement("m", 2, 0.0)
        board.record_announcement("m", 3, 0.0)
        board.update_from_answer("t", "m", 3)
        board.reject_version("t", "m", 3)
        self.assertEqual(board.held_version("t", "m"), 1)

    def test_loads_at_once(self):
        self.assertEqual(
            [rollout.max_concurrent_loads(n) for n in (1, 4, 5, 45, 70)],
            [1, 2, 2, 18, 28],
        )


class GraceTest(unittest.TestCase):
    """The time in which starts on older weights are allowed."""

    def setUp(self):
        self.board = weights.WeightsTracker(limit_s=10.0)

    def grace(self, held, at):
        """Returns how a start on some version is looked at."""
        self.board.update_from_report("t", "m", held)
        lag = self.board.lag("t", "m", at)
        return lag and lag.grace

    def test_it_ends_before_the_limit(self):
        self.assertIsNone(self.grace(1, 0.0))
        self.board.record_announcement("m", 2, 0.0, -0.5)
        self.assertEqual(self.grace(1, 1.0), weights.WeightsGrace.FREE)
        self.assertEqual(self.grace(1, 5.0), weights.WeightsGrace.COSTLY)
        self.assertEqual(self.grace(1, 9.0), weights.WeightsGrace.FORBIDDEN)
        self.assertIsNone(self.grace(2, 99.0))

    def test_each_version_has_its_own(self):
        self.board.record_announcement("m", 2, 0.0, -0.1)
        self.board.record_announcement("m", 3, 7.0, 6.9)
        self.assertEqual(self.grace(1, 9.0), weights.WeightsGrace.FORBIDDEN)
        self.assertEqual(self.grace(2, 9.0), weights.WeightsGrace.COSTLY)
        self.board.record_announcement("m", 4, 9.0, 8.9)
        self.assertEqual(self.grace(1, 10.0), weights.WeightsGrace.FORBIDDEN)
        self.assertEqual(self.grace(2, 10.0), weights.WeightsGrace.COSTLY)
        self.assertEqual(self.grace(3, 10.0), weights.WeightsGrace.FREE)

    def test_what_is_forbidden_stays_so_whatever_is_named(self):
        self.board.record_announcement("m", 2, 0.0, -0.1)
        for version in range(3, 40):
            self.board.record_announcement(
                "m", version, 3.0 * version, 3.0 * version
            )
            self.assertEqual(
                self.grace(1, 3.0 * version), weights.WeightsGrace.FORBIDDEN
            )

    def test_it_counts_from_when_weights_were_surely_not_named(self):
        self.board.record_announcement("m", 2, 8.0, 0.0)
        self.assertEqual(self.grace(1, 8.1), weights.WeightsGrace.COSTLY)
        self.assertEqual(self.grace(1, 9.6), weights.WeightsGrace.FORBIDDEN)

    def test_weights_found_at_the_start_leave_a_moment(self):
        self.board.record_announcement("m", 2, 0.0)
        self.assertEqual(self.grace(1, 0.1), weights.WeightsGrace.COSTLY)
        self.assertEqual(self.grace(1, 1.4), weights.WeightsGrace.COSTLY)
        self.assertEqual(self.grace(1, 1.6), weights.WeightsGrace.FORBIDDEN)
        self.board = weights.WeightsTracker(limit_s=2.0)
        self.board.record_announcement("m", 2, 0.0)
        self.assertEqual(self.grace(1, 0.4), weights.WeightsGrace.COSTLY)
        self.assertEqual(self.grace(1, 0.6), weights.WeightsGrace.FORBIDDEN)

    def test_unknown_weights_may_be_the_oldest(self):
        self.board.record_announcement("m", 2, 0.0, -0.1)
        self.board.record_announcement("m", 3, 8.0, 7.9)
        self.assertEqual(
            self.board.lag("new", "m", 9.5).grace,
            weights.WeightsGrace.FORBIDDEN,
        )

    @hypothesis.given(
        st.lists(st.floats(0.05, 12.0), min_size=1, max_size=20),
        st.data(),
    )
    def test_no_series_of_names_prolongs_it(self, gaps, data):
        self.board = weights.WeightsTracker(limit_s=10.0)
        named_at = {}
        learned_at = {}
        now = 0.0
        for version, gap in enumerate(gaps, start=2):
            before = now
            now += gap
            named_at[version] = before + gap * data.draw(st.floats(0.0, 1.0))
            learned_at[version] = now
            share = data.draw(st.floats(0.0, 1.0))
            not_before = before + (named_at[version] - before) * share
            self.board.record_announcement("m", version, now, not_before)
        held = data.draw(st.integers(0, len(gaps)))
        at = now + data.draw(st.floats(0.0, 15.0))
        if held:
            self.board.update_from_report("t", "m", held)
        grace = self.board.lag("t", "m", at).grace
        first = max(2, held + 1)
        limit = max(named_at[first] + 10.0, learned_at[first] + 3.0)
        if at > limit:
            self.assertEqual(grace, weights.WeightsGrace.FORBIDDEN)
        if at < learned_at[first] + 1.4:
            self.assertNotEqual(grace, weights.WeightsGrace.FORBIDDEN)
