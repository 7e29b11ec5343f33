"""Moves targets to newly named weights, by orders under the lease."""

from __future__ import annotations

import enum
import logging
import random
import time
from typing import NamedTuple

import anyio
import anyio.abc

from hillthread import errors
from hillthread.coordination.gateway import order_lease
from hillthread.coordination.gateway import site as site_lib
from hillthread.platform import orders
from hillthread.platform import targets as targets_lib
from hillthread.state import feed_source
from hillthread.state import rollout
from hillthread.state import target_list
from hillthread.transport import http1_client

__all__ = ["LoadEnd", "RolloutKeeper"]

STRATEGY = "retain"
_TICK_S = 0.1
# Without anything to order; newly named weights end the pause.
_IDLE_TICK_S = 1.0
_POLL_S = 0.2
# A load takes under a second; requests that run end before it begins.
_LOAD_LIMIT_S = 4.0
# An unanswered order may still arrive; the engine's count of orders tells.
_UNANSWERED_S = 1.0
# The first to contend wins: hosts step in by their rank for the duty.
_DUTY = "orders"
_FIRST_SPREAD_S = 0.05
_RANK_PATIENCE_S = 0.2
# A holder that lives renews at once when weights are named.
_HOLDER_PATIENCE_S = 1.5
_PATIENCE_SPREAD_S = 0.3
# Hosts of lower rank do not read the lease after a rollout.
_LOOKING_HOSTS = 8
_LOOK_AFTER_S = 1.0

_logger = logging.getLogger("hillthread.orders")


class LoadEnd(enum.StrEnum):
    """How the load of one target ended."""

    HELD = "held"
    NO_REPORT = "no_report"
    NO_LEASE = "no_lease"
    NOT_TAKEN = "not_taken"
    TARGET_GONE = "target_gone"
    TOO_LONG = "too_long"
    FAILED = "failed"


class _Job(NamedTuple):
    """A load to be ordered."""

    entry: target_list.ListedTarget
    model: str
    version: int


class RolloutKeeper:
    """Gives orders while this host holds the lease.

    Attributes:
        site: The host's beliefs.
        lease: On giving orders.
        hosts: All hosts: those that rank first for orders step in first.
        loading: Targets that this host is moving.
    """

    def __init__(
        self,
        site: site_lib.Site,
        lease: order_lease.OrderLease,
        pool: http1_client.ConnectionPool,
        hosts: feed_source.FeedSource,
        tasks: anyio.abc.TaskGroup,
    ):
        self.site = site
        self.lease = lease
        self.pool = pool
        self.hosts = hosts
        self.metrics = site.metrics
        self.tasks = tasks
        self.loading: set[str] = set()
        self._behind_since: float | None = None
        self._wait_s = 0.0
        self._looked = True

    async def run(self) -> None:
        """Watches for targets with old weights until cancelled."""
        while True:
            await self._pause()
            try:
                await self._turn(time.monotonic())
            except errors.HillthreadError as error:
                _logger.warning(
                    "orders held up",
                    extra={"event": "orders_held_up", "reason": str(error)},
                )
            self.metrics.holds_lease.set(self.lease.may_act())

    async def _pause(self) -> None:
        if self._behind_since is not None or self.loading:
            await anyio.sleep(_TICK_S)
            return
        with anyio.move_on_after(_IDLE_TICK_S):
            await self.site.weights_named.wait()

    async def _turn(self, now: float) -> None:
        jobs = self._due()
        if not jobs:
            await self._settle(now)
            return
        if self._behind_since is None:
            self._behind_since = now
            self._wait_s = self._patience_s()
        self._looked = False
        if now - self._behind_since < self._wait_s or self._stops():
            return
        if not await self.lease.ensure():
            self._behind_since = now
            self._wait_s = self._patience_s()
            return
        for job in jobs:
            self.loading.add(job.entry.target.name)
            self.tasks.start_soon(self._load, job)

    async def _settle(self, now: float) -> None:
        """Reads the lease once after a rollout.

        Who knows since when a holder has been silent can follow it without a
        wait when the next weights are named.
        """
        if self.loading or self._looked:
            return
        if self._behind_since is not None:
            self._behind_since = None
            self._wait_s = now + _LOOK_AFTER_S
        if now < self._wait_s:
            return
        self._looked = True
        looks = self.hosts.rank_among_all(_DUTY) < _LOOKING_HOSTS
        if looks and not self.lease.is_holder:
            await self.lease.catch_up()

    def _stops(self) -> bool:
        """Returns whether this host must not begin orders any more.

        A holder goes on until the host is about to end: another one would
        have to wait for its lease.
        """
        if self.site.closing:
            return True
        return self.site.draining and not self.lease.is_holder

    def _patience_s(self) -> float:
        if self.lease.is_holder:
            return 0.0
        rank = self.hosts.rank_among_all(_DUTY)
        step_in_s = rank * _RANK_PATIENCE_S
        if not self.lease.has_holder:
            return step_in_s + random.uniform(0.0, _FIRST_SPREAD_S)
        spread_s = random.uniform(0.0, _PATIENCE_SPREAD_S)
        return _HOLDER_PATIENCE_S + step_in_s + spread_s

    def _due(self) -> list[_Job]:
        """Returns the loads that may be ordered now."""
        table = self.site.table
        if table is None:
            return []
        jobs = []
        for model, named in self.site.weights.named.items():
            for pool in table.pools_serving(model):
                members = self.site.targets.members(pool)
                behind = rollout.targets_behind(
                    members, model, self.site.weights
                )
                room = rollout.loads_at_once(len(members)) - sum(
                    entry.target.name in self.loading for entry in members
                )
                free = [
                    _Job(entry, model, named.version)
                    for entry in behind
                    if entry.target.name not in self.loading
                ]
                jobs += free[: max(0, room)]
        return jobs

    async def _load(self, job: _Job) -> None:
        """Moves one target; ends when it holds the weights or time is up."""
        target = job.entry.target
        started = time.monotonic()
        end = LoadEnd.TOO_LONG
        reason = ""
        try:
            with anyio.move_on_after(_LOAD_LIMIT_S):
                end = await self._order_until_held(job)
        except errors.HillthreadError as error:
            end = LoadEnd.FAILED
            reason = str(error)
        finally:
            self.loading.discard(target.name)
        self.metrics.loads.labels(end).inc()
        _logger.info(
            "load ended",
            extra={
                "event": "load_ended",
                "target": target.name,
                "model": job.model,
                "version": job.version,
                "outcome": end,
                "reason": reason,
                "seconds": round(time.monotonic() - started, 3),
            },
        )

    async def _order_until_held(self, job: _Job) -> LoadEnd:
        """Returns how the load ended."""
        target = job.entry.target
        ordered_at = float("-inf")
        while target.name in self.site.targets.entries:
            report = await orders.read_report(self.pool, target)
            if report is None:
                return LoadEnd.NO_REPORT
            held = report.weights.get(job.model, 0)
            self.site.weights.report(target.name, job.model, held)
            if held >= job.version:
                return LoadEnd.HELD
            now = time.monotonic()
            if not report.busy and now - ordered_at > _UNANSWERED_S:
                if not await self.lease.ensure():
                    return LoadEnd.NO_LEASE
                ordered_at = now
                if not await self._order(job, report):
                    return LoadEnd.NOT_TAKEN
            await anyio.sleep(_POLL_S)
        return LoadEnd.TARGET_GONE

    async def _order(self, job: _Job, report: targets_lib.EngineReport) -> bool:
        """Gives an order; returns whether to wait for its effect."""
        target = job.entry.target
        order = orders.WeightsOrder(
            job.model,
            job.version,
            STRATEGY,
            self.site.settings.host,
            self.lease.fencing,
            report.orders,
        )
        if not self.lease.may_act():
            return False
        answer = await orders.send_order(self.pool, target, order)
        self.metrics.orders.labels(answer).inc()
        _logger.info(
            "order given",
            extra={
                "event": "order",
                "target": target.name,
                "model": job.model,
                "version": job.version,
                "fencing": order.fencing,
                "orders_taken": order.orders_taken,
                "running": report.running,
                "answer": answer,
            },
        )
        match answer:
            case orders.OrderAnswer.FENCED:
                self.lease.give_up("an engine has seen a newer holder")
                return False
            case orders.OrderAnswer.OTHER_INCARNATION:
                return False
            case orders.OrderAnswer.ALREADY_HOLDS:
                self.site.observe_weights(target.name, job.model, job.version)
                return False
        return True
