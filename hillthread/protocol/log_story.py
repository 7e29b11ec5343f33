"""Tells what happened to a request from log lines of several hosts."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any
from typing import NamedTuple

import msgspec

__all__ = [
    "RequestHistory",
    "LogLine",
    "find_history",
    "parse_lines",
    "format_history",
]

# Lines of the host itself this close to the request may explain it.
_CONTEXT_S = 5.0
# The same request this close may be another try.
_TRY_S = 10.0
_CONTEXT_EVENTS = frozenset(
    [
        "start",
        "stop_notice",
        "stop_drained",
        "readiness",
        "store_lost",
        "store_back",
        "store_restored",
        "target_unreachable",
        "target_ended",
        "request_held",
        "target_leaving",
        "target_gone",
        "weights_named",
        "order",
        "log_dropped",
    ]
)


class LogLine(NamedTuple):
    """One log line.

    Attributes:
        at: Seconds since 1970, when it was decided.
        host: Whose log it is.
        event: What was decided.
        fields: All that the line says.
    """

    at: float
    host: str
    event: str
    fields: dict[str, Any]


class RequestHistory(NamedTuple):
    """What the logs say of one request.

    Attributes:
        request_id: Its id.
        lines: About it, in order.
        context: Of the hosts that served it, at about that time.
        other_tries: Ids of requests that may be other tries of the caller.
        cause: Why it ended as it did.
        missing: What the logs do not hold.
    """

    request_id: str
    lines: list[LogLine]
    context: list[LogLine]
    other_tries: list[str]
    cause: str
    missing: list[str]


def parse_lines(name: str, lines: Iterable[str]) -> list[LogLine]:
    """Returns the log lines of one host; what is none is passed over.

    Args:
        name: Stands for the host until a line tells its name.
        lines: Of the file. What stands before the first brace, as collectors
            put it there, is passed over.
    """
    host = name
    parsed = []
    for line in lines:
        start = line.find("{")
        if start < 0:
            continue
        try:
            fields = msgspec.json.decode(line[start:])
        except msgspec.DecodeError:
            continue
        if not isinstance(fields, dict) or "event" not in fields:
            continue
        if fields["event"] == "start":
            host = fields.get("host", host)
        at = float(fields.get("at") or fields.get("created") or 0.0)
        parsed.append(LogLine(at, host, fields["event"], fields))
    return parsed


def find_history(
    request_id: str, lines: list[LogLine]
) -> RequestHistory | None:
    """Returns the story of a request, or None when no line is about it."""
    own = [each for each in lines if each.fields.get("request") == request_id]
    if not own:
        return None
    own.sort(key=lambda line: line.at)
    hosts = {line.host for line in own}
    context = [
        line
        for line in lines
        if line.event in _CONTEXT_EVENTS
        and line.host in hosts
        and own[0].at - _CONTEXT_S <= line.at <= own[-1].at + 1.0
    ]
    outage = _outage(own[-1], lines)
    if outage is not None and outage not in context:
        context.append(outage)
    context.sort(key=lambda line: line.at)
    return RequestHistory(
        request_id,
        own,
        context,
        _other_tries(own, lines),
        _cause(own, outage),
        _missing(own, context),
    )


def _outage(last: LogLine, lines: list[LogLine]) -> LogLine | None:
    """Returns when the host of a line had lost the store, if it still had.

    It may have been long before. A process that started later found the store
    again, or lost it anew.
    """
    outage = None
    changes = ("store_lost", "store_back", "start")
    before = [
        line
        for line in lines
        if line.host == last.host
        and line.event in changes
        and line.at <= last.at
    ]
    for line in sorted(before, key=lambda line: line.at):
        outage = line if line.event == "store_lost" else None
    return outage


def format_history(story: RequestHistory) -> str:
    """Returns a story in words."""
    first = story.lines[0].at
    text = [f"Request {story.request_id}:"]
    for line in story.lines:
        text.append(f"  {line.at - first:+8.3f} s {line.host}: {_words(line)}")
    if story.context:
        text.append("The host at that time:")
    for line in story.context:
        text.append(f"  {line.at - first:+8.3f} s {line.host}: {_words(line)}")
    text.append(f"Cause: {story.cause}")
    if story.other_tries:
        ids = ", ".join(story.other_tries)
        text.append(f"May be other tries of the same caller: {ids}")
    text += [f"Not in the logs: {each}" for each in story.missing]
    return "\n".join(text)


def _words(line: LogLine) -> str:
    fields = line.fields
    match line.event:
        case "admitted":
            repeat = "may" if fields.get("repeatable") else "may not"
            tenant = fields.get("tenant") or "-"
            return (
                f"admitted for {fields.get('path')} on route "
                f"{fields.get('route')}, tenant {tenant}; it {repeat} run "
                f"again, {fields.get('seconds_left')} s are left"
            )
        case "target_chosen" | "no_target":
            chosen = fields.get("target") or "no target"
            return (
                f"{chosen} chosen ({fields.get('reason')}, rank "
                f"{fields.get('rank')}) under configuration "
                f"{fields.get('configuration')}, knowledge "
                f"{fields.get('store_age_s')} s old; of "
                f"{'; '.join(fields.get('candidates', []))}"
            )
        case "attempt":
            return _attempt_words(fields)
        case "retry" | "no_retry":
            allowed = "allowed" if line.event == "retry" else "not allowed"
            return (
                f"another attempt is {allowed} after {fields.get('reason')}; "
                f"{fields.get('sends')} sent, {fields.get('runs')} may have "
                f"run, {fields.get('budget_left')} retries left"
            )
        case "refused":
            after = fields.get("retry_after_s")
            later = f", come back in {after} s" if after else ""
            return (
                f"refused with {fields.get('status')} {fields.get('code')} "
                f"(run: {fields.get('run')}{later}): {fields.get('reason')}"
            )
        case "answered":
            return (
                f"answered whole with status {fields.get('status')} after "
                f"{fields.get('seconds')} s"
            )
    return _plain_words(line)


def _attempt_words(fields: dict[str, Any]) -> str:
    told = [f"attempt on {fields.get('target')} ended {fields.get('outcome')}"]
    for name in ("reason", "status", "weights", "answered_weights"):
        if fields.get(name) is not None:
            told.append(f"{name.replace('_', ' ')} {fields[name]}")
    if fields.get("cache"):
        saved = ", saved there" if fields.get("saves") else ""
        told.append(f"cache {fields['cache']}{saved}")
    if fields.get("reused"):
        told.append("on a kept connection")
    if fields.get("ejected"):
        told.append("the target is ejected")
    if fields.get("announced_leaving"):
        told.append("the target announced that it leaves")
    if fields.get("backoff_s"):
        told.append(f"the target asked for {fields['backoff_s']} s of back-off")
    return f"{', '.join(told)}, after {fields.get('seconds')} s"


def _plain_words(line: LogLine) -> str:
    skipped = {
        "at",
        "created",
        "levelname",
        "message",
        "event",
        "request",
        "labels",
    }
    told = [
        f"{name}={value}"
        for name, value in line.fields.items()
        if name not in skipped and value is not None
    ]
    name = line.event.replace("_", " ")
    return f"{name} ({', '.join(told)})" if told else name


def _cause(own: list[LogLine], outage: LogLine | None) -> str:
    """Returns why a request ended as it did, in a sentence."""
    last = {line.event: line for line in own}
    refused = last.get("refused")
    if refused is not None:
        return _refusal_cause(refused, own, outage)
    if "deadline_passed" in last and "answer_broken" in last:
        answers = _targets_with_status(own, "whole")
        whose = f" (answers: {answers})" if answers else ""
        return f"its time was over while an answer was passed on{whose}."
    if "answer_broken" in last:
        failed = _last_failure(own)
        why = last.get("no_resume")
        rest = f"; it did not go on because {why.fields['why']}" if why else ""
        return f"its stream broke off: {failed}{rest}."
    if "requester_left" in last:
        return "the caller left before the answer was whole."
    if "answered" in last:
        return _answer_cause(last["answered"], own)
    return "the log of the host ends before the request did."


def _answer_cause(answered: LogLine, own: list[LogLine]) -> str:
    if int(answered.fields.get("status") or 0) < 500:
        return "none; it was answered whole."
    failed = _targets_with_status(own, "whole")
    return f"targets ran it and failed: {failed}; that was passed on."


def _refusal_cause(
    refused: LogLine, own: list[LogLine], outage: LogLine | None
) -> str:
    fields = refused.fields
    match fields.get("code"):
        case "not_ready":
            since = "; the log tells no outage of the store before it"
            if outage is not None:
                why = outage.fields.get("reason")
                before = refused.at - outage.at
                since = f"; the store was lost {before:.1f} s before ({why})"
            age = fields.get("store_age_s")
            return f"{fields['reason']} Its knowledge was {age} s old{since}."
        case "no_target":
            choices = [line for line in own if line.event == "no_target"]
            seen = choices[-1].fields.get("candidates") if choices else []
            left = f"no target could be taken: {'; '.join(seen) or 'none'}."
            tried = _refusing_targets(own)
            return f"targets refused it: {tried}; {left}" if tried else left
        case "overloaded":
            return f"targets refused it: {_refusing_targets(own)}."
        case "target_failed":
            return f"{_last_failure(own)}, and it may not run again."
        case "deadline":
            return f"its time was over: {_last_failure(own)}."
        case "stopping":
            return f"its host ended: {_last_failure(own)}."
    return str(fields.get("reason"))


def _refusing_targets(own: list[LogLine]) -> str:
    return _targets_with_status(own, "notrun")


def _targets_with_status(own: list[LogLine], outcome: str) -> str:
    """Returns the targets whose attempts ended so, each with its status."""
    return ", ".join(
        f"{line.fields.get('target')} ({line.fields.get('status')})"
        for line in own
        if line.event == "attempt" and line.fields.get("outcome") == outcome
    )


def _last_failure(own: list[LogLine]) -> str:
    failures = [
        line
        for line in own
        if line.event == "attempt"
        and line.fields.get("outcome") not in ("whole", "relayed")
    ]
    if not failures:
        return "no attempt failed"
    fields = failures[-1].fields
    why = fields.get("reason") or fields.get("status") or "no answer in time"
    return f"target {fields.get('target')} failed ({why})"


def _other_tries(own: list[LogLine], lines: list[LogLine]) -> list[str]:
    admitted = [line for line in own if line.event == "admitted"]
    if not admitted:
        return []
    first = admitted[0]
    return [
        line.fields["request"]
        for line in lines
        if line.event == "admitted"
        and line.fields.get("request") != first.fields.get("request")
        and _is_same_request(line.fields, first.fields)
        and abs(line.at - first.at) <= _TRY_S
    ]


def _is_same_request(one: dict[str, Any], other: dict[str, Any]) -> bool:
    """Returns whether two admitted requests ask for the same."""
    names = ("digest",) if "digest" in one else ("path", "tenant")
    return all(one.get(name) == other.get(name) for name in names)


def _missing(own: list[LogLine], context: list[LogLine]) -> list[str]:
    missing = []
    events = {line.event for line in own}
    ends = {"refused", "answered", "answer_broken", "requester_left"}
    if not events & ends:
        missing.append("the end of the request; its host may have ended")
    if not events & {"admitted", "refused", "requester_left"}:
        missing.append("its admission")
    if any(line.event == "log_dropped" for line in context):
        missing.append("lines that the host dropped at that time")
    return missing
