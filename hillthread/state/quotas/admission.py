"""The queue before a pool: by class, bounded by size and by deadline."""

from __future__ import annotations

import dataclasses
import itertools
from typing import NamedTuple

import sortedcontainers

__all__ = ["AdmissionQueue", "Offer", "Ticket"]


@dataclasses.dataclass(eq=False, slots=True)
class Ticket:
    """One waiting request.

    Attributes:
        priority: Smaller is served first.
        deadline: Seconds; the request is of no use later.
        sequence: Order of arrival within a class.
    """

    priority: int
    deadline: float
    sequence: int


class Offer(NamedTuple):
    """The outcome of offering a request to the queue.

    Attributes:
        ticket: The place in the queue, or None when refused.
        shed: A waiting ticket of a lower class that had to go, or None.
    """

    ticket: Ticket | None
    shed: Ticket | None


class AdmissionQueue:
    """Requests that wait for a free target, the most urgent class first.

    Attributes:
        size: Tickets that wait at most.
        served_per_s: Smoothed rate at which tickets leave to be served.
    """

    def __init__(self, capacity: int):
        self.capacity = capacity
        self.served_per_s = 0.0
        self.last_served_at: float | None = None
        self._sequence = itertools.count()
        self._waiting = sortedcontainers.SortedKeyList(
            key=lambda ticket: (ticket.priority, ticket.sequence)
        )

    def __len__(self) -> int:
        return len(self._waiting)

    def expected_wait_s(self, priority: int) -> float:
        """Returns the expected wait of a new ticket; 0 when unknown."""
        if self.served_per_s <= 0:
            return 0.0
        ahead = self._waiting.bisect_key_right((priority, float("inf")))
        return ahead / self.served_per_s

    def offer(self, priority: int, deadline: float, now: float) -> Offer:
        """Asks for a place.

        The request is refused at once when its deadline would pass in the
        queue, or when the queue is full of requests at least as urgent.
        """
        if now + self.expected_wait_s(priority) > deadline:
            return Offer(None, None)
        shed = None
        if len(self._waiting) >= self.capacity:
            last = self._waiting[-1]
            if last.priority <= priority:
                return Offer(None, None)
            shed = last
            self._waiting.remove(last)
        ticket = Ticket(priority, deadline, next(self._sequence))
        self._waiting.add(ticket)
        return Offer(ticket, shed)

    def first(self) -> Ticket | None:
        """Returns the ticket to be served next, or None."""
        return self._waiting[0] if self._waiting else None

    def in_order(self) -> list[Ticket]:
        """Returns all tickets, the one to be served next first."""
        return list(self._waiting)

    def serve(self, ticket: Ticket, now: float) -> None:
        """Takes out a ticket because its request can be sent."""
        self._waiting.remove(ticket)
        if self.last_served_at is not None:
            gap = max(1e-4, now - self.last_served_at)
            self.served_per_s += 0.1 * (1.0 / gap - self.served_per_s)
        self.last_served_at = now

    def withdraw(self, ticket: Ticket) -> None:
        """Takes out a ticket whose request has ended; idempotent."""
        if ticket in self._waiting:
            self._waiting.remove(ticket)
