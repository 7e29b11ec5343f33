"""Chooses the target of an attempt: a warm engine, or the least busy service.

All hosts rank the targets of a shared prefix alike by rendezvous hashing, so
that each prefix is cached on one target without any communication. A request
goes to another target only when the first-ranked one refuses, is ejected, has
outdated weights, or costs more than fetching or computing the prefix
elsewhere, because of its queue or because it is in another data centre.
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
    """Why a listed target is not eligible."""

    TRIED = "tried"
    REFUSING = "refusing"
    BACKING_OFF = "backing_off"
    EJECTED = "ejected"
    UNREACHABLE = "unreachable"
    OLD_WEIGHTS = "old_weights"
    LOADING = "loading"
    LIMITED = "limited"
    BRITTLE = "brittle"


class TargetView(NamedTuple):
    """State of a target as input of the choice.

    Attributes:
        name: Incarnation of the target.
        data_centre: Data centre in which it runs.
        exclusion: Why it is not eligible, or None.
        running: This host's unfinished attempts on it.
        behind: Whether a request that starts there would run on outdated
            weights, so that their cost applies.
        has_connection: Whether there is an idle connection to it.
        expected: Expected time to the first byte; None for plain services.
    """

    name: str
    data_centre: str
    exclusion: Exclusion | None
    running: int
    behind: bool
    has_connection: bool
    expected: first_byte.Estimate | None = None


class Choice(NamedTuple):
    """Result of the choice.

    Attributes:
        name: The chosen target, or None when no target is eligible.
        rank: Its rank for the prefix; 0 is the target that should have the
            prefix cached.
        reason: Why the target was chosen.
    """

    name: str | None
    rank: int
    reason: str


class EngineCosts(NamedTuple):
    """Costs added to the time to the first byte, in equivalent seconds.

    Attributes:
        old_weights_s: Cost of an engine that runs outdated weights.
        copy_s_per_token: Cost of each prefix token that this engine has not
            cached, but that the first-ranked one likely has.
        other_data_centre_s: Cost of an engine in another data centre.
        new_connection_s: Cost of an engine without an idle connection.
    """

    old_weights_s: float
    copy_s_per_token: float
    other_data_centre_s: float
    new_connection_s: float = 0.0


# Eligible engines that are examined for a prompt. Each one takes time, and a
# prefix is cached on the first ranks.
_MAX_EXAMINED_ENGINES = 8

_NO_CHOICE = Choice(None, -1, "no target can be taken")


def choose_engine(
    key: bytes,
    names: Sequence[str],
    get_view: Callable[[str], TargetView],
    costs: EngineCosts,
    data_centre: str,
) -> Choice:
    """Chooses the engine with the lowest cost for a prompt.

    Args:
        key: Key of the prefix, equal for all requests that share it.
        names: All targets of the pool.
        get_view: Returns the state of a target.
        costs: Costs added to the time to the first byte.
        data_centre: Data centre of this host.
    """
    best: tuple[float, int, str] | None = None
    first: TargetView | None = None
    examined = 0
    for rank, name in enumerate(placement.rank_by_rendezvous(key, names)):
        if examined >= _MAX_EXAMINED_ENGINES:
            break
        view = get_view(name)
        first = first or view
        if view.exclusion is not None or view.expected is None:
            continue
        examined += 1
        cost = _compute_cost_s(view, rank, costs, data_centre)
        if best is None or cost < best[0]:
            best = (cost, rank, name)
    if best is None or first is None:
        return _NO_CHOICE
    _, rank, name = best
    return Choice(name, rank, "warm" if rank == 0 else _explain_move(first))


def choose_least_busy(
    key: str, views: Sequence[TargetView], data_centre: str
) -> Choice:
    """Chooses the target of a plain service that runs the fewest requests.

    Args:
        key: Breaks ties, so that requests spread over equal targets.
        views: All targets of the pool.
        data_centre: Data centre of this host. Among targets that run equally
            many requests, those with an open connection are preferred, then
            those in this data centre.
    """
    eligible = [view for view in views if view.exclusion is None]
    if not eligible:
        return _NO_CHOICE

    def cost(view: TargetView) -> tuple[int, bool, bool, int]:
        return (
            view.running,
            not view.has_connection,
            view.data_centre != data_centre,
            -placement.rendezvous_score(key.encode(), view.name),
        )

    return Choice(min(eligible, key=cost).name, 0, "least busy")


def _compute_cost_s(
    view: TargetView, rank: int, costs: EngineCosts, data_centre: str
) -> float:
    """Returns the cost of an engine in equivalent seconds."""
    if view.expected is None:
        return float("inf")
    cost = view.expected.total_s
    if view.behind:
        cost += costs.old_weights_s
    if rank:
        cost += view.expected.missing_tokens * costs.copy_s_per_token
    if view.data_centre != data_centre:
        cost += costs.other_data_centre_s
    if not view.has_connection:
        cost += costs.new_connection_s
    return cost


def _explain_move(first: TargetView) -> str:
    if first.exclusion is not None:
        return f"first-ranked target {first.exclusion}"
    if first.behind:
        return "first-ranked target has older weights"
    return "first-ranked target costs more"
