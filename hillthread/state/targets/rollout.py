"""Decides which targets load new weights next.

A load takes its target out of service, and too many loads at once slow each
other down, so only a share of a pool loads at the same time. Every target that
may be loading counts towards this share: those that were just sent an order and
those that confirmed it. A target that is lost or leaves orders unanswered
counts only for a short time and is tried again later, so that it does not block
the others. While targets are lost, fewer load at once, but at least one,
because the pool serves with the remaining targets.
"""

from __future__ import annotations

from collections.abc import Callable
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
    "compute_order_delay_s",
    "max_concurrent_loads",
    "rank_for_rollout",
    "targets_behind",
]

# More concurrent loads than this share of a pool slow each other down. It gives
# the limits that the users state: 2 of 5, 18 of 45 and 28 of 70 targets.
_CONCURRENT_LOADS_SHARE = 0.4
# Delay before a target that was not reached is tried again; it doubles with
# each failure up to the maximum.
_FIRST_RETRY_S = 0.3
_MAX_RETRY_S = 2.4
# Time from notifying all hosts that an engine is about to load until its order.
# In the shortest time the notice reaches the hosts, and most requests that wait
# on the engine begin. The engine refuses those that have not begun: with this
# time alone 107 of 1,833 prompts on a day with four versions, and 120 of 150
# refusals with 503 on a day of heavy load. Each is sent once more, so the order
# waits for the queue. With 0.2 s for each load, engines were idle, and other
# queues grew longer; the longest time bounds this.
_MIN_NOTICE_S = 0.06
_MAX_NOTICE_S = 0.3


class LoadOutcome(enum.StrEnum):
    """Outcome of the load of one target.

    Attributes:
        HELD: The target holds the newest weights.
        OVERTAKEN: The load ended, but newer weights have been announced.
        NO_ROOM: Other loads took all slots before the order was sent.
        NO_LEASE: This host does not hold the lease for orders.
        NO_REPORT: The report could not be read, or the order not sent.
        UNANSWERED: No clear answer came, and no report shows the order.
        NOT_TAKEN: The target refused the order.
        OTHER_INCARNATION: Another incarnation answered the order.
        TARGET_GONE: The target is no longer listed.
        RESTARTED: The target has restarted since it was sent the order.
        TOO_LONG: The load did not end within the maximum time.
        FAILED: An error ended the load.
    """

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
    """Stage that a load has reached."""

    AWAITING_REPORT = "asked"
    NOTIFIED = "notified"
    ORDERED = "ordered"
    LOADING = "loading"


# How long a load counts towards the share, from the start of its stage. A
# healthy target reports within some ms; a lost one must not block others.
_STAGE_LIMITS_S = {
    LoadStage.AWAITING_REPORT: 0.25,
    LoadStage.NOTIFIED: 1.0,
    LoadStage.ORDERED: 1.0,
    LoadStage.LOADING: 4.0,
}


class _Load(NamedTuple):
    """A load in progress.

    Attributes:
        peers: Targets that share the concurrency limit with it, itself
            included.
        stage: Stage that it has reached.
        stage_began_at: When that stage began, seconds.
    """

    peers: frozenset[str]
    stage: LoadStage
    stage_began_at: float


class _Setback(NamedTuple):
    """Failed tries to load a target.

    Attributes:
        tries: Number of failed tries in a row.
        deferred_until: Until when other targets go first, seconds.
        lost: Whether the target was not reached; it is then not tried at all
            until that time.
    """

    tries: int
    deferred_until: float
    lost: bool


class RolloutPlan:
    """Tracks the loads in progress and selects the next ones."""

    def __init__(self):
        self._loads: dict[str, _Load] = {}
        self._setbacks: dict[str, _Setback] = {}
        self._gone: set[str] = set()

    @property
    def loading(self) -> Collection[str]:
        """Targets whose loads have begun and not ended."""
        return self._loads.keys()

    def next_targets(
        self,
        members: Sequence[target_list.ListedTarget],
        model: str,
        tracker: weights_lib.WeightsTracker,
        lost: Collection[str],
        now: float,
        queue_s: Callable[[str], float] | None = None,
    ) -> list[target_list.ListedTarget]:
        """Returns the targets whose loads may begin now.

        Targets with the oldest weights go first, because starts on these
        weights are forbidden first. Of these, targets with the shortest queues
        go first, because a load makes requests wait or be sent again.

        Args:
            members: All targets of a pool.
            model: Model whose weights the targets are to load.
            tracker: Announced weights and the weights that targets hold.
            lost: Targets that are out of service, as requests have shown.
            now: Current time, seconds.
            queue_s: Returns the expected queue of a target by name, seconds;
                None if queues are not known.
        """
        current = self.unreplaced_names(members)
        free_slots = self._free_slots(current, lost, now)
        if free_slots <= 0:
            return []
        candidates = [
            entry
            for entry in targets_behind(members, model, tracker)
            if entry.target.name in current
            and self._may_begin(entry.target.name, now)
        ]
        candidates.sort(
            key=lambda entry: (
                self._urgency(entry, model, tracker, now),
                queue_s(entry.target.name) if queue_s else 0.0,
            )
        )
        return candidates[:free_slots]

    def unreplaced_names(
        self, members: Sequence[target_list.ListedTarget]
    ) -> frozenset[str]:
        """Returns the targets that no other target has replaced.

        The entry of a lost target outlives it. Its replacement answers at the
        same address, and its load must not count twice. Later entries replace
        earlier ones with the same address, unless the later one is known to be
        gone.
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
        """Records that a load begins; the target's report is awaited."""
        self._loads[target] = _Load(
            frozenset(peers), LoadStage.AWAITING_REPORT, now
        )

    def reserve_slot(self, target: str, now: float) -> bool:
        """Reserves a slot for an order; returns whether one was free.

        Other loads may have begun while its report was awaited.
        """
        load = self._loads[target]
        others = self._count_loads(load.peers - {target}, now)
        if others >= max_concurrent_loads(len(load.peers)):
            return False
        self.set_stage(target, LoadStage.NOTIFIED, now)
        return True

    def set_stage(self, target: str, stage: LoadStage, now: float) -> None:
        """Records the stage that a load has reached."""
        load = self._loads[target]
        if load.stage is not stage:
            self._loads[target] = load._replace(stage=stage, stage_began_at=now)

    def end_load(self, target: str, outcome: LoadOutcome, now: float) -> None:
        """Records how a load ended."""
        self._loads.pop(target, None)
        match outcome:
            case (
                LoadOutcome.HELD | LoadOutcome.OVERTAKEN | LoadOutcome.RESTARTED
            ):
                self._setbacks.pop(target, None)
            case LoadOutcome.TARGET_GONE | LoadOutcome.OTHER_INCARNATION:
                self._setbacks.pop(target, None)
                self._gone.add(target)
            case LoadOutcome.NO_REPORT | LoadOutcome.FAILED:
                self._record_setback(target, now, lost=True)
            case (
                LoadOutcome.UNANSWERED
                | LoadOutcome.NOT_TAKEN
                | LoadOutcome.TOO_LONG
            ):
                self._record_setback(target, now, lost=False)
            case LoadOutcome.NO_ROOM | LoadOutcome.NO_LEASE:
                pass

    def keep_only(self, names: Collection[str]) -> None:
        """Removes the state of targets that are no longer listed."""
        self._gone &= set(names)
        for target in [name for name in self._setbacks if name not in names]:
            del self._setbacks[target]

    def _free_slots(
        self, names: Collection[str], lost: Collection[str], now: float
    ) -> int:
        """Returns how many more loads may begin among some targets."""
        out_count = sum(name in lost or self._is_lost(name) for name in names)
        limit = max(1, max_concurrent_loads(len(names)) - out_count)
        return limit - self._count_loads(names, now)

    def _count_loads(self, names: Collection[str], now: float) -> int:
        """Returns how many of some targets may be loading."""
        return sum(
            name in names and self._takes_slot(name, load, now)
            for name, load in self._loads.items()
        )

    def _takes_slot(self, name: str, load: _Load, now: float) -> bool:
        if load.stage is LoadStage.AWAITING_REPORT and self._is_lost(name):
            return False
        return now - load.stage_began_at < _STAGE_LIMITS_S[load.stage]

    def _is_lost(self, name: str) -> bool:
        setback = self._setbacks.get(name)
        return setback is not None and setback.lost

    def _may_begin(self, target: str, now: float) -> bool:
        if target in self._loads:
            return False
        setback = self._setbacks.get(target)
        return (
            setback is None or not setback.lost or now >= setback.deferred_until
        )

    def _urgency(
        self,
        entry: target_list.ListedTarget,
        model: str,
        tracker: weights_lib.WeightsTracker,
        now: float,
    ) -> tuple[bool, int]:
        """Returns a sort key that puts the most urgent targets first.

        Sorting is stable, so equal targets stay in load order.
        """
        target = entry.target.name
        setback = self._setbacks.get(target)
        is_waiting = setback is not None and now < setback.deferred_until
        return is_waiting, tracker.held_version(target, model) or 0

    def _record_setback(self, target: str, now: float, lost: bool) -> None:
        before = self._setbacks.get(target)
        tries = before.tries + 1 if before is not None else 1
        delay_s = min(_MAX_RETRY_S, _FIRST_RETRY_S * 2 ** (tries - 1))
        self._setbacks[target] = _Setback(tries, now + delay_s, lost)


def max_concurrent_loads(targets: int) -> int:
    """Returns how many targets of a pool may load at the same time."""
    return max(1, math.ceil(targets * _CONCURRENT_LOADS_SHARE))


def compute_order_delay_s(queue_s: float, notified_s: float) -> float:
    """Returns how long an order still waits; at most 0 if it is due.

    Args:
        queue_s: Time in which the engine's queue is expected to be empty.
        notified_s: Time since all hosts were notified of the load.
    """
    delay_s = max(queue_s, _MIN_NOTICE_S - notified_s)
    return min(delay_s, _MAX_NOTICE_S - notified_s)


def rank_for_rollout(
    model: str, version: int, names: Collection[str]
) -> list[str]:
    """Returns targets in load order, which is the same on all hosts."""
    return placement.rank_by_rendezvous(f"{model}/{version}".encode(), names)


def targets_behind(
    entries: Sequence[target_list.ListedTarget],
    model: str,
    tracker: weights_lib.WeightsTracker,
) -> list[target_list.ListedTarget]:
    """Returns the targets with outdated weights, in load order.

    Targets of the pool that do not list the model do not serve it and are left
    out.
    """
    announced = tracker.newest.get(model)
    if announced is None:
        return []
    behind = {
        entry.target.name: entry
        for entry in entries
        if model in entry.weights
        and tracker.is_behind(entry.target.name, model)
    }
    order = rank_for_rollout(model, announced.version, behind)
    return [behind[name] for name in order]
