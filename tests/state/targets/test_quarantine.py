"""Tests of who is to blame when targets end under requests."""

import unittest

from hillthread.state.targets import quarantine

DEADLY = "deadly"
BESIDE = "beside"
OTHER = "other"
# Times as a host has them after a day; what is over must not hang on zero.
T0 = 90_000.0


def after_ends(*ended, at=T0):
    """Returns a quarantine after ends: who was open, a second apart."""
    known = quarantine.Quarantine()
    for number, digests in enumerate(ended):
        for digest in digests:
            known.record_end(digest, number, at + number)
    return known


class HoldTest(unittest.TestCase):
    def test_unknown_request_is_free(self):
        standing = quarantine.Quarantine().status_of(DEADLY, T0)
        self.assertEqual(standing, (0, 0.0))
        self.assertFalse(standing.is_suspect)

    def test_one_end_only_sets_apart(self):
        standing = after_ends([DEADLY]).status_of(DEADLY, T0)
        self.assertEqual(standing, (1, 0.0))
        self.assertTrue(standing.is_suspect)

    def test_same_end_told_again_counts_once(self):
        known = after_ends([DEADLY])
        known.record_end(DEADLY, 0, T0 + 0.4)
        self.assertEqual(known.status_of(DEADLY, T0 + 1.0).ends, 1)

    def test_hold_grows_with_each_end(self):
        for ends, hold_s in (
            (2, 1.0),
            (3, 1.5),
            (4, 30.0),
            (5, 300.0),
            (6, 1800.0),
        ):
            with self.subTest(ends=ends):
                known = after_ends(*[[DEADLY]] * ends)
                last_at = T0 + ends - 1
                held_s = known.status_of(DEADLY, last_at).held_s
                self.assertAlmostEqual(held_s, hold_s)
                later = last_at + hold_s + 0.01
                self.assertEqual(known.status_of(DEADLY, later).held_s, 0.0)

    def test_others_leave_a_trial_to_the_one_that_announced_it(self):
        known = after_ends([DEADLY], [DEADLY])
        known.begin_trial(DEADLY, T0 + 10.0)
        self.assertGreater(known.status_of(DEADLY, T0 + 10.1).held_s, 1.0)
        self.assertEqual(known.status_of(DEADLY, T0 + 12.1).held_s, 0.0)

    def test_trial_is_over_with_the_next_end(self):
        known = after_ends([DEADLY], [DEADLY])
        self.assertFalse(known.has_running_trial(DEADLY, T0 + 10.0))
        known.begin_trial(DEADLY, T0 + 10.0)
        self.assertTrue(known.has_running_trial(DEADLY, T0 + 10.1))
        known.record_end(DEADLY, 2, T0 + 10.2)
        self.assertFalse(known.has_running_trial(DEADLY, T0 + 10.3))
        self.assertFalse(known.has_running_trial(OTHER, T0 + 10.3))

    def test_suspects_are_forgotten_with_time(self):
        for ends, kept_s in ((1, 60.0), (2, 60.0), (3, 3600.0)):
            with self.subTest(ends=ends):
                known = after_ends(*[[DEADLY]] * ends)
                last_at = T0 + ends - 1
                before, after = last_at + kept_s - 1.0, last_at + kept_s + 1.0
                self.assertEqual(known.status_of(DEADLY, before).ends, ends)
                self.assertEqual(known.status_of(DEADLY, after).ends, 0)

    def test_end_of_long_ago_is_held_for_the_rest_only(self):
        known = quarantine.Quarantine()
        for number in range(4):
            known.record_end(DEADLY, number, T0, ago_s=20.0)
        self.assertAlmostEqual(known.status_of(DEADLY, T0).held_s, 10.0)

    def test_there_are_no_more_suspects_than_are_of_use(self):
        known = after_ends([DEADLY], [DEADLY])
        for number in range(2_000):
            known.record_end(f"one-{number}", 100 + number, T0 + 2.0)
        suspects = known.suspects(T0 + 3.0)
        self.assertLessEqual(len(suspects), 1_024)
        self.assertEqual(suspects[0].digest, DEADLY)


class BlameTest(unittest.TestCase):
    def test_one_that_was_there_each_time_explains_the_ends(self):
        known = after_ends([DEADLY, BESIDE], [DEADLY, BESIDE], [DEADLY])
        at = T0 + 2.0
        self.assertEqual(known.status_of(DEADLY, at).ends, 3)
        self.assertEqual(known.status_of(BESIDE, at), (0, 0.0))

    def test_ends_elsewhere_still_count(self):
        known = after_ends([DEADLY, BESIDE], [DEADLY], [DEADLY], [BESIDE])
        self.assertEqual(known.status_of(BESIDE, T0 + 3.0).ends, 1)

    def test_of_two_that_were_there_alike_none_is_acquitted(self):
        known = after_ends(*[[DEADLY, BESIDE]] * 3)
        self.assertEqual(known.status_of(DEADLY, T0 + 2.0).ends, 3)
        self.assertEqual(known.status_of(BESIDE, T0 + 2.0).ends, 3)

    def test_few_ends_explain_nothing(self):
        known = after_ends([DEADLY, BESIDE], [DEADLY])
        self.assertEqual(known.status_of(BESIDE, T0 + 1.0).ends, 1)

    def test_good_end_acquits_and_late_word_changes_nothing(self):
        known = after_ends([BESIDE], [BESIDE])
        self.assertTrue(known.record_success(BESIDE, T0 + 2.0))
        self.assertFalse(known.record_end(BESIDE, 5, T0 + 3.0))
        self.assertEqual(known.status_of(BESIDE, T0 + 3.0).ends, 0)
        self.assertFalse(known.record_success(BESIDE, T0 + 3.0))
        self.assertTrue(known.record_end(BESIDE, 6, T0 + 14.0))

    def test_acquitted_one_explains_nothing_any_more(self):
        known = after_ends([DEADLY, BESIDE], [DEADLY, BESIDE], [DEADLY])
        known.record_success(DEADLY, T0 + 3.0)
        self.assertEqual(known.status_of(BESIDE, T0 + 3.0).ends, 2)


class CutTest(unittest.TestCase):
    def test_cut_counts_here_until_the_target_is_reached(self):
        known = quarantine.Quarantine()
        known.record_disconnect(DEADLY, 1, T0)
        self.assertEqual(known.status_of(DEADLY, T0).ends, 1)
        known.mark_reachable(1)
        self.assertEqual(known.status_of(DEADLY, T0).ends, 0)

    def test_end_is_told_with_all_that_was_open(self):
        known = quarantine.Quarantine()
        for digest in (DEADLY, BESIDE):
            known.record_disconnect(digest, 1, T0)
        known.record_disconnect(OTHER, 2, T0)
        self.assertEqual(known.confirm_end(1, T0), [BESIDE, DEADLY])
        self.assertEqual(known.confirm_end(1, T0), [])
        self.assertEqual(known.status_of(DEADLY, T0).ends, 1)

    def test_word_of_a_new_start_confirms_what_a_connection_refuted(self):
        known = quarantine.Quarantine()
        known.record_disconnect(DEADLY, 1, T0)
        known.mark_reachable(1)
        self.assertEqual(known.confirm_end(1, T0 + 2.0), [DEADLY])

    def test_cut_of_long_ago_has_nothing_to_do_with_an_end(self):
        known = quarantine.Quarantine()
        known.record_disconnect(DEADLY, 1, T0)
        self.assertEqual(known.confirm_end(1, T0 + 6.0), [])

    def test_one_that_ended_well_meanwhile_is_not_named(self):
        known = quarantine.Quarantine()
        known.record_disconnect(BESIDE, 1, T0)
        known.record_success(BESIDE, T0 + 0.1)
        self.assertEqual(known.confirm_end(1, T0 + 0.2), [])
