"""Which parts of prompts an engine keeps, as far as hosts told what they sent.

An engine keeps what it read until its memory is full; what was used least
recently gives way first. A part is of use only behind all parts before it. A
scope names the weights, so that nothing is found again once others are loaded.
"""

from __future__ import annotations

import collections
from collections.abc import Hashable
from collections.abc import Iterable

__all__ = ["WarmPrefixes"]

# Remembered of an engine; bounds this host's memory.
_MAX_PARTS = 4096
# Of an engine's memory, for what it keeps; running requests take the rest.
_KEPT_SHARE = 0.8

# A scope, and the digest of a shared part or the number of one that is not.
_Key = tuple[Hashable, str | int]


class WarmPrefixes:
    """What one engine keeps, the least recently used first.

    Attributes:
        tokens: Of all that is remembered.
    """

    def __init__(self):
        self.tokens = 0
        self._sizes: collections.OrderedDict[_Key, int] = (
            collections.OrderedDict()
        )
        self._noted = 0

    def __len__(self) -> int:
        return len(self._sizes)

    def add_prompt(
        self,
        scope: Hashable,
        shared: Iterable[tuple[str, int]],
        own_tokens: int,
        memory_tokens: int,
    ) -> None:
        """Notes that a prompt was sent to the engine.

        Args:
            scope: Within which its parts are found.
            shared: Digest and tokens of each shared part, in order.
            own_tokens: Of the part that nobody shares; it takes memory too.
            memory_tokens: What the engine keeps at most; 0 when not known.
        """
        for digest, tokens in shared:
            self._put((scope, digest), tokens)
        self._noted += 1
        self._put((scope, self._noted), own_tokens)
        room = memory_tokens * _KEPT_SHARE if memory_tokens else float("inf")
        while len(self._sizes) > _MAX_PARTS or (
            self.tokens > room and len(self._sizes) > 1
        ):
            _, gone = self._sizes.popitem(last=False)
            self.tokens -= gone

    def count_cached_tokens(
        self, scope: Hashable, shared: Iterable[tuple[str, int]]
    ) -> int:
        """Returns how many tokens of a prompt are believed to be kept."""
        kept = 0
        for digest, tokens in shared:
            if (scope, digest) not in self._sizes:
                break
            kept += tokens
        return kept

    def clear(self) -> None:
        """Forgets all, after the engine loaded other weights."""
        self._sizes.clear()
        self.tokens = 0

    def _put(self, key: _Key, tokens: int) -> None:
        self.tokens += tokens - self._sizes.pop(key, 0)
        self._sizes[key] = tokens
