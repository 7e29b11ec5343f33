"""Decodes how a caller resumes a stream that broke off."""

from __future__ import annotations

from typing import NamedTuple

from hillthread.platform import attempts
from hillthread.platform import names
from hillthread.transport import http1

__all__ = ["Resumption", "decode_resumption"]

# Attempt ids and event ids are shorter.
_MAX_ID_BYTES = 128
_VISIBLE_ASCII = range(0x21, 0x7F)


class Resumption(NamedTuple):
    """A caller's request to continue a stream.

    Attributes:
        stream_id: Id of the attempt that received the first event of the
            stream; empty if the caller does not name it.
        last_event_id: Id of the last event that the caller has; empty if it
            does not name one.
        fault: Why the headers are invalid; empty if they are valid.
    """

    stream_id: str = ""
    last_event_id: str = ""
    fault: str = ""

    @property
    def last_event_number(self) -> int | None:
        """The id of the last event as a number; None if it is not one."""
        text = self.last_event_id
        number = attempts.parse_whole_number(text.encode())
        return number if str(number) == text else None


def decode_resumption(headers: http1.Headers) -> Resumption | None:
    """Returns how the stream continues, or None if a new one is requested.

    An empty header counts as absent.
    """
    values: dict[bytes, set[bytes]] = {
        names.RESUMES: set(),
        names.LAST_EVENT_ID: set(),
    }
    for name, value in headers:
        if name in values and value.strip():
            values[name].add(value.strip())
    for name, found in values.items():
        label = name.decode()
        if len(found) > 1:
            return Resumption(fault=f"{label} has {len(found)} values")
        if any(not _is_id(value) for value in found):
            return Resumption(fault=f"{label} is not an id")
    stream_id, last_event_id = (
        b"".join(found).decode("ascii") for found in values.values()
    )
    if not stream_id and not last_event_id:
        return None
    return Resumption(stream_id, last_event_id)


def _is_id(value: bytes) -> bool:
    return len(value) <= _MAX_ID_BYTES and all(
        byte in _VISIBLE_ASCII for byte in value
    )
