"""Tests of the judgement on starts on old weights."""

import unittest

from hillthread.bench.gateway_soak import evidence as evidence_lib
from hillthread.bench.gateway_soak import verdict
from hillthread.standin import platform_target
from hillthread.transport import http1_server

_HOST = "h0"
_ENGINE = "i-0"


class OldWeightsTest(unittest.TestCase):
    def setUp(self):
        self.evidence = evidence_lib.Evidence(
            evidence_lib.Bounds(version_s=10.0)
        )
        self.evidence.keys["key"] = evidence_lib.KeyLife(
            "tenant", 0.0, float("inf")
        )
        self.engine = platform_target.PlatformTargetStandin(
            _ENGINE, "engines", "m"
        )
        self.evidence.targets.append(self.engine)

    def name(self, *times):
        """Names versions 2, 3, ... at some times."""
        self.evidence.weights_named = [
            evidence_lib.NamedVersion(number, at)
            for number, at in enumerate(times, 2)
        ]

    def start(self, at, weights=1, sent_at=None):
        """Starts one request, and returns the promises broken by it."""
        exchange = evidence_lib.Exchange(
            "request", "stream", "key", _HOST, 1, sent_at or at, at, left=True
        )
        headers = [(b"x-tenant", b"tenant")]
        request = http1_server.CallerRequest(
            b"POST", b"/stream/x", headers, b"body", at
        )
        self.evidence.exchanges = [exchange]
        self.engine.runs = [
            platform_target.Run("request", request, at, weights)
        ]
        return [str(each) for each in self.judge().violations()]

    def judge(self, strict_time=True):
        return verdict.Judge(self.evidence, strict_time)

    def disturb(self, kind, subject, began_at, ended_at):
        self.evidence.disturbances.append(
            evidence_lib.Disturbance(kind, subject, began_at, ended_at)
        )

    def test_newer_weights_do_not_begin_the_time_anew(self):
        self.name(100.0, 107.8)
        self.assertEqual(self.start(109.9), [])
        self.assertEqual(
            self.start(110.4),
            [
                "old_weights: request: stream at h0: i-0: weights 1, "
                "10.40 s after 2 were named"
            ],
        )

    def test_each_version_has_its_own_time(self):
        self.name(100.0, 107.8)
        self.assertEqual(self.start(117.7, weights=2), [])
        self.assertEqual(len(self.start(117.9, weights=2)), 1)
        self.assertEqual(self.start(150.0, weights=3), [])

    def test_host_out_of_touch_is_excused(self):
        self.name(100.0)
        for subject in (_HOST, "store", evidence_lib.OBSERVER):
            with self.subTest(subject):
                self.evidence.disturbances.clear()
                self.disturb("any", subject, 101.0, 112.0)
                self.assertEqual(self.start(114.9), [])
                self.assertEqual(len(self.start(115.1)), 1)

    def test_faults_of_targets_excuse_nothing(self):
        self.name(100.0)
        self.disturb("target_restarts", _ENGINE, 110.0, 112.0)
        self.disturb("host_killed", "h1", 110.0, 112.0)
        self.assertEqual(len(self.start(112.0)), 1)

    def test_request_held_up_by_its_link_is_excused(self):
        self.name(100.0)
        self.disturb("target_link_fails", _ENGINE, 109.0, 111.0)
        self.assertEqual(self.start(111.0, sent_at=108.5), [])
        self.assertEqual(len(self.start(111.5, sent_at=111.4)), 1)

    def test_bound_in_seconds_is_not_judged_on_a_busy_machine(self):
        self.name(100.0)
        self.start(120.0)
        judged = self.judge(strict_time=False).violations()
        self.assertEqual(judged, [])


if __name__ == "__main__":
    unittest.main()
