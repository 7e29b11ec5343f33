"""What a router is still to tell the others of requests it has placed."""

from __future__ import annotations

import collections
from collections.abc import Callable
from collections.abc import Sequence
from typing import NamedTuple

import cachetools

from hillthread.state.routing import prompt
from hillthread.state.routing import warmth

__all__ = ["PlacementNotice", "PlacementNoticeOutbox"]

# A level that was told of a target is not told again for so long, seconds.
_RESEND_INTERVAL_S = 2.0
# Shares kept for a reader that is slow; the oldest give way.
_MAX_NOTICES = 1024
# Levels whose last telling is remembered.
_MAX_SENT_LEVELS = 8192


class PlacementNotice(NamedTuple):
    """What one router tells others of a request it has placed.

    Attributes:
        target: Where it was sent.
        incarnation: The target's incarnation it holds for.
        weights_version: The target's weights version it holds for.
        prefill_tokens: Expected uncached tokens.
        levels: Its shared levels that were not told a moment ago.
    """

    target: str
    incarnation: str
    weights_version: str
    prefill_tokens: int
    levels: tuple[prompt.PrefixLevel, ...]


def _do_nothing() -> None:
    """Stands for nobody who wants to know."""


class PlacementNoticeOutbox:
    """Shares in the order in which they came up.

    Attributes:
        shares: Not yet taken, oldest first.
        ready: Called when something comes in.
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
        """Puts in a placement, without the levels told a moment ago.

        Args:
            target: Where the request was sent.
            epoch: Of the target.
            prefill_tokens: Expected uncached tokens.
            levels: Those that other prompts may share.
            now: Steady time, seconds.
        """
        due_levels = tuple(
            level for level in levels if self._mark_if_due(target, level, now)
        )
        self.notices.append(
            PlacementNotice(target, *epoch, prefill_tokens, due_levels)
        )
        self.on_ready()

    def drain(self) -> list[PlacementNotice]:
        """Returns what is to be told to other routers, once."""
        notices = list(self.notices)
        self.notices.clear()
        return notices

    def _mark_if_due(
        self, target: str, level: prompt.PrefixLevel, now: float
    ) -> bool:
        """Returns whether a level is to be told, and notes that it is."""
        key = (target, level.digest)
        if (
            now - self._sent_at.get(key, -_RESEND_INTERVAL_S)
            < _RESEND_INTERVAL_S
        ):
            return False
        self._sent_at[key] = now
        return True
