"""Targets that leave: the first signal wins and is sticky.

Signals come from a lagging list, from targets, operators and peers, in any
order. A departure ends only when another incarnation is listed live that was
never seen leaving, so that a list that goes backwards revives nothing. Late
news of an incarnation that has gone begins no departure anew: a host that was
cut off tells what it knew.
"""

from __future__ import annotations

import cachetools

__all__ = ["Departures"]

# Incarnations seen leaving that are remembered, the newest.
_MAX_GONE = 8192


class Departures:
    """Which targets leave.

    Attributes:
        leaving: The incarnation that leaves, by target; empty when the
            signal did not tell it.
        gone: Incarnations that have been seen leaving.
        live: The incarnation that ended the last departure, by target.
    """

    def __init__(self):
        self.leaving: dict[str, str] = {}
        self.live: dict[str, str] = {}
        self.gone: cachetools.LRUCache = cachetools.LRUCache(_MAX_GONE)

    def mark_leaving(self, target: str, incarnation: str) -> bool:
        """Notes a signal that a target leaves; returns whether it is news."""
        if self._is_late(target, incarnation):
            return False
        self.live.pop(target, None)
        self.gone[(target, incarnation)] = True
        if self.leaving.get(target):
            return False
        news = self.leaving.get(target) != incarnation
        self.leaving[target] = incarnation
        return news

    def mark_live(self, target: str, incarnation: str) -> bool:
        """Notes that an incarnation is listed live.

        Returns:
            Whether that ended the target's departure.
        """
        left = self.leaving.get(target)
        if not left or not incarnation:
            return False
        if (target, incarnation) in self.gone:
            return False
        del self.leaving[target]
        self.live[target] = incarnation
        return True

    def forget(self, target: str) -> None:
        """Forgets a target that is not in the configuration any more."""
        self.leaving.pop(target, None)
        self.live.pop(target, None)

    def _is_late(self, target: str, incarnation: str) -> bool:
        """Returns whether a departure of this incarnation has ended."""
        if not incarnation or target not in self.live:
            return False
        return (target, incarnation) in self.gone
