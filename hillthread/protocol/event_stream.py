"""Framing of server-sent events; their bytes are relayed unchanged.

Lines end with LF or CR LF. A CR alone, which the standard allows too, ends no
line here: at the end of a read it cannot be distinguished from half a CR LF.
"""

from __future__ import annotations

import re
from typing import NamedTuple

from hillthread import errors

__all__ = ["Event", "EventSplitter", "encode_event"]

_EVENT_END = re.compile(rb"(\n\r?\n)")
# Bytes of an end that the former read may have ended with.
_END_OVERLAP_BYTES = 2


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
        event_count: Number of events so far.
    """

    def __init__(self, limit: int):
        self.limit = limit
        self.event_count = 0
        self._unfinished = bytearray()

    def feed(self, chunk: bytes) -> list[Event]:
        """Returns the events that `chunk` completes.

        Raises:
            HillthreadError: An event is too large or its index is not a
                number.
        """
        if self._unfinished:
            overlap = bytes(self._unfinished[-_END_OVERLAP_BYTES:])
            self._unfinished += chunk
            # The bytes of a long event are not searched again.
            if not _EVENT_END.search(overlap + chunk):
                self._check_size()
                return []
            chunk = bytes(self._unfinished)
        pieces = _EVENT_END.split(chunk)
        self._unfinished = bytearray(pieces.pop())
        self._check_size()
        events = [
            _parse_event(piece, end)
            for piece, end in zip(pieces[::2], pieces[1::2], strict=True)
        ]
        self.event_count += len(events)
        return events

    def _check_size(self) -> None:
        """Raises a HillthreadError if the unfinished event is too large."""
        if len(self._unfinished) > self.limit:
            raise errors.HillthreadError(
                f"An event is larger than {self.limit} bytes.",
                "Raise max_event_bytes in the router's settings.",
            )

    @property
    def rest(self) -> bytes:
        """The bytes after the last event."""
        return bytes(self._unfinished)

    @property
    def rest_bytes(self) -> int:
        """Number of bytes after the last event."""
        return len(self._unfinished)

    def has_unfinished_event(self) -> bool:
        """Returns whether the bytes so far end inside an event.

        Blank lines and comments after the last event belong to none.
        """
        lines = self._unfinished.split(b"\n")
        return any(line.strip(b"\r")[:1] not in (b"", b":") for line in lines)


def encode_event(index: int | None, data: bytes) -> bytes:
    """Returns the bytes of one event."""
    if index is None:
        return b"data: %b\n\n" % data
    return b"id: %d\ndata: %b\n\n" % (index, data)


def _parse_event(piece: bytes, end: bytes) -> Event:
    index = None
    data = []
    for line in piece.split(b"\n"):
        name, _, value = line.removesuffix(b"\r").partition(b":")
        value = value.removeprefix(b" ")
        if name == b"data":
            data.append(value)
        elif name == b"id":
            index = _parse_index(value.strip())
    return Event(piece + end, index, b"\n".join(data))


def _parse_index(digits: bytes) -> int:
    if not digits.isdigit():
        raise errors.HillthreadError(
            f"The event index {digits!r} is not a number.",
            "Check the engine: docs/PROTOCOLS.md requires numbers.",
        )
    return int(digits)
