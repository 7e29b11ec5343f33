"""Encodes attempts for targets and decodes what their answers mean."""

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
    "is_leaving",
    "filter_relayed_headers",
    "parse_whole_number",
]

_HOP_BY_HOP = frozenset(
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
# Headers of answers that have a meaning here, or that HTTP defines and hosts
# only relay.
_KNOWN_HEADERS = _HOP_BY_HOP | frozenset(
    [
        names.INCARNATION,
        names.NOT_RUN,
        names.RECEIPT,
        names.REQUEST_ID,
        names.RETRY_AFTER,
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
_FRAMING = frozenset([b"content-length", b"expect"])
# A deadline of 0 would be none.
_LEAST_DEADLINE_MS = 1
# No count has more: what a caller writes must not take long to read.
_MOST_DIGITS = 15
# Engines know 0 to 9, the most urgent first.
_HIGHEST_PRIORITY = 9


class PromptPart(NamedTuple):
    """One part of a prompt.

    Attributes:
        digest: Names its text; equal for equal text.
        tokens: Its length.
    """

    digest: str
    tokens: int


class PromptHeaders(NamedTuple):
    """What a request says of its prompt.

    Attributes:
        model: The model asked for; empty for plain services.
        parts: In order; the last belongs to the request or its session.
        counted_tokens: Of the prompt and of the longest answer wanted; None
            when the request does not tell both.
    """

    model: str = ""
    parts: tuple[PromptPart, ...] = ()
    counted_tokens: int | None = None


class AnswerMeaning(NamedTuple):
    """What the head of an answer says.

    Attributes:
        request_id: Whose answer it is.
        not_run: The target did not run the request and never will.
        has_receipt: Whether it carries a target's receipt.
        incarnation: Who answered; empty when not told.
        weights_version: Weights it ran with; None when not told.
        encoded: The body is not the target's own bytes.
        is_leaving: The target is about to end and wants no new work.
        backoff_s: The target wants no further request from this host for so
            many seconds; 0 when it asks for no back-off.
        limit_per_s: Requests a second that the target takes from all hosts
            together; None when it names no limit.
        unknown_headers: Names of headers that mean nothing here.
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
    unknown_headers: tuple[str, ...]


def decode_prompt(headers: http1.Headers) -> PromptHeaders:
    """Returns what a caller's headers say of its prompt.

    What is unreadable counts as absent: the target judges it.
    """
    first = dict(reversed(headers))
    prompt, _, answer = first.get(names.TOKEN_COUNTS, b"").partition(b",")
    counts = parse_whole_number(prompt), parse_whole_number(answer)
    return PromptHeaders(
        first.get(names.MODEL, b"").decode("latin-1"),
        _parts(first.get(names.PROMPT_PARTS, b"")),
        None if None in counts else sum(filter(None, counts)),
    )


def encode_attempt(
    headers: http1.Headers, plan: attempt_plan.AttemptPlan
) -> http1.Headers:
    """Returns the headers of an attempt.

    Args:
        headers: The caller's; what only the system may set is left out.
        plan: What the attempt asks for.
    """
    sent = [pair for pair in headers if _passes(pair[0], headers)]
    target = plan.target
    deadline_ms = max(_LEAST_DEADLINE_MS, int(plan.seconds_left * 1000))
    sent.append((names.DEADLINE_MS, b"%d" % deadline_ms))
    sent.append((names.EXPECT_INCARNATION, target.name.encode()))
    if plan.tenant:
        sent.append((names.TENANT, plan.tenant.encode()))
    if plan.priority is not None:
        priority = min(_HIGHEST_PRIORITY, max(0, plan.priority))
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


def decode_answer(head: http1_client.AnswerHead) -> AnswerMeaning:
    """Returns what the head of an answer says."""
    return AnswerMeaning(
        head.get(names.REQUEST_ID),
        bool(head.get(names.NOT_RUN)) or head.status == 421,
        bool(head.get(names.RECEIPT)),
        head.get(names.INCARNATION).decode("latin-1"),
        parse_whole_number(head.get(names.WEIGHTS_VERSION)),
        bool(head.get(b"content-encoding")),
        is_leaving(head),
        _backoff(head),
        headers_lib.parse_decimal(
            head.get(names.TARGET_LIMIT).decode("latin-1")
        ),
        tuple(
            name.decode("latin-1")
            for name, _ in head.headers
            if name not in _KNOWN_HEADERS
        ),
    )


def is_leaving(head: http1_client.AnswerHead) -> bool:
    """Returns whether an answer of any kind announces a departure."""
    return head.get(names.TARGET_LEAVING).strip() not in (b"", b"0")


def filter_relayed_headers(head: http1_client.AnswerHead) -> http1.Headers:
    """Returns a target's headers that pass to the caller, without framing."""
    return [
        pair
        for pair in head.headers
        if pair[0] not in _HOP_BY_HOP and pair[0] != b"content-length"
    ]


def parse_event_weights(raw: bytes) -> int | None:
    """Returns the weights version an event says it changed to, or None."""
    if not raw.startswith(names.WEIGHTS_EVENT_FIELD):
        return None
    line = raw.partition(b"\n")[0]
    return parse_whole_number(line[len(names.WEIGHTS_EVENT_FIELD) :])


def _passes(name: bytes, headers: http1.Headers) -> bool:
    if name in names.UNCHANGED:
        return True
    if name in _HOP_BY_HOP or name in _FRAMING or name in names.SET_BY_SYSTEM:
        return False
    if name.startswith(names.SET_BY_SYSTEM_PREFIXES):
        return False
    return not _named_by_connection(name, headers)


def _named_by_connection(name: bytes, headers: http1.Headers) -> bool:
    return any(
        name == term.strip().lower()
        for each, value in headers
        if each == b"connection"
        for term in value.split(b",")
    )


def _parts(text: bytes) -> tuple[PromptPart, ...]:
    parts = []
    for term in text.split(b","):
        digest, _, count = term.strip().partition(b":")
        tokens = parse_whole_number(count)
        if digest and tokens is not None:
            parts.append(PromptPart(digest.decode("latin-1"), tokens))
    return tuple(parts)


def parse_whole_number(text: bytes) -> int | None:
    """Returns a number written in digits; None for anything else."""
    text = text.strip()
    if len(text) > _MOST_DIGITS or not text.isdigit():
        return None
    return int(text)


def _backoff(head: http1_client.AnswerHead) -> float:
    """Returns for how long a target that sheds load asks to be left alone."""
    if head.status != http.HTTPStatus.SERVICE_UNAVAILABLE:
        return 0.0
    text = head.get(names.RETRY_AFTER).decode("latin-1")
    return headers_lib.parse_retry_after(text)
