"""Claims on idempotency keys: a non-repeatable request runs at most once."""

from __future__ import annotations

import abc
import enum

import cachetools

__all__ = ["ClaimStore", "ClaimResult", "LocalClaims"]

# Bounds the memory of a router that runs without a log.
_MAX_CLAIMS = 100_000
# Equal to the lifetime of claims on the log; see claim_keeper.
_CLAIM_TTL_S = 3_600.0


class ClaimResult(enum.StrEnum):
    """The result of a claim."""

    GRANTED = "granted"
    TAKEN = "taken"
    UNAVAILABLE = "unavailable"


class ClaimStore(abc.ABC):
    """A store of claims, made on idempotency keys before requests are sent."""

    @abc.abstractmethod
    async def claim(self, tenant: str, key: str, holder: str) -> ClaimResult:
        """Claims a tenant's key for `holder`, the id of a request.

        Returns:
            `GRANTED` to exactly one holder of a key; `UNAVAILABLE` if the
            store cannot tell, in which case the request must not be sent.
        """

    @abc.abstractmethod
    async def release(self, tenant: str, key: str, holder: str) -> None:
        """Releases a granted key; its request is proven not to have run."""


class LocalClaims(ClaimStore):
    """Claims in the memory of a single router that runs without a log."""

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
