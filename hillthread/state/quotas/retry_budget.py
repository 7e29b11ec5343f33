"""Limits retries to a share of the requests in a sliding window."""

from __future__ import annotations

import collections

__all__ = ["RetryBudget"]

# Window over which first attempts and retries are counted.
_WINDOW_S = 10.0
# Default number of retries in a window beyond those that accrue.
_EXTRA_RETRIES = 3.0


class RetryBudget:
    """Bounds retries to a share of first attempts, to prevent retry storms.

    Both are counted over the same sliding window, so retries that were not used
    in one window are not available in the next.

    Attributes:
        ratio: Retries that accrue with each first attempt.
        extra: Retries allowed in a window beyond those that accrue.
        window_s: Length of the window in seconds.
    """

    def __init__(
        self,
        ratio: float,
        extra: float = _EXTRA_RETRIES,
        window_s: float = _WINDOW_S,
    ):
        self.ratio = ratio
        self.extra = extra
        self.window_s = window_s
        self._first_attempts: collections.deque[float] = collections.deque()
        self._retries: collections.deque[float] = collections.deque()

    def deposit(self, now: float) -> None:
        """Counts a first attempt at `now`, in seconds."""
        self._first_attempts.append(now)
        self._expire(now)

    def remaining(self, now: float) -> float:
        """Returns the number of retries that are still allowed."""
        self._expire(now)
        accrued = self.extra + self.ratio * len(self._first_attempts)
        return accrued - len(self._retries)

    def withdraw(self, now: float) -> bool:
        """Returns whether a retry is allowed, and counts it if so."""
        if self.remaining(now) < 1.0:
            return False
        self._retries.append(now)
        return True

    def _expire(self, now: float) -> None:
        oldest = now - self.window_s
        for times in (self._first_attempts, self._retries):
            while times and times[0] <= oldest:
                times.popleft()
