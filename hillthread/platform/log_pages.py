"""Decodes pages and records of the platform's log."""

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

# Length of a record in bytes, before each record.
LENGTH_PREFIX = struct.Struct(">I")
# End offset and oldest kept offset, before the records of a page.
_PAGE_HEADER = struct.Struct(">QQ")


class LogRecord(NamedTuple):
    """One record of a topic.

    Attributes:
        position: Its position in the topic.
        payload: Its bytes.
    """

    position: position_lib.Position
    payload: bytes


class LogPage(NamedTuple):
    """Consecutive records of a topic.

    Attributes:
        end: Position after the newest record of the topic.
        records: The records in order, without a gap.
    """

    end: position_lib.Position
    records: list[LogRecord]


class KeyedPage(NamedTuple):
    """The newest record of each key, or of some of them.

    Attributes:
        records: The records in the order of their keys.
        end: Position after the newest record when the page was made.
    """

    records: list[topic_copy.TopicRecord]
    end: position_lib.Position


def parse_page(raw: bytes, start: position_lib.Position) -> LogPage:
    """Returns the records in an answer to a read.

    Args:
        raw: The answer's body.
        start: Position of the first requested record.

    Raises:
        LogError: The answer is truncated.
    """
    try:
        end, _ = _PAGE_HEADER.unpack_from(raw, 0)
        payloads = list(_split_records(raw, _PAGE_HEADER.size))
    except struct.error as error:
        raise errors.LogError(
            f"The store's answer is truncated: {error}.",
            "Check whether the platform was upgraded.",
        ) from error
    records = [
        LogRecord(start._replace(offset=start.offset + number), payload)
        for number, payload in enumerate(payloads)
    ]
    return LogPage(start._replace(offset=end), records)


def _split_records(raw: bytes, position: int) -> Iterator[bytes]:
    while position < len(raw):
        (length,) = LENGTH_PREFIX.unpack_from(raw, position)
        position += LENGTH_PREFIX.size
        payload = raw[position : position + length]
        if len(payload) < length:
            raise struct.error("a record is incomplete")
        yield payload
        position += length


def parse_keyed_record(record: LogRecord) -> topic_copy.TopicRecord:
    """Returns the keyed record in a record of a keyed topic.

    Raises:
        LogError: The record has no key.
    """
    payload = record.payload
    size = payload[0] if payload else 0
    if not payload or len(payload) < 1 + size:
        raise errors.LogError(
            f"Record {record.position.offset} of a keyed topic has no key.",
            "Check which program wrote it; the record is skipped.",
        )
    key = payload[1 : 1 + size].decode("utf-8", "replace")
    return topic_copy.TopicRecord(key, payload[1 + size :], record.position)
