"""Tests for attributing crashed targets to requests."""

import unittest

from hillthread.state.targets import quarantine

CULPRIT = "culprit"
BYSTANDER = "bystander"
OTHER = "other"
# Clock of a host that has run for a day; expiry must not depend on times near
# zero.
START_S = 90_000.0


def make_quarantine(*crashed, at=START_S):
    """Returns a quarantine after crashes, one second apart.

    Args:
        crashed: Requests that were open at each crash.
        at: Time of the first crash, seconds.
    """
    state = quarantine.Quarantine()
    for number, digests in enumerate(crashed):
        for digest in digests:
            state.record_crash(digest, number, at + number)
    return state


class HoldTest(unittest.TestCase):
    def test_unknown_request_is_not_held(self):
        status = quarantine.Quarantine().status_of(CULPRIT, START_S)
        self.assertEqual(status, (0, 0.0))
        self.assertFalse(status.is_suspect)

    def test_one_crash_makes_a_suspect_without_a_hold(self):
        status = make_quarantine([CULPRIT]).status_of(CULPRIT, START_S)
        self.assertEqual(status, (1, 0.0))
        self.assertTrue(status.is_suspect)

    def test_repeated_report_of_a_crash_counts_once(self):
        state = make_quarantine([CULPRIT])
        state.record_crash(CULPRIT, 0, START_S + 0.4)
        self.assertEqual(state.status_of(CULPRIT, START_S + 1.0).ends, 1)

    def test_hold_grows_with_each_crash(self):
        for crashes, hold_s in (
            (2, 1.0),
            (3, 1.5),
            (4, 30.0),
            (5, 300.0),
            (6, 1800.0),
        ):
            with self.subTest(crashes=crashes):
                state = make_quarantine(*[[CULPRIT]] * crashes)
                last_at = START_S + crashes - 1
                held_s = state.status_of(CULPRIT, last_at).held_s
                self.assertAlmostEqual(held_s, hold_s)
                later = last_at + hold_s + 0.01
                self.assertEqual(state.status_of(CULPRIT, later).held_s, 0.0)

    def test_announced_trial_holds_the_request(self):
        state = make_quarantine([CULPRIT], [CULPRIT])
        state.begin_trial(CULPRIT, START_S + 10.0)
        self.assertGreater(state.status_of(CULPRIT, START_S + 10.1).held_s, 1.0)
        self.assertEqual(state.status_of(CULPRIT, START_S + 12.1).held_s, 0.0)

    def test_next_crash_finishes_the_trial(self):
        state = make_quarantine([CULPRIT], [CULPRIT])
        self.assertFalse(state.has_running_trial(CULPRIT, START_S + 10.0))
        state.begin_trial(CULPRIT, START_S + 10.0)
        self.assertTrue(state.has_running_trial(CULPRIT, START_S + 10.1))
        state.record_crash(CULPRIT, 2, START_S + 10.2)
        self.assertFalse(state.has_running_trial(CULPRIT, START_S + 10.3))
        self.assertFalse(state.has_running_trial(OTHER, START_S + 10.3))

    def test_suspects_expire(self):
        for crashes, kept_s in ((1, 60.0), (2, 60.0), (3, 3600.0)):
            with self.subTest(crashes=crashes):
                state = make_quarantine(*[[CULPRIT]] * crashes)
                last_at = START_S + crashes - 1
                before, after = last_at + kept_s - 1.0, last_at + kept_s + 1.0
                self.assertEqual(state.status_of(CULPRIT, before).ends, crashes)
                self.assertEqual(state.status_of(CULPRIT, after).ends, 0)

    def test_hold_counts_from_the_time_of_the_crash(self):
        state = quarantine.Quarantine()
        for number in range(4):
            state.record_crash(CULPRIT, number, START_S, ago_s=20.0)
        self.assertAlmostEqual(state.status_of(CULPRIT, START_S).held_s, 10.0)

    def test_number_of_suspects_is_limited(self):
        state = make_quarantine([CULPRIT], [CULPRIT])
        for number in range(2_000):
            state.record_crash(f"one-{number}", 100 + number, START_S + 2.0)
        suspects = state.suspects(START_S + 3.0)
        self.assertLessEqual(len(suspects), 1_024)
        self.assertEqual(suspects[0].digest, CULPRIT)


class DisproofTest(unittest.TestCase):
    PART = "part:aa@0123"

    # Guards against a host that goes on suspecting a part because it does not
    # know the crash which another host names.
    def test_unknown_crash_disproves_what_was_seen_before_it(self):
        state = make_quarantine([self.PART], [self.PART])
        state.apply_disproof(self.PART, 99, START_S + 1.5)
        self.assertEqual(state.count_crashes(self.PART), 0)

    def test_disproof_that_is_sent_again_keeps_a_later_crash(self):
        state = make_quarantine([self.PART])
        state.apply_disproof(self.PART, 99, START_S + 0.5)
        state.record_crash(self.PART, 7, START_S + 1.0)
        state.apply_disproof(self.PART, 99, START_S + 1.5)
        self.assertEqual(state.crashed_incarnations(self.PART), {7})


class AttributionTest(unittest.TestCase):
    def test_request_open_at_every_crash_explains_the_crashes(self):
        state = make_quarantine(
            [CULPRIT, BYSTANDER], [CULPRIT, BYSTANDER], [CULPRIT]
        )
        at = START_S + 2.0
        self.assertEqual(state.status_of(CULPRIT, at).ends, 3)
        self.assertEqual(state.status_of(BYSTANDER, at), (0, 0.0))

    def test_crashes_without_the_culprit_still_count(self):
        state = make_quarantine(
            [CULPRIT, BYSTANDER], [CULPRIT], [CULPRIT], [BYSTANDER]
        )
        self.assertEqual(state.status_of(BYSTANDER, START_S + 3.0).ends, 1)

    def test_two_requests_with_equal_crashes_stay_suspects(self):
        state = make_quarantine(*[[CULPRIT, BYSTANDER]] * 3)
        self.assertEqual(state.status_of(CULPRIT, START_S + 2.0).ends, 3)
        self.assertEqual(state.status_of(BYSTANDER, START_S + 2.0).ends, 3)

    def test_few_crashes_do_not_explain_crashes_of_others(self):
        state = make_quarantine([CULPRIT, BYSTANDER], [CULPRIT])
        self.assertEqual(state.status_of(BYSTANDER, START_S + 1.0).ends, 1)

    def test_success_clears_a_suspect_and_late_reports_are_ignored(self):
        state = make_quarantine([BYSTANDER], [BYSTANDER])
        self.assertTrue(state.record_success(BYSTANDER, START_S + 2.0))
        self.assertFalse(state.record_crash(BYSTANDER, 5, START_S + 3.0))
        self.assertEqual(state.status_of(BYSTANDER, START_S + 3.0).ends, 0)
        self.assertFalse(state.record_success(BYSTANDER, START_S + 3.0))
        self.assertTrue(state.record_crash(BYSTANDER, 6, START_S + 14.0))

    def test_cleared_request_no_longer_explains_crashes(self):
        state = make_quarantine(
            [CULPRIT, BYSTANDER], [CULPRIT, BYSTANDER], [CULPRIT]
        )
        state.record_success(CULPRIT, START_S + 3.0)
        self.assertEqual(state.status_of(BYSTANDER, START_S + 3.0).ends, 2)


class DisconnectTest(unittest.TestCase):
    def test_disconnect_counts_until_the_target_is_reached(self):
        state = quarantine.Quarantine()
        state.record_disconnect(CULPRIT, 1, START_S)
        self.assertEqual(state.status_of(CULPRIT, START_S).ends, 1)
        state.mark_reachable(1)
        self.assertEqual(state.status_of(CULPRIT, START_S).ends, 0)

    def test_confirmed_crash_returns_all_open_requests(self):
        state = quarantine.Quarantine()
        for digest in (CULPRIT, BYSTANDER):
            state.record_disconnect(digest, 1, START_S)
        state.record_disconnect(OTHER, 2, START_S)
        self.assertEqual(state.confirm_crash(1, START_S), [BYSTANDER, CULPRIT])
        self.assertEqual(state.confirm_crash(1, START_S), [])
        self.assertEqual(state.status_of(CULPRIT, START_S).ends, 1)

    def test_crash_can_be_confirmed_after_the_target_was_reached(self):
        state = quarantine.Quarantine()
        state.record_disconnect(CULPRIT, 1, START_S)
        state.mark_reachable(1)
        self.assertEqual(state.confirm_crash(1, START_S + 2.0), [CULPRIT])

    def test_old_disconnect_is_not_attributed_to_a_crash(self):
        state = quarantine.Quarantine()
        state.record_disconnect(CULPRIT, 1, START_S)
        self.assertEqual(state.confirm_crash(1, START_S + 6.0), [])

    def test_request_that_succeeded_meanwhile_is_not_returned(self):
        state = quarantine.Quarantine()
        state.record_disconnect(BYSTANDER, 1, START_S)
        state.record_success(BYSTANDER, START_S + 0.1)
        self.assertEqual(state.confirm_crash(1, START_S + 0.2), [])
