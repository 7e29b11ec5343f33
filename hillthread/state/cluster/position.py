"""Positions in a log whose store may be restored from an older copy."""

from __future__ import annotations

from typing import NamedTuple

__all__ = ["Position"]


class Position(NamedTuple):
    """An offset and the era in which it was assigned.

    A restored store assigns offsets again, so they order records within one era
    only. Positions compare by era first.

    Attributes:
        era: Number of restorations of the store; 0 for a store that does not
            count them.
        offset: Offset in the topic; -1 for the position before all records of
            an era.
    """

    era: int
    offset: int
