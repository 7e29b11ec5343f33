"""Messages in which hosts exchange records of streams."""

from __future__ import annotations

from collections.abc import Sequence
from typing import NamedTuple

import cbor2
import msgspec

from hillthread import errors

__all__ = [
    "JOURNAL_PATH",
    "MAX_REPLY_BYTES",
    "STREAMS_PATH",
    "StreamNotice",
    "StreamQuery",
    "decode_notices",
    "decode_query",
    "decode_reply",
    "encode_notices",
    "encode_query",
    "encode_reply",
]

# POST looks up a record; PUT hands off the records of a host that stops.
STREAMS_PATH = "/streams"
# PUT sends records to the host that writes them to the journal.
JOURNAL_PATH = "/streams/journal"
MAX_REPLY_BYTES = 4_096


class StreamQuery(NamedTuple):
    """Asks for the record of a stream.

    Attributes:
        tenant: As in `stream_records.StreamKey`.
        digest: As in `stream_records.StreamKey`.
        reads_journal: Whether the receiver also looks into the journal. Hosts
            of earlier releases refuse such queries.
    """

    tenant: int
    digest: bytes
    reads_journal: bool = False


class StreamNotice(NamedTuple):
    """The record of a stream.

    Attributes:
        tenant: As in `stream_records.StreamKey`.
        digest: As in `stream_records.StreamKey`.
        pool: Pool of the target that began the stream.
        release: Release of that target; empty if it is in doubt.
        ttl_s: Seconds for which the record is kept.
    """

    tenant: int
    digest: bytes
    pool: str
    release: str
    ttl_s: int


def encode_query(query: StreamQuery) -> bytes:
    """Returns a query as CBOR."""
    fields = list(query) if query.reads_journal else [*query[:2]]
    return cbor2.dumps(fields)


def decode_query(raw: bytes) -> StreamQuery:
    """Returns the query in a request.

    Raises:
        PeerError: It is not a valid query.
    """
    return _decode(raw, StreamQuery)


def encode_reply(notice: StreamNotice | None) -> bytes:
    """Returns the answer to a query as CBOR; None if there is no record."""
    return cbor2.dumps(None if notice is None else list(notice))


def decode_reply(raw: bytes) -> StreamNotice | None:
    """Returns the answer to a query; None if the host has no record.

    Raises:
        PeerError: It is not a valid answer.
    """
    return _decode(raw, StreamNotice | None)


def encode_notices(notices: Sequence[StreamNotice]) -> bytes:
    """Returns records that are handed off, as CBOR."""
    return cbor2.dumps([list(notice) for notice in notices])


def decode_notices(raw: bytes) -> list[StreamNotice]:
    """Returns records that another host hands off.

    Raises:
        PeerError: They are not valid.
    """
    return _decode(raw, list[StreamNotice])


def _decode(raw, kind):
    try:
        return msgspec.convert(cbor2.loads(raw), kind)
    except (cbor2.CBORDecodeError, msgspec.ValidationError) as error:
        raise errors.PeerError(
            f"The message on a stream is unreadable: {error}.",
            "Run the same release on all hosts.",
        ) from error
