"""Outlier ejection: how a router reacts to failures."""

from __future__ import annotations

import enum

__all__ = ["CircuitBreaker", "BreakerState"]

# Ejections last at most this many times the first one.
_MAX_EJECT_FACTOR = 8


class BreakerState(enum.StrEnum):
    """Whether a target is given requests."""

    CLOSED = "closed"
    OPEN = "open"
    HALF_OPEN = "half_open"


class CircuitBreaker:
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
        self.is_probing = False

    def state(self, now: float) -> BreakerState:
        """Returns the state at `now`, seconds."""
        if self.ejections == 0:
            return BreakerState.CLOSED
        if now < self.open_until or self.is_probing:
            return BreakerState.OPEN
        return BreakerState.HALF_OPEN

    def admit(self, now: float) -> None:
        """Notes that a request is sent; the only one while half open."""
        if self.state(now) is BreakerState.HALF_OPEN:
            self.is_probing = True

    def record_success(self) -> None:
        """Notes that the target answered as it should."""
        self.failures = 0
        self.ejections = 0
        self.is_probing = False

    def cancel_probe(self) -> None:
        """Notes that a request ended without telling of the target."""
        self.is_probing = False

    def record_failure(self, now: float) -> None:
        """Notes a failure that is the target's."""
        self.failures += 1
        if not self.is_probing and self.failures < self.eject_after:
            return
        self.trip(now)

    def trip(self, now: float) -> None:
        """Ejects the target at once; one that is ejected stays so."""
        if now < self.open_until:
            return
        self.is_probing = False
        factor = min(2**self.ejections, _MAX_EJECT_FACTOR)
        self.open_until = now + self.eject_s * factor
        self.ejections += 1
