"""Judges from new connections whether this host can reach targets at all.

A target that ends fails alone. The links of the host have failed if several
targets cannot be reached and no connection to any other one succeeds meanwhile,
or if several accept connections without answering and none answers meanwhile.
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
        is_unanswered: Whether they count as lost although connections open.
            Then only an answer shows that they are back.
    """

    def __init__(self):
        self.lost_since: float | None = None
        self.is_unanswered = False
        self._failed_at: dict[str, float] = {}
        self._unanswered_at: dict[str, float] = {}
        self._answered_at = float("inf")

    @property
    def is_lost(self) -> bool:
        """Whether the host can reach no target."""
        return self.lost_since is not None

    def record_failure(self, target: str, now: float) -> None:
        """Records that a connection to a target could not be opened."""
        self._failed_at.setdefault(target, now)

    def record_unanswered(self, target: str, now: float) -> None:
        """Records that a target accepted a connection and did not answer."""
        self._unanswered_at.setdefault(target, now)

    def record_success(self) -> bool:
        """Records that a connection to some target was opened.

        Returns:
            Whether the links counted as lost until now.
        """
        self._failed_at.clear()
        return not self.is_unanswered and self._end_loss()

    def record_answer(self, now: float) -> bool:
        """Records that some target has answered.

        Connections that are already open may answer while new ones fail.

        Returns:
            Whether the links counted as lost until now.
        """
        self._answered_at = now
        if not self._unanswered_at:
            return False
        self._unanswered_at.clear()
        return self.is_unanswered and self._end_loss()

    def update(
        self, target_count: int, now: float, engine_count: int = 0
    ) -> bool:
        """Returns whether the links count as lost from now on.

        Args:
            target_count: Number of listed targets.
            now: Current time, seconds.
            engine_count: Number of those that can be probed for answers.
        """
        if self.is_lost:
            return False
        for failed_at, count in (
            (self._failed_at, target_count),
            (self._unanswered_at, engine_count),
        ):
            _drop_old(failed_at, now)
            if _is_loss(failed_at, count, now):
                self.lost_since = min(failed_at.values())
                self.is_unanswered = failed_at is self._unanswered_at
                if self.is_unanswered:
                    # Attempts have failed since then, before the probes did.
                    self.lost_since = min(self.lost_since, self._answered_at)
                return True
        return False

    def _end_loss(self) -> bool:
        was_lost, self.lost_since = self.is_lost, None
        self.is_unanswered = False
        return was_lost


def _drop_old(failed_at: dict[str, float], now: float) -> None:
    for target, at in list(failed_at.items()):
        if now - at > _FAILURE_KEPT_S:
            del failed_at[target]


def _is_loss(
    failed_at: dict[str, float], target_count: int, now: float
) -> bool:
    if target_count < _MIN_TARGETS:
        return False
    if len(failed_at) < min(_MIN_FAILED_TARGETS, target_count):
        return False
    return now - min(failed_at.values()) >= _CONFIRMATION_S
