"""Models which prefix levels each target has cached.

The entries of a target are valid for one epoch, that is one incarnation and
weights version; a new epoch removes them all. Engines evict the least recently
used entries. The probability that an entry is still cached is therefore
estimated from the tokens inserted into the cache since its last use.
"""

from __future__ import annotations

import collections
from collections.abc import Sequence
from typing import NamedTuple

from hillthread.state.routing import prompt

__all__ = ["CacheEpoch", "TargetWarmth", "WarmPrefix", "WarmthTable"]

# Bounds the memory: a level takes 158 bytes, see docs/MEASUREMENTS.md.
_MAX_LEVELS_PER_TARGET = 4096
# A level counts as surely cached up to the first share of the eviction horizon
# and as surely evicted past the second; its probability falls linearly in
# between.
_SURELY_CACHED_SHARE = 0.8
_SURELY_EVICTED_SHARE = 1.2
# Weight of one verified prediction in the moving average of the horizon.
_HORIZON_STEP_SHARE = 0.15
# A prediction counts as correct when this share of its tokens was cached. The
# rest may lie in an incomplete cache block.
_HIT_SHARE = 0.9
# Factor on the probability of a level that neither an answer nor a notice of
# another router has confirmed since updates were missed.
_UNCONFIRMED_FACTOR = 0.5
# Probability of a prefix that is being computed; its request may still fail.
_PENDING_PROBABILITY = 0.95


class CacheEpoch(NamedTuple):
    """Identifies the period in which the contents of a cache stay valid.

    Attributes:
        incarnation: Changes each time the engine process starts.
        weights_version: Changes each time weights or adapters are loaded.
    """

    incarnation: str
    weights_version: str


class WarmPrefix(NamedTuple):
    """A prefix that is believed to be cached on a target.

    Attributes:
        tokens: Length of the prefix.
        probability: Probability that it is still cached, from 0 to 1.
        age_s: Seconds since it was last confirmed or inserted.
        pending: Whether an unanswered request is computing it.
        distance: Tokens that the target has inserted since its last use.
    """

    tokens: int
    probability: float
    age_s: float
    pending: bool
    distance: float = 0.0

    @property
    def expected_tokens(self) -> float:
        """Expected number of cached tokens."""
        return self.tokens * self.probability


COLD = WarmPrefix(0, 0.0, 0.0, pending=False)


class _LevelEntry:
    """One prefix level in the cache of a target.

    Attributes:
        tokens: Length of the prefix.
        clock: Token clock at its last use; negative until it was computed.
        seen_at: Time of its last use, in seconds.
        pending: Number of unanswered requests that are computing it.
        confirmed: Whether an answer or a notice of another router has confirmed
            it since updates were last missed.
    """

    __slots__ = ("clock", "confirmed", "pending", "seen_at", "tokens")

    def __init__(self, tokens: int, clock: float, seen_at: float):
        self.tokens = tokens
        self.clock = clock
        self.seen_at = seen_at
        self.pending = 0
        self.confirmed = True


class TargetWarmth:
    """Levels that one target is believed to have cached.

    Attributes:
        epoch: Epoch in which the levels are valid; None before the first
            answer.
        clock: Token clock: tokens inserted into the cache so far.
        eviction_horizon_tokens: Inserted tokens after which an unused level
            is evicted.
        levels: The levels by digest, the least recently used first.
    """

    def __init__(self, cache_tokens: float):
        self.epoch: CacheEpoch | None = None
        self.clock = 0.0
        self.eviction_horizon_tokens = float(cache_tokens)
        self.levels: collections.OrderedDict[bytes, _LevelEntry] = (
            collections.OrderedDict()
        )

    def lookup(
        self, levels: Sequence[prompt.PrefixLevel], now: float
    ) -> WarmPrefix:
        """Returns the prefix with the largest expected number of tokens."""
        best = COLD
        for level in reversed(levels):
            if level.tokens <= best.expected_tokens:
                break
            entry = self.levels.get(level.digest)
            if entry is None:
                continue
            found = WarmPrefix(
                level.tokens,
                self._estimate_probability(entry),
                now - entry.seen_at,
                entry.pending > 0,
                max(0.0, self.clock - entry.clock),
            )
            if found.expected_tokens > best.expected_tokens:
                best = found
        return best

    def add_pending(
        self, levels: Sequence[prompt.PrefixLevel], now: float
    ) -> None:
        """Marks levels as pending: a request with them was sent."""
        for level in levels:
            entry = self._get_or_add(level, now)
            entry.pending += 1

    def remove_pending(self, levels: Sequence[prompt.PrefixLevel]) -> None:
        """Undoes `add_pending` and removes levels that were never cached."""
        for level in levels:
            entry = self.levels.get(level.digest)
            if entry is None or entry.pending == 0:
                continue
            entry.pending -= 1
            if entry.pending == 0 and entry.clock < 0:
                del self.levels[level.digest]

    def confirm(self, levels: Sequence[prompt.PrefixLevel], now: float) -> None:
        """Marks all levels of a prompt as cached, since it was answered."""
        for level in levels:
            entry = self._get_or_add(level, now)
            entry.clock = self.clock
            entry.seen_at = now
            entry.confirmed = True
        self._drop_oldest()

    def add_from_peer(self, level: prompt.PrefixLevel, now: float) -> None:
        """Adds a level of a request that another router has placed.

        The other router queues its notice before it sends the request, so the
        engine may not have cached the level yet. It counts as cached at once.
        """
        self.confirm((level,), now)

    def learn_horizon(self, predicted: WarmPrefix, cached_tokens: int) -> None:
        """Updates the eviction horizon from a verified prediction.

        Args:
            predicted: Result of `lookup` before the request was sent.
            cached_tokens: Tokens that the engine found in its cache.
        """
        if predicted.tokens == 0 or predicted.pending:
            return
        distance = predicted.distance
        if cached_tokens >= predicted.tokens * _HIT_SHARE:
            if distance > self.eviction_horizon_tokens * _SURELY_CACHED_SHARE:
                self.eviction_horizon_tokens += _HORIZON_STEP_SHARE * distance
        elif distance < self.eviction_horizon_tokens:
            self.eviction_horizon_tokens += _HORIZON_STEP_SHARE * (
                distance - self.eviction_horizon_tokens
            )

    def advance_clock(self, inserted_tokens: float) -> None:
        """Advances the token clock by newly inserted tokens."""
        self.clock += inserted_tokens

    def mark_unconfirmed(self) -> None:
        """Marks all levels as unconfirmed, after updates were missed."""
        for entry in self.levels.values():
            entry.confirmed = False

    def clear(self) -> None:
        """Removes all levels, after the target lost or dropped its cache."""
        self.levels.clear()

    def _drop_oldest(self) -> None:
        while len(self.levels) > _MAX_LEVELS_PER_TARGET:
            self.levels.popitem(last=False)

    def _get_or_add(self, level: prompt.PrefixLevel, now: float) -> _LevelEntry:
        entry = self.levels.get(level.digest)
        if entry is None:
            entry = _LevelEntry(level.tokens, -1.0, now)
            self.levels[level.digest] = entry
        self.levels.move_to_end(level.digest)
        return entry

    def _estimate_probability(self, entry: _LevelEntry) -> float:
        if entry.clock < 0:
            return _PENDING_PROBABILITY if entry.pending else 0.0
        elapsed_share = (
            self.clock - entry.clock
        ) / self.eviction_horizon_tokens
        cached_probability = (_SURELY_EVICTED_SHARE - elapsed_share) / (
            _SURELY_EVICTED_SHARE - _SURELY_CACHED_SHARE
        )
        cached_probability = min(1.0, max(0.0, cached_probability))
        if not entry.confirmed:
            cached_probability *= _UNCONFIRMED_FACTOR
        if entry.pending:
            return max(cached_probability, _PENDING_PROBABILITY)
        return cached_probability


class WarmthTable:
    """Levels that all targets are believed to have cached."""

    def __init__(self):
        self.targets: dict[str, TargetWarmth] = {}

    def target(self, name: str, cache_tokens: float) -> TargetWarmth:
        """Returns the levels of target `name`; adds it when it is new."""
        found = self.targets.get(name)
        if found is None:
            found = self.targets[name] = TargetWarmth(cache_tokens)
        return found

    def enter_epoch(self, name: str, epoch: CacheEpoch) -> bool:
        """Removes the levels of target `name` if `epoch` is a new one.

        Returns:
            Whether levels of another epoch were removed.
        """
        found = self.targets.get(name)
        if found is None or found.epoch == epoch:
            return False
        former = found.epoch
        found.epoch = epoch
        if former is None:
            return False
        found.clear()
        if former.incarnation != epoch.incarnation:
            # The new process counts inserted tokens from zero.
            found.clock = 0.0
        return True

    def retain(self, names: frozenset[str]) -> None:
        """Removes all targets except `names`."""
        for gone in self.targets.keys() - names:
            del self.targets[gone]
