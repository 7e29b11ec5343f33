"""Turns beliefs into a plan for the next attempt of a request."""

from __future__ import annotations

import collections
import enum
import random
from typing import NamedTuple

from hillthread import errors
from hillthread.coordination.gateway import site as site_lib
from hillthread.coordination.gateway.serving import cache_source
from hillthread.coordination.gateway.serving import intake
from hillthread.coordination.gateway.serving import limit_keeper
from hillthread.coordination.gateway.serving import pool_view
from hillthread.state.config import objects
from hillthread.state.routing import attempt_plan
from hillthread.state.routing import first_byte
from hillthread.state.routing import target_choice
from hillthread.state.targets import quarantine
from hillthread.state.targets import target_list
from hillthread.transport import http1_client

__all__ = ["AntiAffinity", "Chooser", "PlannedAttempt"]

# First-byte time that old weights are worth, seconds.
_BEHIND_S = 0.3
# The same for each token of a copy of a prefix: it takes memory from another
# one, which is read again later.
_COPY_S = 1.0 / 50_000.0
# The same for an engine in another data centre: it decides where prefixes are
# short or queues alike, and prompts do not wait for it.
_CROSSING_S = 0.02
# The same for a new connection: less than reading a short prefix, so that it
# decides among engines that are alike otherwise.
_CONNECTING_S = 0.004
_NO_TARGET_RETRY_S = 0.3


class AntiAffinity(enum.Enum):
    """From what a request is kept away under which targets may end."""

    NONE = enum.auto()
    SUSPECTS = enum.auto()
    ALL = enum.auto()

    @classmethod
    def for_standing(
        cls, standing: quarantine.QuarantineStatus
    ) -> AntiAffinity:
        """Returns what a request's standing asks for."""
        if standing.ends >= quarantine.CULPRIT_MIN_ENDS:
            return cls.ALL
        return cls.SUSPECTS if standing.is_suspect else cls.NONE


class PlannedAttempt(NamedTuple):
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
    attempt_id: str = ""


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
        self.cache_planner = cache_source.CachePlanner(site, pool)
        self.suspect_attempts: collections.Counter[str] = collections.Counter()

    def plan(
        self,
        request: intake.GatewayRequest,
        tried: frozenset[str],
        last_event_id: int | None,
        apart: AntiAffinity = AntiAffinity.NONE,
    ) -> PlannedAttempt:
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
        look = pool_view.PoolView(self, request, tried, members)
        look.token_bytes = pool.cache_token_bytes if pool else 0.0
        names = self._apart(look, apart)
        choice = self._choose_within_limits(request, look, names)
        if choice.name is None and len(names) < len(look.entries):
            names = list(look.entries)
            choice = self._choose_within_limits(request, look, names)
        self.metrics.choices.labels(choice.reason).inc()
        request.log.note(
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
        plan = self.cache_planner.add_cache_store(
            planned.plan, request, pool.cache_token_bytes
        )
        start_by = lag.start_by if lag else None
        return planned._replace(plan=plan._replace(start_by=start_by))

    def note_suspect_ended(self, target: str) -> None:
        """Notes that an attempt of a suspect has ended."""
        self.suspect_attempts[target] -= 1
        if not self.suspect_attempts[target]:
            del self.suspect_attempts[target]

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

    def _refusal(self, look: pool_view.PoolView) -> errors.RefusalError:
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
        self,
        request: intake.GatewayRequest,
        look: pool_view.PoolView,
        names: list[str],
    ) -> target_choice.Choice:
        """Chooses a target that may be sent this request."""
        choice = self._choose(request, look, names)
        while choice.name and not self.limits.admit(choice.name, look.now):
            look.exclude_limited(choice.name)
            choice = self._choose(request, look, names)
        return choice

    def _choose(
        self,
        request: intake.GatewayRequest,
        look: pool_view.PoolView,
        names: list[str],
    ) -> target_choice.Choice:
        if not request.prompt.parts:
            views = [look.view(name) for name in names]
            return target_choice.choose_least_busy(
                request.request_id, views, self.site.settings.data_centre
            )
        weights = target_choice.EngineCosts(
            _BEHIND_S, _COPY_S, _CROSSING_S, _CONNECTING_S
        )
        return target_choice.choose_engine(
            cache_source.affinity_key(request),
            names,
            look.view,
            weights,
            self.site.settings.data_centre,
        )

    def _apart(
        self, look: pool_view.PoolView, apart: AntiAffinity
    ) -> list[str]:
        """Returns the targets where a suspect may run.

        Those that ran on one target together would go on together to the next
        one where their prompts are warm, and could never be told apart. Of the
        others each still goes where it costs least.
        """
        names = list(look.entries)
        if apart is AntiAffinity.NONE:
            return names
        free = [name for name in names if name not in self.suspect_attempts]
        if apart is AntiAffinity.ALL:
            return [name for name in free if look.is_idle(name)] or free
        return free

    def _planned(
        self,
        request: intake.GatewayRequest,
        pool: objects.Pool,
        entry: target_list.ListedTarget,
        look: pool_view.PoolView,
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
            request.priority if model else None,
            model,
            version,
            request.organisation,
            last_event_id=last_event_id,
        )
        return PlannedAttempt(plan, pool, look.expected(target.name))


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
