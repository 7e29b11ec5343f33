"""Separates requests that crash targets from requests that ran beside them.

A target counts as crashed when its process has terminated. A request may crash
every target that starts it. Its caller sends it again, under another id and to
another host; each such sending is called a try. Hosts therefore notify each
other which requests were open on a crashed target. All of these requests are
suspects.

The culprit differs from the other suspects as follows:

- It was open at every crash. Other suspects were not, because suspects are
  placed on different targets.
- Other suspects succeed elsewhere, which clears them on all hosts at once.
- A crash does not count against a request if another request with more crashes,
  and at least three, was open too.

Parts of prompts are kept here as well, under keys of their own;
`part_blame` judges them by other rules.

A suspect with two crashes is tried once more, by one host on behalf of all,
since a request that ran beside the culprit easily reaches two. After a third
crash it is tried on a target where nothing else runs, as far as that host
knows, and is then held for longer after each crash.
"""

from __future__ import annotations

import collections
import dataclasses
from typing import NamedTuple

from hillthread.state.targets import request_features

__all__ = [
    "CULPRIT_MIN_CRASHES",
    "HOLD_MIN_CRASHES",
    "TRIAL_S",
    "Quarantine",
    "QuarantineStatus",
    "Suspect",
]

# How long a request is held, in seconds, by its number of crashes. After two
# crashes most requests prove harmless, because a culprit has crashed a third
# target by then. A harmless request reaches three crashes if targets crash for
# other causes while nothing runs beside it. One trial alone on a target soon
# shows that it is harmless. Each later trial costs everything that runs on one
# target, and hardly ever changes the result.
_HOLDS_S = {2: 1.0, 3: 1.5, 4: 30.0, 5: 300.0}
_MAX_HOLD_S = 1_800.0
# From this number of crashes on a request is held and is not sent again within
# the same try.
HOLD_MIN_CRASHES = min(_HOLDS_S)
# From this number of crashes on a request counts as the cause of a crash at
# which other requests were open too.
CULPRIT_MIN_CRASHES = 3
# Suspects with one or two crashes are forgotten after a minute, others after an
# hour.
_FEW_CRASHES_KEPT_S = 60.0
_CRASHES_KEPT_S = 3_600.0
# How long other hosts leave a trial to the host that announced it. Answers
# begin within a second or two; by then the trial has succeeded or the target is
# gone.
TRIAL_S = 2.0
# A request that succeeded within this time is no suspect: late reports of
# earlier crashes, and crashes beside many copies of the request, are ignored.
_SUCCESS_KEPT_S = 10.0
# The report of a crash may follow a lost connection by this time: if something
# in front of the target still accepts connections, its entry lapses only after
# three heartbeats.
_DISCONNECT_KEPT_S = 5.0
# Interval between removals of expired entries. Checking all of them takes up to
# a millisecond.
_EXPIRE_INTERVAL_S = 0.5
_MAX_SUSPECTS = 1_024
_MAX_SUCCESSES = 2_048
_MAX_CRASHES = 1_024


class QuarantineStatus(NamedTuple):
    """Number of crashes of a request, and whether it is held.

    Attributes:
        ends: Targets that crashed under it, except crashes attributed to
            another request. Includes lost connections of this host that may
            still turn out to be crashes.
        held_s: Seconds until it may be sent; 0 if it may be sent now.
    """

    ends: int
    held_s: float = 0.0

    @property
    def is_suspect(self) -> bool:
        """Whether it must be placed apart from other suspects."""
        return self.ends > 0


class Suspect(NamedTuple):
    """A request under which targets crashed, as shown to operators.

    Attributes:
        digest: Identifies the request over all its tries.
        ends: Targets that crashed under it, except crashes attributed to
            another request.
        ended_with: All targets that crashed while it was open.
        held_s: Seconds for which it is still held.
        age_s: Seconds since the last crash.
    """

    digest: str
    ends: int
    ended_with: int
    held_s: float
    age_s: float


@dataclasses.dataclass(slots=True)
class _SuspectRecord:
    """What this host knows of a suspect.

    Attributes:
        crashed: Incarnations that crashed while it was open.
        last_crash_at: When the last of them crashed, seconds.
        trial_until: Until when some host tries the request, seconds.
    """

    crashed: set[int] = dataclasses.field(default_factory=set)
    last_crash_at: float = float("-inf")
    trial_until: float = float("-inf")


@dataclasses.dataclass(slots=True)
class _Disconnects:
    """Requests whose connections to an incarnation were lost.

    Attributes:
        last_at: When the last connection was lost, seconds.
        digests: Digests of the requests.
        is_reachable: Whether the target was reached since.
    """

    last_at: float
    digests: set[str] = dataclasses.field(default_factory=set)
    is_reachable: bool = False


class _Crash(NamedTuple):
    """When a target crashed, as this host knows.

    Attributes:
        seen_at: When the host learned of it, seconds.
        lost_at: When the crash ended its connections to the target, seconds.
    """

    seen_at: float
    lost_at: float


class Quarantine:
    """Tracks the requests under which targets crashed, as this host knows.

    Attributes:
        revision: Incremented when crashes or successes are recorded.
    """

    def __init__(self):
        self.revision = 0
        self._records: dict[str, _SuspectRecord] = {}
        self._open_on: dict[int, set[str]] = {}
        self._disconnects: dict[int, _Disconnects] = {}
        self._successes: collections.OrderedDict[str, float] = (
            collections.OrderedDict()
        )
        self._keys_of_parts: dict[str, set[str]] = {}
        self._crashes: collections.OrderedDict[int, _Crash] = (
            collections.OrderedDict()
        )
        self._expire_at = float("-inf")

    @property
    def suspect_count(self) -> int:
        """Number of known suspects."""
        return len(self._records)

    def status_of(self, digest: str, now: float) -> QuarantineStatus:
        """Returns the crashes of a request and how long it is held."""
        self._expire(now)
        record = self._records.get(digest)
        if record is None:
            return QuarantineStatus(self._count_unconfirmed(digest))
        confirmed = self._count_crashes(digest)
        ends = confirmed + self._count_unconfirmed(digest)
        if confirmed < HOLD_MIN_CRASHES:
            return QuarantineStatus(ends)
        hold_s = _HOLDS_S.get(confirmed, _MAX_HOLD_S)
        held_until = max(record.last_crash_at + hold_s, record.trial_until)
        return QuarantineStatus(ends, max(0.0, held_until - now))

    def begin_trial(self, digest: str, now: float) -> None:
        """Records that this host or another one tries a suspect."""
        record = self._records.get(digest)
        if record is not None:
            record.trial_until = now + TRIAL_S

    def has_running_trial(self, digest: str, now: float) -> bool:
        """Returns whether some host is trying a suspect."""
        record = self._records.get(digest)
        return record is not None and now < record.trial_until

    def record_disconnect(
        self, digest: str, incarnation: int, now: float
    ) -> None:
        """Records a request whose connection to a target was lost.

        Until it is known whether the target has crashed, this counts as a crash
        on this host only, so that the request does not crash the next target at
        once.
        """
        if not request_features.is_part_key(
            digest
        ) and self.has_succeeded_recently(digest, now):
            return
        disconnects = self._disconnects.setdefault(
            incarnation, _Disconnects(now)
        )
        disconnects.last_at = now
        disconnects.digests.add(digest)

    def mark_reachable(self, incarnation: int) -> None:
        """Records that a target was reached after it lost connections."""
        disconnects = self._disconnects.get(incarnation)
        if disconnects is not None:
            disconnects.is_reachable = True

    def confirm_crash(self, incarnation: int, now: float) -> list[str]:
        """Records that a target has crashed.

        Returns:
            The requests that this host had open on it.
        """
        self._expire(now)
        disconnects = self._disconnects.get(incarnation)
        if disconnects is None:
            return []
        self._note_crash(incarnation, now, 0.0)
        del self._disconnects[incarnation]
        return [
            digest
            for digest in sorted(disconnects.digests)
            if self.record_crash(digest, incarnation, now)
        ]

    def record_crash(
        self, digest: str, incarnation: int, now: float, ago_s: float = 0.0
    ) -> bool:
        """Records that a target crashed while a request was open on it.

        Args:
            digest: Digest of the request.
            incarnation: Incarnation of the target.
            now: Current time, seconds.
            ago_s: Seconds since the crash.

        Returns:
            Whether the crash counts; it does not if the request succeeded
            recently.
        """
        self._note_crash(incarnation, now, ago_s)
        if self._is_disproved(digest, incarnation, now):
            return False
        record = self._records.setdefault(digest, _SuspectRecord())
        if incarnation in record.crashed:
            return True
        self.revision += 1
        record.crashed.add(incarnation)
        record.last_crash_at = max(record.last_crash_at, now - ago_s)
        record.trial_until = float("-inf")
        self._open_on.setdefault(incarnation, set()).add(digest)
        if request_features.is_part_key(digest):
            name = request_features.part_name(digest)
            self._keys_of_parts.setdefault(name, set()).add(digest)
        self._drop_oldest()
        return True

    def _note_crash(self, incarnation: int, now: float, ago_s: float) -> None:
        if incarnation in self._crashes:
            return
        seen_at = lost_at = now - ago_s
        disconnects = self._disconnects.get(incarnation)
        if disconnects is not None and not disconnects.is_reachable:
            lost_at = min(seen_at, disconnects.last_at)
        self._crashes[incarnation] = _Crash(seen_at, lost_at)
        if len(self._crashes) > _MAX_CRASHES:
            self._crashes.popitem(last=False)

    def _is_disproved(self, key: str, incarnation: int, now: float) -> bool:
        """Returns whether a success shows that a feature was not the cause.

        A part may crash targets from some moment on, so that only a success
        after the crash counts.
        """
        if not request_features.is_part_key(key):
            return self.has_succeeded_recently(key, now)
        return self.connections_lost_at(incarnation) <= self._successes.get(
            key, float("-inf")
        )

    def record_success(self, digest: str, now: float) -> bool:
        """Records that a request succeeded, on this host or another one.

        Returns:
            Whether it was a suspect.
        """
        self.revision += 1
        self._successes[digest] = now
        self._drop_oldest_success(digest)
        for disconnects in self._disconnects.values():
            disconnects.digests.discard(digest)
        return self.clear(digest)

    def disprove_crashes(self, key: str, until: float) -> int:
        """Records that a part did not cause the crashes until some time.

        Args:
            key: Key of the part.
            until: When a target began an answer to a prompt with the part,
                seconds.

        Returns:
            The incarnation of the last of them that the part was suspected of;
            0 if there was none.
        """
        self.revision += 1
        lost_at = {
            incarnation: self.connections_lost_at(incarnation)
            for incarnation in self.find_crashes_of_part(key)
        }
        for incarnation, disconnects in self._disconnects.items():
            if key in disconnects.digests:
                lost_at[incarnation] = disconnects.last_at
        disproved = [each for each, at in lost_at.items() if at <= until]
        for incarnation in disproved:
            if incarnation in self._disconnects:
                self._disconnects[incarnation].digests.discard(key)
            if incarnation in self.crashed_incarnations(key):
                self._forget_crash(key, incarnation)
        if key in self._records and not self._records[key].crashed:
            self.clear(key)
        self._successes[key] = max(
            until, self._successes.get(key, float("-inf"))
        )
        self._drop_oldest_success(key)
        return max(disproved, key=lost_at.__getitem__, default=0)

    def apply_disproof(self, key: str, incarnation: int, now: float) -> None:
        """Applies that another host has cleared a part of crashes.

        Args:
            key: Key of the part.
            incarnation: The last of them. If this host does not know it, it
                came before now.
            now: Current time, seconds.
        """
        self._note_crash(incarnation, now, 0.0)
        self.disprove_crashes(key, self.connections_lost_at(incarnation))

    def _forget_crash(self, digest: str, incarnation: int) -> None:
        self._records[digest].crashed.discard(incarnation)
        others = self._open_on[incarnation]
        others.discard(digest)
        if not others:
            del self._open_on[incarnation]

    def _drop_oldest_success(self, latest: str) -> None:
        self._successes.move_to_end(latest)
        if len(self._successes) > _MAX_SUCCESSES:
            self._successes.popitem(last=False)

    def has_succeeded_recently(self, digest: str, now: float) -> bool:
        """Returns whether a request succeeded recently."""
        return (
            now - self._successes.get(digest, float("-inf")) < _SUCCESS_KEPT_S
        )

    def clear(self, digest: str) -> bool:
        """Removes a suspect; returns whether it was one."""
        record = self._records.get(digest)
        if record is None:
            return False
        self.revision += 1
        for incarnation in list(record.crashed):
            self._forget_crash(digest, incarnation)
        del self._records[digest]
        if request_features.is_part_key(digest):
            name = request_features.part_name(digest)
            self._keys_of_parts[name].discard(digest)
            if not self._keys_of_parts[name]:
                del self._keys_of_parts[name]
        return True

    # Parts of prompts.

    def has_part_evidence(self) -> bool:
        """Returns whether any part of a prompt may have crashed a target."""
        return bool(self._keys_of_parts or self._disconnects)

    def is_unconfirmed(self, key: str) -> bool:
        """Returns whether a lost connection may turn out to be a crash."""
        return self._count_unconfirmed(key) > 0

    def list_keys_of_part(self, name: str) -> list[str]:
        """Returns the keys of a part that is suspected, one for each owner."""
        return list(self._keys_of_parts.get(name, ()))

    def list_open_features(self, incarnation: int) -> frozenset[str]:
        """Returns the suspects that were open when a target crashed."""
        return frozenset(self._open_on.get(incarnation, ()))

    def list_parts_only_with(self, digest: str) -> list[str]:
        """Returns the parts that were open only when a request was."""
        crashed = self.crashed_incarnations(digest)
        return [
            key
            for key, record in self._records.items()
            if request_features.is_part_key(key) and record.crashed <= crashed
        ]

    def count_crashes(self, key: str) -> int:
        """Returns how many targets crashed while a feature was open."""
        return len(self.crashed_incarnations(key))

    def crash_seen_at(self, incarnation: int) -> float:
        """Returns when this host learned of a crash, in seconds."""
        crash = self._crashes.get(incarnation)
        return crash.seen_at if crash else float("-inf")

    def connections_lost_at(self, incarnation: int) -> float:
        """Returns when a crash ended connections of this host, in seconds.

        Without any it is when this host learned of the crash.
        """
        crash = self._crashes.get(incarnation)
        return crash.lost_at if crash else float("-inf")

    def find_crashes_of_part(self, key: str) -> frozenset[int]:
        """Returns the targets that crashed while a part was open.

        They include those that crashed under requests of other tenants after
        the last success of this one.
        """
        name = request_features.part_name(key)
        cleared_at = self._successes.get(key, float("-inf"))
        return frozenset(
            incarnation
            for other in self._keys_of_parts.get(name, ())
            for incarnation in self._records[other].crashed
            if other == key
            or self.connections_lost_at(incarnation) > cleared_at
        )

    def crashed_incarnations(self, digest: str) -> frozenset[int]:
        """Returns the incarnations that crashed while a request was open."""
        record = self._records.get(digest)
        return frozenset(record.crashed) if record else frozenset()

    def suspects(self, now: float) -> list[Suspect]:
        """Returns all suspects, those with the most crashes first."""
        self._expire(now)
        entries = [
            Suspect(
                digest,
                self._count_crashes(digest),
                len(record.crashed),
                round(self.status_of(digest, now).held_s, 3),
                round(now - record.last_crash_at, 3),
            )
            for digest, record in self._records.items()
        ]
        return sorted(entries, key=lambda each: -each.ends)

    def _count_crashes(self, digest: str) -> int:
        """Returns the number of crashes not attributed to another request."""
        crashed = self._records[digest].crashed
        return sum(
            not self._is_explained_by_other(digest, incarnation, len(crashed))
            for incarnation in crashed
        )

    def _is_explained_by_other(
        self, digest: str, incarnation: int, ends: int
    ) -> bool:
        """Returns whether a crash is attributed to another request."""
        min_crashes = max(CULPRIT_MIN_CRASHES, ends + 1)
        return any(
            len(self._records[other].crashed) >= min_crashes
            for other in self._open_on[incarnation]
            if other != digest
        )

    def _count_unconfirmed(self, digest: str) -> int:
        """Returns the disconnects that may still turn out to be crashes."""
        return sum(
            digest in disconnects.digests and not disconnects.is_reachable
            for disconnects in self._disconnects.values()
        )

    def _expire(self, now: float) -> None:
        if now < self._expire_at:
            return
        self._expire_at = now + _EXPIRE_INTERVAL_S
        for incarnation, disconnects in list(self._disconnects.items()):
            if now - disconnects.last_at > _DISCONNECT_KEPT_S:
                del self._disconnects[incarnation]
        for digest, record in list(self._records.items()):
            is_few = len(record.crashed) < CULPRIT_MIN_CRASHES
            kept_s = _FEW_CRASHES_KEPT_S if is_few else _CRASHES_KEPT_S
            if now - record.last_crash_at > kept_s:
                self.clear(digest)

    def _drop_oldest(self) -> None:
        """Above the limit, drops the oldest suspect with the fewest crashes.

        It is one of the tenant that has most, so that no tenant displaces the
        suspects of others.
        """
        if len(self._records) <= _MAX_SUSPECTS:
            return
        counts = collections.Counter(map(_owner_of, self._records))
        ((largest, _),) = counts.most_common(1)
        self.clear(
            min(
                (key for key in self._records if _owner_of(key) == largest),
                key=lambda each: (
                    len(self._records[each].crashed),
                    self._records[each].last_crash_at,
                ),
            )
        )


def _owner_of(key: str) -> str:
    """Returns the owner of a part; empty for a whole request."""
    return key.partition("@")[2] if request_features.is_part_key(key) else ""
