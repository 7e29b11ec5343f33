"""Assesses the targets of a pool for one request."""

from __future__ import annotations

from typing import Protocol

from hillthread import clock
from hillthread.coordination.gateway import site as site_lib
from hillthread.coordination.gateway.serving import cache_source
from hillthread.coordination.gateway.serving import intake
from hillthread.coordination.gateway.serving import limit_keeper
from hillthread.protocol import work_notice
from hillthread.state.routing import attempt_plan
from hillthread.state.routing import first_byte
from hillthread.state.routing import target_choice
from hillthread.state.targets import health
from hillthread.state.targets import target_list
from hillthread.state.targets import target_state
from hillthread.state.targets import weights as weights_lib
from hillthread.transport import connection_pool

__all__ = ["PoolContext", "PoolView"]

# Maximum wait in an engine's queue that is assumed when predicting whether its
# weights are still recent enough at the start of a request.
_MAX_EXPECTED_WAIT_S = 2.0
_MAX_SUMMARIES = 8


class PoolContext(Protocol):
    """What a pool view reads from; the chooser provides it.

    Attributes:
        site: The host's view of the site.
        pool: Connections to targets.
        limits: Enforces the limits of targets.
        cache_planner: Tells where cached prefixes can be fetched from.
    """

    site: site_lib.Site
    pool: connection_pool.ConnectionPool
    limits: limit_keeper.LimitKeeper
    cache_planner: cache_source.CachePlanner


class PoolView:
    """The targets of a pool as seen for one request at one time.

    Targets are assessed lazily, by `view`.

    Attributes:
        site: The host's view of the site.
        pool: Connections to targets.
        cache_planner: Tells where cached prefixes can be fetched from.
        request: The caller's request.
        token_bytes: Bytes of KV cache for each token; 0 if not known.
        shared: Digest and tokens of the parts of the prompt that other prompts
            may share.
        fetch_tokens_per_s_by_scope: Rate at which the shared parts can be
            fetched from a store of KV cache, by cache scope.
        model: The model of the request; empty for plain requests.
        tried: Targets that must not be used again.
        now: Clock time of the view, in seconds.
        entries: The targets, by name.
        views: The targets assessed so far.
        lags: How far the weights of assessed targets lag behind, by name.
        estimates: Estimated time to the first byte of assessed targets, by
            name.
        limits: The limits of targets.
        limited: Targets that were chosen and found to be at their limit.
        includes_ejected: Whether ejected targets may be used.
    """

    def __init__(
        self,
        context: PoolContext,
        request: intake.GatewayRequest,
        tried: frozenset[str],
        members: list[target_list.ListedTarget],
    ):
        self.site = context.site
        self.pool = context.pool
        self.cache_planner = context.cache_planner
        self.request = request
        self.token_bytes = 0.0
        self.shared = cache_source.shared_parts(request)
        self.fetch_tokens_per_s_by_scope: dict[str, float] = {}
        self.model = request.prompt.model
        self.tried = tried
        self.now = clock.now()
        self.entries = {entry.target.name: entry for entry in members}
        self.views: list[target_choice.TargetView] = []
        self.lags: dict[str, weights_lib.WeightsLag] = {}
        self.estimates: dict[str, first_byte.Estimate] = {}
        self.limits = context.limits.limits
        self.limited: set[str] = set()
        self.includes_ejected = False

    def has_ejected(self) -> bool:
        """Returns whether an assessed target is excluded as ejected."""
        ejected = target_choice.Exclusion.EJECTED
        return any(view.exclusion is ejected for view in self.views)

    def include_ejected(self) -> None:
        """Restarts the assessment, with ejected targets."""
        self.includes_ejected = True
        self.views.clear()

    def exclude_limited(self, name: str) -> None:
        """Restarts the assessment, without targets at their limit.

        Args:
            name: The chosen target, which turned out to be at its limit.
        """
        self.limited.add(name)
        self.views.clear()

    def view(self, name: str) -> target_choice.TargetView:
        """Assesses one target."""
        target = self.entries[name].target
        state = self.site.state(name)
        expected = self._estimate(name, state)
        lag = self._lag(name, state, expected)
        self.estimates[name] = expected
        if lag is not None:
            self.lags[name] = lag
        view = target_choice.TargetView(
            name,
            target.data_centre,
            self._exclusion(name, state, lag),
            state.open_attempts,
            lag is not None and lag.grace is not weights_lib.WeightsGrace.FREE,
            self.pool.has_idle(target.address),
            expected,
        )
        self.views.append(view)
        return view

    def is_idle(self, name: str) -> bool:
        """Returns whether nothing runs on a target, as far as this host knows.

        Of other hosts' work it knows only the prompts queued for prefill.
        """
        state = self.site.state(name)
        return not state.open_attempts and not state.load.queued_tokens(
            self.now
        )

    def estimate_of(self, name: str) -> first_byte.Estimate:
        """Returns the first-byte estimate of an assessed target."""
        return self.estimates[name]

    def outdated_weights_fields(
        self, name: str | None
    ) -> dict[str, object] | None:
        """Returns log fields on the weights lag of the chosen target.

        Also counts the choice if the weights are outdated.
        """
        lag = self.lags.get(name) if name else None
        if lag is None:
            return None
        self.site.metrics.outdated_weights_choices.labels(lag.grace).inc()
        return {
            "held": lag.held,
            "newer": lag.newer,
            "age_s": round(lag.age_s, 3),
            "grace": lag.grace,
        }

    def summarize(self) -> list[str]:
        """Returns one line of text for each of the first assessed targets."""
        return [_summary(view) for view in self.views[:_MAX_SUMMARIES]]

    def _estimate(
        self, name: str, state: target_state.TargetState
    ) -> first_byte.Estimate:
        """Estimates when a target would begin its answer."""
        parts = self.request.prompt.parts
        shared_tokens = sum(tokens for _, tokens in self.shared)
        scope = self._cache_scope(name)
        needs = first_byte.PromptNeeds(
            shared_tokens,
            parts[-1].tokens if parts else 0,
            state.warm.count_cached_tokens(
                work_notice.checksum(scope), self.shared
            ),
            self._fetch_tokens_per_s(scope),
        )
        base_s = self.site.refresh_speed(name, self.now)
        urgency = self.site.effective_urgency(self.request.urgency)
        return first_byte.estimate(
            needs,
            state.load.queued_tokens(self.now, urgency),
            state.load.prefill_tokens_per_s,
            state.load.backlog_tokens(self.now),
            base_s,
        )

    def _cache_scope(self, name: str) -> str:
        """Returns the scope in which a target reuses cached prompt parts."""
        version = self.site.weights.held_version(name, self.model)
        return attempt_plan.cache_scope(
            self.request.organisation, self.model, version
        )

    def _fetch_tokens_per_s(self, scope: str) -> float:
        """Returns the rate of fetching the shared parts; 0 if impossible."""
        if not self.shared or not self.token_bytes:
            return 0.0
        if scope not in self.fetch_tokens_per_s_by_scope:
            bytes_per_s = self.cache_planner.fetch_bytes_per_s(
                self.request, scope
            )
            self.fetch_tokens_per_s_by_scope[scope] = (
                bytes_per_s / self.token_bytes
            )
        return self.fetch_tokens_per_s_by_scope[scope]

    def _lag(
        self,
        name: str,
        state: target_state.TargetState,
        expected: first_byte.Estimate,
    ) -> weights_lib.WeightsLag | None:
        """Predicts how far a target's weights lag when the request starts."""
        waits_s = max(state.first_byte_s, expected.queue_s)
        starts_at = self.now + min(waits_s, _MAX_EXPECTED_WAIT_S)
        return self.site.weights.lag(name, self.model, starts_at)

    def _exclusion(
        self,
        name: str,
        state: target_state.TargetState,
        lag: weights_lib.WeightsLag | None,
    ) -> target_choice.Exclusion | None:
        """Returns why a target cannot be used, or None."""
        if name in self.tried:
            return target_choice.Exclusion.TRIED
        if state.is_unreachable:
            return target_choice.Exclusion.UNREACHABLE
        if self.now < state.loading_until:
            return target_choice.Exclusion.LOADING
        if self.now < state.refused_until:
            return target_choice.Exclusion.REFUSING
        if self.site.backoffs.is_active(name, self.now):
            return target_choice.Exclusion.BACKING_OFF
        if lag and lag.grace is weights_lib.WeightsGrace.FORBIDDEN:
            return target_choice.Exclusion.OLD_WEIGHTS
        is_ejected = state.breaker.state(self.now) is health.BreakerState.OPEN
        if is_ejected and not self.includes_ejected:
            return target_choice.Exclusion.EJECTED
        if not self.site.brittle.may_send(name, self.now):
            return target_choice.Exclusion.BRITTLE
        if self._is_limited(name):
            return target_choice.Exclusion.LIMITED
        return None

    def _is_limited(self, name: str) -> bool:
        """Returns whether a target is excluded because of its limit.

        Limits are ignored until the chosen target turns out to be at its limit,
        so that the demand for each target is known. Only then are all targets
        checked.
        """
        if not self.limited:
            return False
        return name in self.limited or self.limits.is_exhausted(name, self.now)


def _summary(view: target_choice.TargetView) -> str:
    state = view.exclusion or ("behind" if view.behind else "open")
    text = f"{view.name} {state} running={view.running}"
    if view.expected is None or not view.expected.prefill_tokens:
        return text
    expected = view.expected
    return (
        f"{text} queue={expected.queue_s:.3f} fetch={expected.fetch_s:.3f}"
        f" read={expected.prefill_s:.3f}"
    )
