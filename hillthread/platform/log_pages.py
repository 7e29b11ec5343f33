"""Pages and records of the platform's log, and how they are decoded."""

from __future__ import annotations

from collections.abc import Iterator
import struct
from typing import NamedTuple

from hillthread import errors
from hillthread.state.cluster import position as position_lib
from hillthread.state.cluster import topic_copy

__all__ = [
    "LENGTH_PREFIX",
    "KeyedPage",
    "LogPage",
    "LogRecord",
    "parse_keyed_record",
    "parse_page",
]

# Before each record.
LENGTH_PREFIX = struct.Struct(">I")
# Before the records of a page: the end, and the first offset kept.
_POSITIONS = struct.Struct(">QQ")


class LogRecord(NamedTuple):
    """One record of a topic.

    Attributes:
        position: Its place in the topic.
        payload: Its bytes.
    """

    position: position_lib.Position
    payload: bytes


class LogPage(NamedTuple):
    """A part of a topic.

    Attributes:
        end: Past the newest record.
        records: In order, without a gap.
    """

    end: position_lib.Position
    records: list[LogRecord]


class KeyedPage(NamedTuple):
    """The newest record of each key, or of some of them.

    Attributes:
        records: In the order of their keys.
        end: Past the newest record when the page was made.
    """

    records: list[topic_copy.TopicRecord]
    end: position_lib.Position


def parse_page(raw: bytes, start: position_lib.Position) -> LogPage:
    """Returns the records in an answer to a read.

    Args:
        raw: The answer.
        start: Of the first record wanted.

    Raises:
        LogError: The answer is cut short.
    """
    try:
        end, _ = _POSITIONS.unpack_from(raw, 0)
        payloads = list(_split(raw, _POSITIONS.size))
    except struct.error as error:
        raise errors.LogError(
            f"The store's answer is cut short: {error}.",
            "Check whether the platform was upgraded.",
        ) from error
    records = [
        LogRecord(start._replace(offset=start.offset + number), payload)
        for number, payload in enumerate(payloads)
    ]
    return LogPage(start._replace(offset=end), records)


def _split(raw: bytes, position: int) -> Iterator[bytes]:
    while position < len(raw):
        (length,) = LENGTH_PREFIX.unpack_from(raw, position)
        position += LENGTH_PREFIX.size
        payload = raw[position : position + length]
        if len(payload) < length:
            raise struct.error("a record ends early")
        yield payload
        position += length


def parse_keyed_record(record: LogRecord) -> topic_copy.TopicRecord:
    """Returns the keyed record in a record of a keyed topic.

    Raises:
        LogError: It is none.
    """
    payload = record.payload
    size = payload[0] if payload else 0
    if not payload or len(payload) < 1 + size:
        raise errors.LogError(
            f"Record {record.position.offset} of a keyed topic has no key.",
            "Check what wrote it; it is passed over.",
        )
    key = payload[1 : 1 + size].decode("utf-8", "replace")
    return topic_copy.TopicRecord(key, payload[1 + size :], record.position)
