"""Local copy of a keyed topic: the newest record of each key and a history.

Other hosts of the data centre may read from the copy instead of the store; the
history lets them catch up from an earlier position.
"""

from __future__ import annotations

import collections
from collections.abc import Callable
from collections.abc import Sequence
from typing import NamedTuple

from hillthread.state.cluster import position as position_lib

__all__ = ["Replacement", "TopicCopy", "TopicRecord"]

# Records kept for readers that lag; a reader further behind gets the whole
# copy.
_MAX_HISTORY_RECORDS = 2_000


class TopicRecord(NamedTuple):
    """One record of a keyed topic.

    Attributes:
        key: Key of the record.
        value: Content of the record; empty when the key was removed.
        position: Position of the record in the topic.
    """

    key: str
    value: bytes
    position: position_lib.Position


class Replacement(NamedTuple):
    """Result of replacing the copy by a restored topic.

    Attributes:
        changes: Records that are new, and empty records of removed keys.
        lost: Keys whose records are kept, although the topic lacks them or has
            older values.
    """

    changes: list[TopicRecord]
    lost: list[str]


class TopicCopy:
    """The newest record of each key.

    Attributes:
        position: Position of the next record; None before the first read.
        newest: The newest records by key, without removed keys.
    """

    def __init__(self):
        self.position: position_lib.Position | None = None
        self.newest: dict[str, TopicRecord] = {}
        self._era = 0
        self._history: collections.deque[TopicRecord] = collections.deque()
        self._history_start = position_lib.Position(0, 0)

    def is_restored_by(self, era: int) -> bool:
        """Returns whether the copy's records are of an era before `era`."""
        return bool(self.newest) and era > self._era

    def replace(
        self, records: Sequence[TopicRecord], end: position_lib.Position
    ) -> list[TopicRecord]:
        """Replaces the copy by the newest record of every key.

        Args:
            records: The newest record of every key.
            end: Position of the next record.

        Returns:
            Records that are new, and empty records of removed keys.
        """
        listed = {record.key for record in records}
        last = end._replace(offset=end.offset - 1)
        changes = [
            TopicRecord(key, b"", last)
            for key in self.newest
            if key not in listed
        ]
        changes += [each for each in records if self._is_new(each)]
        for change in changes:
            self._store(change)
        self._restart_history(end)
        return changes

    def restore(
        self,
        records: Sequence[TopicRecord],
        end: position_lib.Position,
        is_older: Callable[[TopicRecord, TopicRecord], bool],
        keeps_missing: bool,
    ) -> Replacement:
        """Replaces the copy by a topic that was restored from an older copy.

        A record of which the topic has an older value is kept: it may be
        written again, and any later record of this era replaces it.

        Args:
            records: The newest record of every key.
            end: Position of the next record.
            is_older: Returns whether the first of two records is older.
            keeps_missing: Whether keys that the topic lacks are kept, too;
                otherwise they count as removed.

        Returns:
            The changes, and the keys that the restored topic has lost.
        """
        restored = {record.key: record for record in records}
        before_all = end._replace(offset=-1)
        lost = []
        changes = []
        for key, known in self.newest.items():
            record = restored.get(key)
            if record is None and not keeps_missing:
                changes.append(TopicRecord(key, b"", before_all))
            elif record is None or is_older(record, known):
                lost.append(key)
                restored[key] = known._replace(position=before_all)
            elif record.value != known.value:
                changes.append(record)
        changes += [each for each in records if each.key not in self.newest]
        self.newest = restored
        self._restart_history(end)
        return Replacement(changes, lost)

    def add(self, record: TopicRecord) -> bool:
        """Adds the next record and returns whether it is new."""
        offset = record.position.offset
        self.position = record.position._replace(offset=offset + 1)
        # A known record is added, too: readers of this copy may not have it.
        self._history.append(record)
        if len(self._history) > _MAX_HISTORY_RECORDS:
            dropped = self._history.popleft().position
            self._history_start = dropped._replace(offset=dropped.offset + 1)
        if not self._is_new(record):
            return False
        self._store(record)
        return True

    def advance(self, position: position_lib.Position) -> None:
        """Skips records that cannot be decoded."""
        self.position = max(self.position or position, position)

    def list_since(
        self, start: position_lib.Position
    ) -> list[TopicRecord] | None:
        """Returns the records from `start` on, or None if some were dropped."""
        if self.position is None or start.era != self.position.era:
            return None
        if start < self._history_start:
            return None
        return [record for record in self._history if record.position >= start]

    def _restart_history(self, end: position_lib.Position) -> None:
        self._history.clear()
        self._history_start = end
        self.position = end
        self._era = end.era

    def _is_new(self, record: TopicRecord) -> bool:
        before = self.newest.get(record.key)
        return before is None or record.position > before.position

    def _store(self, record: TopicRecord) -> None:
        if record.value:
            self.newest[record.key] = record
        else:
            self.newest.pop(record.key, None)
