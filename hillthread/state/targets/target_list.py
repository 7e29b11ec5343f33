"""The targets the platform lists, and how long a missing entry is trusted.

Entries vanish for two reasons: the target left, or the platform's store was
away and entries lapsed. After an outage the entries of live targets come back
within `return_s`; until then a missing one is kept, and its own answers tell
whether it lives.

A target may start again under the name it had. The time of its start tells its
incarnations apart: a later one holds nothing of what the earlier one held, and
late word of the earlier one changes nothing. An incarnation once seen leaving
never comes back.
"""

from __future__ import annotations

from collections.abc import Mapping
import enum
from typing import NamedTuple
import zlib

from hillthread.state.config import labels
from hillthread.state.config import objects

__all__ = [
    "ListedTarget",
    "TargetChange",
    "TargetList",
    "incarnation_key",
]

_FOREVER = float("inf")


class TargetChange(enum.StrEnum):
    """What a new entry changed."""

    UNCHANGED = "none"
    ADDED = "come"
    CHANGED = "changed"
    RESTARTED = "restarted"
    LEAVING = "leaving"
    MISSING = "missing"
    GONE = "gone"


class ListedTarget(NamedTuple):
    """One entry of the platform's list.

    Attributes:
        target: What it is, and where.
        leaving: It ends soon and must get no new work.
        weights: Version of the weights it holds, by model.
        born_ms: Unix milliseconds of its start; 0 when it does not tell.
    """

    target: objects.Target
    leaving: bool = False
    weights: Mapping[str, int] = {}
    born_ms: int = 0


class TargetList:
    """Which targets there are.

    Attributes:
        return_s: Seconds after an outage in which lapsed entries come back.
        hold_s: Seconds a missing entry is kept at most, also in an outage.
        entries: All targets that are listed or still trusted, by name.
        leaving: Names whose incarnation was seen leaving; it stays so.
        born_ms: The latest start known of each name that told one.
    """

    def __init__(self, relist_grace_s: float, max_missing_s: float = _FOREVER):
        self.relist_grace_s = relist_grace_s
        self.max_missing_s = max_missing_s
        self.entries: dict[str, ListedTarget] = {}
        self.leaving: set[str] = set()
        self.born_ms: dict[str, int] = {}
        self._drop_at: dict[str, float] = {}
        self._members: dict[str, list[ListedTarget]] = {}
        self._names: dict[int, str] = {}
        self._away = False
        self._back_at = -_FOREVER

    def store_lost(self) -> None:
        """Notes that the list cannot be read."""
        self._away = True

    def store_back(self, now: float) -> None:
        """Notes that the list can be read again."""
        if self._away:
            self._away = False
            self._back_at = now

    def store_restored(self, now: float) -> None:
        """Notes that the list went back to an older copy.

        Entries of live targets that it lacks are written again, as after an
        outage.
        """
        self._back_at = now

    def put(self, entry: ListedTarget) -> TargetChange:
        """Takes in an entry and returns what it changed."""
        name = entry.target.name
        if self.is_earlier_incarnation(name, entry.born_ms):
            return TargetChange.UNCHANGED
        restarted = self.record_start(name, entry.born_ms)
        self._drop_at.pop(name, None)
        if name in self.leaving:
            entry = entry._replace(leaving=True)
        before = self.entries.get(name)
        self.entries[name] = entry
        if before != entry:
            self._note_change()
        if restarted and before is not None:
            return TargetChange.RESTARTED
        if entry.leaving:
            self.leaving.add(name)
            if before is None or not before.leaving:
                return TargetChange.LEAVING
        if before is None:
            return TargetChange.ADDED
        if before == entry:
            return TargetChange.UNCHANGED
        return TargetChange.CHANGED

    def is_earlier_incarnation(self, name: str, born_ms: int) -> bool:
        """Returns whether word is of an incarnation before the one known.

        A target that has told of its start does so in all that it says: word
        without it is not the target's own.
        """
        return born_ms < self.born_ms.get(name, 0)

    def record_start(self, name: str, born_ms: int) -> bool:
        """Takes in when a target started.

        Returns:
            Whether it has started again since it was last heard of.
        """
        known_ms = self.born_ms.get(name, 0)
        if born_ms <= known_ms:
            return False
        self.born_ms[name] = born_ms
        if not known_ms:
            return False
        self.leaving.discard(name)
        entry = self.entries.get(name)
        if entry is not None:
            self.entries[name] = entry._replace(leaving=False, born_ms=born_ms)
            self._note_change()
        return True

    def name_of(self, key: int) -> str | None:
        """Returns the listed target with an incarnation key, or None."""
        if not self._names:
            self._names = {
                incarnation_key(name, entry.born_ms): name
                for name, entry in self.entries.items()
            }
        return self._names.get(key)

    def key_of(self, name: str) -> int:
        """Returns the incarnation key of a target, as it is known here."""
        return incarnation_key(name, self.born_ms.get(name, 0))

    def withdraw(self, name: str) -> TargetChange:
        """Drops a target whose entry names none any more."""
        if name not in self.entries:
            return TargetChange.UNCHANGED
        self._drop(name)
        return TargetChange.GONE

    def remove(self, name: str, now: float) -> TargetChange:
        """Notes that an entry is missing and returns what that changed."""
        entry = self.entries.get(name)
        if entry is None:
            return TargetChange.UNCHANGED
        if entry.leaving or not self._may_have_lapsed(now):
            self._drop(name)
            return TargetChange.GONE
        if name in self._drop_at:
            return TargetChange.UNCHANGED
        self._drop_at[name] = now + min(self.max_missing_s, self.relist_grace_s)
        return TargetChange.MISSING

    def expire(self, now: float) -> list[str]:
        """Drops entries that stayed missing; returns their names."""
        due = [name for name, at in self._drop_at.items() if now >= at]
        for name in due:
            self._drop(name)
        return due

    def is_missing(self, name: str) -> bool:
        """Returns whether an entry is kept though it is not listed."""
        return name in self._drop_at

    def mark_leaving(self, name: str) -> bool:
        """Notes that a target said itself that it leaves.

        Returns:
            Whether that is news.
        """
        if name in self.leaving:
            return False
        self.leaving.add(name)
        entry = self.entries.get(name)
        if entry is not None:
            self.entries[name] = entry._replace(leaving=True)
            self._note_change()
        return True

    def members(self, pool: objects.Pool) -> list[ListedTarget]:
        """Returns the targets of a pool that may get new work.

        One that lists no model cannot serve a pool of models.
        """
        members = self._members.get(pool.target_selector)
        if members is None:
            selector = labels.parse_selector(pool.target_selector)
            members = self._members[pool.target_selector] = [
                entry
                for entry in self.entries.values()
                if not entry.leaving
                and selector.matches(entry.target.labels)
                and (entry.weights or not pool.models)
            ]
        return members

    def _may_have_lapsed(self, now: float) -> bool:
        return self._away or now - self._back_at <= self.relist_grace_s

    def _note_change(self) -> None:
        """Forgets what was worked out from the entries."""
        self._members.clear()
        self._names.clear()

    def _drop(self, name: str) -> None:
        self.entries.pop(name, None)
        self._drop_at.pop(name, None)
        self._note_change()


def incarnation_key(name: str, born_ms: int) -> int:
    """Returns what stands for one start of a target between hosts."""
    return zlib.crc32(f"{name}/{born_ms}".encode())
