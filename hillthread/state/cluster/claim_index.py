"""Claims in log order: the first holder of a key has it, for every reader.

How old a claim is, each reader tells by its own steady clock, from when it read
it: the clocks of the hosts that append may be wrong by any time, and a claim
that is forgotten early lets its request run twice. Readers forget a claim at
different moments. One that still keeps it when another has granted the key anew
keeps it as long again, so that nobody grants it a second time.
"""

from __future__ import annotations

import collections
from typing import NamedTuple

import msgspec

from hillthread import errors
from hillthread.state.config import payloads

__all__ = ["Claim", "ClaimBatch", "ClaimIndex", "decode_batch", "encode_batch"]


class Claim(msgspec.Struct, frozen=True, array_like=True):
    """One claim.

    Attributes:
        digest: Of tenant and key, in hexadecimal.
        holder: The request that wants to run.
    """

    digest: str
    holder: str


class ClaimBatch(msgspec.Struct, frozen=True):
    """One record of the claims stream.

    Attributes:
        made_at: Seconds since 1970, by the appending host's clock; for people
            who read the log, nothing is decided by it.
        claims: In the order of asking.
        releases: Claims given back before, since their requests surely did
            not run; they count before the new claims.
    """

    made_at: float
    claims: list[Claim]
    releases: list[Claim] = []


class _Held(NamedTuple):
    """A key that is taken.

    Attributes:
        holder: The request that has it.
        read_at: Steady seconds, when its last claim was read.
    """

    holder: str
    read_at: float


_decoder = msgspec.json.Decoder(ClaimBatch)


def encode_batch(batch: ClaimBatch) -> bytes:
    """Returns the record's bytes."""
    return msgspec.json.encode(batch)


def decode_batch(payload: bytes) -> ClaimBatch:
    """Returns the batch in a record.

    Raises:
        ConfigurationError: The record is unreadable.
    """
    return payloads.decode_payload(_decoder, payload, "claims")


class ClaimIndex:
    """All claims of the retained window.

    Attributes:
        position: Offset of the last record taken in; -1 before the first.
        window_s: Claims read longer ago than this are forgotten.
    """

    def __init__(self, window_s: float):
        self.window_s = window_s
        self.position = -1
        self.unreadable = 0
        # The key whose last claim was read longest ago comes first.
        self._held: collections.OrderedDict[str, _Held] = (
            collections.OrderedDict()
        )

    def __len__(self) -> int:
        return len(self._held)

    def apply(self, offset: int, payload: bytes, now: float) -> None:
        """Takes in a record; records of an offset taken in are passed over.

        Args:
            offset: Of the record.
            payload: Its bytes.
            now: Steady seconds, when it was read.
        """
        if offset <= self.position:
            return
        self.position = offset
        try:
            batch = decode_batch(payload)
        except errors.ConfigurationError:
            self.unreadable += 1
            return
        self.expire(now)
        for claim in batch.releases:
            self._drop(claim)
        for claim in batch.claims:
            self._take(claim, now)

    def find_holder(self, digest: str) -> str | None:
        """Returns who has a key, or None."""
        held = self._held.get(digest)
        return None if held is None else held.holder

    def expire(self, now: float) -> None:
        """Forgets the claims that were read longer ago than the window."""
        due = now - self.window_s
        while self._held:
            digest, held = next(iter(self._held.items()))
            if held.read_at >= due:
                return
            del self._held[digest]

    def _take(self, claim: Claim, now: float) -> None:
        """Notes a claim; one of a key that is held only prolongs that."""
        held = self._held.pop(claim.digest, None)
        holder = claim.holder if held is None else held.holder
        self._held[claim.digest] = _Held(holder, now)

    def _drop(self, claim: Claim) -> None:
        if self.find_holder(claim.digest) == claim.holder:
            del self._held[claim.digest]
