"""Framing of server-sent events; their bytes are relayed unchanged."""

from __future__ import annotations

from typing import NamedTuple

from hillthread import errors

__all__ = ["Event", "EventSplitter", "encode_event"]

_EVENT_END = b"\n\n"


class Event(NamedTuple):
    """One event.

    Attributes:
        raw: All its bytes, including the blank line at its end.
        index: The number in its `id:` line; None without such a line.
        data: The bytes after `data: `, joined by line breaks.
    """

    raw: bytes
    index: int | None
    data: bytes


class EventSplitter:
    """Splits a byte stream into events and keeps an unfinished one.

    Attributes:
        limit: Maximum size of an unfinished event in bytes.
    """

    def __init__(self, limit: int):
        self.limit = limit
        self._unfinished = b""

    def feed(self, chunk: bytes) -> list[Event]:
        """Returns the events that `chunk` completes.

        Raises:
            HillthreadError: An event is too large or its index is not a
                number.
        """
        pieces = (self._unfinished + chunk).split(_EVENT_END)
        self._unfinished = pieces.pop()
        if len(self._unfinished) > self.limit:
            raise errors.HillthreadError(
                f"An event is larger than {self.limit} bytes.",
                "Raise max_event_bytes in the router's settings.",
            )
        return [_parse_event(piece) for piece in pieces]

    @property
    def rest(self) -> bytes:
        """The bytes of the unfinished event."""
        return self._unfinished


def encode_event(index: int | None, data: bytes) -> bytes:
    """Returns the bytes of one event."""
    if index is None:
        return b"data: %b\n\n" % data
    return b"id: %d\ndata: %b\n\n" % (index, data)


def _parse_event(piece: bytes) -> Event:
    index = None
    data = []
    for line in piece.split(b"\n"):
        name, _, value = line.partition(b":")
        value = value.removeprefix(b" ")
        if name == b"data":
            data.append(value)
        elif name == b"id":
            index = _parse_index(value.strip())
    return Event(piece + _EVENT_END, index, b"\n".join(data))


def _parse_index(digits: bytes) -> int:
    if not digits.isdigit():
        raise errors.HillthreadError(
            f"The event index {digits!r} is not a number.",
            "Check the engine: docs/PROTOCOLS.md requires numbers.",
        )
    return int(digits)
