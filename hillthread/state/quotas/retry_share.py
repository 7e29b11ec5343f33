"""Enforces one host's share of a retry budget that all hosts spend together.

Each host has a token bucket. `docs/design/retries-of-all-hosts.md` explains why
the buckets of all hosts together stay within the budget whatever hosts start,
stop or lose contact, without any exchange between them.
"""

from __future__ import annotations

import collections
from typing import NamedTuple

__all__ = ["RetryBounds", "RetryShare"]

# Share of the window for which retries that accrue with requests may be spent.
# It covers the requests that one crashed target had open.
_ACCRUAL_KEPT_SHARE = 0.15
# Attempts that were charged within this time may all reach their targets at the
# same moment, for example after a link was congested.
_MAX_ARRIVAL_DELAY_S = 1.0
# Share of `RetryBounds.extra` that the full buckets of all hosts hold, unless
# that is less than a retry for each. The rest is refilled over time.
_BURST_SHARE = 0.5
# Share of the above that a new bucket holds. A host that starts may succeed one
# that has just spent all of its bucket.
_INITIAL_SHARE = 0.0


class RetryBounds(NamedTuple):
    """Bounds on the retries of all hosts together.

    Attributes:
        ratio: Retries that accrue with each request.
        extra: Retries allowed in a window beyond those that accrue.
        window_s: Length of the window in seconds.
    """

    ratio: float
    extra: float
    window_s: float


class RetryShare:
    """The retries that one host may make for one pool.

    Attributes:
        bounds: Bounds on the retries of all hosts together.
        host_count: Number of hosts that share the budget.
        balance: Retries that may be made now.
    """

    def __init__(self, bounds: RetryBounds, host_count: int, now: float):
        self.bounds = bounds
        self.host_count = host_count
        self._updated_at = now
        self._recent_requests: collections.deque[float] = collections.deque()
        self.balance = _INITIAL_SHARE * self.capacity

    @property
    def capacity(self) -> float:
        """The largest balance."""
        return self._burst + self._accrual * len(self._recent_requests)

    def update(self, bounds: RetryBounds, host_count: int, now: float) -> None:
        """Refills the bucket and applies the current bounds."""
        elapsed_s = max(0.0, now - self._updated_at)
        self._updated_at = now
        self.bounds = bounds
        self.host_count = host_count
        requests = self._recent_requests
        while requests and requests[0] <= now - self._accrual_kept_s:
            requests.popleft()
        refill = bounds.extra / host_count - self._burst
        self._add(refill * elapsed_s / self._spending_window_s)

    def deposit(self, now: float) -> None:
        """Accrues retries for a request."""
        self._recent_requests.append(now)
        self._add(self._accrual)

    def withdraw(self) -> bool:
        """Returns whether a retry is allowed, and charges it if so."""
        if self.balance < 1.0:
            return False
        self.balance -= 1.0
        return True

    def refund(self) -> None:
        """Takes back the charge for a retry that reached no target."""
        self._add(1.0)

    @property
    def _burst(self) -> float:
        """The largest balance of a host without recent requests.

        It is a whole retry if the share of this host is that large.
        """
        share = self.bounds.extra / self.host_count
        return max(_BURST_SHARE * share, min(1.0, share))

    @property
    def _spending_window_s(self) -> float:
        """Seconds of accruals that may be spent on arrivals in one window."""
        window_s = self.bounds.window_s
        return window_s + self._accrual_kept_s + _MAX_ARRIVAL_DELAY_S

    @property
    def _accrual_kept_s(self) -> float:
        return _ACCRUAL_KEPT_SHARE * self.bounds.window_s

    @property
    def _accrual(self) -> float:
        """Retries that accrue with a request."""
        window_s = self.bounds.window_s
        return self.bounds.ratio * window_s / self._spending_window_s

    def _add(self, retries: float) -> None:
        self.balance = min(self.balance + retries, self.capacity)
