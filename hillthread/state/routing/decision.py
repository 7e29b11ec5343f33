"""The decision: one cost for each eligible target, and why it was chosen.

The cost is the expected time to first token (queue ahead and prefill of what
is not warm) plus the policy's weight times the recomputation it causes. Where
nothing is known of a target, its rendezvous rank stands for warmth, because
other routers place the prefix in the same order.
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

# How far the second in rank is trusted to hold a prefix, against the first.
_SECOND_RANK_SHARE = 0.5
# Seconds for each rank: less than any real difference, so it breaks ties only.
_RANK_COST_S = 0.002
# Seconds for a target with twice the requests it has places for; assumed.
_CROWDED_COST_S = 1.0
# From this part of the shared prefix on, the reason is told as warmth.
_SHARE_CALLED_WARM = 0.5
# Shorter prefixes cost too little to be placed by rank.
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
    """Why the chosen target won."""

    WARM = "warm"
    PENDING = "pending"
    RENDEZVOUS = "rendezvous"
    LEAST_COST = "least_cost"
    ONLY_CANDIDATE = "only_candidate"


class Query(NamedTuple):
    """What is asked of the decision.

    Attributes:
        levels: Prefix levels of the prompt, the shortest first; empty for
            requests to plain services.
        prompt_tokens: Estimated length of the whole prompt.
        recompute_weight: From the policy.
        affinity: Key that all routers share for this prefix.
        prior: Probability that the first target by rendezvous holds a prefix
            this router knows nothing of, learned from answers.
    """

    levels: tuple[prompt.PrefixLevel, ...]
    prompt_tokens: int
    recompute_weight: float
    affinity: bytes
    prior_probability: float = 0.0


class Candidate(NamedTuple):
    """One target with what is known of it, or why it is excluded.

    Attributes:
        name: The target's name.
        max_running: Requests it runs at once.
        load: Its load.
        warmth: Its believed cache content.
        exclusion: Why it is not eligible, or None.
    """

    name: str
    max_running: int
    load: load.TargetLoad
    warmth: warmth.TargetWarmth
    exclusion: Exclusion | None = None


class Score(NamedTuple):
    """The parts of one target's cost, kept for explanations.

    Attributes:
        target: The target's name.
        exclusion: Why it was not eligible, or None; the rest is then 0.
        cost_s: The weighed sum, seconds.
        queue_s: Expected wait behind queued prefill, seconds.
        prefill_s: Expected time to compute what is not warm, seconds.
        recompute_s: The recomputation caused, weighted, seconds.
        warm_tokens: Tokens believed cached.
        warm_probability: That they still are.
        warm_age_s: Age of that belief, seconds.
        pending: The prefix is being computed there now.
        rank: Rendezvous rank, 0 first.
        report_age_s: Age of the load report, seconds; -1 without one.
        inflight: The router's own unfinished attempts there.
        incarnation: The engine incarnation the belief holds for, or empty.
        weights_version: The weights version it holds for, or empty.
        prior_tokens: Tokens expected only because of the rank.
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
    """The outcome for one attempt.

    Attributes:
        target: The chosen target, or None when no target is eligible.
        reason: Why it won, or None.
        scores: All candidates in the order of cost, the excluded ones last.
        expected_prefill: Tokens the chosen target is expected to compute.
        queued_tokens: Prefill tokens ahead on the chosen target.
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
    """Returns the eligible candidate of least cost.

    Args:
        query: What is asked.
        candidates: All targets of the route's pools, excluded ones too.
        now: Seconds, on the clock of the load reports.
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
    scored = [_score(query, each, ranks[each.name], now) for each in eligible]
    scored.sort(key=lambda score: (score.cost_s, score.rank))
    best = scored[0]
    chosen = next(each for each in eligible if each.name == best.target)
    return Decision(
        best.target,
        _reason(query, scored),
        tuple(scored + excluded),
        best.prefill_s * chosen.load.prefill_tokens_per_s,
        best.queue_s * chosen.load.prefill_tokens_per_s,
    )


def _score(query: Query, candidate: Candidate, rank: int, now: float) -> Score:
    state = candidate.load
    warm = candidate.warmth.lookup(query.levels, now)
    prior_tokens = _prior_tokens(query, candidate, rank)
    cached = max(warm.expected_tokens, prior_tokens)
    missing = max(0.0, query.prompt_tokens - cached)
    queue_s = state.queued_tokens(now) / state.prefill_tokens_per_s
    queue_s += _crowding_s(candidate)
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


def _prior_tokens(query: Query, candidate: Candidate, rank: int) -> float:
    """Returns tokens assumed warm because other routers place them here."""
    if rank > 1 or len(query.levels) < 2:
        return 0.0
    shared = query.levels[-2]
    if shared.tokens < _MIN_SHARED_TOKENS:
        return 0.0
    share = 1.0 if rank == 0 else _SECOND_RANK_SHARE
    return shared.tokens * query.prior_probability * share


def _crowding_s(candidate: Candidate) -> float:
    """Returns the wait for a free place once all places are taken."""
    over = candidate.load.count_requests() + 1 - candidate.max_running
    if over <= 0:
        return 0.0
    return over / candidate.max_running * _CROWDED_COST_S


def _reason(query: Query, scored: Sequence[Score]) -> Reason:
    best = scored[0]
    if len(scored) == 1:
        return Reason.ONLY_CANDIDATE
    shared = query.levels[-2].tokens if len(query.levels) > 1 else 0
    warm = best.warm_tokens * best.warm_probability
    if shared and warm >= shared * _SHARE_CALLED_WARM:
        return Reason.PENDING if best.pending else Reason.WARM
    if best.rank == 0:
        return Reason.RENDEZVOUS
    return Reason.LEAST_COST
