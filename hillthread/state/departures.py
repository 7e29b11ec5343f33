"""Targets that leave: the first signal wins and is sticky.

Signals come from a lagging list, from targets, operators and peers, in any
order. A departure ends only when another incarnation is listed live that was
never seen leaving, so that a list that goes backwards revives nothing.
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
    """

    def __init__(self):
        self.leaving: dict[str, str] = {}
        self.gone: cachetools.LRUCache = cachetools.LRUCache(_MAX_GONE)

    def mark_leaving(self, target: str, incarnation: str) -> bool:
        """Notes a signal that a target leaves; returns whether it is news."""
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
        return True

    def forget(self, target: str) -> None:
        """Forgets a target that is not in the configuration any more."""
        self.leaving.pop(target, None)
