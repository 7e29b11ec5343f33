"""Typed and versioned CBOR messages between hillthread's processes."""

from __future__ import annotations

import hashlib
import hmac
from typing import Any
from typing import TypeAlias

import cbor2
import msgspec

from hillthread import errors

__all__ = [
    "VERSION",
    "Message",
    "decode_message",
    "encode_message",
    "make_proof",
]

VERSION = 1
MAX_MESSAGE_BYTES = 4_194_304
# Position in `WantRecords` that requests a snapshot.
FULL_SNAPSHOT = -2


class _Message(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Base of all messages, which are arrays that begin with the type's tag.

    Field names would make up half of the bytes. New fields are added only at
    the end and with a default, so that an older release ignores them.
    """


class Challenge(_Message, frozen=True, tag="challenge"):
    """The first message of the side that accepts a connection.

    Attributes:
        version: Version of the protocol.
        nonce: Nonce for the peer's proof.
    """

    version: int
    nonce: bytes


class Hello(_Message, frozen=True, tag="hello"):
    """The answer of the side that connects.

    Attributes:
        version: Version of the protocol.
        role: `router` or `control`.
        host: Name of the host.
        data_centre: Name of its data centre.
        incarnation: Id of the process, new at each start.
        nonce: Nonce for the peer's proof.
        proof: Proof of the shared secret, over the challenge's nonce.
    """

    version: int
    role: str
    host: str
    data_centre: str
    incarnation: str
    nonce: bytes
    proof: bytes


class Welcome(_Message, frozen=True, tag="welcome"):
    """Completes the handshake; fields as in `Hello`."""

    host: str
    data_centre: str
    incarnation: str
    proof: bytes


class Heartbeat(_Message, frozen=True, tag="heartbeat"):
    """Sent at fixed intervals over each link between hosts.

    Attributes:
        position: Position of the applied configuration; -1 for none.
        chain: Digest over the records up to that position.
        silent_s: Seconds since the sender last received a message from the
            receiver; -1 if it never has.
        positions: Positions of other hosts, as known to the sender.
    """

    position: int
    chain: str
    silent_s: float = -1.0
    positions: dict[str, int] = {}


class Records(_Message, frozen=True, tag="records"):
    """Forwarded configuration records in log order without a gap.

    Attributes:
        first_offset: Offset of the first record.
        payloads: Bytes of the records as in the log.
        chain: Digest over all records up to the last of these.
    """

    first_offset: int
    payloads: list[bytes]
    chain: str


class WantRecords(_Message, frozen=True, tag="want"):
    """Requests the records after a position; `FULL_SNAPSHOT` for a snapshot."""

    after: int


class SnapshotMessage(_Message, frozen=True, tag="snapshot"):
    """A complete configuration, encoded as in the log."""

    payload: bytes


class TargetState(_Message, frozen=True, tag="target_state"):
    """Announces that a target is leaving or is listed as live.

    Attributes:
        target: Name of the target.
        incarnation: Incarnation of the target; empty if unknown.
        leaving: Whether the target is leaving.
    """

    target: str
    incarnation: str
    leaving: bool


class TargetLoad(msgspec.Struct, frozen=True, array_like=True):
    """The load of a target, as read by the host that watches it.

    Attributes:
        target: Name of the target.
        running: Number of running requests.
        waiting: Number of queued requests.
        inserted_tokens: Tokens added to its cache since its start.
        cache_tokens: Size of its cache in tokens.
        incarnation: Incarnation of the engine.
        weights_version: Weights version of the engine.
    """

    target: str
    running: int
    waiting: int
    inserted_tokens: int
    cache_tokens: int
    incarnation: str = ""
    weights_version: str = ""


class Loads(_Message, frozen=True, tag="loads"):
    """The loads that a host read in one round of its watched targets."""

    loads: list[TargetLoad]


class SharedPlacement(msgspec.Struct, frozen=True, array_like=True):
    """A placement that other routers are notified of.

    The digests and token counts are those of the prompt's shared levels.
    """

    target: str
    incarnation: str
    weights_version: str
    prefill_tokens: int
    digests: list[bytes]
    tokens: list[int]


class Shares(_Message, frozen=True, tag="shares"):
    """The placements of one router since its previous message."""

    placements: list[SharedPlacement]


class Members(_Message, frozen=True, tag="members"):
    """Notifies a router of the number of other routers in its data centre.

    Attributes:
        reachable: Number of routers whose placements arrive.
        unreachable: Number of other known routers.
    """

    reachable: int
    unreachable: int


class Demand(_Message, frozen=True, tag="demand"):
    """The request rates of one router's callers that belong to limited tenants.

    Attributes:
        host: Host of the router.
        rates: Requests a second, by tenant.
    """

    host: str
    rates: dict[str, float]


class RecordQuery(_Message, frozen=True, tag="record_query"):
    """Requests decision records; other fields as in `RecordFilter`.

    Attributes:
        query_id: Id that the reply repeats.
    """

    query_id: int
    request_id: str = ""
    tenant: str = ""
    target: str = ""
    reason: str = ""
    limit: int = 20


class RecordReply(_Message, frozen=True, tag="record_reply"):
    """The records found, as a JSON list."""

    query_id: int
    documents: bytes


class FinishedRecord(_Message, frozen=True, tag="finished"):
    """A decision record, as JSON, that is worth keeping outside its host."""

    document: bytes


class ClaimRequest(_Message, frozen=True, tag="claim"):
    """Requests a claim on an idempotency key.

    Attributes:
        claim_id: Id that the reply repeats.
        digest: Digest of tenant and key.
        holder: Id of the request that is to run.
    """

    claim_id: int
    digest: bytes
    holder: str


class ClaimRelease(_Message, frozen=True, tag="claim_release"):
    """Releases a claim; fields as in `ClaimRequest`."""

    digest: bytes
    holder: str


class ClaimReply(_Message, frozen=True, tag="claim_reply"):
    """The verdict on a claim: `granted`, `taken` or `unavailable`."""

    claim_id: int
    verdict: str


Message: TypeAlias = (
    Challenge
    | Hello
    | Welcome
    | Heartbeat
    | Records
    | WantRecords
    | SnapshotMessage
    | TargetState
    | Loads
    | Shares
    | Members
    | Demand
    | RecordQuery
    | RecordReply
    | FinishedRecord
    | ClaimRequest
    | ClaimRelease
    | ClaimReply
)


def encode_message(message: Message) -> bytes:
    """Returns the CBOR bytes of a message."""
    plain = msgspec.to_builtins(message, builtin_types=(bytes,))
    return cbor2.dumps(plain)


def decode_message(data: bytes) -> Message:
    """Returns the message in CBOR bytes.

    Raises:
        PeerError: The bytes are not a message of this version.
    """
    if len(data) > MAX_MESSAGE_BYTES:
        raise _make_decode_error("it is too large")
    try:
        plain: Any = cbor2.loads(data)
        return msgspec.convert(
            plain, Message, builtin_types=(bytes,), strict=True
        )
    except Exception as error:
        # cbor2 raises various types of errors for input that is not CBOR.
        raise _make_decode_error(str(error)) from error


def make_proof(secret: str, nonce: bytes, *fields: str) -> bytes:
    """Returns the proof that a process has the shared secret.

    Args:
        secret: The shared secret.
        nonce: The nonce from the peer.
        *fields: Fields of the message that the proof covers.
    """
    text = "\0".join(fields).encode()
    return hmac.digest(secret.encode(), nonce + text, hashlib.sha256)


def _make_decode_error(reason: str) -> errors.PeerError:
    return errors.PeerError(
        f"A message cannot be decoded: {reason[:200]}.",
        "Run the same release on all hosts; check for other programs that "
        "connect.",
    )
