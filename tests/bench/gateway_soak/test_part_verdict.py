"""Tests of the judge of prompt parts that crash engines."""

import unittest
from unittest import mock

from hillthread.bench.gateway_soak import evidence as evidence_lib
from hillthread.bench.gateway_soak import part_verdict
from hillthread.standin import platform_target

PART = "dead0"


def make_evidence(crash_times, sound_status=200):
    """Returns evidence of crashes under a part, and of sound prompts."""
    evidence = evidence_lib.Evidence(evidence_lib.Bounds())
    evidence.keys["k"] = evidence_lib.KeyLife("t", 0.0, float("inf"))
    evidence.deadly_parts[PART] = evidence_lib.PartLife("resume", 100.0, 140.0)
    target = platform_target.PlatformTargetStandin("t", "engines", "m")
    evidence.targets.append(target)
    for number, at in enumerate(crash_times):
        request_id = f"d{number}"
        evidence.exchanges.append(make_exchange(request_id, at, 0, PART))
        target.arrivals.append(platform_target.Arrival(request_id, at, 0))
        run = platform_target.Run(request_id, mock.Mock(), at, 1)
        target.runs.append(run)
    for number in range(25):
        evidence.exchanges += [
            make_exchange(f"b{number}", 60.0 + number, 200, "aa"),
            make_exchange(f"a{number}", 110.0 + number, sound_status, "aa"),
        ]
    return evidence


def make_exchange(request_id, at, status, part):
    """Returns a prompt with a part after a shared one."""
    return evidence_lib.Exchange(
        request_id,
        "resume",
        "k",
        "h",
        1,
        at,
        at + 0.1,
        status,
        parts=("x", part),
    )


class PartVerdictTest(unittest.TestCase):
    def check(self, evidence, promises):
        found = [each.promise for each in part_verdict.violations(evidence)]
        self.assertEqual(found, promises)

    def test_five_crashes_and_three_late_arrivals_are_allowed(self):
        times = [100.0, 100.5, 101.0, 101.5, 102.0, 110.0, 120.0, 130.0]
        self.check(make_evidence(times), [])

    def test_four_late_arrivals_are_found(self):
        times = [100.0, 100.5, 101.0, 101.5, 102.0, 107.0, 110.0, 120.0, 130.0]
        self.check(make_evidence(times), ["parts"])

    def test_sound_prompts_that_are_refused_are_found(self):
        self.check(make_evidence([100.0, 100.5], 503), ["parts_lost"])
