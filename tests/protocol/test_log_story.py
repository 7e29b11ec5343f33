"""Tests of request histories from log lines in the format of hosts."""

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
    def find_cause(self, *lines):
        parsed = log_story.parse_lines("h1", lines)
        return log_story.find_history(ID, parsed).cause

    def test_outage_that_began_long_before_is_named(self):
        cause_text = self.find_cause(
            line(10.0, "store_lost", reason="reset"), refused(18.4, 8.4)
        )
        self.assertIn("the store was lost 8.4 s before (reset)", cause_text)

    def test_outage_that_began_later_is_not_the_cause(self):
        cause_text = self.find_cause(
            refused(18.4, 8.4), line(19.3, "store_lost", reason="reset")
        )
        self.assertIn("no outage of the store before it", cause_text)

    def test_outage_that_was_over_is_not_the_cause(self):
        cause_text = self.find_cause(
            line(10.0, "store_lost", reason="reset"),
            line(12.0, "store_back"),
            refused(18.4, 8.4),
        )
        self.assertIn("no outage of the store before it", cause_text)

    def test_outage_of_another_host_is_not_the_cause(self):
        lines = log_story.parse_lines(
            "h2", [line(10.0, "store_lost", reason="reset")]
        ) + log_story.parse_lines("h1", [refused(18.4, 8.4)])
        cause_text = log_story.find_history(ID, lines).cause
        self.assertIn("no outage of the store before it", cause_text)

    def test_deadline_that_passes_while_an_answer_is_relayed(self):
        cause_text = self.find_cause(
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
        self.assertIn(
            "its time was over while an answer was passed on", cause_text
        )
        self.assertIn("t1 (504)", cause_text)


class OtherTriesTest(unittest.TestCase):
    def find_other_tries(self, *admitted):
        lines = [
            line(at, "admitted", request=request, **fields)
            for at, request, fields in admitted
        ]
        parsed = log_story.parse_lines("h1", lines)
        return log_story.find_history(ID, parsed).other_tries

    def test_tries_with_the_same_digest_are_found(self):
        same = {"digest": "d1", "path": "/a", "tenant": "t"}
        other = same | {"digest": "d2"}
        found = self.find_other_tries(
            (1.0, ID, same), (1.5, "r2", same), (2.0, "r3", other)
        )
        self.assertEqual(found, ["r2"])

    def test_lines_without_a_digest_are_compared_by_path_and_tenant(self):
        one = {"path": "/a", "tenant": "t"}
        other = {"path": "/b", "tenant": "t"}
        found = self.find_other_tries(
            (1.0, ID, one), (1.5, "r2", one), (2.0, "r3", other)
        )
        self.assertEqual(found, ["r2"])


class ScheduledPromptTest(unittest.TestCase):
    def test_history_tells_why_a_prompt_was_late_or_refused(self):
        # Guards against a late answer for which the log gives no reason.
        fields = {
            "urgency": 4,
            "queue_s": 0.8,
            "backlog_s": 0.9,
            "aim_s": 0.5,
            "patience_s": 2.0,
            "above_share": True,
        }
        for decision, words in (
            ("defer", "sent after all prompts that can be in time"),
            ("refuse", "not sent, as its caller would leave"),
        ):
            lines = [
                line(1.0, "scheduled", request=ID, decision=decision, **fields)
            ]
            parsed = log_story.parse_lines("h1", lines)
            output = log_story.format_history(
                log_story.find_history(ID, parsed)
            )
            self.assertIn(words, output)
            self.assertIn("its aim is 0.5 s, its caller waits 2.0 s", output)
            self.assertIn("its tenant was above its fair share", output)


class QuarantinedRequestTest(unittest.TestCase):
    def test_history_of_held_request_names_crashed_targets(self):
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
        output = log_story.format_history(log_story.find_history(ID, parsed))
        self.assertIn("Cause: 3 targets ended while this request", output)
        self.assertIn("target ended (target=e1, open={'d1': 3})", output)
