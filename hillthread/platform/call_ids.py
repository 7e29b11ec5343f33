"""Ids of calls that a host makes on its own behalf.

Requests of callers are sent with the caller's id instead; see `attempts`.
"""

from __future__ import annotations

import itertools
import secrets

from hillthread.platform import names
from hillthread.state.cluster import feed_source
from hillthread.transport import http1_client

__all__ = ["make_call_id", "make_host_request"]

# Differs between processes, and from the ids of callers.
_PREFIX = f"hillthread-{secrets.token_hex(4)}-".encode()
_numbers = itertools.count(1)


def make_call_id(is_always_repeated: bool = True) -> http1_client.CallId:
    """Returns a new id.

    Args:
        is_always_repeated: Whether every answer of the peer repeats it.
    """
    value = _PREFIX + b"%d" % next(_numbers)
    return http1_client.CallId(names.REQUEST_ID, value, is_always_repeated)


def make_host_request(
    host: feed_source.HostEntry,
    method: bytes,
    target: bytes,
    body: bytes = b"",
) -> http1_client.ClientRequest:
    """Returns a request to another host, which repeats its id.

    Hosts of earlier releases do not repeat it. A target that has taken over the
    address would run a request with an id, but refuses one for another
    instance.

    Args:
        host: The other host.
        method: Upper-case method name.
        target: Path and query.
        body: The body.
    """
    call_id = make_call_id(is_always_repeated=False)
    headers = [
        (b"host", host.feed.encode()),
        (names.EXPECT_INCARNATION, host.name.encode()),
        (call_id.header, call_id.value),
    ]
    return http1_client.ClientRequest(method, target, headers, body, call_id)
