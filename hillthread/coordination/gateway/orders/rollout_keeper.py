"""Moves all targets to announced weights while this host gives orders."""

from __future__ import annotations

from collections.abc import Collection
import logging
from typing import NamedTuple

import anyio
import anyio.abc

from hillthread import clock
from hillthread import errors
from hillthread.coordination.gateway import site as site_lib
from hillthread.coordination.gateway.orders import order_duty
from hillthread.coordination.gateway.orders import order_lease
from hillthread.coordination.gateway.orders import weights_load
from hillthread.coordination.gateway.peers import work_feed
from hillthread.state.config import objects
from hillthread.state.targets import health
from hillthread.state.targets import rollout
from hillthread.state.targets import target_list
from hillthread.transport import connection_pool

__all__ = ["RolloutController"]

# Interval while targets hold old weights or load; the end of a load ends it
# early.
_ACTIVE_INTERVAL_S = 0.1
# Interval while there is nothing to order; announced weights end it early.
_IDLE_INTERVAL_S = 1.0

_logger = logging.getLogger("hillthread.orders")


class _PoolRollout(NamedTuple):
    """A model's rollout on the targets of a pool, which share the load limit.

    Attributes:
        model: Model whose weights the targets are to hold.
        members: All targets of the pool.
    """

    model: str
    members: list[target_list.ListedTarget]


class RolloutController:
    """Begins loads while this host gives orders.

    Attributes:
        site: The state of this host.
        leadership: Decides whether this host gives orders.
        plan: Tracks the loads in progress and selects the next ones.
        loader: Loads weights on single targets.
    """

    def __init__(
        self,
        site: site_lib.Site,
        lease: order_lease.OrderLease,
        pool: connection_pool.ConnectionPool,
        work: work_feed.WorkFeed,
        tasks: anyio.abc.TaskGroup,
    ):
        self.site = site
        self.metrics = site.metrics
        self.tasks = tasks
        self.leadership = order_duty.OrderLeadership(site, lease, work.source)
        self.plan = rollout.RolloutPlan()
        self.loader = weights_load.WeightsLoader(
            site, self.leadership, pool, self.plan, work
        )
        self._has_targets_behind = False
        self._load_ended = anyio.Event()

    @property
    def lease(self) -> order_lease.OrderLease:
        """The lease on giving orders."""
        return self.leadership.lease

    @property
    def loading(self) -> Collection[str]:
        """Targets on which this host is loading weights."""
        return self.plan.loading

    async def run(self) -> None:
        """Loads weights on targets that hold old ones, until cancelled."""
        while True:
            await self._wait()
            try:
                await self._run_once(clock.now())
            except errors.HillthreadError as error:
                _logger.warning(
                    "orders delayed",
                    extra={"event": "orders_held_up", "reason": str(error)},
                )
            self.metrics.holds_lease.set(self.lease.may_act())

    async def _wait(self) -> None:
        if self._has_targets_behind or self.loading:
            with anyio.move_on_after(_ACTIVE_INTERVAL_S):
                await self._load_ended.wait()
            return
        with anyio.move_on_after(_IDLE_INTERVAL_S):
            await self.site.weights_announced.wait()

    async def _run_once(self, now: float) -> None:
        self._load_ended = anyio.Event()
        await self.leadership.release_if_cut_off()
        self.plan.keep_only(self.site.targets.entries)
        pool_rollouts = self._pool_rollouts()
        self._has_targets_behind = bool(pool_rollouts)
        if not pool_rollouts:
            if not self.loading:
                await self.leadership.mark_idle(now)
            return
        if not any(
            self._next_targets(pool_rollout, now)
            for pool_rollout in pool_rollouts
        ):
            return
        if not await self.leadership.try_acquire(now):
            return
        now = clock.now()
        for pool_rollout in pool_rollouts:
            self._begin_loads(pool_rollout, now)

    def _pool_rollouts(self) -> list[_PoolRollout]:
        """Returns the pools in which targets hold old weights."""
        table = self.site.table
        if table is None:
            return []
        tracker = self.site.weights
        pool_rollouts = [
            _PoolRollout(model, self.site.targets.members(pool))
            for model in tracker.newest
            for pool in table.pools_serving(model)
        ]
        return [
            pool_rollout
            for pool_rollout in pool_rollouts
            if rollout.targets_behind(
                pool_rollout.members, pool_rollout.model, tracker
            )
        ]

    def _next_targets(
        self, pool_rollout: _PoolRollout, now: float
    ) -> list[target_list.ListedTarget]:
        lost = self._out_of_service(now)
        return self.plan.next_targets(
            pool_rollout.members,
            pool_rollout.model,
            self.site.weights,
            lost,
            now,
            lambda name: self.site.expected_queue_s(name, now),
        )

    def _out_of_service(self, now: float) -> set[str]:
        """Returns the targets that requests of this host do not reach."""
        return {
            name
            for name, state in self.site.states.items()
            if state.is_unreachable
            or state.breaker.state(now) is health.BreakerState.OPEN
        }

    def _begin_loads(self, pool_rollout: _PoolRollout, now: float) -> None:
        """Begins as many loads as the plan allows."""
        peers = self.plan.unreplaced_names(pool_rollout.members)
        for entry in self._next_targets(pool_rollout, now):
            self.plan.begin_load(entry.target.name, peers, now)
            self.tasks.start_soon(self._load, entry.target, pool_rollout.model)

    async def _load(self, target: objects.Target, model: str) -> None:
        await self.loader.load(target, model)
        self._load_ended.set()
