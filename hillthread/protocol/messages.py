"""Messages between hillthread's own processes: CBOR, typed, versioned."""

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
FULL_SNAPSHOT = -2


class _Message(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """The base of all messages: an array that begins with the type's name.

    Field names would be half of the bytes. Fields are added at the end only,
    with a default, so that an older release passes over them.
    """


class Challenge(_Message, frozen=True, tag="challenge"):
    """The first message of the side that accepts.

    Attributes:
        version: Of the protocol.
        nonce: To be answered with a proof.
    """

    version: int
    nonce: bytes


class Hello(_Message, frozen=True, tag="hello"):
    """The answer of the side that connects.

    Attributes:
        version: Of the protocol.
        role: `router` or `control`.
        host: The host's name.
        data_centre: Its data centre.
        incarnation: New with each start of the process.
        nonce: To be answered with a proof.
        proof: Of the shared secret, over the challenge's nonce.
    """

    version: int
    role: str
    host: str
    data_centre: str
    incarnation: str
    nonce: bytes
    proof: bytes


class Welcome(_Message, frozen=True, tag="welcome"):
    """Ends the handshake; fields as in `Hello`."""

    host: str
    data_centre: str
    incarnation: str
    proof: bytes


class Heartbeat(_Message, frozen=True, tag="heartbeat"):
    """Sent at fixed intervals over each link between hosts.

    Attributes:
        position: Configuration position in force; -1 for none.
        chain: Digest over the records up to it.
        silent_s: Seconds since the sender last heard the receiver; -1 never.
        positions: Positions of other hosts, as the sender knows them.
    """

    position: int
    chain: str
    silent_s: float = -1.0
    positions: dict[str, int] = {}


class Records(_Message, frozen=True, tag="records"):
    """Configuration records passed on, in log order without a gap.

    Attributes:
        first_offset: Of the first payload.
        payloads: The records' bytes as on the log.
        chain: Digest over all records up to the last of them.
    """

    first_offset: int
    payloads: list[bytes]
    chain: str


class WantRecords(_Message, frozen=True, tag="want"):
    """Asks for all records after a position; `EVERYTHING` for a snapshot."""

    after: int


class SnapshotMessage(_Message, frozen=True, tag="snapshot"):
    """A whole configuration, encoded as on the log."""

    payload: bytes


class TargetState(_Message, frozen=True, tag="target_state"):
    """Tells that a target leaves or is listed live.

    Attributes:
        target: Its name.
        incarnation: Which one; empty when not known.
        leaving: Whether it leaves.
    """

    target: str
    incarnation: str
    leaving: bool


class TargetLoad(msgspec.Struct, frozen=True, array_like=True):
    """A target's load as its watcher read it.

    Attributes:
        target: Its name.
        running: Requests being computed.
        waiting: Requests queued in it.
        inserted_tokens: Tokens put into its cache since it started.
        cache_tokens: Size of its cache.
        incarnation: Of the engine.
        weights_version: Of the engine.
    """

    target: str
    running: int
    waiting: int
    inserted_tokens: int
    cache_tokens: int
    incarnation: str = ""
    weights_version: str = ""


class Loads(_Message, frozen=True, tag="loads"):
    """What a watcher read in one round."""

    loads: list[TargetLoad]


class SharedPlacement(msgspec.Struct, frozen=True, array_like=True):
    """A placement told to other routers, as in `share_outbox.Share`."""

    target: str
    incarnation: str
    weights_version: str
    prefill_tokens: int
    digests: list[bytes]
    tokens: list[int]


class Shares(_Message, frozen=True, tag="shares"):
    """Placements of one router since its last message."""

    placements: list[SharedPlacement]


class Members(_Message, frozen=True, tag="members"):
    """Tells a router how many other routers its data centre has.

    Attributes:
        heard: Those whose shares come in.
        silent: Those known but not heard.
    """

    reachable: int
    unreachable: int


class Demand(_Message, frozen=True, tag="demand"):
    """What one router's callers want of limited tenants.

    Attributes:
        host: The router's host.
        rates: Requests a second, by tenant.
    """

    host: str
    rates: dict[str, float]


class RecordQuery(_Message, frozen=True, tag="record_query"):
    """Asks for decision records; fields as in `RecordFilter`.

    Attributes:
        query_id: To be repeated in the reply.
    """

    query_id: int
    request_id: str = ""
    tenant: str = ""
    target: str = ""
    reason: str = ""
    limit: int = 20


class RecordReply(_Message, frozen=True, tag="record_reply"):
    """The records found, a JSON list."""

    query_id: int
    documents: bytes


class FinishedRecord(_Message, frozen=True, tag="finished"):
    """A decision record worth keeping beyond the host, as JSON."""

    document: bytes


class ClaimRequest(_Message, frozen=True, tag="claim"):
    """Asks to claim an idempotency key.

    Attributes:
        claim_id: To be repeated in the reply.
        digest: Of tenant and key.
        holder: The request that wants to run.
    """

    claim_id: int
    digest: bytes
    holder: str


class ClaimRelease(_Message, frozen=True, tag="claim_release"):
    """Gives a claim back; fields as in `ClaimRequest`."""

    digest: bytes
    holder: str


class ClaimReply(_Message, frozen=True, tag="claim_reply"):
    """`granted`, `taken` or `unavailable`."""

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
        PeerError: They are no message of this version.
    """
    if len(data) > MAX_MESSAGE_BYTES:
        raise _malformed("it is too large")
    try:
        plain: Any = cbor2.loads(data)
        return msgspec.convert(
            plain, Message, builtin_types=(bytes,), strict=True
        )
    except Exception as error:
        # cbor2 raises many kinds of error for input that is not CBOR.
        raise _malformed(str(error)) from error


def make_proof(secret: str, nonce: bytes, *fields: str) -> bytes:
    """Returns the proof that a process knows the shared secret."""
    text = "\0".join(fields).encode()
    return hmac.digest(secret.encode(), nonce + text, hashlib.sha256)


def _malformed(reason: str) -> errors.PeerError:
    return errors.PeerError(
        f"A message does not decode: {reason[:200]}.",
        "Run the same release on all hosts; check for foreign connections.",
    )
