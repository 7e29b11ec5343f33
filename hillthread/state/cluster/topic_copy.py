"""This host's copy of a keyed topic: the newest of each key, and what changed.

Other hosts of the data centre may read from the copy in place of the store, so
it keeps some history.
"""

from __future__ import annotations

import collections
from collections.abc import Callable
from collections.abc import Sequence
from typing import NamedTuple

from hillthread.state.cluster import position as position_lib

__all__ = ["Replacement", "TopicCopy", "TopicRecord"]

# Changes kept for readers that lag; a slower one is given the whole copy.
_MAX_HISTORY = 2_000


class TopicRecord(NamedTuple):
    """One record of a keyed topic.

    Attributes:
        key: What it is about.
        value: Its bytes; none when the key was removed.
        position: Its place in the topic.
    """

    key: str
    value: bytes
    position: position_lib.Position


class Replacement(NamedTuple):
    """What a whole reading of a topic has changed.

    Attributes:
        changes: What is new or was removed.
        lost: Keys that are kept though the topic lacks them, or has older
            values.
    """

    changes: list[TopicRecord]
    lost: list[str]


class TopicCopy:
    """The newest record of each key.

    Attributes:
        position: Of the next record; None before the first read.
        newest: By key; removed keys are not in it.
    """

    def __init__(self):
        self.position: position_lib.Position | None = None
        self.newest: dict[str, TopicRecord] = {}
        self._era = 0
        self._history: collections.deque[TopicRecord] = collections.deque()
        self._history_from = position_lib.Position(0, 0)

    def is_restored_by(self, era: int) -> bool:
        """Returns whether a reading of an era replaces one of an older era."""
        return bool(self.newest) and era > self._era

    def replace(
        self, records: Sequence[TopicRecord], end: position_lib.Position
    ) -> list[TopicRecord]:
        """Takes over the newest record of every key.

        Args:
            records: All there are.
            end: Of the next record.

        Returns:
            What is new or was removed.
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
        self._begin_at(end)
        return changes

    def restore(
        self,
        records: Sequence[TopicRecord],
        end: position_lib.Position,
        is_older: Callable[[TopicRecord, TopicRecord], bool],
        keeps_missing: bool,
    ) -> Replacement:
        """Takes over a topic that was restored from an older copy.

        What the topic has an older value of is kept: it may be written again,
        and any record that follows in this era replaces it.

        Args:
            records: The newest record of every key.
            end: Of the next record.
            is_older: Returns whether the first of two records is older.
            keeps_missing: Keys that the topic lacks are kept, too; otherwise
                they count as removed.

        Returns:
            What is new or was removed, and what the restored topic has lost.
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
        self._begin_at(end)
        return Replacement(changes, lost)

    def add(self, record: TopicRecord) -> bool:
        """Takes over the next record; returns whether it is new."""
        offset = record.position.offset
        self.position = record.position._replace(offset=offset + 1)
        # Also one that is known already: whoever reads from here may not.
        self._history.append(record)
        if len(self._history) > _MAX_HISTORY:
            dropped = self._history.popleft().position
            self._history_from = dropped._replace(offset=dropped.offset + 1)
        if not self._is_new(record):
            return False
        self._store(record)
        return True

    def advance(self, position: position_lib.Position) -> None:
        """Skips records that cannot be read."""
        self.position = max(self.position or position, position)

    def list_since(
        self, start: position_lib.Position
    ) -> list[TopicRecord] | None:
        """Returns the records from `start` on; None when some are not kept."""
        if self.position is None or start.era != self.position.era:
            return None
        if start < self._history_from:
            return None
        return [record for record in self._history if record.position >= start]

    def _begin_at(self, end: position_lib.Position) -> None:
        self._history.clear()
        self._history_from = end
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
