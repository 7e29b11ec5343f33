"""Judges answers from what callers and stand-ins saw, not the router's word."""

from __future__ import annotations

import enum
from typing import Any
from typing import NamedTuple

from hillthread.bench import caller as caller_lib

__all__ = ["Evidence", "Promise", "judge"]


class Promise(enum.StrEnum):
    """What must hold in a cell.

    `WHOLE`: the caller gets its whole answer. `TRUTHFUL`: it gets its whole
    answer, or an explicit error that tells the truth on whether it ran. Both
    include that nothing else is ever passed on as if right.
    """

    WHOLE = "whole"
    TRUTHFUL = "truthful"


class Evidence(NamedTuple):
    """What was seen of one request.

    Attributes:
        answer: What the caller got.
        expected: The whole right answer.
        runs: Journal entries of all targets for the request.
        repeatable: Whether it may run more than once.
    """

    answer: caller_lib.Answer
    expected: str
    runs: list[dict[str, Any]]
    repeatable: bool


def judge(evidence: Evidence, promise: Promise) -> list[str]:
    """Returns the violations; none when the promise held."""
    violations = []
    answer = evidence.answer
    if answer.complete:
        violations += _judge_whole(evidence)
    else:
        violations += _judge_broken(evidence)
        if promise is Promise.WHOLE:
            error = answer.error or {}
            violations.append(
                f"no whole answer: status {answer.status}, "
                f"{error.get('code')}: {error.get('message')}"
            )
    if not evidence.repeatable and len(evidence.runs) > 1:
        violations.append(f"ran {len(evidence.runs)} times, may run once")
    return violations


def _judge_whole(evidence: Evidence) -> list[str]:
    violations = []
    if evidence.answer.text != evidence.expected:
        violations.append("another answer was passed on as whole")
    if not evidence.answer.clean_end:
        violations.append("terminal marker without a clean end")
    if not evidence.runs:
        violations.append("answered without a run")
    return violations


def _judge_broken(evidence: Evidence) -> list[str]:
    answer = evidence.answer
    violations = []
    if not evidence.expected.startswith(answer.text):
        violations.append("wrong text before the error")
    if answer.status == 0:
        violations.append("no answer at all")
    elif answer.error is None:
        violations.append("ended without an explicit error")
    elif answer.status == 200 and answer.clean_end:
        violations.append("a broken stream ended cleanly")
    if answer.run == "not_run" and evidence.runs:
        violations.append("said not run, but it ran")
    return violations
