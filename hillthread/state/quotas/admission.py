"""Priority queue of requests that wait for a free target of a pool."""

from __future__ import annotations

import dataclasses
import itertools
from typing import NamedTuple

import sortedcontainers

__all__ = ["AdmissionQueue", "Offer", "Ticket"]


@dataclasses.dataclass(eq=False, slots=True)
class Ticket:
    """A place in the queue for one request.

    Attributes:
        priority: Priority class; a smaller number is served first.
        deadline: Time in seconds after which the answer is useless.
        sequence: Order of arrival within a class.
    """

    priority: int
    deadline: float
    sequence: int


class Offer(NamedTuple):
    """Result of offering a request to the queue.

    Attributes:
        ticket: The place in the queue, or None when refused.
        shed: A waiting ticket of a lower class that was evicted, or None.
    """

    ticket: Ticket | None
    shed: Ticket | None


class AdmissionQueue:
    """Requests that wait for a free target, ordered by class and arrival.

    Attributes:
        capacity: Maximum number of waiting tickets.
        served_per_s: Moving average of the rate at which tickets are served.
        last_served_at: Seconds; None before the first ticket is served.
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
        """Returns the expected wait of a new ticket; 0 if unknown."""
        if self.served_per_s <= 0:
            return 0.0
        ahead = self._waiting.bisect_key_right((priority, float("inf")))
        return ahead / self.served_per_s

    def offer(self, priority: int, deadline: float, now: float) -> Offer:
        """Adds a request to the queue or refuses it.

        The request is refused if its deadline would pass in the queue, or if
        the queue is full of requests that are at least as urgent.
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
        """Returns the next ticket to serve, or None if the queue is empty."""
        return self._waiting[0] if self._waiting else None

    def in_order(self) -> list[Ticket]:
        """Returns all tickets in the order in which they are served."""
        return list(self._waiting)

    def serve(self, ticket: Ticket, now: float) -> None:
        """Removes a ticket whose request is sent, and updates the rate."""
        self._waiting.remove(ticket)
        if self.last_served_at is not None:
            # The minimum gap, in seconds, avoids a division by zero; 0.1 is the
            # weight of the newest gap in the moving average.
            gap = max(1e-4, now - self.last_served_at)
            self.served_per_s += 0.1 * (1.0 / gap - self.served_per_s)
        self.last_served_at = now

    def withdraw(self, ticket: Ticket) -> None:
        """Removes a ticket whose request has ended; idempotent."""
        if ticket in self._waiting:
            self._waiting.remove(ticket)
