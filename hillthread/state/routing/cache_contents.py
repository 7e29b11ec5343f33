"""Contents of a prefix cache, followed through its change events."""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

__all__ = ["CacheContents", "CacheEvent", "CachedPart"]

# Caches store blocks of 16 tokens; the last, incomplete block of a part may be
# missing.
_BLOCK_TOKENS = 16
# Consecutive unanswered calls after which a cache counts as unreachable.
_UNREACHABLE_AFTER_CALLS = 2


class CachedPart(NamedTuple):
    """Identifies a part of a prompt in a cache.

    Attributes:
        scope: Scope of the lookup; names organisation, model and weights.
        digest: Digest of the text.
    """

    scope: str
    digest: str


class CacheEvent(NamedTuple):
    """A change of one part in a cache.

    Attributes:
        part: The changed part.
        tokens: Tokens of the part that are cached now; 0 when it was evicted.
    """

    part: CachedPart
    tokens: int


class CacheContents:
    """Believed contents of one cache.

    Events arrive late, and a few never arrive, so a part may be listed though
    it was evicted, or cached though it is not listed.

    Attributes:
        epoch: Identifies the cache's process; a new process starts empty.
        position: Position of the next event to read.
        is_known: Whether events have been read since the start or the last
            reset.
        is_answering: Whether the cache answers calls.
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
        has_gap: bool,
    ) -> None:
        """Applies a page of events.

        Args:
            epoch: Epoch of the cache's process.
            position: Position of the event after this page.
            events: The events, in order.
            has_gap: Whether events before this page are missing.
        """
        if epoch != self.epoch or has_gap:
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
        """Records that the cache answered, even if only that it is busy."""
        self.is_answering = True
        self._failures = 0

    def note_failure(self) -> None:
        """Records an unanswered call; a single one may be lost by chance."""
        self._failures += 1
        if self._failures >= _UNREACHABLE_AFTER_CALLS:
            self.is_answering = False

    def reset(self) -> None:
        """Drops all contents, because the cache can no longer be read."""
        self.is_known = False
        self._tokens.clear()
        self.position = 0
        self.epoch = None

    def holds(self, part: CachedPart, tokens: int) -> bool:
        """Returns whether a part is believed to be cached completely."""
        return self._tokens.get(part, 0) > tokens - _BLOCK_TOKENS
