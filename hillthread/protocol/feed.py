"""Messages with which hosts of a data centre relay the store's topics."""

from __future__ import annotations

from collections.abc import Sequence
from typing import NamedTuple
from urllib import parse
import zlib

import cbor2
import msgspec

from hillthread import errors
from hillthread.state.cluster import position as position_lib
from hillthread.state.cluster import topic_copy

__all__ = [
    "FEED_PATH",
    "LIMITS_PATH",
    "QUARANTINE_PATH",
    "QUOTAS_PATH",
    "RELEASES_PATH",
    "TARGETS_PATH",
    "FeedPage",
    "FeedQuery",
    "decode_page",
    "encode_page",
    "encode_query",
    "pack_records",
    "parse_query",
]

FEED_PATH = "/feed"
# Lists, by GET, the requests under which targets crashed, and clears one, by a
# POST of its digest; for operators.
QUARANTINE_PATH = "/quarantine"
# Shows the state of the organisations' quotas to operators.
QUOTAS_PATH = "/quotas"
# Shows the limits that targets have stated to operators.
LIMITS_PATH = "/limits"
# Shows to operators which targets are leaving or have requested a back-off.
TARGETS_PATH = "/targets"
# Shows to operators which releases the targets of each pool run.
RELEASES_PATH = "/releases"
# The fastest level. It compresses 3,001 targets from 741 KB to 80 KB within
# 6 ms. All hosts of a data centre that start together request them from one
# host: among 300 hosts it sends 0.34 MB a second over a day instead of 2.6, and
# uses 40 MB of memory instead of 86.
_COMPRESSION_LEVEL = 1
# No topic is larger; the limit bounds the memory that a malformed page takes.
_MAX_UNPACKED_BYTES = 32 << 20


class FeedQuery(NamedTuple):
    """A request of one host to another for records of a topic.

    Attributes:
        topic: Name of the topic.
        start: Position of the first requested record.
        wait_s: Time for which the answer may be held while there is no such
            record.
        is_confirmation: Whether the answer is only compared with what the
            store has: it need not be current, and is not held.
    """

    topic: str
    start: position_lib.Position
    wait_s: float
    is_confirmation: bool = False


class FeedPage(NamedTuple):
    """The answer to a `FeedQuery`.

    Attributes:
        position: Position of the next record.
        is_snapshot: The records are the newest ones of all keys, rather than
            the changes from the requested position on.
        age_s: Age of the answering host's copy when it answered.
        records: The records in order.
    """

    position: position_lib.Position
    is_snapshot: bool
    age_s: float
    records: list[topic_copy.TopicRecord]


class _PackedPage(NamedTuple):
    """A page as transmitted, with compressed records."""

    position: position_lib.Position
    is_snapshot: bool
    age_s: float
    packed: bytes


def encode_query(query: FeedQuery) -> bytes:
    """Returns the request target of the HTTP request for a page."""
    fields = {
        "topic": query.topic,
        "from": query.start.offset,
        "era": query.start.era,
        "wait_ms": int(query.wait_s * 1000),
    }
    if query.is_confirmation:
        fields["confirm"] = 1
    return f"{FEED_PATH}?{parse.urlencode(fields)}".encode()


def parse_query(target: bytes) -> FeedQuery:
    """Returns the query in a request target.

    Raises:
        PeerError: The request target is not a valid query.
    """
    text = target.partition(b"?")[2].decode("latin-1")
    fields = dict(parse.parse_qsl(text))
    try:
        return FeedQuery(
            fields["topic"],
            position_lib.Position(
                int(fields.get("era", 0)), int(fields["from"])
            ),
            int(fields["wait_ms"]) / 1000.0,
            fields.get("confirm") == "1",
        )
    except (KeyError, ValueError) as error:
        raise errors.PeerError(
            f"The feed query is unreadable: {error!r}.",
            "Run the same release on all hosts.",
        ) from error


def pack_records(records: Sequence[topic_copy.TopicRecord]) -> bytes:
    """Returns records in the compressed form of pages.

    The result may be sent to all hosts that request these records.
    """
    raw = cbor2.dumps([list(record) for record in records])
    return zlib.compress(raw, _COMPRESSION_LEVEL)


def encode_page(
    position: position_lib.Position,
    is_snapshot: bool,
    age_s: float,
    packed: bytes,
) -> bytes:
    """Returns a page as CBOR.

    Args:
        position: As in `FeedPage`.
        is_snapshot: As in `FeedPage`.
        age_s: As in `FeedPage`.
        packed: The records, from `pack_records`.
    """
    return cbor2.dumps([position, is_snapshot, age_s, packed])


def decode_page(raw: bytes) -> FeedPage:
    """Returns the page in an answer.

    Raises:
        PeerError: The answer is not a valid page.
    """
    try:
        page = msgspec.convert(cbor2.loads(raw), _PackedPage)
        records = msgspec.convert(
            cbor2.loads(_decompress(page.packed)), list[topic_copy.TopicRecord]
        )
        return FeedPage(page.position, page.is_snapshot, page.age_s, records)
    except (
        cbor2.CBORDecodeError,
        msgspec.ValidationError,
        zlib.error,
    ) as error:
        raise errors.PeerError(
            f"The feed page is unreadable: {error}.",
            "Run the same release on all hosts.",
        ) from error


def _decompress(packed: bytes) -> bytes:
    """Returns the decompressed bytes.

    Raises:
        zlib.error: The data is truncated, too long or not compressed.
    """
    decompressor = zlib.decompressobj()
    raw = decompressor.decompress(packed, _MAX_UNPACKED_BYTES)
    if not decompressor.eof:
        raise zlib.error("truncated, or longer than any topic")
    return raw
