"""Tests of the judge of streams across releases."""

import unittest

from hillthread.bench.gateway_soak import evidence as evidence_lib
from hillthread.bench.gateway_soak import release_verdict

KEY = "k"


def body(*events):
    """Returns the bytes of events, each a pair of id and release."""
    return b"".join(
        b"id: %d\ndata: event %d by %b\n\n" % (number, number, release)
        for number, release in events
    )


def exchange(request_id, **fields):
    values = {"status": 200, "ended_at": 10.5, **fields}
    return evidence_lib.Exchange(
        request_id, "resume", KEY, "h0", 1, 10.0, **values
    )


def judge(exchanges, strict_time=True):
    evidence = evidence_lib.Evidence(evidence_lib.Bounds())
    evidence.exchanges = list(exchanges)
    evidence.keys = {KEY: evidence_lib.KeyLife("t", 0.0, float("inf"))}
    found = release_verdict.violations(evidence, strict_time)
    return [each.promise for each in found]


class ReleaseTest(unittest.TestCase):
    def test_one_release_over_all_tries_is_right(self):
        first = exchange("r1", body=body((0, b"v1"), (1, b"v1")))
        second = exchange("r2", resumes="r1", body=body((2, b"v1")))
        self.assertEqual(judge([first, second]), [])

    def test_two_releases_in_one_answer_or_over_tries_are_found(self):
        mixed = exchange("r1", body=body((0, b"v1"), (1, b"v2")))
        self.assertEqual(judge([mixed]), ["release"])
        first = exchange("r1", body=body((0, b"v1")))
        second = exchange("r2", resumes="r1", body=body((1, b"v2")))
        self.assertEqual(judge([first, second]), ["release"])


class ReconnectTest(unittest.TestCase):
    def judge_shares(self, continued, count=12, engines_left=2):
        begun = [exchange(f"b{n}") for n in range(10)]
        resumed = [
            exchange(
                f"c{n}",
                resumes=f"b{n}",
                engines_left=engines_left,
                status=200 if n < continued else 503,
            )
            for n in range(count)
        ]
        return judge(begun + resumed)

    def test_half_of_the_share_of_new_streams_is_enough(self):
        self.assertEqual(self.judge_shares(continued=6), [])
        self.assertEqual(self.judge_shares(continued=5), ["reconnect"])

    def test_few_reconnects_or_engines_prove_nothing(self):
        self.assertEqual(self.judge_shares(continued=0, count=11), [])
        self.assertEqual(self.judge_shares(continued=0, engines_left=1), [])


class BodyTest(unittest.TestCase):
    def test_bodies_are_read_with_either_line_end(self):
        raw = body((3, b"v1"), (4, b"v1")).replace(b"\n", b"\r\n")
        self.assertEqual(release_verdict.event_ids(raw), [3, 4])
        self.assertEqual(release_verdict.releases_in(raw), {b"v1"})
        self.assertNotIn(b"v1", release_verdict.without_releases(raw))
