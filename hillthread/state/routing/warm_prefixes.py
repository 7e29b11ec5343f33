"""Models which parts of prompts an engine has cached, from what hosts sent it.

An engine caches the prompts that it computes and evicts the least recently used
parts when its memory is full. A cached part is usable only if all parts before
it are cached, too. The scope of a part names the weights, so that no part is
found after other weights were loaded.
"""

from __future__ import annotations

import collections
from collections.abc import Hashable
from collections.abc import Iterable

__all__ = ["WarmPrefixes"]

# Parts stored for each engine; bounds the memory of this host.
_MAX_PARTS = 4096
# Share of an engine's memory that holds cached parts; running requests use the
# rest.
_CACHE_SHARE = 0.8

# Scope, and either the digest of a shared part or the number of an unshared
# one.
_PartKey = tuple[Hashable, str | int]


class WarmPrefixes:
    """Parts that one engine is believed to have cached.

    Attributes:
        tokens: Total tokens of all parts.
    """

    def __init__(self):
        self.tokens = 0
        self._part_tokens: collections.OrderedDict[_PartKey, int] = (
            collections.OrderedDict()
        )
        self._prompt_count = 0

    def __len__(self) -> int:
        return len(self._part_tokens)

    def add_prompt(
        self,
        scope: Hashable,
        shared_parts: Iterable[tuple[str, int]],
        unshared_tokens: int,
        memory_tokens: int,
    ) -> None:
        """Adds a prompt that was sent to the engine and evicts old parts.

        Args:
            scope: Scope in which the parts are cached.
            shared_parts: Digest and tokens of each shared part, in order.
            unshared_tokens: Tokens of the part that no other prompt shares;
                it takes memory, too.
            memory_tokens: Memory of the engine in tokens; 0 when unknown.
        """
        for digest, tokens in shared_parts:
            self._add_part((scope, digest), tokens)
        self._prompt_count += 1
        self._add_part((scope, self._prompt_count), unshared_tokens)
        capacity_tokens = (
            memory_tokens * _CACHE_SHARE if memory_tokens else float("inf")
        )
        while len(self._part_tokens) > _MAX_PARTS or (
            self.tokens > capacity_tokens and len(self._part_tokens) > 1
        ):
            _, evicted_tokens = self._part_tokens.popitem(last=False)
            self.tokens -= evicted_tokens

    def count_cached_tokens(
        self, scope: Hashable, shared_parts: Iterable[tuple[str, int]]
    ) -> int:
        """Returns how many tokens of a prompt are believed to be cached."""
        cached_tokens = 0
        for digest, tokens in shared_parts:
            if (scope, digest) not in self._part_tokens:
                break
            cached_tokens += tokens
        return cached_tokens

    def clear(self) -> None:
        """Removes all parts, after the engine loaded other weights."""
        self._part_tokens.clear()
        self.tokens = 0

    def _add_part(self, key: _PartKey, tokens: int) -> None:
        self.tokens += tokens - self._part_tokens.pop(key, 0)
        self._part_tokens[key] = tokens
