"""Enforces tenant limits within the share of one router."""

from __future__ import annotations

from hillthread.state.config import objects

__all__ = ["TenantUsage", "TokenBucket"]

# A bucket holds the refill of this time, but at least one unit.
_BURST_S = 0.5


class TokenBucket:
    """Token bucket that holds the refill of half a second.

    Attributes:
        rate: Refill in units per second.
        balance: Available units; negative after an overdraft.
        updated_at: Seconds, when the balance was last refilled.
    """

    def __init__(self, rate: float, now: float):
        self.rate = rate
        self.balance = max(1.0, rate * _BURST_S)
        self.updated_at = now

    def refill(self, now: float) -> None:
        """Adds the refill of the time up to `now`, in seconds."""
        added = (now - self.updated_at) * self.rate
        self.updated_at = now
        self.balance = min(max(1.0, self.rate * _BURST_S), self.balance + added)

    def wait_s(self, now: float, amount: float = 1.0) -> float:
        """Returns the seconds until `amount` is available; 0 if it is."""
        self.refill(now)
        missing = min(amount, max(1.0, self.rate * _BURST_S)) - self.balance
        return max(0.0, missing / self.rate)

    def spend(self, amount: float) -> None:
        """Subtracts `amount`; the balance may become negative."""
        self.balance -= amount


class TenantUsage:
    """Usage of one tenant through one router.

    Attributes:
        limits: The tenant's limits.
        share: Share of these limits that this router may use.
        running: Admitted requests that have not ended.
        requests: Bucket of requests; None without a request rate limit.
        tokens: Bucket of tokens; None without a token rate limit.
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
        """Applies changed limits or a changed share; usage is kept."""
        if limits == self.limits and share == self.share:
            return
        self.limits = limits
        self.share = share
        self.requests = _carry_balance(
            self.requests, self._bucket(limits.requests_per_s, now), now
        )
        self.tokens = _carry_balance(
            self.tokens, self._bucket(limits.tokens_per_s, now), now
        )

    def refusal_wait_s(self, now: float) -> float | None:
        """Returns None if a request is allowed, else the seconds to wait."""
        limit = self.limits.concurrency
        if limit and self.running >= max(1, int(limit * self.share)):
            # A fixed wait of 1 s: it is unknown when a running request ends.
            return 1.0
        wait = 0.0
        if self.requests is not None:
            wait = self.requests.wait_s(now)
        if self.tokens is not None:
            wait = max(wait, self.tokens.wait_s(now))
        return wait if wait > 0 else None

    def begin(self) -> None:
        """Counts an admitted request."""
        self.running += 1
        if self.requests is not None:
            self.requests.spend(1.0)

    def end(self, tokens: float) -> None:
        """Counts a request that has ended after using `tokens`."""
        self.running -= 1
        if self.tokens is not None:
            self.tokens.spend(tokens)

    def _bucket(self, rate: float, now: float) -> TokenBucket | None:
        return TokenBucket(rate * self.share, now) if rate else None


def _carry_balance(
    old: TokenBucket | None, new: TokenBucket | None, now: float
) -> TokenBucket | None:
    """Returns `new` with at most the balance of `old`.

    Shares change all the time, so a changed rate must not grant a new burst.
    """
    if old is None or new is None:
        return new
    old.refill(now)
    new.balance = min(new.balance, old.balance)
    return new
