"""Moves all targets to newly named weights while this host has the duty."""

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
from hillthread.transport import http1_client

__all__ = ["RolloutController"]

_TICK_S = 0.1
# Without anything to order; newly named weights end the pause.
_IDLE_TICK_S = 1.0

_logger = logging.getLogger("hillthread.orders")


class _Wave(NamedTuple):
    """Targets that share the room for loads.

    Attributes:
        model: Whose weights they are to hold.
        members: All targets of a pool.
    """

    model: str
    members: list[target_list.ListedTarget]


class RolloutController:
    """Begins loads while this host has the duty of giving orders.

    Attributes:
        site: The host's beliefs.
        duty: Whether this host gives orders.
        plan: Which loads are under way, and which come next.
        loader: Moves single targets.
    """

    def __init__(
        self,
        site: site_lib.Site,
        lease: order_lease.OrderLease,
        pool: http1_client.ConnectionPool,
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
        self._behind = False
        self._load_ended = anyio.Event()

    @property
    def lease(self) -> order_lease.OrderLease:
        """The lease on giving orders."""
        return self.leadership.lease

    @property
    def loading(self) -> Collection[str]:
        """Targets that this host is moving."""
        return self.plan.loading

    async def run(self) -> None:
        """Watches for targets with old weights until cancelled."""
        while True:
            await self._pause()
            try:
                await self._turn(clock.now())
            except errors.HillthreadError as error:
                _logger.warning(
                    "orders held up",
                    extra={"event": "orders_held_up", "reason": str(error)},
                )
            self.metrics.holds_lease.set(self.lease.may_act())

    async def _pause(self) -> None:
        if self._behind or self.loading:
            with anyio.move_on_after(_TICK_S):
                await self._load_ended.wait()
            return
        with anyio.move_on_after(_IDLE_TICK_S):
            await self.site.weights_named.wait()

    async def _turn(self, now: float) -> None:
        self._load_ended = anyio.Event()
        self.plan.keep_only(self.site.targets.entries)
        waves = self._waves()
        self._behind = bool(waves)
        if not waves:
            if not self.loading:
                await self.leadership.mark_idle(now)
            return
        if not any(self._next(wave, now) for wave in waves):
            return
        if not await self.leadership.try_acquire(now):
            return
        now = clock.now()
        for wave in waves:
            self._begin(wave, now)

    def _waves(self) -> list[_Wave]:
        """Returns the pools in which targets hold old weights."""
        table = self.site.table
        if table is None:
            return []
        board = self.site.weights
        waves = [
            _Wave(model, self.site.targets.members(pool))
            for model in board.newest
            for pool in table.pools_serving(model)
        ]
        return [
            wave
            for wave in waves
            if rollout.targets_behind(wave.members, wave.model, board)
        ]

    def _next(self, wave: _Wave, now: float) -> list[target_list.ListedTarget]:
        lost = self._out_of_service(now)
        return self.plan.next_targets(
            wave.members, wave.model, self.site.weights, lost, now
        )

    def _out_of_service(self, now: float) -> set[str]:
        """Returns the targets that requests of this host do not reach."""
        return {
            name
            for name, state in self.site.states.items()
            if state.is_unreachable
            or state.breaker.state(now) is health.BreakerState.OPEN
        }

    def _begin(self, wave: _Wave, now: float) -> None:
        """Begins the loads for which there is room."""
        peers = self.plan.unreplaced_names(wave.members)
        for entry in self._next(wave, now):
            self.plan.begin_load(entry.target.name, peers, now)
            self.tasks.start_soon(self._load, entry.target, wave.model)

    async def _load(self, target: objects.Target, model: str) -> None:
        await self.loader.load(target, model)
        self._load_ended.set()
