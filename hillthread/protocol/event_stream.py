"""Server-sent events as bytes: framing only, so that they relay unchanged."""

from __future__ import annotations

from typing import NamedTuple

from hillthread import errors

__all__ = ["Event", "EventSplitter", "encode_event"]

_END = b"\n\n"


class Event(NamedTuple):
    """One event.

    Attributes:
        raw: All its bytes with the blank line that ends it.
        index: The number in its `id:` line, or None without one.
        data: The bytes after `data: `.
    """

    raw: bytes
    index: int | None
    data: bytes


class EventSplitter:
    """Cuts a byte stream into events; holds back an unfinished one.

    Attributes:
        limit: Bytes an unfinished event may have.
    """

    def __init__(self, limit: int):
        self.limit = limit
        self._rest = b""

    def feed(self, chunk: bytes) -> list[Event]:
        """Returns the events that `chunk` completes.

        Raises:
            HillthreadError: An event is too large or has a bad index.
        """
        pieces = (self._rest + chunk).split(_END)
        self._rest = pieces.pop()
        if len(self._rest) > self.limit:
            raise errors.HillthreadError(
                f"An event is larger than {self.limit} bytes.",
                "Raise max_event_bytes in the router's settings.",
            )
        return [_parse(piece) for piece in pieces]

    @property
    def rest(self) -> bytes:
        """The bytes of an unfinished event."""
        return self._rest


def encode_event(index: int | None, data: bytes) -> bytes:
    """Returns the bytes of one event."""
    if index is None:
        return b"data: %b\n\n" % data
    return b"id: %d\ndata: %b\n\n" % (index, data)


def _parse(piece: bytes) -> Event:
    index = None
    data = []
    for line in piece.split(b"\n"):
        name, _, value = line.partition(b":")
        value = value.removeprefix(b" ")
        if name == b"data":
            data.append(value)
        elif name == b"id":
            index = _index(value.strip())
    return Event(piece + _END, index, b"\n".join(data))


def _index(digits: bytes) -> int:
    if not digits.isdigit():
        raise errors.HillthreadError(
            f"The event index {digits!r} is not a number.",
            "Check the engine: docs/PROTOCOLS.md asks for numbers.",
        )
    return int(digits)
