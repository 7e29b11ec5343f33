"""Which headers pass between callers and targets."""

from __future__ import annotations

from collections.abc import Iterable
from collections.abc import Mapping

__all__ = ["answered", "forwarded"]

_HOP_BY_HOP = frozenset(
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
_OWN = frozenset(
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
_OWN_PREFIXES = ("x-engine-", "x-expect-", "x-weights-", "x-hillthread-")


def forwarded(headers: Mapping[str, str]) -> dict[str, str]:
    """Returns a caller's headers that pass to a target.

    The caller's key never passes, nor does anything that the engine protocol
    gives a meaning.
    """
    return {
        name: value
        for name, value in headers.items()
        if _passes(name, headers.get("connection", ""))
    }


def answered(
    headers: Iterable[tuple[str, str]],
) -> list[tuple[bytes, bytes]]:
    """Returns a target's headers that pass to the caller."""
    return [
        (name.lower().encode("latin-1"), value.encode("latin-1"))
        for name, value in headers
        if _answers(name.lower())
    ]


def _passes(name: str, connection: str) -> bool:
    if name in _HOP_BY_HOP or name in _OWN:
        return False
    if name.startswith(_OWN_PREFIXES):
        return False
    named = [each.strip().lower() for each in connection.split(",")]
    return name not in named


def _answers(name: str) -> bool:
    if name in _HOP_BY_HOP or name in ("x-request-id", "server", "date"):
        return False
    return not name.startswith(_OWN_PREFIXES)
