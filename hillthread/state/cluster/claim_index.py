"""Index of claims in log order: the first request to claim a key holds it.

Each reader measures the age of a claim by its own monotonic clock, from the
moment it read the claim. The clocks of the appending hosts may be wrong by any
amount, and a claim that expires too early lets its request run twice. Readers
expire a claim at different times, so one reader may grant a key anew while
another still holds the earlier claim. When that other reader reads the new
claim, it extends the earlier one by a full window. No reader then grants the
key a second time.
"""

from __future__ import annotations

import collections
from typing import NamedTuple

import msgspec

from hillthread import errors
from hillthread.state.config import payloads

__all__ = ["Claim", "ClaimBatch", "ClaimIndex", "decode_batch", "encode_batch"]


class Claim(msgspec.Struct, frozen=True, array_like=True):
    """A request's claim on an idempotency key.

    Attributes:
        digest: Digest of tenant and key, in hexadecimal.
        holder: The request that wants to run.
    """

    digest: str
    holder: str


class ClaimBatch(msgspec.Struct, frozen=True):
    """One record of the claims stream.

    Attributes:
        made_at: Seconds since 1970, by the appending host's clock. Serves
            people who read the log; no decision depends on it.
        claims: New claims, in the order of their requests.
        releases: Earlier claims whose requests certainly did not run. They
            are released before the new claims are applied.
    """

    made_at: float
    claims: list[Claim]
    releases: list[Claim] = []


class _HeldKey(NamedTuple):
    """A key that a request holds.

    Attributes:
        holder: The request that holds it.
        read_at: Monotonic time at which its last claim was read, in seconds.
    """

    holder: str
    read_at: float


_decoder = msgspec.json.Decoder(ClaimBatch)


def encode_batch(batch: ClaimBatch) -> bytes:
    """Returns the encoded record of a batch."""
    return msgspec.json.encode(batch)


def decode_batch(payload: bytes) -> ClaimBatch:
    """Returns the batch in a record.

    Raises:
        ConfigurationError: The record is unreadable.
    """
    return payloads.decode_payload(_decoder, payload, "claims")


class ClaimIndex:
    """All claims that have not expired.

    Attributes:
        window_s: Time after which a claim expires, from its reading.
        position: Offset of the last applied record; -1 before the first.
        unreadable: Number of records that could not be decoded.
    """

    def __init__(self, window_s: float):
        self.window_s = window_s
        self.position = -1
        self.unreadable = 0
        # Ordered by the time at which the last claim was read, oldest first.
        self._held: collections.OrderedDict[str, _HeldKey] = (
            collections.OrderedDict()
        )

    def __len__(self) -> int:
        return len(self._held)

    def apply(self, offset: int, payload: bytes, now: float) -> None:
        """Applies a record, unless its offset has been applied already.

        Args:
            offset: Offset of the record.
            payload: Content of the record.
            now: Monotonic time at which it was read, in seconds.
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
            self._apply_release(claim)
        for claim in batch.claims:
            self._apply_claim(claim, now)

    def find_holder(self, digest: str) -> str | None:
        """Returns the request that holds a key, or None."""
        held = self._held.get(digest)
        return None if held is None else held.holder

    def expire(self, now: float) -> None:
        """Removes the claims that were read longer ago than the window."""
        oldest_kept = now - self.window_s
        while self._held:
            digest, held = next(iter(self._held.items()))
            if held.read_at >= oldest_kept:
                return
            del self._held[digest]

    def _apply_claim(self, claim: Claim, now: float) -> None:
        """Applies a claim; a claim on a held key only extends that one."""
        held = self._held.pop(claim.digest, None)
        holder = claim.holder if held is None else held.holder
        self._held[claim.digest] = _HeldKey(holder, now)

    def _apply_release(self, claim: Claim) -> None:
        if self.find_holder(claim.digest) == claim.holder:
            del self._held[claim.digest]
