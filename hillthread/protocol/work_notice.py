"""What hosts tell each other of engines: work sent there, and weights."""

from __future__ import annotations

from typing import Any
from typing import NamedTuple

import cbor2
import msgspec

from hillthread import errors

__all__ = [
    "MAX_NOTICE_BYTES",
    "Notice",
    "WeightsNotice",
    "WorkNotice",
    "decode_notice",
    "encode_notice",
]

# What one packet carries on any link; longer ones are cut off, and passed over.
MAX_NOTICE_BYTES = 1_400


class WorkNotice(NamedTuple):
    """One request that a host is about to send to an engine.

    Attributes:
        target: The engine's incarnation.
        tokens: Prompt tokens it is expected to compute.
        scope: Within which parts are found again: organisation, model, weights.
        shared: Digest and tokens of each part that other prompts share, in
            order.
        own_tokens: Of the part that is the request's own.
        passes_on: The receiver tells the other hosts of its data centre.
        born_ms: When the engine started, as the sender knows it.
    """

    target: str
    tokens: int
    scope: str
    shared: list[tuple[str, int]]
    own_tokens: int
    passes_on: bool
    born_ms: int = 0


class WeightsNotice(NamedTuple):
    """An engine that is about to load weights, or has just done so.

    Attributes:
        target: The engine's incarnation.
        model: Whose weights.
        version: To be loaded, or held now.
        loading: It begins nothing until another notice tells that it is done.
        passes_on: The receiver tells the other hosts of its data centre.
        born_ms: When the engine started, as the sender knows it.
    """

    target: str
    model: str
    version: int
    loading: bool
    passes_on: bool
    born_ms: int = 0


Notice = WorkNotice | WeightsNotice

_KINDS: dict[str, type[Notice]] = {"work": WorkNotice, "weights": WeightsNotice}
_NAMES = {kind: name for name, kind in _KINDS.items()}


class _Envelope(NamedTuple):
    """A notice on the wire: the name of its kind, and its fields."""

    kind: str
    fields: list[Any]


def encode_notice(notice: Notice) -> bytes:
    """Returns a notice as CBOR."""
    return cbor2.dumps([_NAMES[type(notice)], list(notice)])


def decode_notice(raw: bytes) -> Notice:
    """Returns the notice in a datagram.

    Raises:
        PeerError: It is none.
    """
    try:
        envelope = msgspec.convert(cbor2.loads(raw), _Envelope)
        return msgspec.convert(envelope.fields, _KINDS[envelope.kind])
    except (cbor2.CBORDecodeError, msgspec.ValidationError, KeyError) as error:
        raise errors.PeerError(
            f"The notice of work is not readable: {error}.",
            "Run the same release on all hosts.",
        ) from error
