"""Weights versions: which are named, and which each target holds."""

from __future__ import annotations

import enum
from typing import NamedTuple

__all__ = ["NamedWeights", "WeightsBoard", "WeightsGrace", "WeightsLag"]

# Starts on older weights cost nothing for 1.5 s, and must end after 10 s
# (pages); a margin is left for the way of the request.
_FREE_S = 1.3
_LAST_S = 8.5
# A host that has just started does not know since when they were named.
_LAST_UNSEEN_S = 2.5


class WeightsGrace(enum.StrEnum):
    """How a start on older weights is looked at."""

    FREE = "free"
    COSTLY = "costly"
    FORBIDDEN = "forbidden"


class NamedWeights(NamedTuple):
    """The newest weights of a model.

    Attributes:
        version: Its number; versions rise.
        known_at: Seconds, when this host learned of it.
        seen_named: It was learned when it was named, and not found in the
            store by a host that has just started.
    """

    version: int
    known_at: float
    seen_named: bool


class WeightsLag(NamedTuple):
    """How a target's weights lag behind what was named.

    Attributes:
        held: The version it holds; None when not known.
        newer: The version that it should hold.
        age_s: Seconds since this host learned of that version.
        grace: How a start there is looked at.
    """

    held: int | None
    newer: int
    age_s: float
    grace: WeightsGrace


class _Key(NamedTuple):
    target: str
    model: str


class WeightsBoard:
    """What one host knows of weights.

    Attributes:
        named: The newest weights, by model.
    """

    def __init__(self):
        self.named: dict[str, NamedWeights] = {}
        self._held: dict[_Key, int] = {}
        self._listed: dict[_Key, int] = {}

    def name(
        self, model: str, version: int, now: float, seen_named: bool = True
    ) -> bool:
        """Takes in newly named weights; returns whether they are news."""
        before = self.named.get(model)
        if before is not None and before.version >= version:
            return False
        self.named[model] = NamedWeights(version, now, seen_named)
        return True

    def list_target(self, target: str, model: str, version: int) -> None:
        """Takes in what the platform lists.

        The list lags behind answers: only a changed entry counts.
        """
        key = _Key(target, model)
        if self._listed.get(key) == version:
            return
        self._listed[key] = version
        self._held[key] = version

    def observe(self, target: str, model: str, version: int) -> bool:
        """Takes in the version that an answer told; returns whether it is news.

        Answers begin at any time, and may tell what was before a load: only a
        higher version counts. A report, and a refusal, may lower it.
        """
        key = _Key(target, model)
        if self._held.get(key, -1) >= version:
            return False
        self._held[key] = version
        return True

    def report(self, target: str, model: str, version: int) -> None:
        """Takes in the version that a target reports of itself."""
        self._held[_Key(target, model)] = version

    def forget(self, target: str) -> None:
        """Forgets a target that is gone."""
        for held in (self._held, self._listed):
            for key in [key for key in held if key.target == target]:
                del held[key]

    def held(self, target: str, model: str) -> int | None:
        """Returns the version a target holds, or None when not known."""
        return self._held.get(_Key(target, model))

    def is_behind(self, target: str, model: str) -> bool:
        """Returns whether a target holds older weights than named."""
        named = self.named.get(model)
        held = self.held(target, model)
        return named is not None and held is not None and held < named.version

    def lag(self, target: str, model: str, now: float) -> WeightsLag | None:
        """Returns how a target lags behind; None when it does not."""
        if not self.is_behind(target, model):
            return None
        named = self.named[model]
        return WeightsLag(
            self.held(target, model),
            named.version,
            now - named.known_at,
            self.grace(model, now),
        )

    def lags(self, now: float) -> dict[str, WeightsLag]:
        """Returns the targets that lag behind, by name."""
        lags = {key.target: self.lag(*key, now) for key in self._held}
        return {name: lag for name, lag in lags.items() if lag is not None}

    def refute(self, target: str, model: str, version: int) -> None:
        """Takes in that a target does not hold the version it was thought to.

        It holds the newest when it was thought to be behind; otherwise it is
        behind, by how much its own report tells.
        """
        named = self.named.get(model)
        newest = named.version if named is not None else version
        self._held[_Key(target, model)] = (
            newest if version < newest else version - 1
        )

    def grace(self, model: str, now: float) -> WeightsGrace:
        """Returns how starts on older weights are looked at now."""
        named = self.named.get(model)
        if named is None:
            return WeightsGrace.FREE
        age_s = now - named.known_at
        last_s = _LAST_S if named.seen_named else _LAST_UNSEEN_S
        if age_s > last_s:
            return WeightsGrace.FORBIDDEN
        if age_s > _FREE_S or not named.seen_named:
            return WeightsGrace.COSTLY
        return WeightsGrace.FREE
