"""Requests under which targets end, told apart from those that ran beside them.

A request may end every target that begins it. Its caller sends it again, under
another id and to another host, so hosts tell each other which requests were
open on a target that ended: all of these are suspects.

What separates the one that ends targets from the others:

- It is there each time. Others part from it, because suspects are placed apart.
- Others end well elsewhere. That acquits them at all hosts at once.
- Ends at which one with more ends was open are its own, and nobody else's.

A suspect of two ends is tried once more, by one host for all: two come easily
to one that ran beside another. After a third it is tried where nothing else
runs, as far as that host knows, and then held for longer after each end.
"""

from __future__ import annotations

import collections
import dataclasses
from typing import NamedTuple

__all__ = [
    "CULPRIT_MIN_ENDS",
    "HOLD_MIN_ENDS",
    "Quarantine",
    "QuarantineStatus",
    "Suspect",
]

# By ends: how long a request is held, seconds. After two it mostly proves
# harmless, and the one that is not has ended a third target by then. Three come
# to a harmless one, too, when targets end for other causes and nothing ran
# beside it: one trial, alone on its target, soon tells. Later each trial costs
# what runs on one target, for what hardly ever changes.
_HOLDS_S = {2: 1.0, 3: 1.5, 4: 30.0, 5: 300.0}
_LONGEST_HOLD_S = 1_800.0
# With so many ends a request is held, and not sent again in the same try.
HOLD_MIN_ENDS = min(_HOLDS_S)
# From so many on it is the cause where others were open too.
CULPRIT_MIN_ENDS = 3
# A single end, and two, are forgotten after this time, more after an hour.
_FORGET_FEW_S = 60.0
_FORGET_S = 3_600.0
# Others leave a trial to the host that announced it for so long: answers begin
# within a second or two, and the trial ends well or the target is gone.
_TRIAL_S = 2.0
# A request that ended well so lately does not end targets: late word of an end
# before, or ends beside many copies of it, change nothing.
_WELL_S = 10.0
# Word that a target has ended may follow a cut by this time: where something
# before it still accepts connections, its entry lapses after three heartbeats.
_CUT_KEPT_S = 5.0
# What is over is dropped so often: a look at all takes up to a millisecond.
_EXPIRE_S = 0.5
_MOST_SUSPECTS = 1_024
_MOST_WELL = 2_048


class QuarantineStatus(NamedTuple):
    """How a request stands.

    Attributes:
        ends: Targets that ended under it, and under nothing likelier.
        held_s: Seconds until it may be sent; 0 if it may now.
    """

    ends: int
    held_s: float = 0.0

    @property
    def is_suspect(self) -> bool:
        """Whether it is to be placed apart from others like it."""
        return self.ends > 0


class Suspect(NamedTuple):
    """A request under which targets ended, as operators see it.

    Attributes:
        digest: What all its tries have in common.
        ends: Targets that ended under it, and under nothing likelier.
        ended_with: All targets that ended while it was open.
        held_s: Seconds for which it is held still.
        age_s: Seconds since the last end.
    """

    digest: str
    ends: int
    ended_with: int
    held_s: float
    age_s: float


@dataclasses.dataclass(slots=True)
class _Record:
    """What is known of a suspect.

    Attributes:
        ended: Incarnations that ended while it was open.
        last_at: Seconds, when the last of them did.
        trial_until: Seconds; somebody tries it until then.
    """

    ended: set[int] = dataclasses.field(default_factory=set)
    last_at: float = float("-inf")
    trial_until: float = float("-inf")


@dataclasses.dataclass(slots=True)
class _Cut:
    """Requests whose connections to an incarnation were cut.

    Attributes:
        at: Seconds, when the last one was.
        digests: Which.
        refuted: The target was reached since.
    """

    at: float
    digests: set[str] = dataclasses.field(default_factory=set)
    refuted: bool = False


class Quarantine:
    """What one host knows of requests under which targets ended."""

    def __init__(self):
        self._records: dict[str, _Record] = {}
        self._open_on: dict[int, set[str]] = {}
        self._cuts: dict[int, _Cut] = {}
        self._well: collections.OrderedDict[str, float] = (
            collections.OrderedDict()
        )
        self._expire_at = float("-inf")

    @property
    def suspect_count(self) -> int:
        """How many suspects are known."""
        return len(self._records)

    def status_of(self, digest: str, now: float) -> QuarantineStatus:
        """Returns whether a request may be sent, and how it is placed."""
        self._expire(now)
        record = self._records.get(digest)
        if record is None:
            return QuarantineStatus(self._pending(digest))
        known = self._count(digest)
        ends = known + self._pending(digest)
        if known < HOLD_MIN_ENDS:
            return QuarantineStatus(ends)
        hold_s = _HOLDS_S.get(known, _LONGEST_HOLD_S)
        until = max(record.last_at + hold_s, record.trial_until)
        return QuarantineStatus(ends, max(0.0, until - now))

    def begin_trial(self, digest: str, now: float) -> None:
        """Notes that some host, this one or another, tries a suspect."""
        record = self._records.get(digest)
        if record is not None:
            record.trial_until = now + _TRIAL_S

    def has_running_trial(self, digest: str, now: float) -> bool:
        """Returns whether some host tries a suspect at this moment."""
        record = self._records.get(digest)
        return record is not None and now < record.trial_until

    def record_disconnect(
        self, digest: str, incarnation: int, now: float
    ) -> None:
        """Notes a request whose connection to a target was cut.

        Until it is known whether the target has ended, it counts as an end for
        this host alone: the next target is not to follow at once.
        """
        if self.has_succeeded_recently(digest, now):
            return
        cut = self._cuts.setdefault(incarnation, _Cut(now))
        cut.at = now
        cut.digests.add(digest)

    def mark_reachable(self, incarnation: int) -> None:
        """Notes that a target is there after connections to it were cut."""
        cut = self._cuts.get(incarnation)
        if cut is not None:
            cut.refuted = True

    def confirm_end(self, incarnation: int, now: float) -> list[str]:
        """Notes that a target has ended.

        Returns:
            The requests that were open on it, as far as this host sent them.
        """
        self._expire(now)
        cut = self._cuts.pop(incarnation, None)
        if cut is None:
            return []
        return [
            digest
            for digest in sorted(cut.digests)
            if self.record_end(digest, incarnation, now)
        ]

    def record_end(
        self, digest: str, incarnation: int, now: float, ago_s: float = 0.0
    ) -> bool:
        """Notes that a target ended while a request was open on it.

        Args:
            digest: The request.
            incarnation: The target.
            now: Seconds.
            ago_s: Seconds since the end.

        Returns:
            Whether it counts: the request has not ended well lately.
        """
        if self.has_succeeded_recently(digest, now):
            return False
        record = self._records.setdefault(digest, _Record())
        if incarnation in record.ended:
            return True
        record.ended.add(incarnation)
        record.last_at = max(record.last_at, now - ago_s)
        record.trial_until = float("-inf")
        self._open_on.setdefault(incarnation, set()).add(digest)
        self._drop_oldest()
        return True

    def record_success(self, digest: str, now: float) -> bool:
        """Notes that a request ended well, here or at another host.

        Returns:
            Whether it was a suspect.
        """
        self._well[digest] = now
        self._well.move_to_end(digest)
        if len(self._well) > _MOST_WELL:
            self._well.popitem(last=False)
        for cut in self._cuts.values():
            cut.digests.discard(digest)
        return self.clear(digest)

    def has_succeeded_recently(self, digest: str, now: float) -> bool:
        """Returns whether a request ended well lately."""
        return now - self._well.get(digest, float("-inf")) < _WELL_S

    def clear(self, digest: str) -> bool:
        """Forgets a suspect; returns whether it was one."""
        record = self._records.pop(digest, None)
        if record is None:
            return False
        for incarnation in record.ended:
            others = self._open_on[incarnation]
            others.discard(digest)
            if not others:
                del self._open_on[incarnation]
        return True

    def ended_incarnations(self, digest: str) -> frozenset[int]:
        """Returns the incarnations that ended while a request was open."""
        record = self._records.get(digest)
        return frozenset(record.ended) if record else frozenset()

    def suspects(self, now: float) -> list[Suspect]:
        """Returns all suspects, those with most ends first."""
        self._expire(now)
        listed = [
            Suspect(
                digest,
                self._count(digest),
                len(record.ended),
                round(self.status_of(digest, now).held_s, 3),
                round(now - record.last_at, 3),
            )
            for digest, record in self._records.items()
        ]
        return sorted(listed, key=lambda each: -each.ends)

    def _count(self, digest: str) -> int:
        """Returns how many ends nothing likelier explains."""
        ended = self._records[digest].ended
        return sum(
            not self._is_explained(digest, incarnation, len(ended))
            for incarnation in ended
        )

    def _is_explained(self, digest: str, incarnation: int, ends: int) -> bool:
        """Returns whether an end is that of another request."""
        least = max(CULPRIT_MIN_ENDS, ends + 1)
        return any(
            len(self._records[other].ended) >= least
            for other in self._open_on[incarnation]
            if other != digest
        )

    def _pending(self, digest: str) -> int:
        """Returns the cuts that may yet prove ends."""
        return sum(
            digest in cut.digests and not cut.refuted
            for cut in self._cuts.values()
        )

    def _expire(self, now: float) -> None:
        if now < self._expire_at:
            return
        self._expire_at = now + _EXPIRE_S
        for incarnation, cut in list(self._cuts.items()):
            if now - cut.at > _CUT_KEPT_S:
                del self._cuts[incarnation]
        for digest, record in list(self._records.items()):
            is_few = len(record.ended) < CULPRIT_MIN_ENDS
            kept_s = _FORGET_FEW_S if is_few else _FORGET_S
            if now - record.last_at > kept_s:
                self.clear(digest)

    def _drop_oldest(self) -> None:
        """Keeps no more suspects than are of use."""
        if len(self._records) <= _MOST_SUSPECTS:
            return
        self.clear(
            min(
                self._records,
                key=lambda each: (
                    len(self._records[each].ended),
                    self._records[each].last_at,
                ),
            )
        )
