"""What a cache holds, as far as its events tell."""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

__all__ = ["CacheContents", "CacheEvent", "CachedPart"]

# Memory goes by blocks of 16 tokens: the last one of a part may be missing.
_BLOCK_TOKENS = 16
# Calls in a row that were not answered.
_LOST_AFTER = 2


class CachedPart(NamedTuple):
    """Names a part of a prompt in a cache.

    Attributes:
        scope: Within which it is found; holds organisation and weights.
        digest: Names its text.
    """

    scope: str
    digest: str


class CacheEvent(NamedTuple):
    """A change of a cache.

    Attributes:
        part: What changed.
        tokens: Tokens of it that are kept now.
    """

    part: CachedPart
    tokens: int


class CacheContents:
    """What one cache holds.

    Events come late and a few never: a belief may be wrong either way.

    Attributes:
        epoch: Of the cache's process; another one has lost everything.
        position: Of the next event wanted.
        known: Whether events have been read since the start or the last gap.
        reachable: Whether the cache answers.
    """

    def __init__(self):
        self.epoch: int | None = None
        self.position = 0
        self.is_known = False
        self.is_answering = True
        self._failures = 0
        self._tokens: dict[CachedPart, int] = {}

    def __len__(self) -> int:
        return len(self._tokens)

    def apply(
        self,
        epoch: int,
        position: int,
        events: Iterable[CacheEvent],
        lost: bool,
    ) -> None:
        """Takes in a page of events.

        Args:
            epoch: Of the cache's process.
            position: Of the next event.
            events: In order.
            lost: Events before these are missing.
        """
        if epoch != self.epoch or lost:
            self._tokens.clear()
        self.epoch = epoch
        self.position = position
        self.is_known = True
        self.note_answer()
        for event in events:
            if event.tokens > 0:
                self._tokens[event.part] = event.tokens
            else:
                self._tokens.pop(event.part, None)

    def note_answer(self) -> None:
        """Notes that the cache answered, if only that it is busy."""
        self.is_answering = True
        self._failures = 0

    def note_failure(self) -> None:
        """Notes that the cache did not answer; one call may be lost."""
        self._failures += 1
        if self._failures >= _LOST_AFTER:
            self.is_answering = False

    def reset(self) -> None:
        """Notes that the cache cannot be asked any more."""
        self.is_known = False
        self._tokens.clear()
        self.position = 0
        self.epoch = None

    def holds(self, part: CachedPart, tokens: int) -> bool:
        """Returns whether a part is believed to be held whole."""
        return self._tokens.get(part, 0) > tokens - _BLOCK_TOKENS
