"""Judges from new connections whether this host can reach targets at all.

A target that ends fails alone. The links of the host have failed if several
targets cannot be reached and no connection to any other one succeeds meanwhile.
"""

from __future__ import annotations

__all__ = ["TargetLinks"]

# Targets that must have failed, or all if there are fewer. A single target that
# cannot be reached says nothing about the links.
_MIN_FAILED_TARGETS = 3
_MIN_TARGETS = 2
# Time from the first failure after which the links count as lost. Connections
# to other targets, which the first failure causes, succeed within this time.
_CONFIRMATION_S = 0.1
# Failures older than this are ignored until the links count as lost.
_FAILURE_KEPT_S = 2.0


class TargetLinks:
    """State of the links between this host and all targets.

    Attributes:
        lost_since: Time of the first failure, in seconds, while the links count
            as lost; None otherwise.
    """

    def __init__(self):
        self.lost_since: float | None = None
        self._failed_at: dict[str, float] = {}

    @property
    def is_lost(self) -> bool:
        """Whether the host can reach no target."""
        return self.lost_since is not None

    def record_failure(self, target: str, now: float) -> None:
        """Records that a connection to a target could not be opened."""
        self._failed_at.setdefault(target, now)

    def record_success(self) -> bool:
        """Records that a connection to some target was opened.

        Returns:
            Whether the links counted as lost until now.
        """
        self._failed_at.clear()
        was_lost, self.lost_since = self.is_lost, None
        return was_lost

    def update(self, target_count: int, now: float) -> bool:
        """Returns whether the links count as lost from now on.

        Args:
            target_count: Number of listed targets.
            now: Current time, seconds.
        """
        if self.is_lost or target_count < _MIN_TARGETS:
            return False
        for target, failed_at in list(self._failed_at.items()):
            if now - failed_at > _FAILURE_KEPT_S:
                del self._failed_at[target]
        if len(self._failed_at) < min(_MIN_FAILED_TARGETS, target_count):
            return False
        first_at = min(self._failed_at.values())
        if now - first_at < _CONFIRMATION_S:
            return False
        self.lost_since = first_at
        return True
