"""Encoding of requests that one host forwards to another.

The forwarding host sends the caller's request in a POST to `FORWARD_PATH`, with
its method and target in headers. A stream that only one release of the targets
may continue goes to `FORWARD_BOUND_PATH` instead; earlier releases of hosts do
not serve it, since they would continue the stream anywhere. The answer is the
one that the caller would get from the other host, with headers that distinguish
a refusal by that host from an answer of a target. An answer without these
headers comes from a release that does not know forwarded requests and has not
run it.
"""

from __future__ import annotations

from typing import NamedTuple
from urllib import parse

import msgspec

from hillthread import errors
from hillthread.platform import attempts
from hillthread.platform import names
from hillthread.protocol import headers as headers_lib
from hillthread.state.routing import stream_origin as stream_origin_lib
from hillthread.transport import http1
from hillthread.transport import http1_client
from hillthread.transport import http1_server

__all__ = [
    "FORWARD_BOUND_PATH",
    "FORWARD_PATH",
    "ForwardOrigin",
    "ForwardedRequest",
    "HOST_HEADER",
    "RUN_HEADER",
    "SENDS_HEADER",
    "TARGET_HEADER",
    "decode_origin",
    "decode_refusal",
    "decode_request",
    "decode_sends",
    "encode_origin",
    "encode_request",
    "strip_headers",
]

FORWARD_PATH = "/forward"
FORWARD_BOUND_PATH = "/forward/bound"
# In answers: the host that gives it, the target whose answer it is, and the run
# state of the host's own refusals.
HOST_HEADER = b"hillthread-host"
TARGET_HEADER = b"hillthread-target"
RUN_HEADER = b"hillthread-run"
# Attempts on targets: of the forwarding host in requests, of the other host in
# its own refusals.
SENDS_HEADER = b"hillthread-sends"
_PREFIX = b"hillthread-"
_FROM = b"hillthread-from"
_METHOD = b"hillthread-method"
_TARGET = b"hillthread-path"
_RUNS = b"hillthread-runs"
_CONFIGURATION = b"hillthread-configuration"
# In requests the software that began the stream, in answers the one that made
# the run.
_ORIGIN_POOL = b"hillthread-origin-pool"
_ORIGIN_RELEASE = b"hillthread-origin-release"


class ForwardOrigin(NamedTuple):
    """What the forwarding host has done with a request before.

    Attributes:
        host: Name of that host.
        sends: Its attempts on targets.
        runs: Those of them that may have run.
        stream_origin: The software that began the stream; None for a new one.
        configuration_version: Version by which that host decides; 0 for a host
            of an earlier release, which does not name it.
    """

    host: str
    sends: int
    runs: int
    stream_origin: stream_origin_lib.StreamOrigin | None = None
    configuration_version: int = 0


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
    host: str,
    caller: http1_server.CallerRequest,
    seconds_left: float,
    last_event_id: int | None,
) -> http1_client.ClientRequest:
    """Returns the request to another host.

    Args:
        origin: What this host has done with the request.
        host: Name of the other host.
        caller: The caller's request.
        seconds_left: Time until the caller gives up.
        last_event_id: Id of the last event that the caller has; None for the
            id in the request, if any.
    """
    headers = attempts.encode_forwarded(
        [pair for pair in caller.headers if not pair[0].startswith(_PREFIX)],
        host,
        seconds_left,
        last_event_id,
    )
    headers += [
        (_FROM, origin.host.encode()),
        (_METHOD, caller.method),
        (_TARGET, caller.target),
        (SENDS_HEADER, b"%d" % origin.sends),
        (_RUNS, b"%d" % origin.runs),
        (_CONFIGURATION, b"%d" % origin.configuration_version),
    ]
    path = FORWARD_PATH
    if origin.stream_origin is not None:
        path = FORWARD_BOUND_PATH
        headers += encode_origin(origin.stream_origin)
    # Hosts that do not know forwarded requests may answer without an id.
    call_id = attempts.make_request_call_id(
        caller.get(names.REQUEST_ID).decode("latin-1"), False
    )
    return http1_client.ClientRequest(
        b"POST", path.encode(), headers, caller.body, call_id
    )


def decode_request(raw: http1_server.CallerRequest) -> ForwardedRequest:
    """Returns a request that another host forwarded.

    Raises:
        PeerError: It is not a valid forwarded request.
    """
    sends = attempts.parse_whole_number(raw.get(SENDS_HEADER))
    runs = attempts.parse_whole_number(raw.get(_RUNS))
    version = attempts.parse_whole_number(raw.get(_CONFIGURATION) or b"0")
    method, target = raw.get(_METHOD), raw.get(_TARGET)
    stream_origin = decode_origin(raw.headers)
    is_origin_missing = raw.path == FORWARD_BOUND_PATH and stream_origin is None
    is_incomplete = not method or not target or None in (sends, runs, version)
    if is_incomplete or is_origin_missing:
        raise errors.PeerError(
            "The forwarded request is incomplete.",
            "Run the same release on all hosts.",
        )
    headers = [
        pair
        for pair in raw.headers
        if not pair[0].startswith(_PREFIX)
        and pair[0] not in (b"content-length", names.EXPECT_INCARNATION)
    ]
    origin = ForwardOrigin(
        raw.get(_FROM).decode("latin-1"), sends, runs, stream_origin, version
    )
    caller = raw._replace(method=method, target=target, headers=headers)
    return ForwardedRequest(origin, caller)


def encode_origin(origin: stream_origin_lib.StreamOrigin) -> http1.Headers:
    """Returns the headers that name the software behind a stream or a run."""
    return [
        (_ORIGIN_POOL, origin.pool.encode()),
        (_ORIGIN_RELEASE, parse.quote(origin.release).encode()),
    ]


def decode_origin(
    headers: http1.Headers,
) -> stream_origin_lib.StreamOrigin | None:
    """Returns the software that headers name, or None if they name none."""
    values = dict(headers)
    pool = values.get(_ORIGIN_POOL, b"").decode("latin-1")
    if not pool:
        return None
    release = values.get(_ORIGIN_RELEASE, b"").decode("latin-1")
    return stream_origin_lib.StreamOrigin(pool, parse.unquote(release))


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


def decode_sends(head: http1_client.AnswerHead) -> int | None:
    """Returns how often a host that refuses a request has sent it to targets.

    None for a host of an earlier release, which does not report it.
    """
    return attempts.parse_whole_number(head.get(SENDS_HEADER))


def strip_headers(headers: http1.Headers) -> http1.Headers:
    """Returns the headers of an answer without those between hosts."""
    return [pair for pair in headers if not pair[0].startswith(_PREFIX)]
