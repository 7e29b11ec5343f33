"""Outlier ejection and retry budgets: how a router reacts to failures."""

from __future__ import annotations

import enum

__all__ = ["Breaker", "BreakerState", "RetryBudget"]

_MAX_EJECT_FACTOR = 8
_BUDGET_WINDOW_S = 10.0
_BUDGET_FLOOR = 3.0


class BreakerState(enum.StrEnum):
    """Whether a target is given requests."""

    CLOSED = "closed"
    OPEN = "open"
    HALF_OPEN = "half_open"


class Breaker:
    """Ejects a target after consecutive failures, then probes it.

    While half open it admits one request; its result closes or reopens the
    breaker, each time for longer.

    Attributes:
        eject_after: Consecutive failures that eject.
        eject_s: Seconds of the first ejection.
    """

    def __init__(self, eject_after: int, eject_s: float):
        self.eject_after = eject_after
        self.eject_s = eject_s
        self.failures = 0
        self.ejections = 0
        self.open_until = 0.0
        self.probing = False

    def state(self, now: float) -> BreakerState:
        """Returns the state at `now`, seconds."""
        if self.ejections == 0:
            return BreakerState.CLOSED
        if now < self.open_until or self.probing:
            return BreakerState.OPEN
        return BreakerState.HALF_OPEN

    def admit(self, now: float) -> None:
        """Notes that a request is sent; the only one while half open."""
        if self.state(now) is BreakerState.HALF_OPEN:
            self.probing = True

    def succeed(self) -> None:
        """Notes that the target answered as it should."""
        self.failures = 0
        self.ejections = 0
        self.probing = False

    def release(self) -> None:
        """Notes that a request ended without telling of the target."""
        self.probing = False

    def fail(self, now: float) -> None:
        """Notes a failure that is the target's."""
        self.failures += 1
        if not self.probing and self.failures < self.eject_after:
            return
        self.probing = False
        factor = min(2**self.ejections, _MAX_EJECT_FACTOR)
        self.open_until = now + self.eject_s * factor
        self.ejections += 1


class RetryBudget:
    """Bounds retries to a share of first attempts, so that none storm.

    Attributes:
        ratio: Retries that each first attempt earns.
    """

    def __init__(self, ratio: float):
        self.ratio = ratio
        self.balance = _BUDGET_FLOOR
        self.updated_at = 0.0

    def deposit(self) -> None:
        """Notes a first attempt."""
        limit = max(_BUDGET_FLOOR, 100.0 * self.ratio)
        self.balance = min(limit, self.balance + self.ratio)

    def withdraw(self, now: float) -> bool:
        """Returns whether a retry is allowed, and notes it if so."""
        passed = max(0.0, now - self.updated_at)
        self.updated_at = now
        if self.balance < _BUDGET_FLOOR:
            refill = _BUDGET_FLOOR * passed / _BUDGET_WINDOW_S
            self.balance = min(_BUDGET_FLOOR, self.balance + refill)
        if self.balance < 1.0:
            return False
        self.balance -= 1.0
        return True
