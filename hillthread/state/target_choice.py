"""Chooses the target of an attempt: where a prompt is warm, or least busy.

All hosts rank the targets of a shared prefix alike by rendezvous hashing, so
that one copy of each prefix lies on one target without any talk. A request
leaves its first-ranked target only when that one refuses, is ejected, has
older weights than others, or has so much queued that reading the prefix
elsewhere comes sooner.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Sequence
import enum
from typing import NamedTuple

from hillthread.state import placement

__all__ = [
    "Choice",
    "Exclusion",
    "TargetView",
    "choose_engine",
    "choose_plain",
]


class Exclusion(enum.StrEnum):
    """Why a target was not taken though it is listed."""

    TRIED = "tried"
    REFUSING = "refusing"
    EJECTED = "ejected"
    UNREACHABLE = "unreachable"
    OLD_WEIGHTS = "old_weights"


class TargetView(NamedTuple):
    """A target as the choice sees it.

    Attributes:
        name: Its incarnation.
        data_centre: Where it runs.
        exclusion: Why it cannot be taken, or None.
        running: This host's unfinished attempts on it.
        queued_tokens: Tokens expected to be computed before a new request,
            those of other hosts included.
        behind: A start there is on older weights than named, and costs.
        has_connection: A kept connection is there.
        seconds: Smoothed time to its first byte.
    """

    name: str
    data_centre: str
    exclusion: Exclusion | None
    running: int
    queued_tokens: float
    behind: bool
    has_connection: bool
    seconds: float


class Choice(NamedTuple):
    """The outcome.

    Attributes:
        name: The target, or None when none can be taken.
        rank: Its place in the order of the prefix; 0 is where it is warm.
        reason: Why it was taken.
    """

    name: str | None
    rank: int
    reason: str


class EngineWeights(NamedTuple):
    """What weighs how much in the choice of an engine.

    Attributes:
        prefill_tokens_per_s: How fast an engine reads a prompt.
        behind_s: Seconds of first-token time that old weights are worth.
        away_s: The same for a prefix that must come from elsewhere.
    """

    prefill_tokens_per_s: float
    behind_s: float
    away_s: float


_NONE = Choice(None, -1, "no target can be taken")


def choose_engine(
    key: bytes,
    names: Sequence[str],
    view_of: Callable[[str], TargetView],
    weights: EngineWeights,
) -> Choice:
    """Returns the engine for a prompt.

    Args:
        key: The same for all requests that share the prefix.
        names: All targets of the pool.
        view_of: Returns a target's view; asked only as long as a target of
            lower rank could still cost less.
        weights: What weighs how much.
    """
    best: tuple[float, int, str] | None = None
    first: TargetView | None = None
    for rank, name in enumerate(placement.rank_by_rendezvous(key, names)):
        if best is not None and best[0] <= _rank_cost(rank, weights):
            break
        view = view_of(name)
        first = first or view
        if view.exclusion is not None:
            continue
        cost = _engine_cost(view, rank, weights)
        if best is None or cost < best[0]:
            best = (cost, rank, name)
    if best is None or first is None:
        return _NONE
    _, rank, name = best
    return Choice(name, rank, "warm" if rank == 0 else _reason(first))


def choose_plain(
    key: str, views: Sequence[TargetView], data_centre: str
) -> Choice:
    """Returns the target of a plain service.

    Args:
        key: Spreads equal choices over targets.
        views: All targets of the pool.
        data_centre: The host's own; targets there are preferred.
    """
    open_views = [view for view in views if view.exclusion is None]
    if not open_views:
        return _NONE

    def cost(view: TargetView) -> tuple[int, bool, bool, int]:
        return (
            view.running,
            not view.has_connection,
            view.data_centre != data_centre,
            -placement.rendezvous_score(key.encode(), view.name),
        )

    return Choice(min(open_views, key=cost).name, 0, "least busy")


def _rank_cost(rank: int, weights: EngineWeights) -> float:
    """Returns the least that a target of some rank costs."""
    return weights.away_s * (1.0 + 0.1 * rank) if rank else 0.0


def _engine_cost(view: TargetView, rank: int, weights: EngineWeights) -> float:
    cost = view.queued_tokens / weights.prefill_tokens_per_s
    cost += _rank_cost(rank, weights)
    if view.behind:
        cost += weights.behind_s
    return cost


def _reason(first: TargetView) -> str:
    if first.exclusion is not None:
        return f"first-ranked target {first.exclusion}"
    if first.behind:
        return "first-ranked target has older weights"
    return "first-ranked target is busy"
