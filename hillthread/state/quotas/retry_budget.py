"""Retry budgets: retries are a share of requests over a sliding window."""

from __future__ import annotations

import collections

__all__ = ["RetryBudget"]

# Window over which requests earn retries.
_WINDOW_S = 10.0
# Retries in a window beyond what requests earn, unless the caller sets another.
_EXTRA = 3.0


class RetryBudget:
    """Bounds retries to a share of first attempts, so that none storm.

    Both are counted over the same sliding window: what was not spent in one
    window is not carried into the next.

    Attributes:
        ratio: Retries that each first attempt earns.
        extra: Retries allowed in a window beyond what requests earn.
        window_s: Length of the window, seconds.
    """

    def __init__(
        self, ratio: float, extra: float = _EXTRA, window_s: float = _WINDOW_S
    ):
        self.ratio = ratio
        self.extra = extra
        self.window_s = window_s
        self._first: collections.deque[float] = collections.deque()
        self._retries: collections.deque[float] = collections.deque()

    def deposit(self, now: float) -> None:
        """Notes a first attempt, at `now` seconds."""
        self._first.append(now)
        self._expire(now)

    def remaining(self, now: float) -> float:
        """Returns the retries that may still be made."""
        self._expire(now)
        earned = self.extra + self.ratio * len(self._first)
        return earned - len(self._retries)

    def withdraw(self, now: float) -> bool:
        """Returns whether a retry is allowed, and notes it if so."""
        if self.remaining(now) < 1.0:
            return False
        self._retries.append(now)
        return True

    def _expire(self, now: float) -> None:
        oldest = now - self.window_s
        for times in (self._first, self._retries):
            while times and times[0] <= oldest:
                times.popleft()
