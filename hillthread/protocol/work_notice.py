"""What hosts tell each other of the work they send to engines."""

from __future__ import annotations

from typing import NamedTuple

import cbor2
import msgspec

from hillthread import errors

__all__ = ["MAX_NOTICE_BYTES", "WorkNotice", "decode_notice", "encode_notice"]

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


def encode_notice(notice: WorkNotice) -> bytes:
    """Returns a notice as CBOR."""
    return cbor2.dumps(list(notice))


def decode_notice(raw: bytes) -> WorkNotice:
    """Returns the notice in a datagram.

    Raises:
        PeerError: It is none.
    """
    try:
        return msgspec.convert(cbor2.loads(raw), WorkNotice)
    except (cbor2.CBORDecodeError, msgspec.ValidationError) as error:
        raise errors.PeerError(
            f"The notice of work is not readable: {error}.",
            "Run the same release on all hosts.",
        ) from error
