"""Scores the eligible targets of a request and chooses the cheapest one.

The cost is the expected time to first token (wait in the queue and prefill of
the uncached tokens) plus the policy's weight times the recomputation that the
choice causes. For a target whose cache is unknown, the rendezvous rank serves
as an estimate of warmth, because other routers place the prefix by the same
ranking.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Sequence
import enum
from typing import NamedTuple

from hillthread.state.routing import load
from hillthread.state.routing import placement
from hillthread.state.routing import prompt
from hillthread.state.routing import warmth

__all__ = [
    "Candidate",
    "Decision",
    "Exclusion",
    "Query",
    "Reason",
    "Score",
    "decide",
]

# Probability that the second-ranked target holds a prefix, as a share of the
# first-ranked target's.
_SECOND_RANK_SHARE = 0.5
# Cost in seconds, multiplied by the rank. It is below any real difference in
# cost, so that it only breaks ties.
_RANK_COST_S = 0.002
# Assumed wait at a target that has twice as many requests as it can run.
_OVERLOAD_COST_S = 1.0
# From this share of the shared prefix on, the reason is given as warmth.
_MIN_WARM_SHARE = 0.5
# Recomputing a shorter prefix costs too little to place it by rank.
_MIN_SHARED_TOKENS = 64


class Exclusion(enum.StrEnum):
    """Why a target is not eligible."""

    LEAVING = "leaving"
    CORDONED = "cordoned"
    EJECTED = "ejected"
    BACKING_OFF = "backing_off"
    SATURATED = "saturated"
    ALREADY_TRIED = "already_tried"
    OTHER_DATA_CENTRE = "other_data_centre"
    MODEL_NOT_SERVED = "model_not_served"
    EPOCH_CHANGED = "epoch_changed"


class Reason(enum.StrEnum):
    """Why a target was chosen."""

    WARM = "warm"
    PENDING = "pending"
    RENDEZVOUS = "rendezvous"
    LEAST_COST = "least_cost"
    ONLY_CANDIDATE = "only_candidate"


class Query(NamedTuple):
    """Input of a decision.

    Attributes:
        levels: Prefix levels of the prompt, the shortest first; empty for
            requests to plain services.
        prompt_tokens: Estimated length of the whole prompt.
        recompute_weight: Weight of recomputed tokens, from the policy.
        affinity: Key that all routers derive from this prefix.
        prior_probability: Probability that the first-ranked target holds a
            prefix of which this router has no information; learned from
            answers.
    """

    levels: tuple[prompt.PrefixLevel, ...]
    prompt_tokens: int
    recompute_weight: float
    affinity: bytes
    prior_probability: float = 0.0


class Candidate(NamedTuple):
    """A target with its known state, or the reason for its exclusion.

    Attributes:
        name: Name of the target.
        max_running: Number of requests that it runs at once.
        load: Load of the target.
        warmth: Believed contents of its cache.
        exclusion: Why it is not eligible, or None.
    """

    name: str
    max_running: int
    load: load.TargetLoad
    warmth: warmth.TargetWarmth
    exclusion: Exclusion | None = None


class Score(NamedTuple):
    """The parts of one target's cost, kept to explain the decision.

    Attributes:
        target: Name of the target.
        exclusion: Why it was not eligible, or None; its costs are then 0.
        cost_s: Weighted sum, in seconds.
        queue_s: Expected wait behind queued prefill and because of overload, in
            seconds.
        prefill_s: Expected time to compute the uncached tokens, in seconds.
        recompute_s: Weighted cost of the recomputation, in seconds.
        warm_tokens: Length of the prefix that is believed cached.
        warm_probability: Probability that it is still cached.
        warm_age_s: Age of that belief, in seconds.
        pending: Whether the prefix is being computed there now.
        rank: Rendezvous rank, 0 first.
        report_age_s: Age of the load report, in seconds; -1 without one.
        inflight: This router's unfinished attempts on the target.
        incarnation: Engine incarnation of the belief, or empty.
        weights_version: Weights version of the belief, or empty.
        prior_tokens: Tokens that are assumed cached because of the rank.
    """

    target: str
    exclusion: Exclusion | None
    cost_s: float = 0.0
    queue_s: float = 0.0
    prefill_s: float = 0.0
    recompute_s: float = 0.0
    warm_tokens: int = 0
    warm_probability: float = 0.0
    warm_age_s: float = 0.0
    pending: bool = False
    rank: int = 0
    report_age_s: float = -1.0
    inflight: int = 0
    incarnation: str = ""
    weights_version: str = ""
    prior_tokens: int = 0


class Decision(NamedTuple):
    """Result of a decision for one attempt.

    Attributes:
        target: The chosen target, or None when no target is eligible.
        reason: Why it was chosen, or None.
        scores: Scores of all candidates, the cheapest first and the excluded
            ones last.
        expected_prefill: Tokens the chosen target is expected to compute.
        queued_tokens: Expected wait at the chosen target (`queue_s`, with that
            of overload) in prefill tokens.
    """

    target: str | None
    reason: Reason | None
    scores: tuple[Score, ...]
    expected_prefill: float = 0.0
    queued_tokens: float = 0.0


DecideFunction = Callable[[Query, Sequence[Candidate], float], Decision]


def decide(
    query: Query, candidates: Sequence[Candidate], now: float
) -> Decision:
    """Chooses the eligible candidate with the lowest cost.

    Args:
        query: The request to place.
        candidates: All targets of the route's pools, including excluded ones.
        now: Current time in seconds, on the clock of the load reports.
    """
    eligible = [each for each in candidates if each.exclusion is None]
    excluded = [
        Score(each.name, each.exclusion)
        for each in candidates
        if each.exclusion is not None
    ]
    if not eligible:
        return Decision(None, None, tuple(excluded))
    order = placement.rank_by_rendezvous(
        query.affinity, [each.name for each in eligible]
    )
    ranks = {name: rank for rank, name in enumerate(order)}
    scored = [
        _compute_score(query, each, ranks[each.name], now) for each in eligible
    ]
    scored.sort(key=lambda score: (score.cost_s, score.rank))
    best = scored[0]
    chosen = next(each for each in eligible if each.name == best.target)
    return Decision(
        best.target,
        _find_reason(query, scored),
        tuple(scored + excluded),
        best.prefill_s * chosen.load.prefill_tokens_per_s,
        best.queue_s * chosen.load.prefill_tokens_per_s,
    )


def _compute_score(
    query: Query, candidate: Candidate, rank: int, now: float
) -> Score:
    state = candidate.load
    warm = candidate.warmth.lookup(query.levels, now)
    prior_tokens = _compute_prior_tokens(query, candidate, rank)
    cached = max(warm.expected_tokens, prior_tokens)
    missing = max(0.0, query.prompt_tokens - cached)
    queue_s = state.queued_tokens(now) / state.prefill_tokens_per_s
    queue_s += _compute_overload_s(candidate)
    prefill_s = missing / state.prefill_tokens_per_s
    recompute_s = query.recompute_weight * prefill_s
    report = state.report
    epoch = candidate.warmth.epoch
    return Score(
        candidate.name,
        None,
        queue_s + prefill_s + recompute_s + rank * _RANK_COST_S,
        queue_s,
        prefill_s,
        recompute_s,
        warm.tokens,
        warm.probability,
        warm.age_s,
        warm.pending,
        rank,
        -1.0 if report is None else now - report.taken_at,
        state.inflight,
        epoch.incarnation if epoch else "",
        epoch.weights_version if epoch else "",
        int(prior_tokens),
    )


def _compute_prior_tokens(
    query: Query, candidate: Candidate, rank: int
) -> float:
    """Returns the tokens assumed cached because of the target's rank."""
    if rank > 1 or len(query.levels) < 2:
        return 0.0
    shared = query.levels[-2]
    if shared.tokens < _MIN_SHARED_TOKENS:
        return 0.0
    share = 1.0 if rank == 0 else _SECOND_RANK_SHARE
    return shared.tokens * query.prior_probability * share


def _compute_overload_s(candidate: Candidate) -> float:
    """Returns the expected wait at a target that runs its maximum."""
    over = candidate.load.count_requests() + 1 - candidate.max_running
    if over <= 0:
        return 0.0
    return over / candidate.max_running * _OVERLOAD_COST_S


def _find_reason(query: Query, scored: Sequence[Score]) -> Reason:
    best = scored[0]
    if len(scored) == 1:
        return Reason.ONLY_CANDIDATE
    shared = query.levels[-2].tokens if len(query.levels) > 1 else 0
    warm = best.warm_tokens * best.warm_probability
    if shared and warm >= shared * _MIN_WARM_SHARE:
        return Reason.PENDING if best.pending else Reason.WARM
    if best.rank == 0:
        return Reason.RENDEZVOUS
    return Reason.LEAST_COST
