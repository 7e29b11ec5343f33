"""Finds the part of a prompt that crashes targets, from outcomes.

All requests that are open on a crashed target share parts with the culprit. An
answer to a prompt clears its parts of all crashes before the answer began. The
culprit is never cleared, while its companions are, by other prompts that have
them. Of the parts that were open at a crash and are not cleared, the one with
the most crashes is to blame.

A request is refused if it has all parts that may be to blame for some crash. If
it has only some of them, it is tried: one request at a time on all hosts shows
whether they are harmless.
"""

from __future__ import annotations

import dataclasses
from typing import NamedTuple

from hillthread.state.targets import quarantine as quarantine_lib
from hillthread.state.targets import request_features

__all__ = [
    "Blamed",
    "Cleared",
    "Clearing",
    "PartBlame",
    "Suspected",
    "Verdict",
]

# A target that writes for this long after the first event of an answer has not
# crashed because of its prompt.
SURVIVAL_S = 0.15
# How long a part is held after its last crash, in seconds, by its number of
# crashes. A harmless part is cleared by the first trial after that; each trial
# of a deadly one costs a target and all that runs there.
_HOLDS_S = {2: 2.0, 3: 8.0, 4: 30.0, 5: 300.0}
_MAX_HOLD_S = 1_800.0
# Crashes that follow each other within this time count once: many targets that
# are lost at the same moment tell no more than one.
_SIMULTANEOUS_S = 0.15


@dataclasses.dataclass(frozen=True, slots=True)
class Cleared:
    """No part is suspected."""


@dataclasses.dataclass(frozen=True, slots=True)
class Suspected:
    """Some parts may be to blame, and others may be instead.

    Attributes:
        names: Names of the parts.
        tried_for_s: Seconds for which another request with one of them may
            still be tried; 0 if none is.
    """

    names: tuple[str, ...]
    tried_for_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Blamed:
    """One part is to blame.

    Attributes:
        name: Name of the part.
        crashes: Targets that crashed.
        held_s: Seconds for which requests with it are held; 0 if one may be
            tried now.
    """

    name: str
    crashes: int
    held_s: float


Verdict = Cleared | Suspected | Blamed


class Clearing(NamedTuple):
    """A part that an answer has cleared of crashes.

    Attributes:
        key: Key of the part.
        last_crash: The incarnation of the last crash that it is cleared of.
    """

    key: str
    last_crash: int


class _Trial(NamedTuple):
    """A trial of a part by some host.

    Attributes:
        started_at: Seconds.
        until: When other hosts stop waiting for its result, seconds.
    """

    started_at: float
    until: float


class PartBlame:
    """Judges the parts of prompts by the crashes that a host knows of.

    Attributes:
        quarantine: Holds the crashes.
    """

    def __init__(self, quarantine: quarantine_lib.Quarantine):
        self.quarantine = quarantine
        self._trials: dict[str, _Trial] = {}
        # Derived from the crashes of one revision of the quarantine.
        self._derived_from = -1
        self._counts: dict[str, int] = {}
        self._causes: dict[str, list[int]] = {}
        self._rivals: dict[tuple[str, int], frozenset[str]] = {}

    def judge(
        self, features: request_features.RequestFeatures, now: float
    ) -> Verdict:
        """Returns whether a request may be sent."""
        if not self.quarantine.has_part_evidence():
            return Cleared()
        blamed: Blamed | None = None
        names = []
        members = {request_features.part_name(k) for k in features.part_keys}
        for key in features.part_keys:
            causes = self._find_causes(key)
            if not causes and not self.quarantine.is_unconfirmed(key):
                continue
            names.append(request_features.part_name(key))
            if any(self._is_cause(key, each, members) for each in causes):
                crashed = self.quarantine.find_crashes_of_part(key)
                verdict = self._blame(key, crashed, now)
                if blamed is None or verdict.crashes > blamed.crashes:
                    blamed = verdict
        if blamed is not None:
            return blamed
        if not names:
            return Cleared()
        return Suspected(
            tuple(names), max(self._trial_s(name, now) for name in names)
        )

    def describe(self, key: str, now: float) -> Blamed:
        """Returns the crashes of a part and how long it is held."""
        verdict = self.judge(request_features.RequestFeatures("", (key,)), now)
        if isinstance(verdict, Blamed):
            return verdict
        name = request_features.part_name(key)
        return Blamed(name, self._count_of_part(key), 0.0)

    def begin_trial(self, names: tuple[str, ...], now: float) -> None:
        """Records that this host or another one tries some parts."""
        for name, trial in list(self._trials.items()):
            if now >= trial.until:
                del self._trials[name]
        for name in names:
            until = now + quarantine_lib.TRIAL_S
            self._trials[name] = _Trial(now, until)

    def end_trial(self, names: tuple[str, ...]) -> None:
        """Records that a trial has ended."""
        for name in names:
            self._trials.pop(name, None)

    def has_running_trial(self, name: str, now: float) -> bool:
        """Returns whether some host tries a part."""
        return self._trial_s(name, now) > 0.0

    def record_answer(
        self,
        features: request_features.RequestFeatures,
        begun_at: float,
    ) -> list[Clearing]:
        """Clears the parts of a request that a target has answered.

        Args:
            features: The features of the request.
            begun_at: When the target began to write the answer, seconds.

        Returns:
            The parts that were suspected and are cleared of crashes.
        """
        if not self.quarantine.has_part_evidence():
            return []
        clearings = []
        for key in features.part_keys:
            last_crash = self.quarantine.disprove_crashes(key, begun_at)
            if last_crash:
                clearings.append(Clearing(key, last_crash))
        return clearings

    def _blame(self, key: str, crashed: frozenset[int], now: float) -> Blamed:
        name = request_features.part_name(key)
        hold_s = _HOLDS_S.get(self._count(crashed), _MAX_HOLD_S)
        held_s = max(
            self._last_crash_at(crashed) + hold_s - now,
            self._trial_s(name, now),
            0.0,
        )
        return Blamed(name, self._count(crashed), held_s)

    def _is_explained(self, key: str, incarnation: int, crashes: int) -> bool:
        """Returns whether a crash is attributed to another feature."""
        name = request_features.part_name(key)
        for other in self.quarantine.list_open_features(incarnation):
            if not request_features.is_part_key(other):
                count = self.quarantine.count_crashes(other)
                min_count = quarantine_lib.CULPRIT_MIN_CRASHES
            elif request_features.part_name(other) != name:
                count = self._count_of_part(other)
                min_count = quarantine_lib.HOLD_MIN_CRASHES
            else:
                continue
            if count >= max(min_count, crashes + 1):
                return True
        return False

    def _is_cause(self, key: str, incarnation: int, members: set[str]) -> bool:
        """Returns whether a request has all parts that may explain a crash.

        Args:
            key: A part of the request whose crash no other feature explains.
            incarnation: The target that crashed.
            members: Names of all parts of the request.
        """
        if not self.quarantine.crashed_incarnations(key):
            return False  # only other tenants' requests crashed targets
        if self._count_of_part(key) < quarantine_lib.HOLD_MIN_CRASHES:
            return False
        return self._list_rivals(key, incarnation) <= members

    def _list_rivals(self, key: str, incarnation: int) -> frozenset[str]:
        """Returns the parts that explain a crash as well as one of them does.

        They were open at the crash, and at as many crashes as the part.
        """
        self._forget_outdated()
        rivals = self._rivals.get((key, incarnation))
        if rivals is None:
            crashes = self._count_of_part(key)
            rivals = self._rivals[key, incarnation] = frozenset(
                request_features.part_name(other)
                for other in self.quarantine.list_open_features(incarnation)
                if request_features.is_part_key(other)
                and self._count_of_part(other) >= crashes
            )
        return rivals

    def _find_causes(self, key: str) -> list[int]:
        """Returns the crashes of a part that no other feature explains."""
        self._forget_outdated()
        causes = self._causes.get(key)
        if causes is None:
            crashes = self._count_of_part(key)
            causes = self._causes[key] = [
                incarnation
                for incarnation in self.quarantine.find_crashes_of_part(key)
                if not self._is_explained(key, incarnation, crashes)
            ]
        return causes

    def _count_of_part(self, key: str) -> int:
        self._forget_outdated()
        count = self._counts.get(key)
        if count is None:
            crashed = self.quarantine.find_crashes_of_part(key)
            count = self._counts[key] = self._count(crashed)
        return count

    def _forget_outdated(self) -> None:
        """Forgets what was derived from fewer crashes or successes."""
        if self._derived_from != self.quarantine.revision:
            self._derived_from = self.quarantine.revision
            self._counts.clear()
            self._causes.clear()
            self._rivals.clear()

    def _count(self, crashed: frozenset[int]) -> int:
        """Returns the number of crashes, of simultaneous ones the first."""
        count = 0
        counted_at = float("-inf")
        for at in sorted(map(self.quarantine.crash_seen_at, crashed)):
            if at - counted_at > _SIMULTANEOUS_S:
                count += 1
                counted_at = at
        return count

    def _last_crash_at(self, crashed: frozenset[int]) -> float:
        times = [self.quarantine.crash_seen_at(each) for each in crashed]
        return max(times, default=float("-inf"))

    def _trial_s(self, name: str, now: float) -> float:
        """Returns for how long a trial of a part may still run."""
        trial = self._trials.get(name)
        if trial is None or now >= trial.until:
            return 0.0
        is_over = any(
            self._last_crash_at(self.quarantine.find_crashes_of_part(key))
            > trial.started_at
            for key in self.quarantine.list_keys_of_part(name)
        )
        return 0.0 if is_over else trial.until - now
