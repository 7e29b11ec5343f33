"""What a router believes to be cached on each target.

Warmth is kept for prefix levels under a target's epoch: its incarnation and
weights version. Another epoch drops everything that was believed. Whether an
entry is still cached is judged by how many tokens the target has inserted
since the entry was last used, because engines evict the least recently used.
"""

from __future__ import annotations

import collections
from collections.abc import Sequence
from typing import NamedTuple

from hillthread.state.routing import prompt

__all__ = ["CacheEpoch", "TargetWarmth", "WarmPrefix", "WarmthTable"]

# Bound on memory; docs/MEASUREMENTS.md has 158 bytes a level.
_MAX_LEVELS_PER_TARGET = 4096
# A level is surely cached up to this part of the horizon, and surely gone past
# the second; in between its probability falls evenly.
_SURE_SHARE = 0.8
_GONE_SHARE = 1.2
# Weight of one tested prediction in the horizon.
_HORIZON_STEP = 0.15
# A prediction held when this part of its tokens was cached; blocks cut the
# rest.
_HIT_SHARE = 0.9
# Levels that no answer has confirmed count for half.
_UNCONFIRMED_FACTOR = 0.5
# A prefix that is being computed now may yet fail to be.
_PENDING_PROBABILITY = 0.95


class CacheEpoch(NamedTuple):
    """Under which a target's cache is valid.

    Attributes:
        incarnation: Changes each time the engine process starts.
        weights_version: Changes each time weights or adapters are loaded.
    """

    incarnation: str
    weights_version: str


class WarmPrefix(NamedTuple):
    """The longest prefix believed to be cached.

    Attributes:
        tokens: Its length.
        probability: That it is still cached, from 0 to 1.
        age_s: Seconds since it was last seen or put there.
        pending: It is being computed by a request not yet answered.
        distance: Tokens the target has inserted since.
    """

    tokens: int
    probability: float
    age_s: float
    pending: bool
    distance: float = 0.0

    @property
    def expected_tokens(self) -> float:
        """Tokens expected to be found in the cache."""
        return self.tokens * self.probability


COLD = WarmPrefix(0, 0.0, 0.0, pending=False)


class _Level:
    """One cached level: when it was last used, in tokens and in seconds."""

    __slots__ = ("clock", "confirmed", "pending", "seen_at", "tokens")

    def __init__(self, tokens: int, clock: float, seen_at: float):
        self.tokens = tokens
        self.clock = clock
        self.seen_at = seen_at
        self.pending = 0
        self.confirmed = True


class TargetWarmth:
    """The believed cache content of one target.

    Attributes:
        epoch: What the beliefs hold for, or None before the first answer.
        clock: Tokens inserted into the cache, as far as known.
        horizon: Inserted tokens after which an unused entry is evicted.
    """

    def __init__(self, cache_tokens: float):
        self.epoch: CacheEpoch | None = None
        self.clock = 0.0
        self.eviction_horizon_tokens = float(cache_tokens)
        self.levels: collections.OrderedDict[bytes, _Level] = (
            collections.OrderedDict()
        )

    def lookup(
        self, levels: Sequence[prompt.PrefixLevel], now: float
    ) -> WarmPrefix:
        """Returns the prefix with the most expected cached tokens."""
        best = COLD
        for level in reversed(levels):
            if level.tokens <= best.expected_tokens:
                break
            entry = self.levels.get(level.digest)
            if entry is None:
                continue
            found = WarmPrefix(
                level.tokens,
                self._probability(entry),
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
        """Notes that a request with these levels was sent to the target."""
        for level in levels:
            entry = self._entry(level, now)
            entry.pending += 1

    def remove_pending(self, levels: Sequence[prompt.PrefixLevel]) -> None:
        """Ends what `expect` noted, without an answer having come."""
        for level in levels:
            entry = self.levels.get(level.digest)
            if entry is None or entry.pending == 0:
                continue
            entry.pending -= 1
            if entry.pending == 0 and entry.clock < 0:
                del self.levels[level.digest]

    def confirm(self, levels: Sequence[prompt.PrefixLevel], now: float) -> None:
        """Notes that a whole prompt is cached now, for it was answered."""
        for level in levels:
            entry = self._entry(level, now)
            entry.clock = self.clock
            entry.seen_at = now
            entry.confirmed = True
        self._bound()

    def add_from_peer(self, level: prompt.PrefixLevel, now: float) -> None:
        """Notes a level that another router has put into the cache."""
        self.confirm((level,), now)

    def learn_horizon(self, predicted: WarmPrefix, cached_tokens: int) -> None:
        """Learns how long entries live, from a prediction that was tested.

        Args:
            predicted: What `lookup` returned before the request was sent.
            cached_tokens: What the engine found cached.
        """
        if predicted.tokens == 0 or predicted.pending:
            return
        distance = predicted.distance
        if cached_tokens >= predicted.tokens * _HIT_SHARE:
            if distance > self.eviction_horizon_tokens * _SURE_SHARE:
                self.eviction_horizon_tokens += _HORIZON_STEP * distance
        elif distance < self.eviction_horizon_tokens:
            self.eviction_horizon_tokens += _HORIZON_STEP * (
                distance - self.eviction_horizon_tokens
            )

    def advance_clock(self, inserted_tokens: float) -> None:
        """Moves the clock on by tokens newly put into the cache."""
        self.clock += inserted_tokens

    def mark_unconfirmed(self) -> None:
        """Marks all levels unconfirmed, after a gap in what is known."""
        for entry in self.levels.values():
            entry.confirmed = False

    def clear(self) -> None:
        """Forgets all levels, after the target lost or dropped its cache."""
        self.levels.clear()

    def _bound(self) -> None:
        while len(self.levels) > _MAX_LEVELS_PER_TARGET:
            self.levels.popitem(last=False)

    def _entry(self, level: prompt.PrefixLevel, now: float) -> _Level:
        entry = self.levels.get(level.digest)
        if entry is None:
            entry = _Level(level.tokens, -1.0, now)
            self.levels[level.digest] = entry
        self.levels.move_to_end(level.digest)
        return entry

    def _probability(self, entry: _Level) -> float:
        if entry.clock < 0:
            return _PENDING_PROBABILITY if entry.pending else 0.0
        used = (self.clock - entry.clock) / self.eviction_horizon_tokens
        alive = (_GONE_SHARE - used) / (_GONE_SHARE - _SURE_SHARE)
        alive = min(1.0, max(0.0, alive))
        if not entry.confirmed:
            alive *= _UNCONFIRMED_FACTOR
        if entry.pending:
            return max(alive, _PENDING_PROBABILITY)
        return alive


class WarmthTable:
    """The believed cache content of all targets."""

    def __init__(self):
        self.targets: dict[str, TargetWarmth] = {}

    def target(self, name: str, cache_tokens: float) -> TargetWarmth:
        """Returns the beliefs on `name`, made empty when there are none."""
        found = self.targets.get(name)
        if found is None:
            found = self.targets[name] = TargetWarmth(cache_tokens)
        return found

    def enter_epoch(self, name: str, epoch: CacheEpoch) -> bool:
        """Drops all beliefs on `name` if `epoch` is a new one.

        Returns:
            Whether beliefs of another epoch were dropped.
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
            # The new process counts what it inserts from zero.
            found.clock = 0.0
        return True

    def retain(self, names: frozenset[str]) -> None:
        """Forgets all targets but `names`."""
        for gone in self.targets.keys() - names:
            del self.targets[gone]
