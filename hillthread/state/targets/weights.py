"""Weights versions: which are named, and which each target holds."""

from __future__ import annotations

import enum
from typing import NamedTuple

__all__ = ["AnnouncedWeights", "WeightsTracker", "WeightsGrace", "WeightsLag"]

# Starts on older weights cost nothing for 1.5 s after newer ones were named
# (pages); a margin is left for the way of the request.
_FREE_S = 1.3
# While the store answers, a read proves something at least so often, seconds.
_LONGEST_UNPROVEN_S = 3.0
# From the choice of a target to the start there, beyond what is expected.
_START_MARGIN_S = 1.0
# An answer that has not begun so long after starts became forbidden is ended;
# within the margin above.
_BEGIN_MARGIN_S = 0.7
# Who learned late was out of reach, and is judged again only 3 s after that
# (pages); until then old weights may serve while the newer ones are loaded.
_LATE_S = 1.5
# The same as a share of the limit, where that is short.
_LATE_SHARE = 0.25
# Seconds from naming in which older weights must be gone, unless told.
_DEFAULT_LIMIT_S = 10.0


class WeightsGrace(enum.StrEnum):
    """How a start on older weights is looked at."""

    FREE = "free"
    COSTLY = "costly"
    FORBIDDEN = "forbidden"


class AnnouncedWeights(NamedTuple):
    """Weights of a model that were named.

    Attributes:
        version: Its number; versions rise.
        known_at: Seconds, when this host learned of it.
        not_before: Seconds, when it surely was not named yet; minus infinity
            for weights that were found when this host started.
    """

    version: int
    learned_at: float
    not_before: float


class WeightsLag(NamedTuple):
    """How a target's weights lag behind what was named.

    Attributes:
        held: The version it holds; None when not known.
        newer: The first version named after it, whose age decides.
        age_s: Seconds since this host learned of that version.
        grace: How a start there is looked at.
        start_by: Seconds, when a request sent before must have started.
    """

    held: int | None
    newer: int
    age_s: float
    grace: WeightsGrace
    start_by: float


class _Key(NamedTuple):
    target: str
    model: str


class WeightsTracker:
    """What one host knows of weights.

    Each version has a time of its own: a target that missed several is judged
    by the first of them, however many have been named since.

    Attributes:
        limit_s: So long after newer weights were named nothing may start on
            older ones.
        named: The newest weights, by model.
    """

    def __init__(self, limit_s: float = _DEFAULT_LIMIT_S):
        self.limit_s = limit_s
        self.newest: dict[str, AnnouncedWeights] = {}
        self._series: dict[str, list[AnnouncedWeights]] = {}
        self._held: dict[_Key, int] = {}
        self._listed: dict[_Key, int] = {}
        self._refuted: dict[_Key, set[int]] = {}

    def record_announcement(
        self,
        model: str,
        version: int,
        now: float,
        not_before: float = float("-inf"),
    ) -> bool:
        """Takes in newly named weights; returns whether they are news.

        Args:
            model: Whose weights.
            version: Their number.
            now: Seconds.
            not_before: Seconds, up to when it is proven that they were not
                named yet.
        """
        before = self.newest.get(model)
        if before is not None and before.version >= version:
            return False
        named = AnnouncedWeights(version, now, not_before)
        self.newest[model] = named
        self._series[model] = [*self._unexpired(model, now), named]
        return True

    def _unexpired(self, model: str, now: float) -> list[AnnouncedWeights]:
        """Returns the versions whose times still differ.

        Of those whose time is over the newest stands for all: whatever is
        older than it is forbidden.
        """
        series = self._series.get(model, [])
        over = [each for each in series if now >= self._forbidden_at(each)]
        return over[-1:] + series[len(over) :]

    def _forbidden_at(self, named: AnnouncedWeights) -> float:
        """Returns from when on nothing may start on weights before these."""
        proven_at = named.not_before + self.limit_s - _START_MARGIN_S
        late_s = min(_LATE_S, self.limit_s * _LATE_SHARE)
        return max(proven_at, named.learned_at + late_s)

    def update_from_list(self, target: str, model: str, version: int) -> None:
        """Takes in what the platform lists.

        The list lags behind answers: only a changed entry counts.
        """
        key = _Key(target, model)
        if self._listed.get(key) == version and key not in self._refuted:
            return
        self._listed[key] = version
        self._hold(key, version)

    def update_from_answer(self, target: str, model: str, version: int) -> bool:
        """Takes in the version that an answer told; returns whether it is news.

        Answers begin at any time, and may tell what was before a load: only a
        higher version counts. A report, and a refusal, may lower it.
        """
        key = _Key(target, model)
        if self._held.get(key, -1) >= version:
            return False
        self._hold(key, version)
        return True

    def update_from_report(self, target: str, model: str, version: int) -> None:
        """Takes in the version that a target reports of itself."""
        self._hold(_Key(target, model), version)

    def forget(self, target: str) -> None:
        """Forgets a target that is gone."""
        for told in (self._held, self._listed, self._refuted):
            for key in [key for key in told if key.target == target]:
                del told[key]

    def held_version(self, target: str, model: str) -> int | None:
        """Returns the version a target holds, or None when not known."""
        return self._held.get(_Key(target, model))

    def is_behind(self, target: str, model: str) -> bool:
        """Returns whether a target is not known to hold the newest weights."""
        named = self.newest.get(model)
        if named is None:
            return False
        held = self.held_version(target, model)
        return held is None or held < named.version

    def lag(
        self, target: str, model: str, starts_at: float
    ) -> WeightsLag | None:
        """Returns how a target lags behind; None when it does not.

        Args:
            target: Its name.
            model: Whose weights.
            starts_at: Seconds, when a request is expected to start there.
        """
        if not self.is_behind(target, model):
            return None
        held = self.held_version(target, model)
        first = next(
            named
            for named in self._series[model]
            if held is None or held < named.version
        )
        return WeightsLag(
            held,
            first.version,
            starts_at - first.learned_at,
            self._grace(first, starts_at),
            self._forbidden_at(first) + _BEGIN_MARGIN_S,
        )

    def lags(self, now: float) -> dict[tuple[str, str], WeightsLag]:
        """Returns how targets lag behind, by target and model."""
        lags = {key: self.lag(*key, now) for key in self._listed}
        return {key: lag for key, lag in lags.items() if lag is not None}

    def _grace(self, named: AnnouncedWeights, starts_at: float) -> WeightsGrace:
        """Returns how starts on weights before these are looked at."""
        if starts_at >= self._forbidden_at(named):
            return WeightsGrace.FORBIDDEN
        if named.learned_at - named.not_before > _LONGEST_UNPROVEN_S:
            return WeightsGrace.COSTLY
        if starts_at - named.learned_at > _FREE_S:
            return WeightsGrace.COSTLY
        return WeightsGrace.FREE

    def reject_version(self, target: str, model: str, version: int) -> bool:
        """Takes in that a target does not hold the version it was thought to.

        It holds what it listed last if that is older than what it was thought
        to hold, or else the newest, or one between. What it refuted already is
        guessed again only when all were.

        Returns:
            Whether another version is guessed now; it is not when the target
            has told of another one since.
        """
        key = _Key(target, model)
        if self._held.get(key) != version:
            return False
        series = self._series.get(model, [])
        known = [named.version for named in reversed(series)]
        listed = self._listed.get(key, max(0, version - 1))
        guesses = [min(listed, version), *known, listed]
        refuted = self._refuted.setdefault(key, set())
        refuted.add(version)
        left = [guess for guess in guesses if guess not in refuted]
        if not left:
            refuted.clear()
        self._held[key] = left[0] if left else listed
        return True

    def _hold(self, key: _Key, version: int) -> None:
        """Notes what a target told of its weights."""
        self._held[key] = version
        self._refuted.pop(key, None)
