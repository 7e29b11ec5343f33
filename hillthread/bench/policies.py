"""Policies that hillthread is compared with, in the place of its decision."""

from __future__ import annotations

from collections.abc import Sequence

from hillthread.state import decision as decision_lib
from hillthread.state import placement

__all__ = ["LeastLoaded", "PrefixHash", "RoundRobin"]


class RoundRobin:
    """Each request to the next target."""

    def __init__(self):
        self.number = 0

    def __call__(
        self,
        query: decision_lib.Query,
        candidates: Sequence[decision_lib.Candidate],
        now: float,
    ) -> decision_lib.Decision:
        """See `decision.decide`."""
        del now
        eligible = eligible_of(candidates)
        self.number += 1
        chosen = eligible[self.number % len(eligible)]
        return make_decision(query, chosen)


class LeastLoaded:
    """The target with the fewest requests, as reported and sent since."""

    def __call__(
        self,
        query: decision_lib.Query,
        candidates: Sequence[decision_lib.Candidate],
        now: float,
    ) -> decision_lib.Decision:
        """See `decision.decide`."""
        del now
        eligible = eligible_of(candidates)
        chosen = min(eligible, key=lambda each: each.load.occupied())
        return make_decision(query, chosen)


class PrefixHash:
    """Rendezvous hashing of the shared prefix, and nothing else."""

    def __call__(
        self,
        query: decision_lib.Query,
        candidates: Sequence[decision_lib.Candidate],
        now: float,
    ) -> decision_lib.Decision:
        """See `decision.decide`."""
        del now
        eligible = {each.name: each for each in eligible_of(candidates)}
        order = placement.rank_by_rendezvous(query.affinity, eligible)
        return make_decision(query, eligible[order[0]])


def eligible_of(
    candidates: Sequence[decision_lib.Candidate],
) -> list[decision_lib.Candidate]:
    """Returns the candidates that are not excluded."""
    return [each for each in candidates if each.exclusion is None]


def make_decision(
    query: decision_lib.Query, chosen: decision_lib.Candidate
) -> decision_lib.Decision:
    """Returns a decision for a target without scores."""
    score = decision_lib.Score(chosen.name, None)
    return decision_lib.Decision(
        chosen.name,
        decision_lib.Reason.LEAST_COST,
        (score,),
        float(query.prompt_tokens),
        0.0,
    )
