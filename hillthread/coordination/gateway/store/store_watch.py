"""Tracks whether the platform's store answers this host."""

from __future__ import annotations

from collections.abc import Callable

import anyio

from hillthread import clock

__all__ = ["StoreWatch"]


class StoreWatch:
    """Tracks whether the store answers, from the calls of all its users.

    Attributes:
        on_lost: Called with a reason when the store stops answering.
        on_back: Called when the store answers again, with the current time and
            the seconds for which it was lost.
        on_suspect: Called with the time at which a read was lost when a later
            one over a new connection is answered: connections that were in use
            before that time may be dead.
        lost_at: Time at which the store stopped answering; None while it
            answers.
        reachable: Set when the store answers again after it was lost; replaced
            when it stops answering.
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
        """Records a call that was not answered."""
        if self.lost_at is None:
            self.lost_at = clock.now()
            self.reachable = anyio.Event()
            self.on_lost(reason)

    def record_success(self) -> None:
        """Records a call that was answered."""
        if self.lost_at is not None:
            now = clock.now()
            self.on_back(now, now - self.lost_at)
            self.lost_at = None
            self.reachable.set()
