"""Turns beliefs into a plan for the next attempt of a request."""

from __future__ import annotations

import collections
import enum
import random
from typing import NamedTuple

from hillthread import clock
from hillthread import errors
from hillthread.coordination.gateway import site as site_lib
from hillthread.coordination.gateway.serving import cache_source
from hillthread.coordination.gateway.serving import intake
from hillthread.coordination.gateway.serving import limit_keeper
from hillthread.protocol import work_notice
from hillthread.state import attempt_plan
from hillthread.state import first_byte
from hillthread.state import health
from hillthread.state import objects
from hillthread.state import quarantine
from hillthread.state import target_choice
from hillthread.state import target_list
from hillthread.state import target_state
from hillthread.state import weights as weights_lib
from hillthread.transport import http1_client

__all__ = ["Apartness", "Chooser", "Planned"]

# First-byte time that old weights are worth, seconds.
_BEHIND_S = 0.3
# The same for each token of a copy of a prefix: it takes memory from another
# one, which is read again later.
_COPY_S = 1.0 / 50_000.0
# The same for an engine in another data centre, where prefixes are short or
# queues alike: a fifth less bytes cross. At 0.05 s a third less do, and prompts
# wait longer in the worst seconds.
_CROSSING_S = 0.02
# The same for a new connection, which takes an engine 1 ms and a round trip:
# as much as reading 200 tokens, so that prompts go where they are kept, and of
# engines alike in that to one that is connected.
_CONNECTING_S = 0.004
# A request waits in an engine's queue up to this long, as far as is foreseen.
_LONGEST_WAIT_S = 2.0
_NO_TARGET_RETRY_S = 0.3
_MAX_SUMMARIES = 8


class Apartness(enum.Enum):
    """From what a request is kept away under which targets may end."""

    NONE = enum.auto()
    SUSPECTS = enum.auto()
    ALL = enum.auto()

    @classmethod
    def of(cls, standing: quarantine.Standing) -> Apartness:
        """Returns what a request's standing asks for."""
        if standing.ends >= quarantine.CONVICTED_ENDS:
            return cls.ALL
        return cls.SUSPECTS if standing.is_suspect else cls.NONE


class Planned(NamedTuple):
    """A plan with what it rests on.

    Attributes:
        plan: What is asked of the target.
        pool: The pool it belongs to.
        estimate: Of the time to its first byte.
        attempt: Names the attempt; empty until it is made.
    """

    plan: attempt_plan.AttemptPlan
    pool: objects.Pool
    estimate: first_byte.Estimate
    attempt: str = ""


class _Look:
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
        chooser: Chooser,
        request: intake.GatewayRequest,
        tried: frozenset[str],
        members: list[target_list.ListedTarget],
    ):
        self.site = chooser.site
        self.pool = chooser.pool
        self.caches = chooser.caches
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

    def keep_limits(self, name: str) -> None:
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
            state.running,
            lag is not None and lag.grace is not weights_lib.WeightsGrace.FREE,
            self.pool.has_idle(target.address),
            expected,
        )
        self.views.append(view)
        return view

    def is_quiet(self, name: str) -> bool:
        """Returns whether nothing runs on a target, as far as this host knows.

        Of other hosts' work it knows what waits to be read.
        """
        state = self.site.state(name)
        return not state.running and not state.load.queued_tokens(self.now)

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
            state.warm.kept_tokens(work_notice.checksum(scope), self.shared),
            self._fetch_tokens_per_s(scope),
        )
        queued = state.load.queued_tokens(self.now)
        return first_byte.estimate(needs, queued, state.load.prefill_rate)

    def _scope(self, name: str) -> str:
        """Returns within which a target finds parts of the prompt again."""
        version = self.site.weights.held(name, self.model)
        return attempt_plan.cache_scope(
            self.request.organisation, self.model, version
        )

    def _fetch_tokens_per_s(self, scope: str) -> float:
        """Returns how fast the shared parts come from a store; 0 if not."""
        if not self.shared or not self.token_bytes:
            return 0.0
        if scope not in self.fetch_rates:
            bytes_per_s = self.caches.fetch_bytes_per_s(self.request, scope)
            self.fetch_rates[scope] = bytes_per_s / self.token_bytes
        return self.fetch_rates[scope]

    def _lag(
        self,
        name: str,
        state: target_state.TargetState,
        expected: first_byte.Estimate,
    ) -> weights_lib.WeightsLag | None:
        """Returns how a target's weights lag when a request starts there."""
        waits_s = max(state.seconds, expected.queue_s)
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
        if state.unreachable:
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


class Chooser:
    """Chooses targets from what the host believes.

    Attributes:
        site: The host's beliefs.
        pool: Connections to targets.
        limits: Keeps to the limits that targets name.
        caches: Adds to a plan where cached prefixes come from and go to.
        suspects_on: This host's unfinished attempts of requests under which
            targets may end, by target; only those above 0 are kept.
    """

    def __init__(
        self,
        site: site_lib.Site,
        pool: http1_client.ConnectionPool,
        limits: limit_keeper.LimitKeeper,
    ):
        self.site = site
        self.pool = pool
        self.limits = limits
        self.metrics = site.metrics
        self.caches = cache_source.CachePlanner(site, pool)
        self.suspects_on: collections.Counter[str] = collections.Counter()

    def plan(
        self,
        request: intake.GatewayRequest,
        tried: frozenset[str],
        last_event_id: int | None,
        apart: Apartness = Apartness.NONE,
    ) -> Planned:
        """Returns the plan of the next attempt.

        Args:
            request: The caller's request.
            tried: Targets that must not be taken again.
            last_event_id: Of the last event relayed; the stream goes on
                after it.
            apart: From what it is kept away, if there is a choice: targets
                may end under it.

        Raises:
            RefusalError: No target can be taken.
        """
        pool = self._pool(request.route)
        members = self.site.targets.members(pool) if pool else []
        look = _Look(self, request, tried, members)
        look.token_bytes = pool.cache_token_bytes if pool else 0.0
        names = self._apart(look, apart)
        choice = self._choose_within_limits(request, look, names)
        if choice.name is None and len(names) < len(look.entries):
            names = list(look.entries)
            choice = self._choose_within_limits(request, look, names)
        self.metrics.choices.labels(choice.reason).inc()
        request.story.note(
            "target_chosen" if choice.name else "no_target",
            target=choice.name,
            reason=choice.reason,
            rank=choice.rank,
            pool=pool.name if pool else None,
            configuration=self.site.table.position if self.site.table else -1,
            store_age_s=self.site.told_age_s(look.now),
            candidates=look.summaries(),
            targets=len(members),
            old_weights=look.lag_fields(choice.name),
        )
        if pool is None or choice.name is None:
            raise self._refusal(look)
        entry = self.site.targets.entries[choice.name]
        planned = self._planned(request, pool, entry, look, last_event_id)
        lag = look.lags.get(choice.name)
        plan = self.caches.complete(
            planned.plan, request, pool.cache_token_bytes
        )
        start_by = lag.start_by if lag else None
        return planned._replace(plan=plan._replace(start_by=start_by))

    def part_suspect(self, target: str) -> None:
        """Notes that an attempt of a suspect has ended."""
        self.suspects_on[target] -= 1
        if not self.suspects_on[target]:
            del self.suspects_on[target]

    def _pool(self, route: objects.Route) -> objects.Pool | None:
        """Returns one of the route's pools by their weights."""
        table = self.site.table
        parts = table.pool_shares(route) if table is not None else ()
        if not parts:
            return None
        if len(parts) == 1:
            return parts[0].pool
        return random.choices(
            [part.pool for part in parts], [part.weight for part in parts]
        )[0]

    def _refusal(self, look: _Look) -> errors.RefusalError:
        """Returns why no target can be taken."""
        limited = target_choice.Exclusion.LIMITED
        names = [view.name for view in look.views if view.exclusion is limited]
        if names:
            return self.limits.refusal(names, look.now)
        ends_at = [self.site.backoffs.ends_at(name) for name in look.entries]
        if ends_at and min(ends_at) > look.now:
            return _all_back_off(len(ends_at), min(ends_at) - look.now)
        return no_target()

    def _choose_within_limits(
        self, request: intake.GatewayRequest, look: _Look, names: list[str]
    ) -> target_choice.Choice:
        """Chooses a target that may be sent this request."""
        choice = self._choose(request, look, names)
        while choice.name and not self.limits.admit(choice.name, look.now):
            look.keep_limits(choice.name)
            choice = self._choose(request, look, names)
        return choice

    def _choose(
        self, request: intake.GatewayRequest, look: _Look, names: list[str]
    ) -> target_choice.Choice:
        if not request.prompt.parts:
            views = [look.view(name) for name in names]
            return target_choice.choose_plain(
                request.request_id, views, self.site.settings.data_centre
            )
        weights = target_choice.EngineWeights(
            _BEHIND_S, _COPY_S, _CROSSING_S, _CONNECTING_S
        )
        return target_choice.choose_engine(
            cache_source.affinity_key(request),
            names,
            look.view,
            weights,
            self.site.settings.data_centre,
        )

    def _apart(self, look: _Look, apart: Apartness) -> list[str]:
        """Returns the targets where a suspect may run.

        Those that ran on one target together would go on together to the next
        one where their prompts are warm, and could never be told apart. Of the
        others each still goes where it costs least.
        """
        names = list(look.entries)
        if apart is Apartness.NONE:
            return names
        free = [name for name in names if name not in self.suspects_on]
        if apart is Apartness.ALL:
            return [name for name in free if look.is_quiet(name)] or free
        return free

    def _planned(
        self,
        request: intake.GatewayRequest,
        pool: objects.Pool,
        entry: target_list.ListedTarget,
        look: _Look,
        last_event_id: int | None,
    ) -> Planned:
        target = entry.target
        model = request.prompt.model
        version = self.site.weights.held(target.name, model) if model else None
        plan = attempt_plan.AttemptPlan(
            target,
            request.tenant_name,
            request.seconds_left(),
            request.priority if model else None,
            model,
            version,
            request.organisation,
            last_event_id=last_event_id,
        )
        return Planned(plan, pool, look.expected(target.name))


def no_target() -> errors.RefusalError:
    """Returns the refusal of a request that no target can take now."""
    return errors.RefusalError(
        "no_target",
        503,
        "No target can take the request now.",
        "Try again after the time in Retry-After.",
        retry_after_s=_NO_TARGET_RETRY_S,
    )


def _all_back_off(count: int, ends_in_s: float) -> errors.RefusalError:
    """Returns the refusal of a request whose targets all shed load."""
    return errors.RefusalError(
        "targets_backing_off",
        503,
        f"All {count} targets shed load; the first takes requests again in "
        f"{ends_in_s:.2f} s.",
        "Try again after the time in Retry-After; operators see back-offs "
        "with `hillthread-ctl targets`.",
        retry_after_s=ends_in_s,
    )


def _summary(view: target_choice.TargetView) -> str:
    state = view.exclusion or ("behind" if view.behind else "open")
    text = f"{view.name} {state} running={view.running}"
    if view.expected is None or not view.expected.read_tokens:
        return text
    expected = view.expected
    return (
        f"{text} queue={expected.queue_s:.3f} fetch={expected.fetch_s:.3f}"
        f" read={expected.read_s:.3f}"
    )
