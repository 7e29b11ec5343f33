"""Chooses the target and plans the next attempt of a request."""

from __future__ import annotations

import collections
import enum
import random
from typing import NamedTuple

from hillthread import errors
from hillthread.coordination.gateway import site as site_lib
from hillthread.coordination.gateway.serving import admission as admission_lib
from hillthread.coordination.gateway.serving import cache_source
from hillthread.coordination.gateway.serving import intake
from hillthread.coordination.gateway.serving import limit_keeper
from hillthread.coordination.gateway.serving import pool_view
from hillthread.coordination.gateway.serving import prompt_scheduler
from hillthread.coordination.gateway.serving import stream_binding
from hillthread.state.config import objects
from hillthread.state.routing import attempt_plan
from hillthread.state.routing import first_byte
from hillthread.state.routing import stream_origin
from hillthread.state.routing import target_choice
from hillthread.state.targets import quarantine
from hillthread.state.targets import target_list
from hillthread.transport import connection_pool

__all__ = ["NO_TARGET", "AntiAffinity", "Chooser", "PlannedAttempt"]

# Error code of a request for which no target is available.
NO_TARGET = "no_target"

# The costs below are added to an engine's expected time to the first byte when
# engines are compared.
#
# Cost of an engine that holds outdated weights.
_OUTDATED_WEIGHTS_COST_S = 0.3
# Cost of each token of a further copy of a prefix. The copy takes memory from
# another prefix, which has to be prefilled again later.
_COPY_COST_S_PER_TOKEN = 1.0 / 50_000.0
# Cost of an engine in another data centre. It decides where prefixes are short
# or queues are alike, but is too small for prompts to wait for a local engine.
_OTHER_DATA_CENTRE_COST_S = 0.02
# Cost of a new connection. It is less than the time to prefill a short prefix,
# so that it only decides between engines that are alike otherwise.
_NEW_CONNECTION_COST_S = 0.004
_NO_TARGET_RETRY_S = 0.3
# Callers wait for at most a third of their remaining time.
_MAX_BRITTLE_RETRY_S = 2.0


class AntiAffinity(enum.Enum):
    """Which attempts a request must not share a target with.

    Applies to requests that are suspected of crashing targets.

    Attributes:
        NONE: Any target may be used.
        SUSPECTS: Targets without attempts of other suspects on this host.
        ALL: As `SUSPECTS`, and idle targets if there are any.
    """

    NONE = enum.auto()
    SUSPECTS = enum.auto()
    ALL = enum.auto()

    @classmethod
    def for_admission(cls, admission: admission_lib.Admission) -> AntiAffinity:
        """Returns the level that the quarantine requires of a request."""
        is_culprit = admission.status.ends >= quarantine.CULPRIT_MIN_CRASHES
        if is_culprit or admission.is_part_trial:
            return cls.ALL
        return cls.SUSPECTS if admission.is_suspect else cls.NONE


class PlannedAttempt(NamedTuple):
    """An attempt that is planned but not made yet.

    Attributes:
        plan: Which target gets the request, and with which parameters.
        pool: The pool of the target.
        estimate: The estimated time to the first byte.
        attempt_id: Identifies the attempt; empty until it is made.
    """

    plan: attempt_plan.AttemptPlan
    pool: objects.Pool
    estimate: first_byte.Estimate
    attempt_id: str = ""


class Chooser:
    """Chooses targets by the host's view of the site.

    Attributes:
        site: The host's view of the site.
        pool: Connections to targets.
        limits: Enforces the limits that targets name.
        metrics: The gateway's metrics.
        cache_planner: Adds to a plan where cached prefixes are fetched from and
            saved to.
        scheduler: Decides whether prompts are sent, deferred or refused.
        suspect_attempts: Number of this host's unfinished attempts of requests
            suspected of crashing targets, by target; only numbers above 0 are
            kept.
    """

    def __init__(
        self,
        site: site_lib.Site,
        pool: connection_pool.ConnectionPool,
        limits: limit_keeper.LimitKeeper,
    ):
        self.site = site
        self.pool = pool
        self.limits = limits
        self.metrics = site.metrics
        self.cache_planner = cache_source.CachePlanner(site, pool)
        self.scheduler = prompt_scheduler.PromptScheduler(site)
        self.suspect_attempts: collections.Counter[str] = collections.Counter()

    def plan(
        self,
        request: intake.GatewayRequest,
        tried: frozenset[str],
        last_event_id: int | None,
        anti_affinity: AntiAffinity = AntiAffinity.NONE,
    ) -> PlannedAttempt:
        """Returns the plan of the next attempt.

        Args:
            request: The caller's request.
            tried: Targets that must not be used again.
            last_event_id: Id of the last event relayed; the stream resumes
                after it.
            anti_affinity: Which targets are avoided if others are available.

        Raises:
            RefusalError: No target is available.
        """
        pool = self.choose_pool(request)
        origin = request.stream_origin
        members = self._list_members(pool, origin) if pool else []
        if origin is not None and not members:
            raise stream_binding.make_gone_error(origin)
        targets_view = pool_view.PoolView(self, request, tried, members)
        targets_view.token_bytes = pool.cache_token_bytes if pool else 0.0
        names = self._apply_anti_affinity(targets_view, anti_affinity)
        choice = self._choose_within_limits(request, targets_view, names)
        if choice.name is None and len(names) < len(targets_view.entries):
            names = list(targets_view.entries)
            choice = self._choose_within_limits(request, targets_view, names)
        if (
            choice.name is None
            and request.repeatable
            and targets_view.has_ejected()
        ):
            # If all targets fail, some of their runs may still succeed.
            targets_view.include_ejected()
            choice = self._choose_within_limits(request, targets_view, names)
        self.metrics.choices.labels(choice.reason).inc()
        entry = targets_view.entries.get(choice.name) if choice.name else None
        request.log.note(
            "target_chosen" if choice.name else "no_target",
            target=choice.name,
            release=entry.release if entry else None,
            reason=choice.reason,
            rank=choice.rank,
            pool=pool.name if pool else None,
            configuration=self.site.table.position if self.site.table else -1,
            store_age_s=self.site.rounded_age_s(targets_view.now),
            candidates=targets_view.summarize(),
            targets=len(members),
            old_weights=targets_view.outdated_weights_fields(choice.name),
        )
        if pool is None or choice.name is None or entry is None:
            raise self._refusal(targets_view)
        planned = self._create_planned_attempt(
            request, pool, entry, targets_view, last_event_id
        )
        lag = targets_view.lags.get(choice.name)
        plan = self.cache_planner.add_cache_store(
            planned.plan, request, pool.cache_token_bytes
        )
        start_by = lag.start_by if lag else None
        return planned._replace(plan=plan._replace(start_by=start_by))

    def find_unreachable_pool(
        self, request: intake.GatewayRequest
    ) -> objects.Pool | None:
        """Returns a pool of the route that this host cannot reach, if any.

        Of a route with several pools one is chosen by their weights. Of a bound
        stream only the targets that may continue it count.
        """
        pool = self.choose_pool(request)
        if pool is None:
            return None
        members = self._list_members(pool, request.stream_origin)
        return pool if self.site.are_unreachable(members) else None

    def can_continue(self, request: intake.GatewayRequest) -> bool:
        """Returns whether any listed target may continue a bound stream."""
        pool = self.choose_pool(request)
        return pool is not None and bool(
            self._list_members(pool, request.stream_origin)
        )

    def note_suspect_ended(self, target: str) -> None:
        """Counts down a target's attempts of suspected requests."""
        self.suspect_attempts[target] -= 1
        if not self.suspect_attempts[target]:
            del self.suspect_attempts[target]

    def choose_pool(
        self, request: intake.GatewayRequest
    ) -> objects.Pool | None:
        """Returns one of the route's pools at random by their weights.

        A bound stream stays in its pool, whatever the weight of that is.
        """
        table = self.site.table
        shares = table.pool_shares(request.route) if table is not None else ()
        origin = request.stream_origin
        if origin is not None:
            pools = (share.pool for share in shares)
            return next((p for p in pools if p.name == origin.pool), None)
        if not shares:
            return None
        if len(shares) == 1:
            return shares[0].pool
        return random.choices(
            [share.pool for share in shares], [share.weight for share in shares]
        )[0]

    def _list_members(
        self, pool: objects.Pool, origin: stream_origin.StreamOrigin | None
    ) -> list[target_list.ListedTarget]:
        """Returns the targets of a pool that may serve a stream.

        Args:
            pool: The pool.
            origin: The software that began the stream; None for a new one.
        """
        members = self.site.targets.members(pool)
        if origin is None:
            return members
        if not origin.release:
            return []
        return [each for each in members if each.release == origin.release]

    def _refusal(self, targets_view: pool_view.PoolView) -> errors.RefusalError:
        """Returns the refusal that tells why no target is available."""
        limited = target_choice.Exclusion.LIMITED
        names = [
            view.name
            for view in targets_view.views
            if view.exclusion is limited
        ]
        if names:
            return self.limits.refusal(names, targets_view.now)
        brittle = [
            view.name
            for view in targets_view.views
            if view.exclusion is target_choice.Exclusion.BRITTLE
        ]
        if brittle:
            return self.brittle_refusal(brittle, targets_view.now)
        ends_at = [
            self.site.backoffs.ends_at(name) for name in targets_view.entries
        ]
        if ends_at and min(ends_at) > targets_view.now:
            return _all_backing_off(
                len(ends_at), min(ends_at) - targets_view.now
            )
        return _no_target()

    def brittle_refusal(
        self, names: list[str], now: float
    ) -> errors.RefusalError:
        """Returns the refusal of a request that only brittle targets serve."""
        wait_s = min(self.site.brittle.wait_s(name, now) for name in names)
        wait_s = min(_MAX_BRITTLE_RETRY_S, max(_NO_TARGET_RETRY_S, wait_s))
        return errors.RefusalError(
            "targets_brittle",
            503,
            f"{len(names)} targets that crash when they refuse too much have "
            "as many requests as they can take.",
            "Try again after the time in Retry-After; operators see such "
            "targets with `hillthread-ctl targets`.",
            retry_after_s=wait_s,
        )

    def _choose_within_limits(
        self,
        request: intake.GatewayRequest,
        targets_view: pool_view.PoolView,
        names: list[str],
    ) -> target_choice.Choice:
        """Chooses a target whose limit allows this request."""
        choice = self._choose(request, targets_view, names)
        while choice.name and not self.limits.admit(
            choice.name, targets_view.now
        ):
            targets_view.exclude_limited(choice.name)
            choice = self._choose(request, targets_view, names)
        return choice

    def _choose(
        self,
        request: intake.GatewayRequest,
        targets_view: pool_view.PoolView,
        names: list[str],
    ) -> target_choice.Choice:
        if not request.prompt.parts:
            views = [targets_view.view(name) for name in names]
            return target_choice.choose_least_busy(
                request.request_id, views, self.site.settings.data_centre
            )
        costs = target_choice.EngineCosts(
            _OUTDATED_WEIGHTS_COST_S,
            _COPY_COST_S_PER_TOKEN,
            _OTHER_DATA_CENTRE_COST_S,
            _NEW_CONNECTION_COST_S,
        )
        return target_choice.choose_engine(
            cache_source.affinity_key(request),
            names,
            targets_view.view,
            costs,
            self.site.settings.data_centre,
        )

    def _apply_anti_affinity(
        self, targets_view: pool_view.PoolView, anti_affinity: AntiAffinity
    ) -> list[str]:
        """Returns the targets where a suspected request may run.

        Suspects that ran together on one target would otherwise move together
        to the next one that has their prompts cached, and it would stay unknown
        which of them crashes targets. Among the remaining targets the cheapest
        is still chosen.
        """
        names = list(targets_view.entries)
        if anti_affinity is AntiAffinity.NONE:
            return names
        allowed = [name for name in names if name not in self.suspect_attempts]
        if anti_affinity is AntiAffinity.ALL:
            return [
                name for name in allowed if targets_view.is_idle(name)
            ] or allowed
        return allowed

    def _create_planned_attempt(
        self,
        request: intake.GatewayRequest,
        pool: objects.Pool,
        entry: target_list.ListedTarget,
        targets_view: pool_view.PoolView,
        last_event_id: int | None,
    ) -> PlannedAttempt:
        target = entry.target
        model = request.prompt.model
        version = (
            self.site.weights.held_version(target.name, model)
            if model
            else None
        )
        plan = attempt_plan.AttemptPlan(
            target,
            request.tenant_name,
            request.seconds_left(),
            request.urgency if model else None,
            model,
            version,
            request.organisation,
            last_event_id=last_event_id,
            release=entry.release,
        )
        return PlannedAttempt(plan, pool, targets_view.estimate_of(target.name))


def _no_target() -> errors.RefusalError:
    """Returns the refusal of a request for which no target is available."""
    return errors.RefusalError(
        NO_TARGET,
        503,
        "No target can take the request now.",
        "Try again after the time in Retry-After.",
        retry_after_s=_NO_TARGET_RETRY_S,
    )


def _all_backing_off(count: int, ends_in_s: float) -> errors.RefusalError:
    """Returns the refusal of a request whose targets are all backing off."""
    return errors.RefusalError(
        "targets_backing_off",
        503,
        f"All {count} targets are backing off; the first accepts requests "
        f"again in {ends_in_s:.2f} s.",
        "Try again after the time in Retry-After; operators see back-offs "
        "with `hillthread-ctl targets`.",
        retry_after_s=ends_in_s,
    )
