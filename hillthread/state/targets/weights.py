"""Tracks announced weights versions and those that targets hold."""

from __future__ import annotations

import enum
from typing import NamedTuple

__all__ = ["AnnouncedWeights", "WeightsGrace", "WeightsLag", "WeightsTracker"]

# By the platform's documentation, starts on older weights cost nothing for
# 1.5 s after newer weights were announced. The value is lower, to leave a
# margin for the request's way to the target.
_FREE_S = 1.3
# While the store answers, this host's reads prove at least this often which
# version is the newest.
_MAX_UNPROVEN_S = 3.0
# Starts are forbidden this long before the limit, because the time from
# choosing a target to the start there may exceed the expected time.
_START_MARGIN_S = 1.0
# An attempt whose answer has not begun this long after starts became forbidden
# is ended. This time lies within the margin above.
_ANSWER_MARGIN_S = 0.7
# A host that learned of new weights late was out of reach. By the platform's
# documentation it is judged again only 3 s after that. For the time below,
# which lies within those 3 s, old weights may serve while the newer ones are
# loaded.
_LATE_GRACE_S = 1.5
# The same time as a share of the limit, which is less if the limit is short.
_LATE_GRACE_SHARE = 0.25
# Default time after an announcement by which older weights must be out of use.
_DEFAULT_LIMIT_S = 10.0


class WeightsGrace(enum.StrEnum):
    """Whether a start on older weights is allowed and what it costs."""

    FREE = "free"
    COSTLY = "costly"
    FORBIDDEN = "forbidden"


class AnnouncedWeights(NamedTuple):
    """An announced weights version of a model.

    Attributes:
        version: Version number; versions increase.
        learned_at: When this host learned of the version, seconds.
        not_before: Latest time at which the version was surely not announced
            yet, seconds; minus infinity for weights found when this host
            started.
    """

    version: int
    learned_at: float
    not_before: float


class WeightsLag(NamedTuple):
    """How far the weights of a target lag behind the announced ones.

    Attributes:
        held: Version that the target holds; None if unknown.
        newer: First version announced after it, whose age decides.
        age_s: Seconds from when this host learned of that version to the
            expected start of the request.
        grace: Whether a start there is allowed and what it costs.
        start_by: Time by which the answer to a request sent earlier must have
            begun, seconds; a margin after starts become forbidden.
    """

    held: int | None
    newer: int
    age_s: float
    grace: WeightsGrace
    start_by: float


class _HeldKey(NamedTuple):
    target: str
    model: str


class WeightsTracker:
    """Tracks announced weights and the versions that targets hold.

    Each version has a deadline of its own: a target that missed several
    versions is judged by the first of them, however many have been announced
    since.

    Attributes:
        limit_s: Seconds after an announcement from which on nothing may start
            on older weights.
        newest: The newest announced weights by model.
    """

    def __init__(self, limit_s: float = _DEFAULT_LIMIT_S):
        self.limit_s = limit_s
        self.newest: dict[str, AnnouncedWeights] = {}
        self._announcements: dict[str, list[AnnouncedWeights]] = {}
        self._held: dict[_HeldKey, int] = {}
        self._listed: dict[_HeldKey, int] = {}
        self._rejected: dict[_HeldKey, set[int]] = {}

    def record_announcement(
        self,
        model: str,
        version: int,
        now: float,
        not_before: float = float("-inf"),
    ) -> bool:
        """Records announced weights; returns whether they are new.

        Args:
            model: Model that the weights are for.
            version: Version number.
            now: Current time, seconds.
            not_before: Time up to which the weights are proven not to have been
                announced, seconds.
        """
        before = self.newest.get(model)
        if before is not None and before.version >= version:
            return False
        announced = AnnouncedWeights(version, now, not_before)
        self.newest[model] = announced
        self._announcements[model] = [*self._unexpired(model, now), announced]
        return True

    def _unexpired(self, model: str, now: float) -> list[AnnouncedWeights]:
        """Returns the versions whose deadlines still differ.

        Of the versions whose deadline has passed only the newest is kept:
        anything older than it is forbidden.
        """
        announcements = self._announcements.get(model, [])
        expired = [
            each for each in announcements if now >= self._forbidden_at(each)
        ]
        return expired[-1:] + announcements[len(expired) :]

    def _forbidden_at(self, announced: AnnouncedWeights) -> float:
        """Returns when starts on weights before this version are forbidden."""
        proven_at = announced.not_before + self.limit_s - _START_MARGIN_S
        late_grace_s = min(_LATE_GRACE_S, self.limit_s * _LATE_GRACE_SHARE)
        return max(proven_at, announced.learned_at + late_grace_s)

    def update_from_list(self, target: str, model: str, version: int) -> None:
        """Records a version from the platform's list.

        The list lags behind answers, so an unchanged entry counts only if an
        assumed version has been rejected since a version was last recorded.
        """
        key = _HeldKey(target, model)
        if self._listed.get(key) == version and key not in self._rejected:
            return
        self._listed[key] = version
        self._set_held(key, version)

    def update_from_answer(self, target: str, model: str, version: int) -> bool:
        """Records a version from an answer; returns whether it is new.

        Answers begin at any time and may name the version from before a load,
        so only a higher version counts. Reports and refusals may lower it.
        """
        key = _HeldKey(target, model)
        if self._held.get(key, -1) >= version:
            return False
        self._set_held(key, version)
        return True

    def update_from_report(self, target: str, model: str, version: int) -> None:
        """Records the version that a target reports of itself."""
        self._set_held(_HeldKey(target, model), version)

    def forget(self, target: str) -> None:
        """Removes a target that is gone."""
        for versions in (self._held, self._listed, self._rejected):
            for key in [key for key in versions if key.target == target]:
                del versions[key]

    def held_version(self, target: str, model: str) -> int | None:
        """Returns the version that a target holds, or None if unknown."""
        return self._held.get(_HeldKey(target, model))

    def is_behind(self, target: str, model: str) -> bool:
        """Returns whether a target is not known to hold the newest weights."""
        announced = self.newest.get(model)
        if announced is None:
            return False
        held = self.held_version(target, model)
        return held is None or held < announced.version

    def lag(
        self, target: str, model: str, starts_at: float
    ) -> WeightsLag | None:
        """Returns how a target lags behind; None if it does not.

        Args:
            target: Name of the target.
            model: Model that the weights are for.
            starts_at: When a request is expected to start there, seconds.
        """
        if not self.is_behind(target, model):
            return None
        held = self.held_version(target, model)
        first = next(
            announced
            for announced in self._announcements[model]
            if held is None or held < announced.version
        )
        return WeightsLag(
            held,
            first.version,
            starts_at - first.learned_at,
            self._grace(first, starts_at),
            self._forbidden_at(first) + _ANSWER_MARGIN_S,
        )

    def lags(self, now: float) -> dict[tuple[str, str], WeightsLag]:
        """Returns how targets lag behind, by target and model."""
        lags = {key: self.lag(*key, now) for key in self._listed}
        return {key: lag for key, lag in lags.items() if lag is not None}

    def _grace(
        self, announced: AnnouncedWeights, starts_at: float
    ) -> WeightsGrace:
        """Returns how starts on weights before this version are judged."""
        if starts_at >= self._forbidden_at(announced):
            return WeightsGrace.FORBIDDEN
        if announced.learned_at - announced.not_before > _MAX_UNPROVEN_S:
            return WeightsGrace.COSTLY
        if starts_at - announced.learned_at > _FREE_S:
            return WeightsGrace.COSTLY
        return WeightsGrace.FREE

    def reject_version(self, target: str, model: str, version: int) -> bool:
        """Records that a target does not hold the version assumed so far.

        The next guess is the last listed version if it is older than the
        assumed one, else the newest version or one between. Rejected versions
        are guessed again only after all versions were rejected.

        Returns:
            Whether another version is guessed now; it is not if the target has
            reported another version since.
        """
        key = _HeldKey(target, model)
        if self._held.get(key) != version:
            return False
        announcements = self._announcements.get(model, [])
        known = [announced.version for announced in reversed(announcements)]
        listed = self._listed.get(key, max(0, version - 1))
        guesses = [min(listed, version), *known, listed]
        rejected = self._rejected.setdefault(key, set())
        rejected.add(version)
        remaining = [guess for guess in guesses if guess not in rejected]
        if not remaining:
            rejected.clear()
        self._held[key] = remaining[0] if remaining else listed
        return True

    def _set_held(self, key: _HeldKey, version: int) -> None:
        """Records the version that a target reported."""
        self._held[key] = version
        self._rejected.pop(key, None)
