"""Encodes the headers of attempts and decodes those of targets' answers."""

from __future__ import annotations

import http
from typing import NamedTuple

from hillthread.platform import names
from hillthread.protocol import headers as headers_lib
from hillthread.state.routing import attempt_plan
from hillthread.transport import http1
from hillthread.transport import http1_client

__all__ = [
    "AnswerMeaning",
    "PromptHeaders",
    "PromptPart",
    "decode_answer",
    "decode_prompt",
    "encode_attempt",
    "encode_forwarded",
    "filter_relayed_headers",
    "is_event_stream",
    "is_leaving",
    "make_request_call_id",
    "parse_whole_number",
]

_HOP_BY_HOP_HEADERS = frozenset(
    [
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    ]
)
# Headers of answers that this module reads, or that HTTP defines and hosts only
# relay. All others are reported as unknown.
_KNOWN_HEADERS = _HOP_BY_HOP_HEADERS | frozenset(
    [
        names.INCARNATION,
        names.NOT_RUN,
        names.RECEIPT,
        names.REQUEST_ID,
        names.RETRY_AFTER,
        names.TARGET_BRITTLE,
        names.TARGET_LEAVING,
        names.TARGET_LIMIT,
        names.WEIGHTS_VERSION,
        b"cache-control",
        b"content-encoding",
        b"content-length",
        b"content-type",
        b"date",
        b"server",
        b"vary",
    ]
)
_FRAMING_HEADERS = frozenset([b"content-length", b"expect"])
# Targets take a deadline of 0 as no deadline.
_MIN_DEADLINE_MS = 1
# No valid count has more digits; the limit bounds the time that parsing a
# caller's header takes.
_MAX_DIGITS = 15
# Engines accept priorities from 0, the most urgent, to 9.
_MAX_PRIORITY_VALUE = 9


class PromptPart(NamedTuple):
    """One part of a prompt.

    Attributes:
        digest: Digest of its text.
        tokens: Its length in tokens.
    """

    digest: str
    tokens: int


class PromptHeaders(NamedTuple):
    """The description of a prompt in the headers of a request.

    Attributes:
        model: The requested model; empty for plain services.
        parts: The prompt's parts in order; the last one belongs to the request
            or its session.
        counted_tokens: Tokens of the prompt and of the longest requested
            answer together; None unless the request states both.
    """

    model: str = ""
    parts: tuple[PromptPart, ...] = ()
    counted_tokens: int | None = None


class AnswerMeaning(NamedTuple):
    """The information in the head of a target's answer.

    Attributes:
        request_id: Id of the answered request.
        not_run: The target did not run the request and never will.
        has_receipt: The answer carries a target's receipt.
        incarnation: Incarnation of the target; empty if not stated.
        weights_version: Version of the weights used; None if not stated.
        is_encoded: The body has a content encoding, so that its bytes are not
            the target's own.
        is_leaving: The target is about to shut down and accepts no new work.
        backoff_s: Seconds for which the target accepts no further request from
            this host; 0 if it requests no back-off.
        limit_per_s: Requests a second that the target accepts from all hosts
            together; None if it states no limit.
        withstood_refusals_per_s: The target crashes if it refuses more requests
            in a second for want of room; None if it is not brittle.
        unknown_headers: Names of headers without a known meaning.
    """

    request_id: bytes
    not_run: bool
    has_receipt: bool
    incarnation: str
    weights_version: int | None
    is_encoded: bool
    is_leaving: bool
    backoff_s: float
    limit_per_s: float | None
    withstood_refusals_per_s: float | None
    unknown_headers: tuple[str, ...]


def decode_prompt(headers: http1.Headers) -> PromptHeaders:
    """Returns the description of the prompt in a caller's headers.

    Unreadable values are treated as absent; the target validates them.
    """
    first_values = dict(reversed(headers))
    prompt, _, answer = first_values.get(names.TOKEN_COUNTS, b"").partition(
        b","
    )
    counts = parse_whole_number(prompt), parse_whole_number(answer)
    return PromptHeaders(
        first_values.get(names.MODEL, b"").decode("latin-1"),
        _parse_parts(first_values.get(names.PROMPT_PARTS, b"")),
        None if None in counts else sum(filter(None, counts)),
    )


def encode_attempt(
    headers: http1.Headers, plan: attempt_plan.AttemptPlan
) -> http1.Headers:
    """Returns the headers of an attempt.

    Args:
        headers: The caller's headers; those that only the system may set are
            dropped.
        plan: The values that the attempt sends to the target.
    """
    sent = [pair for pair in headers if _is_forwarded(pair[0], headers)]
    target = plan.target
    deadline_ms = max(_MIN_DEADLINE_MS, int(plan.seconds_left * 1000))
    sent.append((names.DEADLINE_MS, b"%d" % deadline_ms))
    sent.append((names.EXPECT_INCARNATION, target.name.encode()))
    if plan.tenant:
        sent.append((names.TENANT, plan.tenant.encode()))
    if plan.priority is not None:
        priority = min(_MAX_PRIORITY_VALUE, max(0, plan.priority))
        sent.append((names.PRIORITY, b"%d" % priority))
    if plan.weights_version is not None:
        version = b"%d" % plan.weights_version
        sent.append((names.EXPECT_WEIGHTS, version))
    if plan.model:
        sent.append((names.CACHE_SALT, plan.cache_scope.encode()))
    if plan.fetch_from:
        sent.append((names.FETCH_CACHE_FROM, plan.fetch_from.encode()))
    if plan.save_to:
        sent.append((names.SAVE_CACHE_TO, plan.save_to.encode()))
    if plan.last_event_id is not None:
        event_id = b"%d" % plan.last_event_id
        sent = [pair for pair in sent if pair[0] != names.LAST_EVENT_ID]
        sent.append((names.LAST_EVENT_ID, event_id))
    return sent


def encode_forwarded(
    headers: http1.Headers,
    host: str,
    seconds_left: float,
    last_event_id: int | None,
) -> http1.Headers:
    """Returns the headers with which another host gets a caller's request.

    That host authenticates the request, so the key stays in it. A target that
    has taken over its address refuses the request.

    Args:
        headers: The caller's headers.
        host: Name of the other host.
        seconds_left: Time until the caller gives up.
        last_event_id: Id of the last event that the caller has; None for the
            one in `headers`, if any.
    """
    replaced = {names.DEADLINE_MS, names.EXPECT_INCARNATION}
    deadline_ms = max(_MIN_DEADLINE_MS, int(seconds_left * 1000))
    added = [
        (names.DEADLINE_MS, b"%d" % deadline_ms),
        (names.EXPECT_INCARNATION, host.encode()),
    ]
    if last_event_id is not None:
        replaced.add(names.LAST_EVENT_ID)
        added.append((names.LAST_EVENT_ID, b"%d" % last_event_id))
    kept = [
        pair
        for pair in headers
        if pair[0] not in replaced and _is_end_to_end(pair[0], headers)
    ]
    return kept + added


def make_request_call_id(
    request_id: str, is_always_repeated: bool = True
) -> http1_client.CallId:
    """Returns the id by which the answer to a caller's request is matched.

    It is the caller's own, since targets get it unchanged. All attempts of a
    request have the same id.

    Args:
        request_id: Id of the request; empty if its caller set none.
        is_always_repeated: Whether every answer repeats it.
    """
    return http1_client.CallId(
        names.REQUEST_ID, request_id.encode("latin-1"), is_always_repeated
    )


def decode_answer(head: http1_client.AnswerHead) -> AnswerMeaning:
    """Returns the information in the head of an answer."""
    return AnswerMeaning(
        head.get(names.REQUEST_ID),
        bool(head.get(names.NOT_RUN)) or head.status == 421,
        bool(head.get(names.RECEIPT)),
        head.get(names.INCARNATION).decode("latin-1"),
        parse_whole_number(head.get(names.WEIGHTS_VERSION)),
        bool(head.get(b"content-encoding")),
        is_leaving(head),
        _parse_backoff(head),
        headers_lib.parse_decimal(
            head.get(names.TARGET_LIMIT).decode("latin-1")
        ),
        headers_lib.parse_decimal(
            head.get(names.TARGET_BRITTLE).decode("latin-1")
        ),
        tuple(
            name.decode("latin-1")
            for name, _ in head.headers
            if name not in _KNOWN_HEADERS
        ),
    )


def is_leaving(head: http1_client.AnswerHead) -> bool:
    """Returns whether an answer announces that its target shuts down.

    Any kind of answer may do so, also a report or an error.
    """
    return head.get(names.TARGET_LEAVING).strip() not in (b"", b"0")


def is_event_stream(head: http1_client.AnswerHead) -> bool:
    """Returns whether the body of an answer is, or may be, a stream of events.

    Targets answer some requests of streaming routes with a plain body.
    """
    content_type = head.get(b"content-type").partition(b";")[0].strip()
    return content_type.lower() in (b"", b"text/event-stream")


def filter_relayed_headers(head: http1_client.AnswerHead) -> http1.Headers:
    """Returns a target's headers for the caller, without framing headers."""
    return [
        pair
        for pair in head.headers
        if pair[0] not in _HOP_BY_HOP_HEADERS and pair[0] != b"content-length"
    ]


def parse_event_weights(raw: bytes) -> int | None:
    """Returns the weights version that an event changes to, or None."""
    if not raw.startswith(names.WEIGHTS_EVENT_FIELD):
        return None
    line = raw.partition(b"\n")[0]
    return parse_whole_number(line[len(names.WEIGHTS_EVENT_FIELD) :])


def _is_forwarded(name: bytes, headers: http1.Headers) -> bool:
    if name in names.UNCHANGED:
        return True
    if name in names.SET_BY_SYSTEM:
        return False
    if name.startswith(names.SET_BY_SYSTEM_PREFIXES):
        return False
    return _is_end_to_end(name, headers)


def _is_end_to_end(name: bytes, headers: http1.Headers) -> bool:
    """Returns whether a header concerns more than one connection."""
    if name in names.UNCHANGED:
        return True
    if name in _HOP_BY_HOP_HEADERS or name in _FRAMING_HEADERS:
        return False
    return not _is_named_by_connection(name, headers)


def _is_named_by_connection(name: bytes, headers: http1.Headers) -> bool:
    return any(
        name == term.strip().lower()
        for each, value in headers
        if each == b"connection"
        for term in value.split(b",")
    )


def _parse_parts(text: bytes) -> tuple[PromptPart, ...]:
    parts = []
    for term in text.split(b","):
        digest, _, count = term.strip().partition(b":")
        tokens = parse_whole_number(count)
        if digest and tokens is not None:
            parts.append(PromptPart(digest.decode("latin-1"), tokens))
    return tuple(parts)


def parse_whole_number(text: bytes) -> int | None:
    """Returns a number in decimal digits; None for anything else."""
    text = text.strip()
    if len(text) > _MAX_DIGITS or not text.isdigit():
        return None
    return int(text)


def _parse_backoff(head: http1_client.AnswerHead) -> float:
    """Returns the back-off requested by a target that sheds load, seconds."""
    if head.status != http.HTTPStatus.SERVICE_UNAVAILABLE:
        return 0.0
    text = head.get(names.RETRY_AFTER).decode("latin-1")
    return headers_lib.parse_retry_after(text)
