"""Chooses the target of an attempt: where a prompt is warm, or least busy.

All hosts rank the targets of a shared prefix alike by rendezvous hashing, so
that one copy of each prefix lies on one target without any talk. A request
leaves its first-ranked target only when that one refuses, is ejected, has
older weights than others, or costs more than fetching or reading the prefix
elsewhere: because it has much to read, or is in another data centre.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Sequence
import enum
from typing import NamedTuple

from hillthread.state.routing import first_byte
from hillthread.state.routing import placement

__all__ = [
    "Choice",
    "Exclusion",
    "TargetView",
    "choose_engine",
    "choose_least_busy",
]


class Exclusion(enum.StrEnum):
    """Why a target was not taken though it is listed."""

    TRIED = "tried"
    REFUSING = "refusing"
    BACKING_OFF = "backing_off"
    EJECTED = "ejected"
    UNREACHABLE = "unreachable"
    OLD_WEIGHTS = "old_weights"
    LOADING = "loading"
    LIMITED = "limited"


class TargetView(NamedTuple):
    """A target as the choice sees it.

    Attributes:
        name: Its incarnation.
        data_centre: Where it runs.
        exclusion: Why it cannot be taken, or None.
        running: This host's unfinished attempts on it.
        behind: A start there is on older weights than named, and costs.
        has_connection: A kept connection is there.
        expected: Time to the first byte, of engines.
    """

    name: str
    data_centre: str
    exclusion: Exclusion | None
    running: int
    behind: bool
    has_connection: bool
    expected: first_byte.Estimate | None = None


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


class EngineCosts(NamedTuple):
    """What weighs how much in the choice of an engine.

    Attributes:
        behind_s: Seconds of first-byte time that old weights are worth.
        copy_s: The same for each token of a prefix that is not kept where it
            would be taken, but is likely kept on its first-ranked engine.
        crossing_s: The same for an engine in another data centre.
        connecting_s: The same for an engine to which no connection is kept.
    """

    old_weights_s: float
    copy_s_per_token: float
    other_data_centre_s: float
    new_connection_s: float = 0.0


# Engines looked at for one prompt, of those that can be taken: each look takes
# time, and the copies of a prefix lie on the first ranks.
_MOST_LOOKED = 8

_NONE = Choice(None, -1, "no target can be taken")


def choose_engine(
    key: bytes,
    names: Sequence[str],
    view_of: Callable[[str], TargetView],
    weights: EngineCosts,
    data_centre: str,
) -> Choice:
    """Returns the engine for a prompt: the one that costs least.

    Args:
        key: The same for all requests that share the prefix.
        names: All targets of the pool.
        view_of: Returns a target's view.
        weights: What weighs how much.
        data_centre: The host's own.
    """
    best: tuple[float, int, str] | None = None
    first: TargetView | None = None
    looked = 0
    for rank, name in enumerate(placement.rank_by_rendezvous(key, names)):
        if looked >= _MOST_LOOKED:
            break
        view = view_of(name)
        first = first or view
        if view.exclusion is not None or view.expected is None:
            continue
        looked += 1
        cost = _engine_cost(view, rank, weights, data_centre)
        if best is None or cost < best[0]:
            best = (cost, rank, name)
    if best is None or first is None:
        return _NONE
    _, rank, name = best
    return Choice(name, rank, "warm" if rank == 0 else _reason(first))


def choose_least_busy(
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


def _engine_cost(
    view: TargetView, rank: int, weights: EngineCosts, data_centre: str
) -> float:
    """Returns what an engine costs, in seconds of first-byte time."""
    if view.expected is None:
        return float("inf")
    cost = view.expected.total_s
    if view.behind:
        cost += weights.old_weights_s
    if rank:
        cost += view.expected.missing_tokens * weights.copy_s_per_token
    if view.data_centre != data_centre:
        cost += weights.other_data_centre_s
    if not view.has_connection:
        cost += weights.new_connection_s
    return cost


def _reason(first: TargetView) -> str:
    if first.exclusion is not None:
        return f"first-ranked target {first.exclusion}"
    if first.behind:
        return "first-ranked target has older weights"
    return "first-ranked target costs more"
