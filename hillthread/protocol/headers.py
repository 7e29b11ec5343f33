"""Filters headers between callers and targets and parses their values."""

from __future__ import annotations

from collections.abc import Iterable
from collections.abc import Mapping
import email.utils
import math
import time

__all__ = [
    "filter_answer_headers",
    "filter_request_headers",
    "parse_decimal",
    "parse_retry_after",
]

# No valid number has more digits; the limit bounds the time that parsing a
# header takes.
_MAX_DIGITS = 15

_HOP_BY_HOP_HEADERS = frozenset(
    [
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    ]
)
_RESERVED_HEADERS = frozenset(
    [
        "host",
        "content-length",
        "authorization",
        "expect",
        "last-event-id",
        "accept-encoding",
        "x-request-id",
    ]
)
_RESERVED_PREFIXES = ("x-engine-", "x-expect-", "x-weights-", "x-hillthread-")


def filter_request_headers(headers: Mapping[str, str]) -> dict[str, str]:
    """Returns a caller's headers that are forwarded to a target.

    The caller's key is never forwarded, nor are headers that have a meaning in
    the engine protocol.
    """
    return {
        name: value
        for name, value in headers.items()
        if _is_forwarded(name, headers.get("connection", ""))
    }


def filter_answer_headers(
    headers: Iterable[tuple[str, str]],
) -> list[tuple[bytes, bytes]]:
    """Returns a target's headers that are relayed to the caller."""
    return [
        (name.lower().encode("latin-1"), value.encode("latin-1"))
        for name, value in headers
        if _is_relayed(name.lower())
    ]


def parse_decimal(text: str) -> float | None:
    """Returns a finite number of at least 0; None for anything else."""
    if not text or len(text) > _MAX_DIGITS:
        return None
    try:
        number = float(text)
    except ValueError:
        return None
    return number if math.isfinite(number) and number >= 0.0 else None


def parse_retry_after(text: str) -> float:
    """Returns the delay in a `Retry-After` header, seconds; 0 if unreadable.

    Args:
        text: Seconds, possibly with a fraction, or an HTTP date.
    """
    seconds = parse_decimal(text)
    if seconds is not None:
        return seconds
    try:
        date = email.utils.parsedate_to_datetime(text)
    except (ValueError, IndexError, OverflowError):
        return 0.0
    return max(0.0, date.timestamp() - time.time())


def _is_forwarded(name: str, connection: str) -> bool:
    if name in _HOP_BY_HOP_HEADERS or name in _RESERVED_HEADERS:
        return False
    if name.startswith(_RESERVED_PREFIXES):
        return False
    named = [each.strip().lower() for each in connection.split(",")]
    return name not in named


def _is_relayed(name: str) -> bool:
    if name in _HOP_BY_HOP_HEADERS or name in (
        "x-request-id",
        "server",
        "date",
    ):
        return False
    return not name.startswith(_RESERVED_PREFIXES)
