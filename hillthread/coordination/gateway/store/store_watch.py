"""Whether the platform's store answers this host."""

from __future__ import annotations

from collections.abc import Callable

import anyio

from hillthread import clock

__all__ = ["StoreWatch"]


class StoreWatch:
    """Whether the store answers this host, as all its callers find.

    Attributes:
        lost: Called with a reason when it stops answering.
        back: Called with the time now and the seconds it was lost.
        suspect: Called with the time since which connections are suspect:
            one was lost or silent, and a new one works.
        answers: Set while the store answers; replaced when it stops.
    """

    def __init__(
        self,
        on_lost: Callable[[str], None],
        on_back: Callable[[float, float], None],
        on_suspect: Callable[[float], None],
    ):
        self.on_lost = on_lost
        self.on_back = on_back
        self.on_suspect = on_suspect
        self.lost_at: float | None = None
        self.reachable = anyio.Event()

    def record_failure(self, reason: str) -> None:
        """Notes a call that was not answered."""
        if self.lost_at is None:
            self.lost_at = clock.now()
            self.reachable = anyio.Event()
            self.on_lost(reason)

    def record_success(self) -> None:
        """Notes a call that was answered."""
        if self.lost_at is not None:
            now = clock.now()
            self.on_back(now, now - self.lost_at)
            self.lost_at = None
            self.reachable.set()
