"""Weights versions: which are named, and which each target holds."""

from __future__ import annotations

from typing import NamedTuple

__all__ = ["NamedWeights", "WeightsBoard"]


class NamedWeights(NamedTuple):
    """The newest weights of a model.

    Attributes:
        version: Its number; versions rise.
        known_at: Seconds, when this host learned of it.
    """

    version: int
    known_at: float


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

    def name(self, model: str, version: int, now: float) -> bool:
        """Takes in newly named weights; returns whether they are news."""
        before = self.named.get(model)
        if before is not None and before.version >= version:
            return False
        self.named[model] = NamedWeights(version, now)
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
        """Takes in what a target said; returns whether it is news."""
        key = _Key(target, model)
        if self._held.get(key) == version:
            return False
        self._held[key] = version
        return True

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

    def seconds_named(self, model: str, now: float) -> float:
        """Returns seconds since the newest weights became known; 0 if none."""
        named = self.named.get(model)
        return 0.0 if named is None else now - named.known_at
