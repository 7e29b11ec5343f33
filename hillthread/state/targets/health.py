"""Circuit breakers that eject failing targets."""

from __future__ import annotations

import enum

__all__ = ["BreakerState", "CircuitBreaker"]

# Upper limit of an ejection's length, as a multiple of the first one's.
_MAX_EJECT_FACTOR = 8


class BreakerState(enum.StrEnum):
    """State of a circuit breaker."""

    CLOSED = "closed"
    OPEN = "open"
    HALF_OPEN = "half_open"


class CircuitBreaker:
    """Ejects a target after consecutive failures, then probes it.

    While half open it admits one request. The result of this request closes the
    breaker or reopens it, each time for longer.

    Attributes:
        eject_after: Number of consecutive failures that ejects the target.
        eject_s: Length of the first ejection, seconds.
    """

    def __init__(self, eject_after: int, eject_s: float):
        self.eject_after = eject_after
        self.eject_s = eject_s
        self.failures = 0
        self.ejections = 0
        self.open_until = 0.0
        self.is_probing = False

    def state(self, now: float) -> BreakerState:
        """Returns the state at `now`, in seconds."""
        if self.ejections == 0:
            return BreakerState.CLOSED
        if now < self.open_until or self.is_probing:
            return BreakerState.OPEN
        return BreakerState.HALF_OPEN

    def admit(self, now: float) -> None:
        """Records that a request is sent; only one is sent while half open."""
        if self.state(now) is BreakerState.HALF_OPEN:
            self.is_probing = True

    def record_success(self) -> None:
        """Records that the target answered correctly."""
        self.failures = 0
        self.ejections = 0
        self.is_probing = False

    def cancel_probe(self) -> None:
        """Ends a probe whose result was not recorded."""
        self.is_probing = False

    def record_failure(self, now: float) -> None:
        """Records a failure caused by the target."""
        self.failures += 1
        if not self.is_probing and self.failures < self.eject_after:
            return
        self.trip(now)

    def trip(self, now: float) -> None:
        """Ejects the target at once, unless it is ejected already."""
        if now < self.open_until:
            return
        self.is_probing = False
        factor = min(2**self.ejections, _MAX_EJECT_FACTOR)
        self.open_until = now + self.eject_s * factor
        self.ejections += 1
