"""Which targets are to load new weights next.

A load takes its target out of service, and too many at once slow each other
down, so only a share of a pool loads at the same time. What counts towards that
share is what may be loading: a target whose order was just sent, and one that
has confirmed it. A target that is lost or leaves orders unanswered counts for a
moment only, and is tried again later, so that it does not hold up the others.
While targets are lost fewer load at once, one at least: the pool serves with
what is left.
"""

from __future__ import annotations

from collections.abc import Collection
from collections.abc import Sequence
import enum
import math
from typing import NamedTuple

from hillthread.state.routing import placement
from hillthread.state.targets import target_list
from hillthread.state.targets import weights as weights_lib

__all__ = [
    "LoadOutcome",
    "LoadStage",
    "RolloutPlan",
    "max_concurrent_loads",
    "targets_behind",
    "rank_for_rollout",
]

# More loads than this share of a pool at once slow each other down: 2 of 5,
# 18 of 45 and 28 of 70 on the users' sheets.
_AT_ONCE_SHARE = 0.4
# A target that was not reached is asked again after this time, which doubles.
_BACK_OFF_S = 0.3
_MOST_BACK_OFF_S = 2.4


class LoadOutcome(enum.StrEnum):
    """How the load of one target ended."""

    HELD = "held"
    OVERTAKEN = "overtaken"
    NO_ROOM = "no_room"
    NO_LEASE = "no_lease"
    NO_REPORT = "no_report"
    UNANSWERED = "unanswered"
    NOT_TAKEN = "not_taken"
    OTHER_INCARNATION = "other_incarnation"
    TARGET_GONE = "target_gone"
    RESTARTED = "restarted"
    TOO_LONG = "too_long"
    FAILED = "failed"


class LoadStage(enum.StrEnum):
    """How far a load has come."""

    AWAITING_REPORT = "asked"
    ORDERED = "ordered"
    LOADING = "loading"


# How long a load counts towards the share, from the begin of its stage. A
# sound target reports within some ms; a lost one must not keep others waiting.
_COUNTS_S = {
    LoadStage.AWAITING_REPORT: 0.25,
    LoadStage.ORDERED: 1.0,
    LoadStage.LOADING: 4.0,
}


class _Load(NamedTuple):
    """A load under way.

    Attributes:
        peers: The targets that share the room with it, itself included.
        stage: How far it has come.
        since: Seconds, when that stage began.
    """

    peers: frozenset[str]
    stage: LoadStage
    since: float


class _Setback(NamedTuple):
    """What came of earlier tries.

    Attributes:
        tries: How many failed in a row.
        until: Seconds; before that, others go first.
        lost: The target was not reached: it is not tried at all before that.
    """

    tries: int
    until: float
    lost: bool


class RolloutPlan:
    """Which loads are under way, and which begin next."""

    def __init__(self):
        self._loads: dict[str, _Load] = {}
        self._setbacks: dict[str, _Setback] = {}
        self._gone: set[str] = set()

    @property
    def loading(self) -> Collection[str]:
        """The targets whose loads have begun and not ended."""
        return self._loads.keys()

    def next_targets(
        self,
        members: Sequence[target_list.ListedTarget],
        model: str,
        board: weights_lib.WeightsTracker,
        lost: Collection[str],
        now: float,
    ) -> list[target_list.ListedTarget]:
        """Returns the targets whose loads may begin now.

        The oldest weights go first: starts on them are forbidden first.

        Args:
            members: All targets of a pool.
            model: The model whose weights they are to hold.
            board: Which weights are named and held.
            lost: Targets that serve nobody, as others have found.
            now: Seconds.
        """
        living = self.unreplaced_names(members)
        room = self._room(living, lost, now)
        if room <= 0:
            return []
        free = [
            entry
            for entry in targets_behind(members, model, board)
            if entry.target.name in living
            and self._may_begin(entry.target.name, now)
        ]
        free.sort(key=lambda entry: self._urgency(entry, model, board, now))
        return free[:room]

    def unreplaced_names(
        self, members: Sequence[target_list.ListedTarget]
    ) -> frozenset[str]:
        """Returns the targets but those that another one has replaced.

        The entry of a lost target outlives it: its replacement answers at the
        same address, and its load must not count twice. What comes later in the
        list replaces what comes before, unless it is known to be gone.
        """
        by_address = {
            entry.target.address: entry.target.name
            for entry in members
            if entry.target.name not in self._gone
        }
        return frozenset(by_address.values())

    def begin_load(
        self, target: str, peers: Collection[str], now: float
    ) -> None:
        """Notes that the load of a target begins: its report is awaited."""
        self._loads[target] = _Load(
            frozenset(peers), LoadStage.AWAITING_REPORT, now
        )

    def reserve_slot(self, target: str, now: float) -> bool:
        """Returns whether the target may be ordered now.

        Others may have begun while its report was awaited.
        """
        load = self._loads[target]
        others = self._count(load.peers - {target}, now)
        if others >= max_concurrent_loads(len(load.peers)):
            return False
        self.set_stage(target, LoadStage.ORDERED, now)
        return True

    def set_stage(self, target: str, stage: LoadStage, now: float) -> None:
        """Notes how far a load has come."""
        load = self._loads[target]
        if load.stage is not stage:
            self._loads[target] = load._replace(stage=stage, since=now)

    def end_load(self, target: str, end: LoadOutcome, now: float) -> None:
        """Notes that a load has ended."""
        self._loads.pop(target, None)
        match end:
            case (
                LoadOutcome.HELD | LoadOutcome.OVERTAKEN | LoadOutcome.RESTARTED
            ):
                self._setbacks.pop(target, None)
            case LoadOutcome.TARGET_GONE | LoadOutcome.OTHER_INCARNATION:
                self._setbacks.pop(target, None)
                self._gone.add(target)
            case LoadOutcome.NO_REPORT | LoadOutcome.FAILED:
                self._set_back(target, now, lost=True)
            case (
                LoadOutcome.UNANSWERED
                | LoadOutcome.NOT_TAKEN
                | LoadOutcome.TOO_LONG
            ):
                self._set_back(target, now, lost=False)
            case LoadOutcome.NO_ROOM | LoadOutcome.NO_LEASE:
                pass

    def keep_only(self, names: Collection[str]) -> None:
        """Forgets what is known of targets that are not listed any more."""
        self._gone &= set(names)
        for target in [name for name in self._setbacks if name not in names]:
            del self._setbacks[target]

    def _room(
        self, names: Collection[str], lost: Collection[str], now: float
    ) -> int:
        """Returns how many more loads may begin among some targets."""
        out = sum(name in lost or self._is_lost(name) for name in names)
        limit = max(1, max_concurrent_loads(len(names)) - out)
        return limit - self._count(names, now)

    def _count(self, names: Collection[str], now: float) -> int:
        """Returns how many of some targets may be loading."""
        return sum(
            name in names and self._counts(name, load, now)
            for name, load in self._loads.items()
        )

    def _counts(self, name: str, load: _Load, now: float) -> bool:
        if load.stage is LoadStage.AWAITING_REPORT and self._is_lost(name):
            return False
        return now - load.since < _COUNTS_S[load.stage]

    def _is_lost(self, name: str) -> bool:
        setback = self._setbacks.get(name)
        return setback is not None and setback.lost

    def _may_begin(self, target: str, now: float) -> bool:
        if target in self._loads:
            return False
        setback = self._setbacks.get(target)
        return setback is None or not setback.lost or now >= setback.until

    def _urgency(
        self,
        entry: target_list.ListedTarget,
        model: str,
        board: weights_lib.WeightsTracker,
        now: float,
    ) -> tuple[bool, int]:
        """Returns a key that sorts the most urgent first.

        The order among equals is that of the wave, which sorting keeps.
        """
        target = entry.target.name
        setback = self._setbacks.get(target)
        waits = setback is not None and now < setback.until
        return waits, board.held_version(target, model) or 0

    def _set_back(self, target: str, now: float, lost: bool) -> None:
        before = self._setbacks.get(target)
        tries = before.tries + 1 if before is not None else 1
        back_off_s = min(_MOST_BACK_OFF_S, _BACK_OFF_S * 2 ** (tries - 1))
        self._setbacks[target] = _Setback(tries, now + back_off_s, lost)


def max_concurrent_loads(targets: int) -> int:
    """Returns how many of a pool's targets may load at the same time."""
    return max(1, math.ceil(targets * _AT_ONCE_SHARE))


def rank_for_rollout(
    model: str, version: int, names: Collection[str]
) -> list[str]:
    """Returns targets in the order of their loads, the same on all hosts."""
    return placement.rank_by_rendezvous(f"{model}/{version}".encode(), names)


def targets_behind(
    entries: Sequence[target_list.ListedTarget],
    model: str,
    board: weights_lib.WeightsTracker,
) -> list[target_list.ListedTarget]:
    """Returns the targets that hold older weights than named, in order.

    A target of the pool that does not list the model does not serve it.
    """
    named = board.newest.get(model)
    if named is None:
        return []
    behind = {
        entry.target.name: entry
        for entry in entries
        if model in entry.weights and board.is_behind(entry.target.name, model)
    }
    order = rank_for_rollout(model, named.version, behind)
    return [behind[name] for name in order]
