"""Tests of limits that targets announce, on one host."""

import unittest

from hillthread.state.quotas import quota
from hillthread.state.quotas import quota_ledger
from hillthread.state.quotas import target_limits
from hillthread.state.quotas import usage_exchange

TARGET = "engine"
KEY = usage_exchange.name_key(f"target {TARGET}")
BOUNDS = quota.QuotaBounds()


def make_limits(hosts=1, draw=0.0):
    """Returns the limits of a host; a draw of 0 leaves no slot to peers."""
    ledger = quota_ledger.QuotaLedger("h1", 1, BOUNDS)
    ledger.host_count = hosts
    return target_limits.TargetLimits(ledger, lambda: draw)


def send_often(limits, now, duration_s):
    """Requests a target every 20 ms; returns when requests were sent."""
    sent = []
    for step in range(int(duration_s * 50)):
        at = now + step * 0.02
        if limits.admit(TARGET, at):
            limits.charge(TARGET, at)
            sent.append(at)
    return sent


class TargetLimitsTest(unittest.TestCase):
    def test_target_without_a_limit_admits_all(self):
        limits = make_limits()
        self.assertEqual(len(send_often(limits, 10.0, 1.0)), 50)
        self.assertFalse(limits.is_exhausted(TARGET, 11.0))
        self.assertFalse(limits.apply_answer(TARGET, None, 11.0))
        self.assertEqual(limits.statuses(11.0), [])

    def test_limit_is_kept_and_used(self):
        limits = make_limits()
        limits.apply_answer(TARGET, 5.0, 10.0)
        sent = send_often(limits, 10.0, 20.0)
        self.assertLessEqual(len(sent), 101)
        self.assertGreaterEqual(len(sent), 95)
        most = max(sum(b <= a < b + 4.0 for a in sent) for b in sent)
        self.assertLessEqual(most, 21)

    def test_own_requests_before_the_announcement_count(self):
        limits = make_limits()
        send_often(limits, 10.0, 1.0)
        limits.apply_answer(TARGET, 5.0, 11.0)
        self.assertEqual(send_often(limits, 11.0, 1.0), [])

    def test_peer_requests_before_the_announcement_count(self):
        limits = make_limits(hosts=2)
        limits.apply_answer(TARGET, 5.0, 11.0)
        limits.ledger.add_peer_usage({KEY: 50.0}, 11.2)
        self.assertTrue(limits.is_exhausted(TARGET, 12.0))
        # After one window the usage has expired; the bucket owes none of it.
        self.assertFalse(limits.is_exhausted(TARGET, 15.5))

    def test_peers_are_notified_of_changes_and_periodically(self):
        limits = make_limits()
        self.assertTrue(limits.apply_answer(TARGET, 5.0, 10.0))
        self.assertFalse(limits.apply_answer(TARGET, 5.0, 10.5))
        self.assertTrue(limits.apply_answer(TARGET, 5.0, 11.1))
        self.assertTrue(limits.apply_answer(TARGET, 4.0, 11.2))
        # A limit that a peer has just announced is not announced again.
        self.assertFalse(limits.apply_peer_limit(TARGET, 4.0, 12.1))
        self.assertFalse(limits.apply_answer(TARGET, 4.0, 12.5))
        self.assertTrue(limits.apply_answer(TARGET, None, 12.6))
        self.assertNotIn(TARGET, limits)
        self.assertFalse(limits.apply_peer_limit(TARGET, None, 12.7))

    def test_lower_limit_applies_at_once_and_higher_does_not_refill(self):
        limits = make_limits()
        limits.apply_answer(TARGET, 10.0, 0.0)
        send_often(limits, 0.0, 8.0)
        limits.apply_answer(TARGET, 1.0, 8.0)
        self.assertLessEqual(len(send_often(limits, 8.0, 4.0)), 6)
        limits.apply_answer(TARGET, 10.0, 12.0)
        self.assertLessEqual(len(send_often(limits, 12.0, 1.0)), 12)

    def test_target_with_a_limit_of_zero_is_probed(self):
        limits = make_limits()
        limits.apply_answer(TARGET, 0.0, 0.0)
        sent = send_often(limits, 0.0, 40.0)
        self.assertLessEqual(len(sent), 11)
        self.assertGreaterEqual(len(sent), 8)

    def test_isolated_host_uses_its_share(self):
        limits = make_limits(hosts=8)
        limits.apply_answer(TARGET, 8.0, 0.0)
        sent = send_often(limits, 0.0, 20.0)
        self.assertLessEqual(len(sent), 22)
        self.assertGreaterEqual(len(sent), 15)

    def test_slot_with_much_demand_is_left_to_peers(self):
        limits = make_limits(hosts=400, draw=0.5)
        limits.apply_answer(TARGET, 2.0, 0.0)
        limits.ledger.exchange.reachable_hosts = lambda now: 400
        self.assertFalse(limits.admit(TARGET, 2.0))
        self.assertEqual(limits.statuses(2.0)[0].passed_over, 1)
        limits.draw = lambda: 0.01
        self.assertTrue(limits.admit(TARGET, 2.1))

    def test_refunded_request_does_not_count(self):
        limits = make_limits()
        limits.charge(TARGET, 0.0)
        limits.refund(TARGET, 0.1)
        limits.apply_answer(TARGET, 5.0, 1.0)
        self.assertEqual(limits.statuses(1.0)[0].used, 0.0)
        limits.charge(TARGET, 2.0)
        limits.refund(TARGET, 2.1)
        self.assertEqual(limits.statuses(2.1)[0].used, 0.0)

    def test_retries_of_refused_callers_are_spaced(self):
        limits = make_limits()
        limits.apply_answer(TARGET, 1.0, 0.0)
        send_often(limits, 0.0, 6.0)
        waits_s = [limits.retry_after_s([TARGET], 6.0) for _ in range(8)]
        self.assertEqual(waits_s, sorted(waits_s))
        self.assertGreater(waits_s[0], 0.0)
        self.assertLessEqual(waits_s[-1], 4.0)

    def test_removed_target_is_forgotten(self):
        limits = make_limits()
        limits.apply_answer(TARGET, 1.0, 0.0)
        limits.charge(TARGET, 0.0)
        limits.forget(TARGET)
        self.assertEqual(len(limits), 0)
        self.assertEqual(limits.ledger.windows_by_key, {})
        limits.apply_answer(TARGET, 1.0, 1.0)
        self.assertEqual(limits.statuses(1.0)[0].used, 0.0)


if __name__ == "__main__":
    unittest.main()
