"""Which targets are to load new weights next."""

from __future__ import annotations

from collections.abc import Collection
from collections.abc import Sequence
import math

from hillthread.state import placement
from hillthread.state import target_list
from hillthread.state import weights as weights_lib

__all__ = [
    "loads_at_once",
    "targets_behind",
    "wave_order",
]

# More loads than this share of a pool at once slow each other down: 2 of 5,
# 18 of 45 and 28 of 70 on the users' sheets.
_AT_ONCE_SHARE = 0.4


def loads_at_once(targets: int) -> int:
    """Returns how many of a pool's targets may load at the same time."""
    return max(1, math.ceil(targets * _AT_ONCE_SHARE))


def wave_order(model: str, version: int, names: Collection[str]) -> list[str]:
    """Returns targets in the order of their loads, the same on all hosts."""
    return placement.rank_by_rendezvous(f"{model}/{version}".encode(), names)


def targets_behind(
    entries: Sequence[target_list.ListedTarget],
    model: str,
    board: weights_lib.WeightsBoard,
) -> list[target_list.ListedTarget]:
    """Returns the targets that hold older weights than named, in order."""
    named = board.named.get(model)
    if named is None:
        return []
    behind = {
        entry.target.name: entry
        for entry in entries
        if board.is_behind(entry.target.name, model)
    }
    order = wave_order(model, named.version, behind)
    return [behind[name] for name in order]
