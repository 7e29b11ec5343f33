"""Tracks departing targets; the first signal counts and is kept.

Signals arrive in any order from a lagging list, targets, operators and peers. A
departure ends only when an incarnation is listed as live that was never seen
leaving, so that a list that reverts to an older state revives no target. A late
signal about an incarnation whose departure has ended starts no new departure: a
host that was cut off may still send one.
"""

from __future__ import annotations

import cachetools

__all__ = ["Departures"]

# Number of the newest departed incarnations that are remembered.
_MAX_DEPARTED = 8192


class Departures:
    """Records which targets leave.

    Attributes:
        leaving: The leaving incarnation by target; empty if the signal did not
            name it.
        departed: Incarnations that were seen leaving.
        live: The incarnation that ended the last departure, by target.
    """

    def __init__(self):
        self.leaving: dict[str, str] = {}
        self.live: dict[str, str] = {}
        self.departed: cachetools.LRUCache = cachetools.LRUCache(_MAX_DEPARTED)

    def mark_leaving(self, target: str, incarnation: str) -> bool:
        """Records that a target leaves; returns whether that is new."""
        if self._has_departure_ended(target, incarnation):
            return False
        self.live.pop(target, None)
        self.departed[(target, incarnation)] = True
        if self.leaving.get(target):
            return False
        is_new = self.leaving.get(target) != incarnation
        self.leaving[target] = incarnation
        return is_new

    def mark_live(self, target: str, incarnation: str) -> bool:
        """Records that an incarnation is listed as live.

        Returns:
            Whether this ended the target's departure.
        """
        departing = self.leaving.get(target)
        if not departing or not incarnation:
            return False
        if (target, incarnation) in self.departed:
            return False
        del self.leaving[target]
        self.live[target] = incarnation
        return True

    def forget(self, target: str) -> None:
        """Removes a target that is no longer configured."""
        self.leaving.pop(target, None)
        self.live.pop(target, None)

    def _has_departure_ended(self, target: str, incarnation: str) -> bool:
        """Returns whether the departure of this incarnation has ended."""
        if not incarnation or target not in self.live:
            return False
        return (target, incarnation) in self.departed
