"""Records of streams as they are stored in the journal and sent to its writers.

Records of one origin are packed together: a batch takes 20 bytes for each.
"""

from __future__ import annotations

from collections.abc import Iterable
import struct

import cbor2
import msgspec

from hillthread import errors
from hillthread.protocol import stream_query

__all__ = ["decode_batch", "encode_batch"]

_KEY = struct.Struct(">I16s")


class _Group(msgspec.Struct, array_like=True):
    """Records of one origin.

    Attributes:
        pool: As in `stream_query.StreamNotice`.
        release: As in `stream_query.StreamNotice`.
        ttl_s: As in `stream_query.StreamNotice`.
        keys: Tenant and digest of each record, packed.
    """

    pool: str
    release: str
    ttl_s: int
    keys: bytes


def encode_batch(notices: Iterable[stream_query.StreamNotice]) -> bytes:
    """Returns records as CBOR, without a bound on their number."""
    groups: dict[tuple[str, str, int], bytearray] = {}
    for notice in notices:
        origin = (notice.pool, notice.release, notice.ttl_s)
        keys = groups.setdefault(origin, bytearray())
        keys += _KEY.pack(notice.tenant, notice.digest)
    return cbor2.dumps([[*origin, bytes(k)] for origin, k in groups.items()])


def decode_batch(raw: bytes) -> list[stream_query.StreamNotice]:
    """Returns the records in a batch.

    Raises:
        PeerError: The batch is not valid.
    """
    try:
        groups = msgspec.convert(cbor2.loads(raw), list[_Group])
        return [
            stream_query.StreamNotice(
                tenant, digest, group.pool, group.release, group.ttl_s
            )
            for group in groups
            for tenant, digest in _KEY.iter_unpack(group.keys)
        ]
    except (
        cbor2.CBORDecodeError,
        msgspec.ValidationError,
        struct.error,
    ) as error:
        raise errors.PeerError(
            f"The batch of records of streams is unreadable: {error}.",
            "Run the same release on all hosts.",
        ) from error
