"""Tracks back-offs that targets requested from this host."""

from __future__ import annotations

__all__ = ["Backoffs"]


class Backoffs:
    """Records until when overloaded targets want no request from this host."""

    def __init__(self):
        self._ends_at: dict[str, float] = {}

    def apply(self, target: str, seconds: float, now: float) -> bool:
        """Starts or extends a back-off; one that ends later stays.

        Args:
            target: Name of the target.
            seconds: Length of the back-off.
            now: Current time, seconds.

        Returns:
            Whether the target was not backing off before.
        """
        is_new = not self.is_active(target, now)
        ends_at = max(self.ends_at(target), now + seconds)
        self._ends_at[target] = ends_at
        return is_new

    def ends_at(self, target: str) -> float:
        """Returns when a target's last back-off ends, in seconds."""
        return self._ends_at.get(target, float("-inf"))

    def is_active(self, target: str, now: float) -> bool:
        """Returns whether a target is backing off."""
        return now < self.ends_at(target)

    def forget(self, target: str) -> None:
        """Removes the back-off of a target that has restarted."""
        self._ends_at.pop(target, None)

    def remaining_s(self, now: float) -> dict[str, float]:
        """Returns the seconds left by target and drops expired back-offs."""
        self._ends_at = {
            target: ends_at
            for target, ends_at in self._ends_at.items()
            if now < ends_at
        }
        return {
            target: ends_at - now for target, ends_at in self._ends_at.items()
        }
