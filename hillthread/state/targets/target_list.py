"""Tracks listed targets and how long a missing entry is trusted.

An entry disappears if its target has left or if the platform's store was
unavailable and the entry lapsed. After an outage the entries of live targets
come back within `relist_grace_s`. Until then a missing entry is kept, and the
target's own answers show whether it is alive.

A target may restart under the same name. Its start time distinguishes its
incarnations: a later one holds nothing of what an earlier one held, and late
reports about the earlier one are ignored. An incarnation that was seen leaving
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
    """How an update changed a target's entry."""

    UNCHANGED = "none"
    ADDED = "come"
    CHANGED = "changed"
    RESTARTED = "restarted"
    LEAVING = "leaving"
    MISSING = "missing"
    GONE = "gone"


class ListedTarget(NamedTuple):
    """An entry of the platform's list.

    Attributes:
        target: Identity, labels and address of the target.
        leaving: Whether it ends soon and must get no new work.
        weights: Version of the weights that it holds, by model.
        born_ms: Start time, Unix milliseconds; 0 if the target does not report
            it.
    """

    target: objects.Target
    leaving: bool = False
    weights: Mapping[str, int] = {}
    born_ms: int = 0


class TargetList:
    """Tracks the targets that exist.

    Attributes:
        relist_grace_s: Seconds after an outage in which lapsed entries come
            back.
        max_missing_s: Longest time that a missing entry is kept, also in an
            outage, seconds.
        entries: All targets that are listed or still trusted, by name.
        leaving: Names whose incarnation was seen leaving; this is final for the
            incarnation.
        born_ms: Latest known start time by name, for targets that reported one.
    """

    def __init__(self, relist_grace_s: float, max_missing_s: float = _FOREVER):
        self.relist_grace_s = relist_grace_s
        self.max_missing_s = max_missing_s
        self.entries: dict[str, ListedTarget] = {}
        self.leaving: set[str] = set()
        self.born_ms: dict[str, int] = {}
        self._drop_at: dict[str, float] = {}
        self._pool_members: dict[str, list[ListedTarget]] = {}
        self._names_by_key: dict[int, str] = {}
        self._is_store_lost = False
        self._store_back_at = -_FOREVER

    def store_lost(self) -> None:
        """Records that the list cannot be read."""
        self._is_store_lost = True

    def store_back(self, now: float) -> None:
        """Records that the list can be read again."""
        if self._is_store_lost:
            self._is_store_lost = False
            self._store_back_at = now

    def store_restored(self, now: float) -> None:
        """Records that the list reverted to an older copy.

        Entries of live targets that the copy lacks are written again, as after
        an outage.
        """
        self._store_back_at = now

    def put(self, entry: ListedTarget) -> TargetChange:
        """Adds or updates an entry and returns what that changed."""
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
            self._clear_caches()
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
        """Returns whether a message is about an earlier incarnation.

        A target that has reported its start time does so in every message; a
        message without it does not come from the target itself.
        """
        return born_ms < self.born_ms.get(name, 0)

    def record_start(self, name: str, born_ms: int) -> bool:
        """Records when a target started.

        Returns:
            Whether it has restarted since its last known start.
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
            self._clear_caches()
        return True

    def name_of(self, key: int) -> str | None:
        """Returns the listed target with an incarnation key, or None."""
        if not self._names_by_key:
            self._names_by_key = {
                incarnation_key(name, entry.born_ms): name
                for name, entry in self.entries.items()
            }
        return self._names_by_key.get(key)

    def key_of(self, name: str) -> int:
        """Returns the incarnation key of a target's latest known start."""
        return incarnation_key(name, self.born_ms.get(name, 0))

    def withdraw(self, name: str) -> TargetChange:
        """Drops a target whose entry does not describe a target any more."""
        if name not in self.entries:
            return TargetChange.UNCHANGED
        self._drop(name)
        return TargetChange.GONE

    def remove(self, name: str, now: float) -> TargetChange:
        """Records that an entry is missing and returns what that changed."""
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
        """Drops entries that stayed missing and returns their names."""
        due = [name for name, at in self._drop_at.items() if now >= at]
        for name in due:
            self._drop(name)
        return due

    def is_missing(self, name: str) -> bool:
        """Returns whether an entry is kept although it is not listed."""
        return name in self._drop_at

    def mark_leaving(self, name: str) -> bool:
        """Records that a target announced its departure itself.

        Returns:
            Whether that is new.
        """
        if name in self.leaving:
            return False
        self.leaving.add(name)
        entry = self.entries.get(name)
        if entry is not None:
            self.entries[name] = entry._replace(leaving=True)
            self._clear_caches()
        return True

    def members(self, pool: objects.Pool) -> list[ListedTarget]:
        """Returns the targets of a pool that may get new work.

        A target that lists no model cannot serve a pool of models.
        """
        members = self._pool_members.get(pool.target_selector)
        if members is None:
            selector = labels.parse_selector(pool.target_selector)
            members = self._pool_members[pool.target_selector] = [
                entry
                for entry in self.entries.values()
                if not entry.leaving
                and selector.matches(entry.target.labels)
                and (entry.weights or not pool.models)
            ]
        return members

    def _may_have_lapsed(self, now: float) -> bool:
        return (
            self._is_store_lost
            or now - self._store_back_at <= self.relist_grace_s
        )

    def _clear_caches(self) -> None:
        """Clears the data derived from the entries."""
        self._pool_members.clear()
        self._names_by_key.clear()

    def _drop(self, name: str) -> None:
        self.entries.pop(name, None)
        self._drop_at.pop(name, None)
        self._clear_caches()


def incarnation_key(name: str, born_ms: int) -> int:
    """Returns the key by which hosts identify one start of a target."""
    return zlib.crc32(f"{name}/{born_ms}".encode())
