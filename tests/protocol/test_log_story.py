"""Tests of stories told from log lines, as hosts of the users wrote them."""

import unittest

import msgspec

from hillthread.protocol import log_story

ID = "r1"


def line(at, event, **fields):
    """Returns a log line."""
    return msgspec.json.encode({"at": at, "event": event, **fields}).decode()


def refused(at, age_s):
    return line(
        at,
        "refused",
        request=ID,
        code="not_ready",
        status=503,
        reason="The host has lost the store.",
        store_age_s=age_s,
    )


class CauseTest(unittest.TestCase):
    def cause(self, *lines):
        parsed = log_story.parse_lines("h1", lines)
        return log_story.find_history(ID, parsed).cause

    def test_outage_that_began_long_before_is_named(self):
        told = self.cause(
            line(10.0, "store_lost", reason="reset"), refused(18.4, 8.4)
        )
        self.assertIn("the store was lost 8.4 s before (reset)", told)

    def test_outage_that_began_later_is_not_the_cause(self):
        told = self.cause(
            refused(18.4, 8.4), line(19.3, "store_lost", reason="reset")
        )
        self.assertIn("no outage of the store before it", told)

    def test_outage_that_was_over_is_not_the_cause(self):
        told = self.cause(
            line(10.0, "store_lost", reason="reset"),
            line(12.0, "store_back"),
            refused(18.4, 8.4),
        )
        self.assertIn("no outage of the store before it", told)

    def test_outage_of_another_host_is_not_the_cause(self):
        lines = log_story.parse_lines(
            "h2", [line(10.0, "store_lost", reason="reset")]
        ) + log_story.parse_lines("h1", [refused(18.4, 8.4)])
        told = log_story.find_history(ID, lines).cause
        self.assertIn("no outage of the store before it", told)

    def test_time_that_was_over_while_an_answer_was_passed_on(self):
        told = self.cause(
            line(1.0, "admitted", request=ID, path="/x"),
            line(
                1.4,
                "attempt",
                request=ID,
                target="t1",
                outcome="whole",
                status=504,
            ),
            line(1.4, "deadline_passed", request=ID, run="ran"),
            line(1.4, "answer_broken", request=ID),
        )
        self.assertIn("its time was over while an answer was passed on", told)
        self.assertIn("t1 (504)", told)


class OtherTriesTest(unittest.TestCase):
    def tries(self, *admitted):
        lines = [
            line(at, "admitted", request=request, **fields)
            for at, request, fields in admitted
        ]
        parsed = log_story.parse_lines("h1", lines)
        return log_story.find_history(ID, parsed).other_tries

    def test_tries_of_one_request_share_its_digest(self):
        same = {"digest": "d1", "path": "/a", "tenant": "t"}
        other = same | {"digest": "d2"}
        found = self.tries(
            (1.0, ID, same), (1.5, "r2", same), (2.0, "r3", other)
        )
        self.assertEqual(found, ["r2"])

    def test_lines_without_a_digest_are_told_apart_by_path_and_tenant(self):
        one = {"path": "/a", "tenant": "t"}
        other = {"path": "/b", "tenant": "t"}
        found = self.tries((1.0, ID, one), (1.5, "r2", one), (2.0, "r3", other))
        self.assertEqual(found, ["r2"])


class QuarantinedTest(unittest.TestCase):
    def test_held_request_is_told_with_the_targets_that_ended(self):
        lines = [
            line(1.0, "target_ended", target="e1", open={"d1": 3}),
            line(1.0, "request_held", digest="d1", ends=3),
            line(1.2, "admitted", request=ID, digest="d1", path="/a"),
            line(
                1.2,
                "refused",
                request=ID,
                code="quarantined",
                status=503,
                reason="3 targets ended while this request was open.",
            ),
        ]
        parsed = log_story.parse_lines("h1", lines)
        told = log_story.format_history(log_story.find_history(ID, parsed))
        self.assertIn("Cause: 3 targets ended while this request", told)
        self.assertIn("target ended (target=e1, open={'d1': 3})", told)
