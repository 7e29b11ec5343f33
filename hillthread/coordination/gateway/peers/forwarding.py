"""Encoding of requests that one host forwards to another.

The forwarding host sends the caller's request in a POST to `FORWARD_PATH`, with
its method and target in headers. The answer is the one that the caller would
get from the other host, with headers that distinguish a refusal by that host
from an answer of a target. An answer without these headers comes from a release
that does not know forwarded requests and has not run it.
"""

from __future__ import annotations

from typing import NamedTuple

import msgspec

from hillthread import errors
from hillthread.platform import attempts
from hillthread.platform import names
from hillthread.protocol import headers as headers_lib
from hillthread.transport import http1
from hillthread.transport import http1_client
from hillthread.transport import http1_server

__all__ = [
    "FORWARD_PATH",
    "ForwardOrigin",
    "ForwardedRequest",
    "HOST_HEADER",
    "RUN_HEADER",
    "TARGET_HEADER",
    "decode_refusal",
    "decode_request",
    "encode_request",
    "strip_headers",
]

FORWARD_PATH = "/forward"
# In answers: the host that gives it, the target whose answer it is, and the run
# state of the host's own refusals.
HOST_HEADER = b"hillthread-host"
TARGET_HEADER = b"hillthread-target"
RUN_HEADER = b"hillthread-run"
_PREFIX = b"hillthread-"
_FROM = b"hillthread-from"
_METHOD = b"hillthread-method"
_TARGET = b"hillthread-path"
_SENDS = b"hillthread-sends"
_RUNS = b"hillthread-runs"


class ForwardOrigin(NamedTuple):
    """What the forwarding host has done with a request before.

    Attributes:
        host: Name of that host.
        sends: Its attempts on targets.
        runs: Those of them that may have run.
    """

    host: str
    sends: int
    runs: int


class ForwardedRequest(NamedTuple):
    """A request as received from the forwarding host.

    Attributes:
        origin: What that host has done with it.
        caller: The caller's request.
    """

    origin: ForwardOrigin
    caller: http1_server.CallerRequest


class _Error(msgspec.Struct):
    code: str
    message: str
    remedy: str


class _ErrorBody(msgspec.Struct):
    error: _Error


_error_decoder = msgspec.json.Decoder(_ErrorBody)


def encode_request(
    origin: ForwardOrigin,
    caller: http1_server.CallerRequest,
    seconds_left: float,
    last_event_id: int | None,
) -> http1_client.ClientRequest:
    """Returns the request to another host.

    Args:
        origin: What this host has done with the request.
        caller: The caller's request.
        seconds_left: Time until the caller gives up.
        last_event_id: Id of the last event that the caller has; None for the
            id in the request, if any.
    """
    headers = attempts.encode_forwarded(
        [pair for pair in caller.headers if not pair[0].startswith(_PREFIX)],
        seconds_left,
        last_event_id,
    )
    headers += [
        (_FROM, origin.host.encode()),
        (_METHOD, caller.method),
        (_TARGET, caller.target),
        (_SENDS, b"%d" % origin.sends),
        (_RUNS, b"%d" % origin.runs),
    ]
    path = FORWARD_PATH.encode()
    return http1_client.ClientRequest(b"POST", path, headers, caller.body)


def decode_request(raw: http1_server.CallerRequest) -> ForwardedRequest:
    """Returns a request that another host forwarded.

    Raises:
        PeerError: It is not a valid forwarded request.
    """
    sends = attempts.parse_whole_number(raw.get(_SENDS))
    runs = attempts.parse_whole_number(raw.get(_RUNS))
    method, target = raw.get(_METHOD), raw.get(_TARGET)
    if sends is None or runs is None or not method or not target:
        raise errors.PeerError(
            "The forwarded request is incomplete.",
            "Run the same release on all hosts.",
        )
    headers = [
        pair
        for pair in raw.headers
        if not pair[0].startswith(_PREFIX) and pair[0] != b"content-length"
    ]
    origin = ForwardOrigin(raw.get(_FROM).decode("latin-1"), sends, runs)
    caller = raw._replace(method=method, target=target, headers=headers)
    return ForwardedRequest(origin, caller)


def decode_refusal(
    answer: http1_client.WholeAnswer,
) -> errors.RefusalError:
    """Returns the refusal by another host.

    Raises:
        PeerError: The answer is not a refusal.
    """
    try:
        error = _error_decoder.decode(answer.body).error
        run = errors.RunState(answer.head.get(RUN_HEADER).decode("latin-1"))
    except (msgspec.DecodeError, ValueError) as cause:
        raise errors.PeerError(
            f"The refusal of a forwarded request is unreadable: {cause}.",
            "Run the same release on all hosts.",
        ) from cause
    text = answer.head.get(names.RETRY_AFTER).decode("latin-1")
    return errors.RefusalError(
        error.code,
        answer.head.status,
        error.message,
        error.remedy,
        run,
        headers_lib.parse_retry_after(text) or None,
    )


def strip_headers(headers: http1.Headers) -> http1.Headers:
    """Returns the headers of an answer without those between hosts."""
    return [pair for pair in headers if not pair[0].startswith(_PREFIX)]
