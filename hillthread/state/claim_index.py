"""Claims in log order: the first holder of a key has it, for every reader."""

from __future__ import annotations

import collections

import msgspec

from hillthread import errors
from hillthread.state import payloads

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
        made_at: Seconds since 1970, by the appending host's clock.
        claims: In the order of asking.
        releases: Claims given back before, since their requests surely did
            not run; they count before the new claims.
    """

    made_at: float
    claims: list[Claim]
    releases: list[Claim] = []


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
        window_s: Claims older than this are forgotten.
    """

    def __init__(self, window_s: float):
        self.window_s = window_s
        self.position = -1
        self.unreadable = 0
        self._holders: dict[str, str] = {}
        self._order: collections.deque[tuple[float, Claim]] = (
            collections.deque()
        )

    def __len__(self) -> int:
        return len(self._holders)

    def apply(self, offset: int, payload: bytes) -> None:
        """Takes in a record; records of an offset taken in are passed over."""
        if offset <= self.position:
            return
        self.position = offset
        try:
            batch = decode_batch(payload)
        except errors.ConfigurationError:
            self.unreadable += 1
            return
        for claim in batch.releases:
            self._drop(claim)
        for claim in batch.claims:
            if claim.digest not in self._holders:
                self._holders[claim.digest] = claim.holder
                self._order.append((batch.made_at, claim))
        self._forget(batch.made_at - self.window_s)

    def holder(self, digest: str) -> str | None:
        """Returns who has a key, or None."""
        return self._holders.get(digest)

    def _forget(self, before: float) -> None:
        while self._order and self._order[0][0] < before:
            _, claim = self._order.popleft()
            self._drop(claim)

    def _drop(self, claim: Claim) -> None:
        if self._holders.get(claim.digest) == claim.holder:
            del self._holders[claim.digest]
