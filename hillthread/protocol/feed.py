"""What hosts of a data centre pass on to each other of the store's topics."""

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
# Where operators see, by GET, and clear, by a POST of their digest, requests
# under which targets ended.
QUARANTINE_PATH = "/quarantine"
# Where operators see how the quotas of organisations stand.
QUOTAS_PATH = "/quotas"
# Where operators see the limits that targets have named.
LIMITS_PATH = "/limits"
# Where operators see which targets leave or back off.
TARGETS_PATH = "/targets"
# Fast: 3,001 targets take 741 KB, and 80 KB packed within 6 ms. Hosts of a data
# centre that start together all ask one of them for that: among 300 hosts it
# sends 0.34 MB a second over a day in place of 2.6, in 40 MB of memory in place
# of 86.
_PACKING = 1
# No topic unpacks to more: a page that does is none.
_MOST_BYTES = 32 << 20


class FeedQuery(NamedTuple):
    """What a host asks another for.

    Attributes:
        topic: Name of the topic.
        start: Of the first record wanted.
        wait_s: How long the answer may be held while there is none.
    """

    topic: str
    start: position_lib.Position
    wait_s: float


class FeedPage(NamedTuple):
    """The answer.

    Attributes:
        position: Of the next record.
        whole: The records are the newest of all keys, not the changes.
        age_s: Age of the answering host's own knowledge when it answered.
        records: In order.
    """

    position: position_lib.Position
    is_snapshot: bool
    age_s: float
    records: list[topic_copy.TopicRecord]


class _PackedPage(NamedTuple):
    """A page on the wire."""

    position: position_lib.Position
    is_snapshot: bool
    age_s: float
    packed: bytes


def encode_query(query: FeedQuery) -> bytes:
    """Returns the request target that asks for a page."""
    fields = {
        "topic": query.topic,
        "from": query.start.offset,
        "era": query.start.era,
        "wait_ms": int(query.wait_s * 1000),
    }
    return f"{FEED_PATH}?{parse.urlencode(fields)}".encode()


def parse_query(target: bytes) -> FeedQuery:
    """Returns what a request target asks for.

    Raises:
        PeerError: It is no such question.
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
        )
    except (KeyError, ValueError) as error:
        raise errors.PeerError(
            f"The question for a feed is not readable: {error!r}.",
            "Run the same release on all hosts.",
        ) from error


def pack_records(records: Sequence[topic_copy.TopicRecord]) -> bytes:
    """Returns records as pages hold them; the same for all who ask."""
    raw = cbor2.dumps([list(record) for record in records])
    return zlib.compress(raw, _PACKING)


def encode_page(
    position: position_lib.Position,
    is_snapshot: bool,
    age_s: float,
    packed: bytes,
) -> bytes:
    """Returns a page as CBOR.

    Args:
        position: As in the page.
        whole: As in the page.
        age_s: As in the page.
        packed: Its records.
    """
    return cbor2.dumps([position, is_snapshot, age_s, packed])


def decode_page(raw: bytes) -> FeedPage:
    """Returns the page in an answer.

    Raises:
        PeerError: It is none.
    """
    try:
        page = msgspec.convert(cbor2.loads(raw), _PackedPage)
        records = msgspec.convert(
            cbor2.loads(_unpack(page.packed)), list[topic_copy.TopicRecord]
        )
        return FeedPage(page.position, page.is_snapshot, page.age_s, records)
    except (
        cbor2.CBORDecodeError,
        msgspec.ValidationError,
        zlib.error,
    ) as error:
        raise errors.PeerError(
            f"The page of a feed is not readable: {error}.",
            "Run the same release on all hosts.",
        ) from error


def _unpack(packed: bytes) -> bytes:
    """Returns what was packed.

    Raises:
        zlib.error: It is cut off, too long, or nothing of the kind.
    """
    unpacker = zlib.decompressobj()
    raw = unpacker.decompress(packed, _MOST_BYTES)
    if not unpacker.eof:
        raise zlib.error("cut off, or longer than any topic")
    return raw
