"""Tests of the judgement on requests around stops and silences."""

import unittest

from hillthread.bench.gateway_soak import announcement_verdict
from hillthread.bench.gateway_soak import evidence as evidence_lib
from hillthread.bench.gateway_soak import verdict
from hillthread.standin import platform_target
from hillthread.transport import http1_server

_HOST = "h0"


class VerdictTest(unittest.TestCase):
    def setUp(self):
        self.evidence = evidence_lib.Evidence(evidence_lib.Bounds(grace_s=6.0))
        self.evidence.keys["key"] = evidence_lib.KeyLife(
            "tenant", 0.0, float("inf")
        )
        self.target = platform_target.PlatformTargetStandin("i-0", "plain")
        self.evidence.targets.append(self.target)

    def broken_off(self, sent_at, ended_at):
        """Returns the promises broken by a request that ran and was cut."""
        self.evidence.exchanges = [
            evidence_lib.Exchange(
                "request",
                "once",
                "key",
                _HOST,
                1,
                sent_at,
                ended_at,
                error="cut",
            )
        ]
        headers = [(b"x-tenant", b"tenant")]
        request = http1_server.CallerRequest(
            b"POST", b"/once/x", headers, b"body", sent_at
        )
        self.target.runs = [platform_target.Run("request", request, sent_at, 1)]
        judge = verdict.Judge(self.evidence)
        return [each.promise for each in judge.violations()]

    def stop(self, began_at, ended_at):
        self.evidence.stops = [
            evidence_lib.Disturbance("host_stops", _HOST, began_at, ended_at)
        ]

    def disturb(self, subject, at):
        self.evidence.disturbances = [
            evidence_lib.Disturbance("connections_silenced", subject, at, at)
        ]


class StopTest(VerdictTest):
    def test_request_that_was_sent_before_the_stop_must_not_be_cut(self):
        self.stop(100.0, 103.0)
        self.assertEqual(self.broken_off(99.0, 101.0), ["lost"])

    def test_request_over_a_connection_kept_in_the_stop_must_not_be_cut(self):
        self.stop(100.0, 103.0)
        self.assertEqual(self.broken_off(101.0, 103.0), ["lost"])

    def test_request_before_or_after_the_stop_is_not_its_matter(self):
        self.stop(100.0, 103.0)
        self.assertEqual(self.broken_off(98.0, 99.9), [])
        self.assertEqual(self.broken_off(103.1, 104.0), [])

    def test_early_request_may_be_cut_when_the_time_is_nearly_over(self):
        self.stop(100.0, 106.0)
        self.assertEqual(self.broken_off(99.9, 105.1), ["unanswered"])
        self.assertIn("lost", self.broken_off(100.1, 105.1))

    def test_silenced_connections_of_callers_excuse_it(self):
        self.stop(100.0, 103.0)
        self.disturb(evidence_lib.callers_of(_HOST), 101.0)
        self.assertEqual(self.broken_off(101.0, 103.0), [])


class LeavingTest(VerdictTest):
    def setUp(self):
        super().setUp()
        self.evidence.leaving[self.target.name] = 90.0

    def test_request_must_not_reach_a_target_that_left(self):
        self.assertIn("drain", self.broken_off(100.0, 100.1))

    # Guards against a host that is blamed for a request which another one, just
    # started, sent for it.
    def test_request_forwarded_to_a_host_out_of_touch_is_excused(self):
        self.evidence.forwarded["request"] = "h1"
        self.assertIn("drain", self.broken_off(100.0, 100.1))
        self.disturb("h1", 99.0)
        self.assertNotIn("drain", self.broken_off(100.0, 100.1))


class AnnouncementTest(VerdictTest):
    def setUp(self):
        super().setUp()
        self.evidence.exchanges = [
            self.exchange("told", 99.9, 100.0, receipt="stamp-i-0")
        ]

    def exchange(self, name, sent_at, ended_at, life=1, **fields):
        return evidence_lib.Exchange(
            name, "once", "key", _HOST, life, sent_at, ended_at, 200,
            whole=True, **fields,
        )  # fmt: skip

    def send(self, *times, life=1, start=0):
        """Has requests reach the target at some times."""
        for at in times:
            name = f"at {at}"
            self.evidence.exchanges.append(
                self.exchange(name, at, at + 0.1, life)
            )
            self.target.arrivals.append(
                platform_target.Arrival(name, at, start)
            )

    def announce(self, is_leaving=False, backoff_s=0.0):
        self.target.announcements = [
            platform_target.Announcement(
                "told", 100.0, 0, is_leaving, backoff_s
            )
        ]

    def violations(self):
        found = announcement_verdict.violations(self.evidence)
        return [each.promise for each in found]

    def test_request_after_an_announced_departure_is_found(self):
        self.announce(is_leaving=True)
        self.send(101.4)
        self.assertEqual(self.violations(), [])
        self.send(101.6)
        self.assertEqual(self.violations(), ["drain"])

    def test_departure_does_not_bind_other_starts(self):
        self.announce(is_leaving=True)
        self.send(103.0, life=2)
        self.send(104.0, start=1)
        self.assertEqual(self.violations(), [])

    def test_third_request_within_a_backoff_is_found(self):
        self.announce(backoff_s=3.0)
        self.send(100.4, 100.6, 102.9, 103.1)
        self.assertEqual(self.violations(), [])
        self.send(101.0)
        self.assertEqual(self.violations(), ["backoff"])

    def test_new_process_of_a_host_was_not_told(self):
        self.announce(backoff_s=3.0)
        self.send(100.6, 101.0, 101.5, life=2)
        self.assertEqual(self.violations(), [])


class UnansweredTest(VerdictTest):
    def test_request_that_is_never_answered_is_found(self):
        self.assertEqual(self.broken_off(100.0, 103.4), [])
        self.assertEqual(self.broken_off(100.0, 103.6), ["unanswered"])

    def test_silenced_connections_of_callers_excuse_it(self):
        self.disturb(evidence_lib.callers_of(_HOST), 99.0)
        self.assertEqual(self.broken_off(100.0, 104.0), [])

    def test_silenced_connections_to_targets_do_not(self):
        self.disturb("i-0", 99.0)
        self.assertEqual(self.broken_off(100.0, 104.0), ["unanswered"])


if __name__ == "__main__":
    unittest.main()
