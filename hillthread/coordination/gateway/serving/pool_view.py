"""How the targets of a pool look for one request."""

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
from hillthread.transport import http1_client

__all__ = ["PoolKnowledge", "PoolView"]

# A request waits in an engine's queue up to this long, as far as is foreseen.
_LONGEST_WAIT_S = 2.0
_MAX_SUMMARIES = 8


class PoolKnowledge(Protocol):
    """What a view is made from.

    Attributes:
        site: The host's beliefs.
        pool: Connections to targets.
        limits: Enforces the limits of targets.
        caches: Knows where cached prefixes come from.
    """

    site: site_lib.Site
    pool: http1_client.ConnectionPool
    limits: limit_keeper.LimitKeeper
    cache_planner: cache_source.CachePlanner


class PoolView:
    """How the targets of a pool look for one request, now.

    Attributes:
        now: Seconds.
        entries: The targets, by name.
        views: Those that were looked at.
        lags: How the weights of these lag behind, where they do.
        limited: Targets that may not be sent more now.
    """

    def __init__(
        self,
        chooser: PoolKnowledge,
        request: intake.GatewayRequest,
        tried: frozenset[str],
        members: list[target_list.ListedTarget],
    ):
        self.site = chooser.site
        self.pool = chooser.pool
        self.cache_planner = chooser.cache_planner
        self.request = request
        self.token_bytes = 0.0
        self.shared = cache_source.shared_parts(request)
        self.fetch_rates: dict[str, float] = {}
        self.model = request.prompt.model
        self.tried = tried
        self.now = clock.now()
        self.entries = {entry.target.name: entry for entry in members}
        self.views: list[target_choice.TargetView] = []
        self.lags: dict[str, weights_lib.WeightsLag] = {}
        self.estimates: dict[str, first_byte.Estimate] = {}
        self.limits = chooser.limits.limits
        self.limited: set[str] = set()

    def exclude_limited(self, name: str) -> None:
        """Looks anew, at no target that may not be sent more."""
        self.limited.add(name)
        self.views.clear()

    def view(self, name: str) -> target_choice.TargetView:
        """Returns how one target looks."""
        target = self.entries[name].target
        state = self.site.state(name)
        expected = self._expect(name, state)
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

        Of other hosts' work it knows what waits to be read.
        """
        state = self.site.state(name)
        return not state.open_attempts and not state.load.queued_tokens(
            self.now
        )

    def expected(self, name: str) -> first_byte.Estimate:
        """Returns the estimate of a target that was looked at."""
        return self.estimates[name]

    def lag_fields(self, name: str | None) -> dict[str, object] | None:
        """Returns how the chosen target's weights lag, for a log line."""
        lag = self.lags.get(name) if name else None
        if lag is None:
            return None
        self.site.metrics.old_weights.labels(lag.grace).inc()
        return {
            "held": lag.held,
            "newer": lag.newer,
            "age_s": round(lag.age_s, 3),
            "grace": lag.grace,
        }

    def summaries(self) -> list[str]:
        """Returns what was seen of the targets looked at, in words."""
        return [_summary(view) for view in self.views[:_MAX_SUMMARIES]]

    def _expect(
        self, name: str, state: target_state.TargetState
    ) -> first_byte.Estimate:
        """Returns when a target is expected to begin its answer."""
        parts = self.request.prompt.parts
        shared_tokens = sum(tokens for _, tokens in self.shared)
        scope = self._scope(name)
        needs = first_byte.PromptNeeds(
            shared_tokens,
            parts[-1].tokens if parts else 0,
            state.warm.count_cached_tokens(
                work_notice.checksum(scope), self.shared
            ),
            self._fetch_tokens_per_s(scope),
        )
        queued = state.load.queued_tokens(self.now)
        return first_byte.estimate(
            needs, queued, state.load.prefill_tokens_per_s
        )

    def _scope(self, name: str) -> str:
        """Returns within which a target finds parts of the prompt again."""
        version = self.site.weights.held_version(name, self.model)
        return attempt_plan.cache_scope(
            self.request.organisation, self.model, version
        )

    def _fetch_tokens_per_s(self, scope: str) -> float:
        """Returns how fast the shared parts come from a store; 0 if not."""
        if not self.shared or not self.token_bytes:
            return 0.0
        if scope not in self.fetch_rates:
            bytes_per_s = self.cache_planner.fetch_bytes_per_s(
                self.request, scope
            )
            self.fetch_rates[scope] = bytes_per_s / self.token_bytes
        return self.fetch_rates[scope]

    def _lag(
        self,
        name: str,
        state: target_state.TargetState,
        expected: first_byte.Estimate,
    ) -> weights_lib.WeightsLag | None:
        """Returns how a target's weights lag when a request starts there."""
        waits_s = max(state.first_byte_s, expected.queue_s)
        starts_at = self.now + min(waits_s, _LONGEST_WAIT_S)
        return self.site.weights.lag(name, self.model, starts_at)

    def _exclusion(
        self,
        name: str,
        state: target_state.TargetState,
        lag: weights_lib.WeightsLag | None,
    ) -> target_choice.Exclusion | None:
        """Returns why a target cannot be taken, or None."""
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
        if state.breaker.state(self.now) is health.BreakerState.OPEN:
            return target_choice.Exclusion.EJECTED
        if self._is_limited(name):
            return target_choice.Exclusion.LIMITED
        return None

    def _is_limited(self, name: str) -> bool:
        """Returns whether a target may not be sent more.

        At first none is, so that how much is asked of a target is known: only
        when the choice falls on one that may not be sent more are all looked
        at for it.
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
