"""What one router knows of all targets, and its decisions on them."""

from __future__ import annotations

from collections.abc import Sequence
import dataclasses
from typing import NamedTuple

from hillthread.coordination import share_outbox
from hillthread.state.config import objects
from hillthread.state.quotas import retry_budget
from hillthread.state.routing import decision as decision_lib
from hillthread.state.routing import load
from hillthread.state.routing import prompt
from hillthread.state.routing import warmth
from hillthread.state.targets import backoffs
from hillthread.state.targets import departures
from hillthread.state.targets import health

__all__ = [
    "Fleet",
    "PlacementConstraints",
    "Usage",
    "affinity_key",
    "make_query",
]

# How far rank alone is trusted to tell where a prefix is warm: while a router
# is not heard, and while all are heard.
_UNREACHABLE_PRIOR = 0.7
_REACHABLE_PRIOR = 0.1
# Retries in 10 s beyond what requests earn: a router with few requests still
# gets over the loss of a target or two.
_EXTRA_RETRIES = 6.0


class PlacementConstraints(NamedTuple):
    """Which targets one attempt may go to.

    Attributes:
        targets: All targets of the route.
        pool: Whose bounds apply.
        model: The model asked for, or empty for plain services.
        tried: Targets that earlier attempts of the request failed on.
        weights_version: Weights an answer must continue with, or empty.
    """

    targets: Sequence[objects.Target]
    pool: objects.Pool
    model: str = ""
    tried: frozenset[str] = frozenset()
    weights_version: str = ""


class Usage(NamedTuple):
    """Tokens of one answer, as the engine told them."""

    prompt_tokens: int
    cached_tokens: int
    completion_tokens: int


@dataclasses.dataclass(slots=True)
class _OpenAttempt:
    """An attempt that has not ended."""

    target: str
    levels: tuple[prompt.PrefixLevel, ...]
    expected_prefill: float
    predicted: warmth.WarmPrefix
    sent_at: float
    is_only_request: bool
    first_token_at: float | None = None


def affinity_key(
    levels: Sequence[prompt.PrefixLevel], fallback: bytes
) -> bytes:
    """Returns the key by which all routers rank the targets of a prompt.

    It is the deepest level that other prompts are likely to share: all but
    the last message.
    """
    if not levels:
        return fallback
    return levels[-2].digest if len(levels) > 1 else levels[-1].digest


def make_query(
    levels: tuple[prompt.PrefixLevel, ...],
    recompute_weight: float,
    fallback: bytes,
) -> decision_lib.Query:
    """Returns the query for a prompt with these levels."""
    return decision_lib.Query(
        levels,
        levels[-1].tokens if levels else 0,
        recompute_weight,
        affinity_key(levels, fallback),
    )


class Fleet:
    """Loads, beliefs, breakers and departures of all targets.

    Attributes:
        data_centre: Only targets of it are eligible.
        decide: The policy; baselines for comparison have their own.
        departures: Targets that leave.
        backoffs: Targets that shed load and want no request for a while.
        outbox: What is still to be told to other routers.
        heard_routers: Other routers of the data centre whose shares come in.
        silent_routers: Other routers of the data centre that are not heard.
            With any, a prefix unknown here is expected where they place it.
    """

    def __init__(
        self,
        data_centre: str,
        decide: decision_lib.DecideFunction = decision_lib.decide,
    ):
        self.data_centre = data_centre
        self.decide = decide
        self.warmth = warmth.WarmthTable()
        self.loads: dict[str, load.TargetLoad] = {}
        self.breakers: dict[str, health.CircuitBreaker] = {}
        self.budgets: dict[str, retry_budget.RetryBudget] = {}
        self.departures = departures.Departures()
        self.backoffs = backoffs.Backoffs()
        self.open_attempts: dict[str, _OpenAttempt] = {}
        self.reachable_router_count = 0
        self.unreachable_router_count = 0
        self.outbox = share_outbox.PlacementNoticeOutbox()

    def choose(
        self,
        query: decision_lib.Query,
        constraints: PlacementConstraints,
        now: float,
    ) -> decision_lib.Decision:
        """Returns the decision for one attempt."""
        query = query._replace(prior_probability=self._prior_probability())
        candidates = [
            self._candidate(target, constraints, now)
            for target in constraints.targets
        ]
        return self.decide(query, candidates, now)

    def start(
        self,
        attempt_id: str,
        query: decision_lib.Query,
        decision: decision_lib.Decision,
        now: float,
    ) -> None:
        """Notes that an attempt is about to be sent to its target."""
        name = decision.target
        if name is None:
            return
        self.breakers[name].admit(now)
        beliefs = self.warmth.targets[name]
        predicted = beliefs.lookup(query.levels, now)
        is_only_request = self.loads[name].count_requests() == 0
        self.loads[name].start(
            attempt_id,
            load.LocalPrefill(now, decision.expected_prefill),
        )
        self._notify_routers(name, query, decision, now)
        beliefs.add_pending(query.levels, now)
        self.open_attempts[attempt_id] = _OpenAttempt(
            name,
            query.levels,
            decision.expected_prefill,
            predicted,
            now,
            is_only_request,
        )

    def apply_placement_notice(
        self, notice: share_outbox.PlacementNotice, now: float
    ) -> None:
        """Takes in what another router told.

        A target unknown here, or told of under another epoch than the one
        known here, is passed over.
        """
        beliefs = self.warmth.targets.get(notice.target)
        if beliefs is None:
            return
        epoch = warmth.CacheEpoch(notice.incarnation, notice.weights_version)
        if beliefs.epoch is None:
            beliefs.epoch = epoch
        if beliefs.epoch != epoch:
            return
        self.loads[notice.target].add_peer_prefill(notice.prefill_tokens, now)
        for level in notice.levels:
            beliefs.add_from_peer(level, now)

    def observe_epoch(self, name: str, epoch: warmth.CacheEpoch) -> bool:
        """Notes the epoch a target named; returns whether it is another.

        All beliefs of the former epoch are dropped.
        """
        changed = self.warmth.enter_epoch(name, epoch)
        if changed and name in self.loads:
            self.loads[name].report = None
        return changed

    def record_first_token(self, attempt_id: str, now: float) -> None:
        """Notes the first token of an attempt: its prompt is cached now."""
        attempt = self.open_attempts.get(attempt_id)
        if attempt is None or attempt.first_token_at is not None:
            return
        attempt.first_token_at = now
        self.loads[attempt.target].note_first_token(attempt_id, now)
        beliefs = self.warmth.targets[attempt.target]
        beliefs.remove_pending(attempt.levels)
        beliefs.advance_clock(attempt.expected_prefill)
        beliefs.confirm(attempt.levels, now)

    def record_usage(self, attempt_id: str, usage: Usage, now: float) -> None:
        """Learns from the usage told at the end of an answer."""
        attempt = self.open_attempts.get(attempt_id)
        if attempt is None:
            return
        computed = usage.prompt_tokens - usage.cached_tokens
        self.loads[attempt.target].learn_mean_prefill(computed)
        if attempt.is_only_request and attempt.first_token_at is not None:
            self.loads[attempt.target].learn_prefill_rate(
                computed, attempt.first_token_at - attempt.sent_at
            )
        beliefs = self.warmth.targets[attempt.target]
        beliefs.advance_clock(
            usage.completion_tokens + computed - attempt.expected_prefill
        )
        beliefs.learn_horizon(attempt.predicted, usage.cached_tokens)
        beliefs.confirm(attempt.levels, now)

    def finish(self, attempt_id: str) -> None:
        """Notes that an attempt has ended in any way; idempotent."""
        attempt = self.open_attempts.pop(attempt_id, None)
        if attempt is None:
            return
        self.loads[attempt.target].finish(attempt_id)
        if attempt.first_token_at is None:
            self.warmth.targets[attempt.target].remove_pending(attempt.levels)

    def apply_load_report(self, name: str, report: load.LoadReport) -> None:
        """Takes in a load report of a target."""
        if name not in self.loads:
            return
        self.loads[name].update(report)
        beliefs = self.warmth.targets[name]
        if report.cache_tokens and beliefs.clock == 0.0:
            beliefs.eviction_horizon_tokens = float(report.cache_tokens)
        beliefs.clock = max(beliefs.clock, report.inserted_tokens)

    def retry_budget(self, pool: objects.Pool) -> retry_budget.RetryBudget:
        """Returns the retry budget of a pool.

        A changed ratio keeps what was spent: it must not give a new burst.
        """
        budget = self.budgets.get(pool.name)
        if budget is None:
            budget = retry_budget.RetryBudget(pool.retry_ratio, _EXTRA_RETRIES)
            self.budgets[pool.name] = budget
        budget.ratio = pool.retry_ratio
        return budget

    def retain(self, targets: Sequence[objects.Target]) -> None:
        """Forgets all that is not in the configuration any more."""
        names = frozenset(target.name for target in targets)
        busy = {attempt.target for attempt in self.open_attempts.values()}
        for removed in self.loads.keys() - names - busy:
            del self.loads[removed]
            self.breakers.pop(removed, None)
            self.departures.forget(removed)
        self.warmth.retain(names | busy)

    def track(self, target: objects.Target) -> None:
        """Makes sure that there is state for a target."""
        if target.name in self.loads:
            return
        self.loads[target.name] = load.TargetLoad(target.prefill_tokens_per_s)
        self.warmth.target(target.name, target.cache_tokens)

    def _prior_probability(self) -> float:
        """Returns how far rank alone is trusted to tell of warmth."""
        if self.unreachable_router_count:
            return _UNREACHABLE_PRIOR
        return _REACHABLE_PRIOR if self.reachable_router_count else 0.0

    def _notify_routers(
        self,
        name: str,
        query: decision_lib.Query,
        decision: decision_lib.Decision,
        now: float,
    ) -> None:
        epoch = self.warmth.targets[name].epoch
        if (
            self.reachable_router_count == 0
            or epoch is None
            or not query.levels
        ):
            return
        self.outbox.add_placement(
            name,
            epoch,
            int(decision.expected_prefill),
            query.levels[:-1],
            now,
        )

    def _candidate(
        self,
        target: objects.Target,
        constraints: PlacementConstraints,
        now: float,
    ) -> decision_lib.Candidate:
        self.track(target)
        self._update_breaker(target.name, constraints.pool)
        return decision_lib.Candidate(
            target.name,
            target.max_running,
            self.loads[target.name],
            self.warmth.target(target.name, target.cache_tokens),
            self._exclusion(target, constraints, now),
        )

    def _update_breaker(self, name: str, pool: objects.Pool) -> None:
        """Has a target's breaker follow the bounds now in force."""
        breaker = self.breakers.get(name)
        if breaker is None:
            breaker = health.CircuitBreaker(pool.eject_after, pool.eject_s)
            self.breakers[name] = breaker
        breaker.eject_after = pool.eject_after
        breaker.eject_s = pool.eject_s

    def _exclusion(
        self,
        target: objects.Target,
        constraints: PlacementConstraints,
        now: float,
    ) -> decision_lib.Exclusion | None:
        name = target.name
        if target.data_centre != self.data_centre:
            return decision_lib.Exclusion.OTHER_DATA_CENTRE
        if constraints.model and constraints.model not in target.models:
            return decision_lib.Exclusion.MODEL_NOT_SERVED
        if name in self.departures.leaving:
            return decision_lib.Exclusion.LEAVING
        if target.cordoned:
            return decision_lib.Exclusion.CORDONED
        if name in constraints.tried:
            return decision_lib.Exclusion.ALREADY_TRIED
        if self.breakers[name].state(now) is health.BreakerState.OPEN:
            return decision_lib.Exclusion.EJECTED
        if self.backoffs.is_active(name, now):
            return decision_lib.Exclusion.BACKING_OFF
        if self.loads[name].inflight >= constraints.pool.max_inflight:
            return decision_lib.Exclusion.SATURATED
        if constraints.weights_version and not self._has_weights(
            name, constraints
        ):
            return decision_lib.Exclusion.EPOCH_CHANGED
        return None

    def _has_weights(
        self, name: str, constraints: PlacementConstraints
    ) -> bool:
        epoch = self.warmth.targets[name].epoch
        return epoch is None or (
            epoch.weights_version == constraints.weights_version
        )
