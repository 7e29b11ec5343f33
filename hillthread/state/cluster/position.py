"""Places in a log whose store may be restored from an older copy."""

from __future__ import annotations

from typing import NamedTuple

__all__ = ["Position"]


class Position(NamedTuple):
    """An offset and the era in which it was given out.

    Offsets are given out again after a restoration, so they order records
    within one era only; positions compare by era first.

    Attributes:
        era: Restorations of the store so far; 0 for a store that counts none.
        offset: Place in the topic; -1 for what precedes all records of an era.
    """

    era: int
    offset: int
