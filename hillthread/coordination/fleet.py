"""One router's state of all targets, and its choices among them."""

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

# Probability that the first-ranked target has cached a prefix that is unknown
# here: while any other router is unreachable, and while all are reachable.
_UNREACHABLE_PRIOR = 0.7
_REACHABLE_PRIOR = 0.1
# Retries in 10 s beyond what requests accrue, so that a router with few
# requests can still retry after the loss of one or two targets.
_EXTRA_RETRIES = 6.0


class PlacementConstraints(NamedTuple):
    """Constraints on the target of one attempt.

    Attributes:
        targets: All targets of the route.
        pool: The pool whose bounds apply.
        model: The requested model, or empty for plain services.
        tried: Targets on which earlier attempts of the request failed.
        weights_version: Weights that must continue an answer, or empty.
    """

    targets: Sequence[objects.Target]
    pool: objects.Pool
    model: str = ""
    tried: frozenset[str] = frozenset()
    weights_version: str = ""


class Usage(NamedTuple):
    """Token counts of one answer, as reported by the engine."""

    prompt_tokens: int
    cached_tokens: int
    completion_tokens: int


@dataclasses.dataclass(slots=True)
class _OpenAttempt:
    """An attempt that has not ended.

    Attributes:
        target: The chosen target.
        levels: The prefix levels of the prompt.
        expected_prefill: Expected uncached tokens.
        predicted: The longest prefix that was expected to be cached.
        sent_at: Monotonic seconds.
        is_only_request: Whether the target had no other request then.
        first_token_at: Monotonic seconds, or None before the first token.
    """

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

    The key is the digest of the deepest level that other prompts are likely
    to share: all but the last message.
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
        data_centre: Only targets of this data centre are eligible.
        decide: The placement policy; benchmarks replace it by baselines.
        warmth: Beliefs about which prefixes the targets have cached.
        loads: Load of each target, by name.
        breakers: Circuit breaker of each target, by name.
        budgets: Retry budget of each pool, by name.
        departures: Targets that are leaving.
        backoffs: Targets that shed load and are excluded for some time.
        open_attempts: Attempts that have not ended, by id.
        reachable_router_count: Other routers of the data centre whose
            placement notices arrive.
        unreachable_router_count: Other routers of the data centre whose
            notices do not arrive. If there are any, an unknown prefix is
            expected to be cached on the target that they would choose.
        outbox: Placement notices to be sent to other routers.
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
        """Records that an attempt is about to be sent to its target."""
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
        """Applies a placement notice of another router.

        A notice is ignored if its target is unknown here, or if its epoch
        differs from the one known here.
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
        """Records the epoch that a target named; returns whether it is new.

        A new epoch clears all beliefs about the previous one.
        """
        changed = self.warmth.enter_epoch(name, epoch)
        if changed and name in self.loads:
            self.loads[name].report = None
        return changed

    def record_first_token(self, attempt_id: str, now: float) -> None:
        """Records the first token of an attempt: its prompt is cached now."""
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
        """Updates estimates from the usage at the end of an answer."""
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
        """Records that an attempt has ended in any way; idempotent."""
        attempt = self.open_attempts.pop(attempt_id, None)
        if attempt is None:
            return
        self.loads[attempt.target].finish(attempt_id)
        if attempt.first_token_at is None:
            self.warmth.targets[attempt.target].remove_pending(attempt.levels)

    def apply_load_report(self, name: str, report: load.LoadReport) -> None:
        """Applies a load report of a target."""
        if name not in self.loads:
            return
        self.loads[name].update(report)
        beliefs = self.warmth.targets[name]
        if report.cache_tokens and beliefs.clock == 0.0:
            beliefs.eviction_horizon_tokens = float(report.cache_tokens)
        beliefs.clock = max(beliefs.clock, report.inserted_tokens)

    def retry_budget(self, pool: objects.Pool) -> retry_budget.RetryBudget:
        """Returns the retry budget of a pool.

        A changed ratio keeps the count of retries, so that it does not allow
        a new burst.
        """
        budget = self.budgets.get(pool.name)
        if budget is None:
            budget = retry_budget.RetryBudget(pool.retry_ratio, _EXTRA_RETRIES)
            self.budgets[pool.name] = budget
        budget.ratio = pool.retry_ratio
        return budget

    def retain(self, targets: Sequence[objects.Target]) -> None:
        """Drops targets that are neither configured nor serve an attempt."""
        names = frozenset(target.name for target in targets)
        busy = {attempt.target for attempt in self.open_attempts.values()}
        for removed in self.loads.keys() - names - busy:
            del self.loads[removed]
            self.breakers.pop(removed, None)
            self.departures.forget(removed)
        self.warmth.retain(names | busy)

    def track(self, target: objects.Target) -> None:
        """Creates the state of a target if there is none."""
        if target.name in self.loads:
            return
        self.loads[target.name] = load.TargetLoad(target.prefill_tokens_per_s)
        self.warmth.target(target.name, target.cache_tokens)

    def _prior_probability(self) -> float:
        """Returns the probability that rank alone predicts a cached prefix."""
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
        """Creates a target's breaker or updates its bounds from the pool."""
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
