"""Tests of limits that targets name, on one host."""

import unittest

from hillthread.state.quotas import quota
from hillthread.state.quotas import quota_ledger
from hillthread.state.quotas import target_limits
from hillthread.state.quotas import usage_exchange

TARGET = "engine"
KEY = usage_exchange.name_key(f"target {TARGET}")
BOUNDS = quota.QuotaBounds()


def limits(hosts=1, draw=0.0):
    """Returns the limits of a host; a draw of 0 leaves nothing to others."""
    ledger = quota_ledger.QuotaLedger("h1", 1, BOUNDS)
    ledger.host_count = hosts
    return target_limits.TargetLimits(ledger, lambda: draw)


def send(known, now, length_s):
    """Asks often for a target; returns when something was sent."""
    sent = []
    for step in range(int(length_s * 50)):
        at = now + step * 0.02
        if known.admit(TARGET, at):
            known.charge(TARGET, at)
            sent.append(at)
    return sent


class TargetLimitsTest(unittest.TestCase):
    def test_target_without_a_limit_takes_all(self):
        known = limits()
        self.assertEqual(len(send(known, 10.0, 1.0)), 50)
        self.assertFalse(known.is_exhausted(TARGET, 11.0))
        self.assertFalse(known.apply_answer(TARGET, None, 11.0))
        self.assertEqual(known.statuses(11.0), [])

    def test_limit_is_kept_and_used(self):
        known = limits()
        known.apply_answer(TARGET, 5.0, 10.0)
        sent = send(known, 10.0, 20.0)
        self.assertLessEqual(len(sent), 101)
        self.assertGreaterEqual(len(sent), 95)
        most = max(sum(b <= a < b + 4.0 for a in sent) for b in sent)
        self.assertLessEqual(most, 21)

    def test_what_was_sent_before_counts(self):
        known = limits()
        send(known, 10.0, 1.0)
        known.apply_answer(TARGET, 5.0, 11.0)
        self.assertEqual(send(known, 11.0, 1.0), [])

    def test_what_others_sent_before_counts(self):
        known = limits(hosts=2)
        known.apply_answer(TARGET, 5.0, 11.0)
        known.ledger.add_peer_usage({KEY: 50.0}, 11.2)
        self.assertTrue(known.is_exhausted(TARGET, 12.0))
        # A window later it is past; the pace owes none of it.
        self.assertFalse(known.is_exhausted(TARGET, 15.5))

    def test_others_are_told_of_changes_and_now_and_then(self):
        known = limits()
        self.assertTrue(known.apply_answer(TARGET, 5.0, 10.0))
        self.assertFalse(known.apply_answer(TARGET, 5.0, 10.5))
        self.assertTrue(known.apply_answer(TARGET, 5.0, 11.1))
        self.assertTrue(known.apply_answer(TARGET, 4.0, 11.2))
        # Whom another host has told need not tell.
        self.assertFalse(known.apply_peer_limit(TARGET, 4.0, 12.1))
        self.assertFalse(known.apply_answer(TARGET, 4.0, 12.5))
        self.assertTrue(known.apply_answer(TARGET, None, 12.6))
        self.assertNotIn(TARGET, known)
        self.assertFalse(known.apply_peer_limit(TARGET, None, 12.7))

    def test_lower_limit_holds_at_once_and_higher_gives_nothing(self):
        known = limits()
        known.apply_answer(TARGET, 10.0, 0.0)
        send(known, 0.0, 8.0)
        known.apply_answer(TARGET, 1.0, 8.0)
        self.assertLessEqual(len(send(known, 8.0, 4.0)), 6)
        known.apply_answer(TARGET, 10.0, 12.0)
        self.assertLessEqual(len(send(known, 12.0, 1.0)), 12)

    def test_target_that_takes_nothing_is_asked_now_and_then(self):
        known = limits()
        known.apply_answer(TARGET, 0.0, 0.0)
        sent = send(known, 0.0, 40.0)
        self.assertLessEqual(len(sent), 11)
        self.assertGreaterEqual(len(sent), 8)

    def test_host_in_touch_with_nobody_sends_its_part(self):
        known = limits(hosts=8)
        known.apply_answer(TARGET, 8.0, 0.0)
        sent = send(known, 0.0, 20.0)
        self.assertLessEqual(len(sent), 22)
        self.assertGreaterEqual(len(sent), 15)

    def test_what_many_ask_for_is_left_to_some(self):
        known = limits(hosts=400, draw=0.5)
        known.apply_answer(TARGET, 2.0, 0.0)
        known.ledger.exchange.reachable_hosts = lambda now: 400
        self.assertFalse(known.admit(TARGET, 2.0))
        self.assertEqual(known.statuses(2.0)[0].passed_over, 1)
        known.draw = lambda: 0.01
        self.assertTrue(known.admit(TARGET, 2.1))

    def test_what_has_not_arrived_is_given_back(self):
        known = limits()
        known.charge(TARGET, 0.0)
        known.refund(TARGET, 0.1)
        known.apply_answer(TARGET, 5.0, 1.0)
        self.assertEqual(known.statuses(1.0)[0].used, 0.0)
        known.charge(TARGET, 2.0)
        known.refund(TARGET, 2.1)
        self.assertEqual(known.statuses(2.1)[0].used, 0.0)

    def test_refused_callers_return_one_after_the_other(self):
        known = limits()
        known.apply_answer(TARGET, 1.0, 0.0)
        send(known, 0.0, 6.0)
        returns = [known.retry_after_s([TARGET], 6.0) for _ in range(8)]
        self.assertEqual(returns, sorted(returns))
        self.assertGreater(returns[0], 0.0)
        self.assertLessEqual(returns[-1], 4.0)

    def test_target_that_is_gone_is_forgotten(self):
        known = limits()
        known.apply_answer(TARGET, 1.0, 0.0)
        known.charge(TARGET, 0.0)
        known.forget(TARGET)
        self.assertEqual(len(known), 0)
        self.assertEqual(known.ledger.windows_by_key, {})
        known.apply_answer(TARGET, 1.0, 1.0)
        self.assertEqual(known.statuses(1.0)[0].used, 0.0)


if __name__ == "__main__":
    unittest.main()
