"""A clock that jumps from one planned action to the next."""

from __future__ import annotations

from collections.abc import Callable
import heapq
import itertools

__all__ = ["VirtualClock"]


class VirtualClock:
    """Plans actions and runs them in the order of their times.

    Attributes:
        now: The time of the action that runs, seconds from the start.
    """

    def __init__(self):
        self.now = 0.0
        self._queue: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()

    def at(self, when: float, action: Callable[[], None]) -> None:
        """Plans an action; those of the same time run as they were planned."""
        heapq.heappush(self._queue, (when, next(self._order), action))

    def run(self, end: float) -> None:
        """Runs all actions until none is left or one was later than `end`."""
        while self._queue and self.now <= end:
            self.now, _, action = heapq.heappop(self._queue)
            action()
