"""Claims: a request that must not be repeated runs at most once."""

from __future__ import annotations

import abc
import enum

import cachetools

__all__ = ["ClaimStore", "ClaimResult", "LocalClaims"]

# Bound on memory where a router runs without a log.
_MAX_CLAIMS = 100_000
# As long as the claims on the log; see claim_keeper.
_CLAIM_TTL_S = 3_600.0


class ClaimResult(enum.StrEnum):
    """The answer to a claim."""

    GRANTED = "granted"
    TAKEN = "taken"
    UNAVAILABLE = "unavailable"


class ClaimStore(abc.ABC):
    """Where an idempotency key is claimed before a request is sent."""

    @abc.abstractmethod
    async def claim(self, tenant: str, key: str, holder: str) -> ClaimResult:
        """Claims a tenant's key for `holder`, an id of the request.

        Returns:
            `GRANTED` to exactly one holder of a key; `UNAVAILABLE` when it
            cannot be known, and then the request must not be sent.
        """

    @abc.abstractmethod
    async def release(self, tenant: str, key: str, holder: str) -> None:
        """Gives a granted key back: its request surely did not run."""


class LocalClaims(ClaimStore):
    """Claims in this process only: for a single router without a log."""

    def __init__(self):
        self.holders: cachetools.TTLCache = cachetools.TTLCache(
            _MAX_CLAIMS, ttl=_CLAIM_TTL_S
        )

    async def claim(self, tenant: str, key: str, holder: str) -> ClaimResult:
        """See the base class."""
        found = self.holders.setdefault((tenant, key), holder)
        return ClaimResult.GRANTED if found == holder else ClaimResult.TAKEN

    async def release(self, tenant: str, key: str, holder: str) -> None:
        """See the base class."""
        if self.holders.get((tenant, key)) == holder:
            del self.holders[(tenant, key)]
