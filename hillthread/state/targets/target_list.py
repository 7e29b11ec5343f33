"""Tracks listed targets and how long a missing entry is trusted.

An entry disappears if its target has left or if the platform's store was
unavailable and the entry lapsed. After an outage the entries of live targets
come back within `relist_grace_s`. Until then a missing entry is kept, and the
target's own answers show whether it is alive.

A target may restart under the same name. Its start time distinguishes its
incarnations: a later one holds nothing of what an earlier one held, and late
reports about the earlier one are ignored. An incarnation that was seen leaving
never comes back.

A target that crashed stays listed until its entry lapses, while its replacement
answers at the same address. Of the targets with one address, the one listed
last is live, and the others get no work. Where the order of listing is not
known (in the first read, and around an outage or a restoration of the store,
when old entries may come back), start times decide if both targets report them;
otherwise both are used. A wrong decision does not last: only a live target
writes its entry again, so the target that does so while the other one does not
is the live one; and a target that answers names itself.
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
    "Replacement",
    "TargetChange",
    "TargetList",
    "incarnation_key",
]

_FOREVER = float("inf")
# Writes of a replaced target's entry, without one of its replacement's, after
# which it is the live one. A single write may have been delayed and predate the
# crash of the target.
_LIVE_WRITES = 2


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
        release: Version of its software; empty if the target does not report
            it.
    """

    target: objects.Target
    leaving: bool = False
    weights: Mapping[str, int] = {}
    born_ms: int = 0
    release: str = ""


class Replacement(NamedTuple):
    """Why a target counts as replaced.

    Attributes:
        by: Name of the live target at its address.
        born_ms: Known start time of the replaced target; 0 if none is known.
    """

    by: str
    born_ms: int


class _Writer(NamedTuple):
    """The target that last wrote its entry, of those with one address.

    Attributes:
        name: Its name.
        writes: Number of its last writes without one of another target.
    """

    name: str
    writes: int


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
        is_read: Whether the whole list was read once. Targets listed from then
            on are later than those listed before.
        replaced: Listed targets whose address a live target has, by name.
    """

    def __init__(self, relist_grace_s: float, max_missing_s: float = _FOREVER):
        self.relist_grace_s = relist_grace_s
        self.max_missing_s = max_missing_s
        self.entries: dict[str, ListedTarget] = {}
        self.leaving: set[str] = set()
        self.born_ms: dict[str, int] = {}
        self.is_read = False
        self.replaced: dict[str, Replacement] = {}
        self._writers: dict[str, _Writer] = {}
        self._listed_starts: dict[str, int] = {}
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

    def put(
        self,
        entry: ListedTarget,
        now: float = _FOREVER,
        is_written_now: bool = True,
    ) -> TargetChange:
        """Adds or updates an entry and returns what that changed.

        Args:
            entry: The entry, which has been written again even if it is equal.
            now: Current time, seconds. Entries that are new around an outage
                or a restoration of the store may be old ones.
            is_written_now: Whether the entry has just been written, so that
                it is later than the others.
        """
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
        is_later = is_written_now and not self._may_have_lapsed(now)
        self._update_replaced(entry, before, restarted, is_later)
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

    def undo_replacements(self, name: str) -> None:
        """Undoes the replacements by an entry that was not a target's."""
        for other, replacement in list(self.replaced.items()):
            if replacement.by == name:
                del self.replaced[other]
        self._clear_caches()

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

    def listed_addresses(self) -> set[str]:
        """Returns the addresses of all targets that are listed."""
        return {
            entry.target.address
            for name, entry in self.entries.items()
            if not self.is_missing(name)
        }

    def is_replaced(self, name: str) -> bool:
        """Returns whether a listed target ended and another has its address."""
        return name in self.replaced

    def confirm_live(self, name: str, address: str) -> None:
        """Records that a target named itself in an answer from an address."""
        entry = self.entries.get(name)
        if name in self.replaced and entry and entry.target.address == address:
            self._make_live(entry)

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
                and entry.target.name not in self.replaced
                and selector.matches(entry.target.labels)
                and (entry.weights or not pool.models)
            ]
        return members

    def _may_have_lapsed(self, now: float) -> bool:
        return (
            self._is_store_lost
            or now - self._store_back_at <= self.relist_grace_s
        )

    def _update_replaced(
        self,
        entry: ListedTarget,
        before: ListedTarget | None,
        restarted: bool,
        is_later: bool,
    ) -> None:
        """Updates which targets are replaced after an entry was written."""
        name = entry.target.name
        address = entry.target.address
        came_back = (
            before is None and self._listed_starts.get(name) == entry.born_ms
        )
        self._listed_starts[name] = entry.born_ms
        if before is not None and before.target.address != address:
            self._end_replacement(name, before.target.address)
            before = None
        if before is not None and not restarted:
            self._count_write(entry)
        elif self.is_read and not came_back and is_later:
            self._make_live(entry)
        else:
            self._compare_starts(entry)

    def _count_write(self, entry: ListedTarget) -> None:
        """Counts a write; makes a replaced target live that has proven it."""
        name = entry.target.name
        address = entry.target.address
        writer = self._writers.get(address)
        if writer is None:
            return
        writes = writer.writes + 1 if writer.name == name else 1
        self._writers[address] = _Writer(name, writes)
        replacement = self.replaced.get(name)
        if replacement is None:
            return
        successor = self.entries.get(replacement.by)
        if (
            successor is None
            or successor.target.address != address
            or self.is_missing(replacement.by)
            or writes >= _LIVE_WRITES
            or 0 < replacement.born_ms < entry.born_ms
        ):
            self._make_live(entry)

    def _make_live(self, entry: ListedTarget) -> None:
        """Makes a target the live one at its address."""
        if self.replaced.pop(entry.target.name, None) is not None:
            self._clear_caches()
        for other in self._others_at_address(entry):
            self._replace(other, entry)

    def _compare_starts(self, entry: ListedTarget) -> None:
        """Decides by start times which targets at an address are replaced."""
        for other in self._others_at_address(entry):
            if 0 < other.born_ms < entry.born_ms:
                self._replace(other, entry)
            elif 0 < entry.born_ms < other.born_ms:
                self._replace(entry, other)

    def _others_at_address(self, entry: ListedTarget) -> list[ListedTarget]:
        return [
            other
            for other in self.entries.values()
            if other.target.address == entry.target.address
            and other.target.name != entry.target.name
        ]

    def _replace(self, ended: ListedTarget, live: ListedTarget) -> None:
        self.replaced[ended.target.name] = Replacement(
            live.target.name, ended.born_ms
        )
        self._writers[live.target.address] = _Writer(live.target.name, 1)
        self._clear_caches()

    def _end_replacement(self, name: str, address: str) -> None:
        """Discards what is known of a target that is no more at an address."""
        self.replaced.pop(name, None)
        if not any(
            self.entries[other].target.address == address
            for other in self.replaced
        ):
            self._writers.pop(address, None)

    def _clear_caches(self) -> None:
        """Clears the data derived from the entries."""
        self._pool_members.clear()
        self._names_by_key.clear()

    def _drop(self, name: str) -> None:
        entry = self.entries.pop(name, None)
        if entry is not None:
            self._end_replacement(name, entry.target.address)
        self._drop_at.pop(name, None)
        self._clear_caches()


def incarnation_key(name: str, born_ms: int) -> int:
    """Returns the key by which hosts identify one start of a target."""
    return zlib.crc32(f"{name}/{born_ms}".encode())
