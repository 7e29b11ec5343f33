"""Records which software began each stream, in bounded memory."""

from __future__ import annotations

from collections.abc import Iterator
import hashlib
from typing import NamedTuple

from hillthread.state.routing import stream_origin

__all__ = ["StreamKey", "StreamRecord", "StreamRecords", "make_key"]

_DIGEST_BYTES = 16


class StreamKey(NamedTuple):
    """Identifies a stream without naming it.

    Attributes:
        tenant: Checksum of the tenant's name.
        digest: Digest of the tenant's name and the id of the attempt that
            received the first event, so that no tenant can ask for a stream of
            another one.
    """

    tenant: int
    digest: bytes


class StreamRecord(NamedTuple):
    """What is known of a stream.

    Attributes:
        origin: The software that began it. Its release is empty if there were
            several claims.
        expires_at: Clock time in seconds until which the record is kept.
    """

    origin: stream_origin.StreamOrigin
    expires_at: float


def make_key(tenant: str, attempt_id: str) -> StreamKey:
    """Returns the key of a stream.

    Args:
        tenant: Name of the tenant; empty on public routes.
        attempt_id: Id of the caller's attempt that received the first event.
    """
    name = tenant.encode()
    tenant_digest = hashlib.blake2b(name, digest_size=4).digest()
    digest = hashlib.blake2b(
        attempt_id.encode(), digest_size=_DIGEST_BYTES, key=name[:64]
    ).digest()
    return StreamKey(int.from_bytes(tenant_digest, "big"), digest)


class StreamRecords:
    """The records that one host holds.

    When there are too many, the oldest record of the tenant with the most gives
    way: no tenant can displace the records of smaller ones.

    Attributes:
        max_records: Bound on the number of records.
    """

    def __init__(self, max_records: int):
        self.max_records = max_records
        # In order of insertion, the oldest first.
        self._by_tenant: dict[int, dict[bytes, StreamRecord]] = {}
        self._count = 0

    def __len__(self) -> int:
        return self._count

    def put(
        self,
        key: StreamKey,
        origin: stream_origin.StreamOrigin,
        expires_at: float,
    ) -> None:
        """Records the origin of a stream.

        Two different claims on one stream make its release unknown.
        """
        known = self._pop(key)
        if known is not None:
            if known.origin != origin:
                origin = known.origin._replace(release="")
            expires_at = max(expires_at, known.expires_at)
        records = self._by_tenant.setdefault(key.tenant, {})
        records[key.digest] = StreamRecord(origin, expires_at)
        self._count += 1
        if self._count > self.max_records:
            self._drop_oldest_of_largest_tenant()

    def get(self, key: StreamKey, now: float) -> StreamRecord | None:
        """Returns the record of a stream, or None if there is none.

        Args:
            key: The stream.
            now: Clock time in seconds.
        """
        record = self._by_tenant.get(key.tenant, {}).get(key.digest)
        if record is None or record.expires_at <= now:
            return None
        return record

    def expire(self, now: float) -> None:
        """Drops the records that have expired at clock time `now`."""
        for key, record in list(self.items()):
            if record.expires_at <= now:
                self._pop(key)

    def items(self) -> Iterator[tuple[StreamKey, StreamRecord]]:
        """Iterates over all records; none may be changed meanwhile."""
        for tenant, records in self._by_tenant.items():
            for digest, record in records.items():
                yield StreamKey(tenant, digest), record

    def _pop(self, key: StreamKey) -> StreamRecord | None:
        records = self._by_tenant.get(key.tenant, {})
        record = records.pop(key.digest, None)
        if record is not None:
            self._count -= 1
            if not records:
                del self._by_tenant[key.tenant]
        return record

    def _drop_oldest_of_largest_tenant(self) -> None:
        tenant, records = max(
            self._by_tenant.items(), key=lambda item: len(item[1])
        )
        self._pop(StreamKey(tenant, next(iter(records))))
