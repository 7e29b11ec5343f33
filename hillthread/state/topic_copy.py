"""This host's copy of a keyed topic: the newest of each key, and what changed.

Other hosts of the data centre may read from the copy in place of the store, so
it keeps some history.
"""

from __future__ import annotations

import collections
from collections.abc import Sequence
from typing import NamedTuple

__all__ = ["TopicCopy", "TopicRecord"]

# Changes kept for readers that lag; a slower one is given the whole copy.
_MAX_HISTORY = 2_000


class TopicRecord(NamedTuple):
    """One record of a keyed topic.

    Attributes:
        key: What it is about.
        value: Its bytes; none when the key was removed.
        offset: Its place in the topic.
    """

    key: str
    value: bytes
    offset: int


class TopicCopy:
    """The newest record of each key.

    Attributes:
        position: Offset of the next record; None before the first read.
        newest: By key; removed keys are not in it.
    """

    def __init__(self):
        self.position: int | None = None
        self.newest: dict[str, TopicRecord] = {}
        self._history: collections.deque[TopicRecord] = collections.deque()
        self._history_from = 0

    def replace(
        self, records: Sequence[TopicRecord], end: int
    ) -> list[TopicRecord]:
        """Takes in the newest record of every key.

        Args:
            records: All there are.
            end: Offset of the next record.

        Returns:
            What is new or was removed.
        """
        listed = {record.key for record in records}
        changes = [
            TopicRecord(key, b"", end - 1)
            for key in self.newest
            if key not in listed
        ]
        changes += [each for each in records if self._is_new(each)]
        for change in changes:
            self._store(change)
        self._history.clear()
        self._history_from = end
        self.position = end
        return changes

    def add(self, record: TopicRecord) -> bool:
        """Takes in the next record; returns whether it is new."""
        self.position = record.offset + 1
        # Also one that is known already: whoever reads from here may not.
        self._history.append(record)
        if len(self._history) > _MAX_HISTORY:
            dropped = self._history.popleft()
            self._history_from = dropped.offset + 1
        if not self._is_new(record):
            return False
        self._store(record)
        return True

    def advance(self, position: int) -> None:
        """Passes over records that cannot be read."""
        self.position = max(self.position or 0, position)

    def since(self, start: int) -> list[TopicRecord] | None:
        """Returns the records from `start` on; None when some are not kept."""
        if start < self._history_from:
            return None
        return [record for record in self._history if record.offset >= start]

    def _is_new(self, record: TopicRecord) -> bool:
        before = self.newest.get(record.key)
        return before is None or record.offset > before.offset

    def _store(self, record: TopicRecord) -> None:
        if record.value:
            self.newest[record.key] = record
        else:
            self.newest.pop(record.key, None)
