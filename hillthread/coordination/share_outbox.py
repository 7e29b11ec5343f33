"""Placement notices that a router has yet to send to the other routers."""

from __future__ import annotations

import collections
from collections.abc import Callable
from collections.abc import Sequence
from typing import NamedTuple

import cachetools

from hillthread.state.routing import prompt
from hillthread.state.routing import warmth

__all__ = ["PlacementNotice", "PlacementNoticeOutbox"]

# Least time between two notices of the same prefix level on the same target.
_RESEND_INTERVAL_S = 2.0
# Notices kept for a slow reader; the oldest are dropped.
_MAX_NOTICES = 1024
# Levels whose time of the last notice is kept.
_MAX_SENT_LEVELS = 8192


class PlacementNotice(NamedTuple):
    """A notice to other routers of a request that one router has placed.

    Attributes:
        target: The target of the request.
        incarnation: The target's incarnation; the notice holds for no other.
        weights_version: The target's weights; the notice holds for no others.
        prefill_tokens: Expected uncached tokens.
        levels: The prompt's shared levels that were not in a recent notice.
    """

    target: str
    incarnation: str
    weights_version: str
    prefill_tokens: int
    levels: tuple[prompt.PrefixLevel, ...]


def _do_nothing() -> None:
    """Does nothing; the default of `PlacementNoticeOutbox.on_ready`."""


class PlacementNoticeOutbox:
    """A queue of placement notices.

    Attributes:
        notices: Notices not yet sent, the oldest first.
        on_ready: Called after each new notice.
    """

    def __init__(self):
        self.notices: collections.deque[PlacementNotice] = collections.deque(
            maxlen=_MAX_NOTICES
        )
        self.on_ready: Callable[[], None] = _do_nothing
        self._sent_at: cachetools.LRUCache = cachetools.LRUCache(
            _MAX_SENT_LEVELS
        )

    def add_placement(
        self,
        target: str,
        epoch: warmth.CacheEpoch,
        prefill_tokens: int,
        levels: Sequence[prompt.PrefixLevel],
        now: float,
    ) -> None:
        """Queues a notice of a placement, without levels in recent notices.

        Args:
            target: The target of the request.
            epoch: The epoch of the target.
            prefill_tokens: Expected uncached tokens.
            levels: The levels that other prompts may share.
            now: Monotonic seconds.
        """
        due_levels = tuple(
            level for level in levels if self._mark_if_due(target, level, now)
        )
        self.notices.append(
            PlacementNotice(target, *epoch, prefill_tokens, due_levels)
        )
        self.on_ready()

    def drain(self) -> list[PlacementNotice]:
        """Removes and returns all queued notices."""
        notices = list(self.notices)
        self.notices.clear()
        return notices

    def _mark_if_due(
        self, target: str, level: prompt.PrefixLevel, now: float
    ) -> bool:
        """Returns whether a level is due for a notice, and if so marks it."""
        key = (target, level.digest)
        if (
            now - self._sent_at.get(key, -_RESEND_INTERVAL_S)
            < _RESEND_INTERVAL_S
        ):
            return False
        self._sent_at[key] = now
        return True
