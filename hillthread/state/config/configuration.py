"""Deterministic replay of the configuration log.

Every reader applies the records in log order and decides alike. A put or delete
takes effect only if the object still has the version that its author expected;
the version is derived from the offset of the record that last changed the
object. A chain of digests over all records shows whether two histories are the
same.
"""

from __future__ import annotations

import collections
from collections.abc import Sequence
import hashlib
from typing import Any
from typing import NamedTuple
from typing import TypeAlias

import msgspec

from hillthread import errors
from hillthread.state.config import objects
from hillthread.state.config import payloads

__all__ = [
    "AuditEntry",
    "Change",
    "Configuration",
    "Delete",
    "Outcome",
    "Put",
    "Rejection",
    "Snapshot",
    "StoredObject",
    "decode_change",
    "encode_change",
    "extend_chain",
]

EMPTY_CHAIN = "0" * 32
START_POSITION = -1
_MAX_OUTCOMES = 1024
_MAX_HISTORY = 1024


class Put(msgspec.Struct, frozen=True, kw_only=True, tag_field="op", tag="put"):
    """Creates or replaces one object.

    Attributes:
        record_id: Chosen by the author, to look up an unknown outcome.
        actor: The operator who requested the change.
        made_at: Seconds since 1970.
        object: The object as JSON; validated when the record is applied.
        expected_version: Version to replace; 0 if the object must not exist.
    """

    record_id: str
    actor: str
    made_at: float
    object: dict[str, Any]
    expected_version: int


class Delete(
    msgspec.Struct, frozen=True, kw_only=True, tag_field="op", tag="delete"
):
    """Removes one object; the fields are those of `Put`."""

    record_id: str
    actor: str
    made_at: float
    key: objects.ObjectKey
    expected_version: int


class StoredObject(msgspec.Struct, frozen=True):
    """An object in force.

    Attributes:
        object: The object as JSON.
        version: Offset of the record that stored it, plus one.
    """

    object: dict[str, Any]
    version: int


class Snapshot(
    msgspec.Struct, frozen=True, kw_only=True, tag_field="op", tag="snapshot"
):
    """The whole configuration at one position; applying it is idempotent.

    Attributes:
        position: Offset of the last record that is included.
        chain: Digest over all records up to that position.
        objects: All objects in force.
    """

    position: int
    chain: str
    objects: list[StoredObject]


Change: TypeAlias = Put | Delete | Snapshot


class Rejection(NamedTuple):
    """Reason why a record had no effect.

    Attributes:
        code: `version_conflict`, `invalid_configuration` or `duplicate`.
        message: Explanation with the remedy.
    """

    code: str
    message: str


class Outcome(NamedTuple):
    """Result of applying one record.

    Attributes:
        offset: Offset of the record in the log.
        rejection: Why the record had no effect, or None if it took effect.
    """

    offset: int
    rejection: Rejection | None


class AuditEntry(NamedTuple):
    """One entry of the audit history.

    Attributes:
        offset: Offset of the record in the log.
        actor: The operator who made the change.
        made_at: Seconds since 1970.
        operation: `put` or `delete`.
        key: Key of the object; None if the object is invalid.
        previous: The previous object as JSON, or None.
        rejection: Why the change had no effect, or None.
    """

    offset: int
    actor: str
    made_at: float
    operation: str
    key: objects.ObjectKey | None
    previous: dict[str, Any] | None
    rejection: Rejection | None


_encoder = msgspec.json.Encoder(order="deterministic")
_decoder = msgspec.json.Decoder(Change)


def encode_change(change: Change) -> bytes:
    """Returns the bytes of the record on the log."""
    return _encoder.encode(change)


def decode_change(payload: bytes) -> Change:
    """Returns the change in a record of the log.

    Raises:
        ConfigurationError: The bytes are not a record of this release.
    """
    return payloads.decode_payload(_decoder, payload, "configuration")


class Configuration:
    """The configuration as replayed up to a position.

    Attributes:
        position: Offset of the last applied record; -1 before the first.
        chain: Digest over all records up to `position`.
        stored: All objects in force, as JSON.
        decoded: All objects in force, decoded.
        outcomes: Results of the latest records by record id.
        history: The latest changes, the oldest first.
        unreadable_count: Number of records that could not be decoded.
        snapshot_position: Position of the last snapshot on the log that
            includes all records before it.
    """

    def __init__(self):
        self.position = START_POSITION
        self.chain = EMPTY_CHAIN
        self.stored: dict[objects.ObjectKey, StoredObject] = {}
        self.decoded: dict[objects.ObjectKey, objects.ConfigurationObject] = {}
        self.outcomes: collections.OrderedDict[str, Outcome] = (
            collections.OrderedDict()
        )
        self.history: collections.deque[AuditEntry] = collections.deque(
            maxlen=_MAX_HISTORY
        )
        self.unreadable_count = 0
        self.snapshot_position = START_POSITION

    def apply(self, offset: int, payload: bytes) -> bool:
        """Applies the next record.

        Args:
            offset: Offset of the record; must be `position + 1`.
            payload: Bytes of the record.

        Returns:
            Whether an object changed.

        Raises:
            ConfigurationError: The offset is not the next one.
        """
        if offset != self.position + 1:
            raise errors.ConfigurationError(
                f"Record {offset} does not follow position {self.position}.",
                "Read the log from the position after the last one applied.",
            )
        self.position = offset
        self.chain = extend_chain(self.chain, [payload])
        try:
            change = decode_change(payload)
        except errors.ConfigurationError:
            self.unreadable_count += 1
            return False
        match change:
            case Snapshot():
                # A snapshot that other records overtook on the way to the log
                # lacks these records. If retention cut the log at it, they
                # would be lost, so another snapshot is still due.
                if change.position == offset - 1:
                    self.snapshot_position = change.position
                return False
            case Put():
                return self._put(offset, change)
            case Delete():
                return self._delete(offset, change)

    def snapshot(self) -> Snapshot:
        """Returns the whole configuration as one record."""
        ordered = [self.stored[key] for key in sorted(self.stored)]
        return Snapshot(
            position=self.position, chain=self.chain, objects=ordered
        )

    def restore(self, snapshot: Snapshot) -> None:
        """Replaces the whole configuration by `snapshot`.

        Raises:
            ConfigurationError: The snapshot is older than the configuration in
                force, or contains an invalid object; nothing is changed.
        """
        if snapshot.position < self.position:
            raise errors.ConfigurationError(
                f"A snapshot at {snapshot.position} is older than position "
                f"{self.position} in force.",
                "Take a snapshot from a host with a newer position.",
            )
        decoded = {}
        stored = {}
        for each in snapshot.objects:
            value = objects.decode_object(each.object)
            decoded[objects.object_key(value)] = value
            stored[objects.object_key(value)] = each
        self.decoded = decoded
        self.stored = stored
        self.position = snapshot.position
        self.snapshot_position = snapshot.position
        self.chain = snapshot.chain

    def version(self, key: objects.ObjectKey) -> int:
        """Returns the version in force of an object; 0 if it is absent."""
        found = self.stored.get(key)
        return found.version if found else 0

    def _put(self, offset: int, change: Put) -> bool:
        try:
            value = objects.decode_object(change.object)
        except errors.HillthreadError as error:
            self._record_outcome(
                offset, change, None, Rejection(error.code, str(error))
            )
            return False
        key = objects.object_key(value)
        rejection = self._find_rejection(key, change)
        self._record_outcome(offset, change, key, rejection)
        if rejection is not None:
            return False
        self.stored[key] = StoredObject(change.object, offset + 1)
        self.decoded[key] = value
        return True

    def _delete(self, offset: int, change: Delete) -> bool:
        rejection = self._find_rejection(change.key, change)
        self._record_outcome(offset, change, change.key, rejection)
        if rejection is not None:
            return False
        self.stored.pop(change.key, None)
        self.decoded.pop(change.key, None)
        return True

    def _find_rejection(
        self, key: objects.ObjectKey, change: Put | Delete
    ) -> Rejection | None:
        if change.record_id in self.outcomes:
            return Rejection(
                "duplicate", "The same record was appended before."
            )
        current = self.version(key)
        if current == change.expected_version:
            return None
        return Rejection(
            errors.ConflictError.code,
            f"{key.kind}/{key.name} has version {current}, not "
            f"{change.expected_version}. Remedy: read it again, then apply.",
        )

    def _record_outcome(
        self,
        offset: int,
        change: Put | Delete,
        key: objects.ObjectKey | None,
        rejection: Rejection | None,
    ) -> None:
        previous = self.stored.get(key) if key else None
        operation = "put" if isinstance(change, Put) else "delete"
        self.history.append(
            AuditEntry(
                offset,
                change.actor,
                change.made_at,
                operation,
                key,
                previous.object if previous else None,
                rejection,
            )
        )
        if change.record_id in self.outcomes:
            return
        self.outcomes[change.record_id] = Outcome(offset, rejection)
        if len(self.outcomes) > _MAX_OUTCOMES:
            self.outcomes.popitem(last=False)


def extend_chain(chain: str, payloads: Sequence[bytes]) -> str:
    """Returns the chain of digests extended by more records."""
    for payload in payloads:
        key = bytes.fromhex(chain)
        chain = hashlib.blake2b(payload, digest_size=16, key=key).hexdigest()
    return chain
