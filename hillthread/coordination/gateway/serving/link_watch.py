"""Finds out whether this host reaches no target, and logs it."""

from __future__ import annotations

from collections.abc import Callable
import logging

from hillthread import clock
from hillthread.coordination.gateway import site as site_lib
from hillthread.state.targets import target_links

__all__ = ["LinkWatch"]

_logger = logging.getLogger("hillthread.reach")


class LinkWatch:
    """Follows the links between this host and the targets.

    Attributes:
        site: The host's view of the targets.
        links: State of the links.
        is_own_link_working: Whether the host has reached another one since the
            loss.
        on_lost: Called when the links count as lost.
        on_restored: Called with the time of the loss, in seconds, when a
            connection succeeds again.
    """

    def __init__(self, site: site_lib.Site):
        self.site = site
        self.links = target_links.TargetLinks()
        self.is_own_link_working = False
        self._are_connects_hanging = False
        self._are_answers_missing = False
        self.on_lost: Callable[[], None] = _ignore_loss
        self.on_restored: Callable[[float], None] = _ignore_return

    @property
    def is_unanswered(self) -> bool:
        """Whether the links count as lost although connections open."""
        return self.links.is_unanswered

    @property
    def is_silent_loss(self) -> bool:
        """Whether connections hang, and not because the host's link is full.

        Open connections have then fallen silent, too. If new ones are refused,
        open ones may live on.
        """
        is_hanging = self._are_connects_hanging
        if self.links.is_unanswered:
            is_hanging = self._are_answers_missing
        return is_hanging and self.is_own_link_working

    def note_reason(self, is_hanging: bool) -> None:
        """Records whether the last connection that failed hung until then."""
        self._are_connects_hanging = is_hanging

    def record_failure(self, target: str) -> None:
        """Records that a connection to a target could not be opened."""
        self.links.record_failure(target, clock.now())

    def record_unanswered(self, target: str, is_silent: bool) -> None:
        """Records that a target accepted a connection and did not answer.

        Args:
            target: Name of the target.
            is_silent: Whether nothing came; otherwise it was closed.
        """
        self._are_answers_missing = is_silent
        self.links.record_unanswered(target, clock.now())

    def record_success(self) -> None:
        """Records that a connection to some target was opened."""
        lost_since = self.links.lost_since
        if self.links.record_success() and lost_since is not None:
            self._restore(lost_since)

    def record_answer(self, now: float) -> None:
        """Records that some target has answered at clock time `now`."""
        lost_since = self.links.lost_since
        if self.links.record_answer(now) and lost_since is not None:
            self._restore(lost_since)

    def _restore(self, lost_since: float) -> None:
        self.site.are_links_lost = False
        self.site.metrics.links_lost.set(0)
        _logger.warning(
            "links to targets restored",
            extra={
                "event": "links_restored",
                "lost_s": round(clock.now() - lost_since, 3),
            },
        )
        self.on_restored(lost_since)

    def update(self, now: float) -> None:
        """Checks whether the links count as lost."""
        targets = self.site.targets
        count = len(targets.entries) - len(targets.replaced)
        engines = sum(bool(e.weights) for e in targets.entries.values())
        if not self.links.update(count, now, engines):
            return
        self.site.are_links_lost = True
        self.is_own_link_working = False
        self.site.metrics.links_lost.set(1)
        _logger.warning(
            "links to targets lost",
            extra={
                "event": "links_lost",
                "targets": count,
                "are_connections_opened": self.links.is_unanswered,
                "store_age_s": self.site.rounded_age_s(now),
            },
        )
        self.on_lost()


def _ignore_loss() -> None:
    """Default of `on_lost`."""


def _ignore_return(lost_since: float) -> None:
    """Default of `on_restored`."""
    del lost_since
