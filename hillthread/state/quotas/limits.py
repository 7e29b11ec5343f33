"""Tenant limits, spent locally from this router's share."""

from __future__ import annotations

from hillthread.state.config import objects

__all__ = ["TenantUsage", "TokenBucket"]

# A bucket holds what is earned in this time, and one request at least.
_BURST_S = 0.5


class TokenBucket:
    """A rate with a burst of half a second's worth.

    Attributes:
        rate: Units a second.
        balance: Units to spend; negative after an overdraft.
    """

    def __init__(self, rate: float, now: float):
        self.rate = rate
        self.balance = max(1.0, rate * _BURST_S)
        self.updated_at = now

    def refill(self, now: float) -> None:
        """Adds what was earned until `now`, seconds."""
        earned = (now - self.updated_at) * self.rate
        self.updated_at = now
        self.balance = min(
            max(1.0, self.rate * _BURST_S), self.balance + earned
        )

    def wait_s(self, now: float, amount: float = 1.0) -> float:
        """Returns seconds until `amount` can be spent; 0 if now."""
        self.refill(now)
        missing = min(amount, max(1.0, self.rate * _BURST_S)) - self.balance
        return max(0.0, missing / self.rate)

    def spend(self, amount: float) -> None:
        """Takes out `amount`, below zero if need be."""
        self.balance -= amount


class TenantUsage:
    """What one tenant uses through one router.

    Attributes:
        running: Requests admitted and not ended.
        share: The part of the tenant's limits this router may spend.
    """

    def __init__(self, limits: objects.Limits, share: float, now: float):
        self.limits = limits
        self.share = share
        self.running = 0
        self.requests = self._bucket(limits.requests_per_s, now)
        self.tokens = self._bucket(limits.tokens_per_s, now)

    def set_limits(
        self, limits: objects.Limits, share: float, now: float
    ) -> None:
        """Takes over changed limits or a changed share, keeping usage."""
        if limits == self.limits and share == self.share:
            return
        self.limits = limits
        self.share = share
        self.requests = _adopted(
            self.requests, self._bucket(limits.requests_per_s, now), now
        )
        self.tokens = _adopted(
            self.tokens, self._bucket(limits.tokens_per_s, now), now
        )

    def refusal_wait_s(self, now: float) -> float | None:
        """Returns None when a request is allowed, else seconds to wait."""
        limit = self.limits.concurrency
        if limit and self.running >= max(1, int(limit * self.share)):
            return 1.0
        wait = 0.0
        if self.requests is not None:
            wait = self.requests.wait_s(now)
        if self.tokens is not None:
            wait = max(wait, self.tokens.wait_s(now))
        return wait if wait > 0 else None

    def begin(self) -> None:
        """Notes an admitted request."""
        self.running += 1
        if self.requests is not None:
            self.requests.spend(1.0)

    def end(self, tokens: float) -> None:
        """Notes an ended request that used `tokens`."""
        self.running -= 1
        if self.tokens is not None:
            self.tokens.spend(tokens)

    def _bucket(self, rate: float, now: float) -> TokenBucket | None:
        return TokenBucket(rate * self.share, now) if rate else None


def _adopted(
    old: TokenBucket | None, new: TokenBucket | None, now: float
) -> TokenBucket | None:
    """Returns `new` with what is left in `old`.

    A change of rate must not give a new burst: shares change all the time.
    """
    if old is None or new is None:
        return new
    old.refill(now)
    new.balance = min(new.balance, old.balance)
    return new
