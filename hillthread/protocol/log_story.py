"""Reconstructs the history of a request from the logs of several hosts."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterable
from typing import Any
from typing import NamedTuple

import msgspec

__all__ = [
    "LogLine",
    "RequestHistory",
    "find_history",
    "format_history",
    "parse_lines",
]

# Lines about the host up to this long before the request may explain it.
_CONTEXT_WINDOW_S = 5.0
# Equal requests within this time may be tries of the same caller.
_RETRY_WINDOW_S = 10.0
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
        "links_lost",
        "links_restored",
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
        at: Time of the event, seconds since 1970.
        host: Name of the host that wrote the log.
        event: Name of the event.
        fields: All fields of the line.
    """

    at: float
    host: str
    event: str
    fields: dict[str, Any]


class RequestHistory(NamedTuple):
    """The log lines of one request, and the conclusions from them.

    Attributes:
        request_id: Id of the request.
        lines: Lines about the request, in order of time.
        context: Lines about the hosts that served it, of about that time.
        other_tries: Ids of requests that may be other tries of the caller.
        cause: The reason for its outcome, in words.
        missing: Parts of the history that the logs do not contain.
    """

    request_id: str
    lines: list[LogLine]
    context: list[LogLine]
    other_tries: list[str]
    cause: str
    missing: list[str]


def parse_lines(name: str, lines: Iterable[str]) -> list[LogLine]:
    """Returns the log lines of one host; other lines are skipped.

    Args:
        name: Name of the host until a line states its name.
        lines: The lines of a log file. Text before the first brace of a line,
            which log collectors add, is ignored.
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
    """Returns the history of a request; None if no line is about it."""
    own_lines = [
        each for each in lines if each.fields.get("request") == request_id
    ]
    if not own_lines:
        return None
    own_lines.sort(key=lambda line: line.at)
    hosts = {line.host for line in own_lines}
    context = [
        line
        for line in lines
        if line.event in _CONTEXT_EVENTS
        and line.host in hosts
        and own_lines[0].at - _CONTEXT_WINDOW_S
        <= line.at
        <= own_lines[-1].at + 1.0
    ]
    outage = _find_outage(own_lines[-1], lines)
    if outage is not None and outage not in context:
        context.append(outage)
    context.sort(key=lambda line: line.at)
    return RequestHistory(
        request_id,
        own_lines,
        context,
        _find_other_tries(own_lines, lines),
        _find_cause(own_lines, outage),
        _list_missing(own_lines, context),
    )


def _find_outage(last: LogLine, lines: list[LogLine]) -> LogLine | None:
    """Returns the line on the store outage that lasts at a given line, if any.

    Only lines of the same host count. The outage may have begun long before. It
    is over once the process has restarted, which reports a new outage if the
    store is still unavailable.
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


def format_history(history: RequestHistory) -> str:
    """Returns a history as text for people."""
    first = history.lines[0].at
    output = [f"Request {history.request_id}:"]
    for line in history.lines:
        output.append(
            f"  {line.at - first:+8.3f} s {line.host}: {_describe_line(line)}"
        )
    if history.context:
        output.append("The host at that time:")
    for line in history.context:
        output.append(
            f"  {line.at - first:+8.3f} s {line.host}: {_describe_line(line)}"
        )
    output.append(f"Cause: {history.cause}")
    if history.other_tries:
        ids = ", ".join(history.other_tries)
        output.append(f"May be other tries of the same caller: {ids}")
    output += [f"Not in the logs: {each}" for each in history.missing]
    return "\n".join(output)


def _describe_line(line: LogLine) -> str:
    fields = line.fields
    match line.event:
        case "admitted":
            repeat = "may" if fields.get("repeatable") else "may not"
            tenant = fields.get("tenant") or "-"
            sender = fields.get("forwarded_by")
            origin = f" from host {sender}" if sender else ""
            if "resumes" in fields:
                origin += f", to continue {_describe_resumption(fields)},"
            return (
                f"admitted{origin} for {fields.get('path')} on route "
                f"{fields.get('route')}, tenant {tenant}; it {repeat} run "
                f"again, {fields.get('seconds_left')} s are left"
            )
        case "target_chosen" | "no_target":
            chosen = fields.get("target") or "no target"
            if fields.get("release"):
                chosen += f" of release {fields['release']}"
            return (
                f"{chosen} chosen ({fields.get('reason')}, rank "
                f"{fields.get('rank')}) under configuration "
                f"{fields.get('configuration')}, knowledge "
                f"{fields.get('store_age_s')} s old; of "
                f"{'; '.join(fields.get('candidates', []))}"
            )
        case "scheduled" | "attempt" | "reconnect":
            return _DESCRIPTIONS[line.event](fields)
        case "forwarded":
            reason = f" ({fields['reason']})" if fields.get("reason") else ""
            return (
                f"sent to host {fields.get('peer')}, since this one cannot "
                f"reach {fields.get('pool')}: {fields.get('outcome')}{reason}, "
                f"after {fields.get('seconds')} s"
            )
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
    return _describe_fields(line)


def _describe_resumption(fields: dict[str, Any]) -> str:
    stream = fields["resumes"] or "a stream that is not named"
    after = fields.get("last_event_id")
    return f"{stream} after event {after}" if after else stream


def _describe_schedule(fields: dict[str, Any]) -> str:
    done = {
        "defer": "sent after all prompts that can be in time",
        "refuse": "not sent, as its caller would leave before it begins",
    }.get(fields.get("decision"), fields.get("decision"))
    above = ""
    if fields.get("above_share"):
        above = "; its tenant was above its fair share"
    return (
        f"{done}: prompts of its urgency {fields.get('urgency')} and more "
        f"urgent ones take {fields.get('queue_s')} s, all queued ones "
        f"{fields.get('backlog_s')} s; its aim is {fields.get('aim_s')} s, its "
        f"caller waits {fields.get('patience_s')} s{above}"
    )


def _describe_attempt(fields: dict[str, Any]) -> str:
    details = [
        f"attempt on {fields.get('target')} ended {fields.get('outcome')}"
    ]
    for name in ("reason", "status", "weights", "answered_weights"):
        if fields.get(name) is not None:
            details.append(f"{name.replace('_', ' ')} {fields[name]}")
    if fields.get("cache"):
        saved = ", saved there" if fields.get("saves") else ""
        details.append(f"cache {fields['cache']}{saved}")
    if fields.get("reused"):
        details.append("on a kept connection")
    if fields.get("framing"):
        details.append("the end of the connection ended the answer")
    if fields.get("unfinished_bytes"):
        details.append(f"{fields['unfinished_bytes']} bytes inside an event")
    if fields.get("ejected"):
        details.append("the target is ejected")
    if fields.get("announced_leaving"):
        details.append("the target announced that it leaves")
    if fields.get("backoff_s"):
        details.append(
            f"the target asked for {fields['backoff_s']} s of back-off"
        )
    return f"{', '.join(details)}, after {fields.get('seconds')} s"


def _describe_reconnect(fields: dict[str, Any]) -> str:
    if fields.get("release"):
        origin = f"release {fields['release']} of {fields.get('pool')}"
        return f"continues a stream that {origin} began"
    return (
        f"continues a stream that none of {fields.get('asked')} other hosts "
        f"knows; {fields.get('unanswered')} have not answered"
    )


_DESCRIPTIONS: dict[str, Callable[[dict[str, Any]], str]] = {
    "scheduled": _describe_schedule,
    "attempt": _describe_attempt,
    "reconnect": _describe_reconnect,
}


def _describe_fields(line: LogLine) -> str:
    skipped = {
        "at",
        "created",
        "levelname",
        "message",
        "event",
        "request",
        "labels",
    }
    details = [
        f"{name}={value}"
        for name, value in line.fields.items()
        if name not in skipped and value is not None
    ]
    name = line.event.replace("_", " ")
    return f"{name} ({', '.join(details)})" if details else name


def _find_cause(own_lines: list[LogLine], outage: LogLine | None) -> str:
    """Returns the reason for the outcome of a request, as a sentence."""
    last = {line.event: line for line in own_lines}
    refused = last.get("refused")
    if refused is not None:
        return _find_refusal_cause(refused, own_lines, outage)
    if "deadline_passed" in last and "answer_broken" in last:
        answers = _list_targets_by_outcome(own_lines, "whole")
        whose = f" (answers: {answers})" if answers else ""
        return f"its time was over while an answer was passed on{whose}."
    if "answer_broken" in last:
        failed = _describe_last_failure(own_lines)
        why = last.get("no_resume")
        rest = f"; it did not go on because {why.fields['why']}" if why else ""
        return f"its stream broke off: {failed}{rest}."
    if "requester_left" in last:
        return "the caller left before the answer was whole."
    if "answered" in last:
        return _find_answer_cause(last["answered"], own_lines)
    return "the log of the host ends before the request did."


def _find_answer_cause(answered: LogLine, own_lines: list[LogLine]) -> str:
    if int(answered.fields.get("status") or 0) < 500:
        return "none; it was answered whole."
    failed = _list_targets_by_outcome(own_lines, "whole")
    return f"targets ran it and failed: {failed}; that was passed on."


def _find_refusal_cause(
    refused: LogLine, own_lines: list[LogLine], outage: LogLine | None
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
            choices = [line for line in own_lines if line.event == "no_target"]
            seen = choices[-1].fields.get("candidates") if choices else []
            left = f"no target could be taken: {'; '.join(seen) or 'none'}."
            tried = _list_refusing_targets(own_lines)
            return f"targets refused it: {tried}; {left}" if tried else left
        case "overloaded":
            return f"targets refused it: {_list_refusing_targets(own_lines)}."
        case "target_failed":
            return (
                f"{_describe_last_failure(own_lines)}, and it may not run "
                "again."
            )
        case "deadline":
            return f"its time was over: {_describe_last_failure(own_lines)}."
        case "stopping":
            return f"its host ended: {_describe_last_failure(own_lines)}."
    return str(fields.get("reason"))


def _list_refusing_targets(own_lines: list[LogLine]) -> str:
    return _list_targets_by_outcome(own_lines, "notrun")


def _list_targets_by_outcome(own_lines: list[LogLine], outcome: str) -> str:
    """Returns the targets of attempts with an outcome, with their status."""
    return ", ".join(
        f"{line.fields.get('target')} ({line.fields.get('status')})"
        for line in own_lines
        if line.event == "attempt" and line.fields.get("outcome") == outcome
    )


def _describe_last_failure(own_lines: list[LogLine]) -> str:
    failures = [
        line
        for line in own_lines
        if line.event == "attempt"
        and line.fields.get("outcome") not in ("whole", "relayed")
    ]
    if not failures:
        return "no attempt failed"
    fields = failures[-1].fields
    why = fields.get("reason") or fields.get("status") or "no answer in time"
    return f"target {fields.get('target')} failed ({why})"


def _find_other_tries(
    own_lines: list[LogLine], lines: list[LogLine]
) -> list[str]:
    admitted = [line for line in own_lines if line.event == "admitted"]
    if not admitted:
        return []
    first = admitted[0]
    return [
        line.fields["request"]
        for line in lines
        if line.event == "admitted"
        and line.fields.get("request") != first.fields.get("request")
        and _is_same_request(line.fields, first.fields)
        and abs(line.at - first.at) <= _RETRY_WINDOW_S
    ]


def _is_same_request(one: dict[str, Any], other: dict[str, Any]) -> bool:
    """Returns whether two admitted requests are the same, as far as known.

    Without digests, their paths and tenants are compared.
    """
    names = ("digest",) if "digest" in one else ("path", "tenant")
    return all(one.get(name) == other.get(name) for name in names)


def _list_missing(
    own_lines: list[LogLine], context: list[LogLine]
) -> list[str]:
    missing = []
    events = {line.event for line in own_lines}
    ends = {"refused", "answered", "answer_broken", "requester_left"}
    if not events & ends:
        missing.append("the end of the request; its host may have ended")
    if not events & {"admitted", "refused", "requester_left"}:
        missing.append("its admission")
    if any(line.event == "log_dropped" for line in context):
        missing.append("lines that the host dropped at that time")
    return missing
