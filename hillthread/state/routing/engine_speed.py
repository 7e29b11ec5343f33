"""Learns how fast engines compute prompts, from prompts that met no queue.

The time to the first byte is modelled as a base time plus the prefill at a
rate. Both are learned for all engines of a pool together, since one host seldom
uses the same engine again. Engines of a pool may differ, because of their
hardware or of other work on it; each one has a slowdown relative to its pool.

Some samples are too slow: the engine had a queue that this host did not know
of, or was slow for a moment. Samples are hardly ever too fast. Both estimates
therefore follow the faster samples more closely.
"""

from __future__ import annotations

import collections
import math
from typing import NamedTuple

__all__ = [
    "EngineSpeed",
    "INITIAL_TOKENS_PER_S",
    "MAX_FIRST_BYTE_S",
    "MAX_SHARED_PER_S",
    "PoolSpeed",
    "SpeedSample",
]

# Tokens that an engine is assumed to prefill per second until its speed is
# known. Engines of three deployments prefill 40 to 57 tokens per ms.
INITIAL_TOKENS_PER_S = 50_000.0
# Base time until it is known: one step of an engine and the network's round
# trip.
_INITIAL_BASE_S = 0.02
# The learned rate stays within this factor of the initial one, up and down.
_RATE_RANGE_FACTOR = 4.0
# Upper bound of the learned base time; longer ones come from hidden queues.
_MAX_BASE_S = 0.3
# Least time to a first byte that is expected, so that ratios to it are finite.
_MIN_EXPECTED_S = 0.001
# Later first bytes say nothing about the speed of an engine.
MAX_FIRST_BYTE_S = 10.0
# Longer prompts than this fit into no engine.
_MAX_PREFILL_TOKENS = 10_000_000
# Prompt lengths of the two assumed samples that hold the line at its initial
# place until enough others are known: a short and a long prompt.
_PRIOR_TOKENS = (500.0, 5_000.0)
# Weight of each assumed sample, in samples.
_PRIOR_WEIGHT = 1.0
# Time constant with which a pool forgets samples, in seconds. New engines
# replace old ones within minutes.
_POOL_MEMORY_S = 30.0
# Longest gap between two samples that counts for forgetting, in seconds, so
# that a pool without traffic keeps what it has learned.
_MAX_GAP_S = 1.0
# A sample of a pool counts as at most this many times later or earlier than
# expected, so that a single one cannot move the line far.
_MAX_LATE_FACTOR = 2.0
_MAX_EARLY_FACTOR = 3.0
# Samples of a pool from which on its line is more accurate than the initial
# one.
_MIN_LEARNED_SAMPLES = 20
# Time constant with which the samples of an engine lose weight; an engine
# without any for this long counts as average. In seconds.
_ENGINE_MEMORY_S = 10.0
# Samples kept of an engine; bounds the cost of its estimate.
_MAX_ENGINE_SAMPLES = 24
# Weight, in samples, of the assumption that an engine is average. With a weight
# of 1, slow engines with few samples were expected up to 1.6 times too early.
_AVERAGE_WEIGHT = 0.4
# Samples closer to each other than this see the same moment of the engine and
# count in proportion to the time between them, in seconds. Engines are slow for
# about 0.6 s at a time.
_SAME_MOMENT_S = 0.3
# Least weight of a sample, however close to the one before it.
_MIN_SAMPLE_WEIGHT = 0.2
# Samples of all engines that hosts share in a second.
MAX_SHARED_PER_S = 60.0
# Time between two shared samples of an engine, as a multiple of the time in
# which all engines can get one. The rest of the rate is for further samples of
# engines whose last one is doubtful; with a factor of 0.8, 262 engines used up
# the rate and some were misjudged for long.
_SHARE_INTERVAL_FACTOR = 1.6
# Upper bound of that time, in seconds, so that a sample arrives before the one
# before it is forgotten.
_MAX_SHARE_INTERVAL_S = 7.0
# Time after which a sample that may be of a slow moment is followed by another,
# in seconds: slow moments of 0.6 s are over by then.
_RECHECK_INTERVAL_S = 0.8
# Samples from which on an engine is known to be slower than its pool.
_MIN_CERTAIN_SAMPLES = 2
# Share of the samples that are faster than the estimate. Below a half, because
# the slow ones are less reliable.
_FAST_QUANTILE = 1.0 / 3.0
# Samples count as at most this far from that quantile, as a natural logarithm:
# about a quarter faster or slower.
_MAX_DEVIATION = 0.25
# Slowdowns outside this range are not plausible.
_MIN_SLOWDOWN = 0.25
_MAX_SLOWDOWN = 8.0
# Time for which a computed slowdown is used again without new samples, in
# seconds. Computing it takes some 60 us, and each estimate needs it.
_RECOMPUTE_INTERVAL_S = 0.25


class SpeedSample(NamedTuple):
    """A prompt that found no queue.

    Attributes:
        prefill_tokens: Tokens that the engine computed.
        seconds: Time to the first byte, without the transfer of cached parts.
    """

    prefill_tokens: float
    seconds: float

    def is_plausible(self) -> bool:
        """Returns whether the sample can be used."""
        return (
            0.0 <= self.prefill_tokens <= _MAX_PREFILL_TOKENS
            and 0.0 < self.seconds <= MAX_FIRST_BYTE_S
        )


class PoolSpeed:
    """Speed of an average engine of a pool.

    The line is a least-squares fit of relative errors, with samples forgotten
    exponentially: short prompts determine the base time, long ones the rate.

    Attributes:
        base_s: Time that does not depend on the prompt, in seconds.
        prefill_tokens_per_s: Prefill rate.
        sample_count: Number of samples so far.
    """

    def __init__(self):
        self.base_s = _INITIAL_BASE_S
        self.prefill_tokens_per_s = INITIAL_TOKENS_PER_S
        self.sample_count = 0
        self._updated_at = float("-inf")
        # Weighted sums of 1, tokens, their squares, seconds, and products.
        self._sums = (0.0, 0.0, 0.0, 0.0, 0.0)
        self._prior_sums = (0.0, 0.0, 0.0, 0.0, 0.0)
        for tokens in _PRIOR_TOKENS:
            self._prior_sums = _add_to_sums(
                self._prior_sums,
                SpeedSample(tokens, self.expected_s(tokens)),
                _PRIOR_WEIGHT / self.expected_s(tokens) ** 2,
            )

    @property
    def is_learned(self) -> bool:
        """Whether enough samples are known."""
        return self.sample_count >= _MIN_LEARNED_SAMPLES

    def add_sample(self, sample: SpeedSample, now: float) -> None:
        """Updates the speed; implausible samples are ignored."""
        if not sample.is_plausible():
            return
        gap_s = min(_MAX_GAP_S, max(0.0, now - self._updated_at))
        self._updated_at = now
        self.sample_count += 1
        kept_share = math.exp(-gap_s / _POOL_MEMORY_S)
        expected_s = self.expected_s(sample.prefill_tokens)
        seconds = min(
            expected_s * _MAX_LATE_FACTOR,
            max(expected_s / _MAX_EARLY_FACTOR, sample.seconds),
        )
        self._sums = _add_to_sums(
            tuple(each * kept_share for each in self._sums),
            SpeedSample(sample.prefill_tokens, seconds),
            1.0 / expected_s**2,
        )
        self._fit()

    def expected_s(self, prefill_tokens: float) -> float:
        """Returns the time to the first byte without a queue, in seconds."""
        seconds = self.base_s + prefill_tokens / self.prefill_tokens_per_s
        return max(_MIN_EXPECTED_S, seconds)

    def _fit(self) -> None:
        """Fits the line to the samples, within the bounds of both values."""
        one, tokens, squares, seconds, products = (
            a + b for a, b in zip(self._sums, self._prior_sums, strict=True)
        )
        determinant = one * squares - tokens * tokens
        slope = (one * products - tokens * seconds) / determinant
        base_s = (seconds - _clip_slope(slope) * tokens) / one
        self.base_s = min(_MAX_BASE_S, max(0.0, base_s))
        slope = (products - self.base_s * tokens) / squares
        self.prefill_tokens_per_s = 1.0 / _clip_slope(slope)


class EngineSpeed:
    """Speed of one engine relative to its pool."""

    def __init__(self):
        self._samples: collections.deque[_EngineSample] = collections.deque(
            maxlen=_MAX_ENGINE_SAMPLES
        )
        self._slowdown = 1.0
        self._computed_at = float("-inf")

    def is_sample_due(self, now: float, engine_count: int) -> bool:
        """Returns whether other hosts benefit from a sample of the engine.

        Samples are shared at a bounded rate. Without this rule an engine that
        is seldom chosen, because it is slow, hardly gets any of them.

        Args:
            now: Current time, in seconds.
            engine_count: Number of engines that share the rate.
        """
        if not self._samples:
            return True
        interval_s = min(
            _MAX_SHARE_INTERVAL_S,
            _SHARE_INTERVAL_FACTOR * engine_count / MAX_SHARED_PER_S,
        )
        if self._is_last_doubtful():
            interval_s = min(interval_s, _RECHECK_INTERVAL_S)
        return abs(now - self._samples[-1].taken_at) >= interval_s

    def _is_last_doubtful(self) -> bool:
        """Returns whether the last sample may be of a slow moment."""
        fastest = min(sample.log_ratio for sample in self._samples)
        if len(self._samples) < _MIN_CERTAIN_SAMPLES:
            fastest = min(0.0, fastest)
        return self._samples[-1].log_ratio > fastest + _MAX_DEVIATION

    def add_sample(self, ratio: float, now: float) -> None:
        """Adds a sample.

        Args:
            ratio: Time to the first byte, divided by what the pool's speed lets
                expect.
            now: Current time, in seconds.
        """
        if not math.isfinite(ratio) or ratio <= 0.0:
            return
        weight = 1.0
        if self._samples:
            gap_s = max(0.0, now - self._samples[-1].taken_at)
            weight = min(1.0, max(_MIN_SAMPLE_WEIGHT, gap_s / _SAME_MOMENT_S))
        clipped = min(_MAX_SLOWDOWN, max(_MIN_SLOWDOWN, ratio))
        self._samples.append(_EngineSample(now, math.log(clipped), weight))
        self._computed_at = float("-inf")

    def slowdown(self, now: float) -> float:
        """Returns how many times longer than the pool the engine takes."""
        if abs(now - self._computed_at) >= _RECOMPUTE_INTERVAL_S:
            self._slowdown = self._compute_slowdown(now)
            self._computed_at = now
        return self._slowdown

    def _compute_slowdown(self, now: float) -> float:
        if not self._samples:
            return 1.0
        if now - self._samples[-1].taken_at >= _ENGINE_MEMORY_S:
            self._samples.clear()
            return 1.0
        weighted = [(0.0, _AVERAGE_WEIGHT)]
        for sample in self._samples:
            age_s = max(0.0, now - sample.taken_at)
            weight = sample.weight * math.exp(-age_s / _ENGINE_MEMORY_S)
            weighted.append((sample.log_ratio, weight))
        weighted.sort()
        total = sum(weight for _, weight in weighted)
        centre = _find_quantile(weighted, total * _FAST_QUANTILE)
        mean = centre + (
            sum(
                weight
                * min(_MAX_DEVIATION, max(-_MAX_DEVIATION, value - centre))
                for value, weight in weighted
            )
            / total
        )
        return min(_MAX_SLOWDOWN, max(_MIN_SLOWDOWN, math.exp(mean)))


class _EngineSample(NamedTuple):
    """A sample of an engine.

    Attributes:
        taken_at: Time in seconds.
        log_ratio: Logarithm of seen / expected by the pool's speed.
        weight: Less than 1 if another sample was taken shortly before.
    """

    taken_at: float
    log_ratio: float
    weight: float


_Sums = tuple[float, ...]


def _add_to_sums(sums: _Sums, sample: SpeedSample, weight: float) -> _Sums:
    """Returns the sums of a least-squares fit with one more sample."""
    tokens, seconds = sample
    terms = (1.0, tokens, tokens * tokens, seconds, tokens * seconds)
    return tuple(
        each + weight * term for each, term in zip(sums, terms, strict=True)
    )


def _clip_slope(slope: float) -> float:
    """Returns the seconds per token within the range of plausible rates."""
    initial = 1.0 / INITIAL_TOKENS_PER_S
    low, high = initial / _RATE_RANGE_FACTOR, initial * _RATE_RANGE_FACTOR
    return min(high, max(low, slope))


def _find_quantile(weighted: list[tuple[float, float]], below: float) -> float:
    """Returns the value in a sorted list with the given weight up to it."""
    reached = 0.0
    for value, weight in weighted:
        reached += weight
        if reached >= below:
            return value
    return weighted[-1][0]
