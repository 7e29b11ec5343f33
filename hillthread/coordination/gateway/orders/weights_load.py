"""Moves one target to the newest weights: its report, an order, the load."""

from __future__ import annotations

import logging
from typing import NamedTuple

import anyio

from hillthread import clock
from hillthread import errors
from hillthread.coordination.gateway import site as site_lib
from hillthread.coordination.gateway.orders import order_duty
from hillthread.coordination.gateway.peers import work_feed
from hillthread.platform import orders
from hillthread.platform import targets as targets_lib
from hillthread.protocol import work_notice
from hillthread.state.config import objects
from hillthread.state.targets import rollout
from hillthread.state.targets import target_list
from hillthread.transport import http1_client

__all__ = ["WeightsLoader"]

STRATEGY = "retain"
_POLL_S = 0.2
# A load takes about a second.
_LOAD_LIMIT_S = 4.0
# A report tells how an engine stood some hundred ms before. So long after an
# order it tells whether the engine took it, though it did not answer.
_SETTLED_S = 0.7
# From telling all hosts that an engine is about to load until its order: the
# notice has reached them, and most of what waits there has begun. Engines
# refuse what has not: 107 of 1,833 prompts on a day with four versions, each of
# them sent once more. At 0.2 s engines rested, and other queues grew longer.
_EMPTY_QUEUE_S = 0.06

_logger = logging.getLogger("hillthread.orders")


class _Given(NamedTuple):
    """An order that was given.

    Attributes:
        version: The weights to load.
        orders_taken: The engine's count before.
        at: Seconds, when it was sent.
        answer: What the engine said.
        born_ms: When the engine that got it started.
    """

    version: int
    orders_taken: int
    at: float
    answer: orders.OrderAnswer
    born_ms: int


class WeightsLoader:
    """Moves single targets; each load ends with a line and a reason.

    Attributes:
        site: The host's beliefs.
        duty: Whether this host gives orders.
        plan: Which loads are under way.
        work: Tells other hosts which engines load.
    """

    def __init__(
        self,
        site: site_lib.Site,
        leadership: order_duty.OrderLeadership,
        pool: http1_client.ConnectionPool,
        plan: rollout.RolloutPlan,
        work: work_feed.WorkFeed,
    ):
        self.site = site
        self.leadership = leadership
        self.pool = pool
        self.plan = plan
        self.work = work
        self.metrics = site.metrics

    async def load(self, target: objects.Target, model: str) -> None:
        """Moves a target whose load the plan has begun, and ends the load."""
        started = clock.now()
        end = rollout.LoadOutcome.TOO_LONG
        reason = ""
        try:
            with anyio.move_on_after(_LOAD_LIMIT_S):
                end = await self._move(target, model)
        except errors.HillthreadError as error:
            end = rollout.LoadOutcome.FAILED
            reason = str(error)
        finally:
            self.plan.end_load(target.name, end, clock.now())
        self.metrics.loads.labels(end).inc()
        _logger.info(
            "load ended",
            extra={
                "event": "load_ended",
                "target": target.name,
                "model": model,
                "version": self._newest(model),
                "held": self.site.weights.held_version(target.name, model),
                "outcome": end,
                "reason": reason,
                "seconds": round(clock.now() - started, 3),
            },
        )

    async def _move(
        self, target: objects.Target, model: str
    ) -> rollout.LoadOutcome:
        report = await self._ask(target, model)
        if report is None:
            return self._unreported(target)
        if report.busy:
            return await self._watch(
                target, model, report.orders - 1, report.born_ms
            )
        if self._holds_newest(target, model):
            return rollout.LoadOutcome.HELD
        if not self.plan.reserve_slot(target.name, clock.now()):
            return rollout.LoadOutcome.NO_ROOM
        if not await self.leadership.acquire_or_renew():
            return rollout.LoadOutcome.NO_LEASE
        try:
            self._tell(target, model, report.born_ms, loading=True)
            await anyio.sleep(_EMPTY_QUEUE_S)
            given = await self._order(target, model, report)
            if given is None:
                return rollout.LoadOutcome.NO_LEASE
            return await self._follow(target, model, given)
        finally:
            self._tell(target, model, report.born_ms, loading=False)

    def _tell(
        self, target: objects.Target, model: str, born_ms: int, loading: bool
    ) -> None:
        """Tells all hosts whether an engine loads, and what it holds."""
        version = self.site.weights.held_version(target.name, model) or 0
        if loading:
            version = self._newest(model)
        self.work.tell_weights(
            work_notice.WeightsNotice(
                target_list.incarnation_key(target.name, born_ms),
                model,
                version,
                loading,
            )
        )

    async def _order(
        self,
        target: objects.Target,
        model: str,
        report: targets_lib.EngineReport,
    ) -> _Given | None:
        """Gives an order; returns None when the lease has run out."""
        lease = self.leadership.lease
        order = orders.WeightsOrder(
            model,
            self._newest(model),
            STRATEGY,
            self.site.settings.host,
            lease.fencing_token,
            report.orders,
        )
        now = clock.now()
        self.plan.set_stage(target.name, rollout.LoadStage.ORDERED, now)
        if not lease.may_act():
            return None
        answer = await orders.send_order(self.pool, target, order)
        self.metrics.orders.labels(answer).inc()
        _logger.info(
            "order given",
            extra={
                "event": "order",
                "target": target.name,
                "model": model,
                "version": order.version,
                "held": report.weights.get(model),
                "fencing": order.fencing,
                "orders_taken": order.orders_taken,
                "running": report.running,
                "answer": answer,
                "seconds": round(clock.now() - now, 3),
            },
        )
        return _Given(
            order.version, order.orders_taken, now, answer, report.born_ms
        )

    async def _follow(
        self, target: objects.Target, model: str, given: _Given
    ) -> rollout.LoadOutcome:
        """Returns what became of a target after an order."""
        match given.answer:
            case orders.OrderAnswer.TAKEN:
                return await self._watch(
                    target, model, given.orders_taken, given.born_ms
                )
            case orders.OrderAnswer.UNKNOWN | orders.OrderAnswer.CONFLICT:
                return await self._settle(target, model, given)
            case orders.OrderAnswer.ALREADY_HOLDS:
                self.site.observe_weights(target.name, model, given.version)
                return self._reached(target, model)
            case orders.OrderAnswer.FENCED:
                self.leadership.step_down("an engine has seen a newer holder")
                return rollout.LoadOutcome.NO_LEASE
            case orders.OrderAnswer.OTHER_INCARNATION:
                return rollout.LoadOutcome.OTHER_INCARNATION
            case orders.OrderAnswer.UNSENT:
                return rollout.LoadOutcome.NO_REPORT
        return rollout.LoadOutcome.NOT_TAKEN

    async def _settle(
        self, target: objects.Target, model: str, given: _Given
    ) -> rollout.LoadOutcome:
        """Finds out by the report whether an order was taken.

        If it was not, it may still be carried out later. It is left at that:
        an order that repeats it names the same count and so makes it fail.
        """
        left_s = given.at + _SETTLED_S - clock.now()
        await anyio.sleep(max(0.0, left_s))
        report = await self._ask(target, model)
        if report is None:
            return self._unreported(target)
        if report.born_ms != given.born_ms:
            return rollout.LoadOutcome.RESTARTED
        if report.busy or report.orders > given.orders_taken:
            return await self._watch(
                target, model, given.orders_taken, given.born_ms
            )
        return rollout.LoadOutcome.UNANSWERED

    async def _watch(
        self,
        target: objects.Target,
        model: str,
        orders_before: int,
        born_ms: int,
    ) -> rollout.LoadOutcome:
        """Waits until a load that the engine has confirmed is over.

        Args:
            target: Which engine.
            model: Whose weights it loads.
            orders_before: Its count of orders before it took this one; a
                report with this count is from before.
            born_ms: When the engine started that took it; one that has started
                again since has lost the order, and counts anew.
        """
        name = target.name
        self.plan.set_stage(name, rollout.LoadStage.LOADING, clock.now())
        while name in self.site.targets.entries:
            await anyio.sleep(_POLL_S)
            report = await self._ask(target, model)
            if report is None:
                return rollout.LoadOutcome.NO_REPORT
            if report.born_ms != born_ms:
                return rollout.LoadOutcome.RESTARTED
            if not report.busy and report.orders > orders_before:
                return self._reached(target, model)
        return rollout.LoadOutcome.TARGET_GONE

    async def _ask(
        self, target: objects.Target, model: str
    ) -> targets_lib.EngineReport | None:
        """Returns a target's report, and notes what weights it holds."""
        report = await orders.read_report(self.pool, target)
        if report is None:
            return None
        if not self.site.take_report(target.name, model, report):
            return None
        return report

    def _unreported(self, target: objects.Target) -> rollout.LoadOutcome:
        if target.name in self.site.targets.entries:
            return rollout.LoadOutcome.NO_REPORT
        return rollout.LoadOutcome.TARGET_GONE

    def _reached(
        self, target: objects.Target, model: str
    ) -> rollout.LoadOutcome:
        """Returns the end of a load that is over."""
        if self._holds_newest(target, model):
            return rollout.LoadOutcome.HELD
        return rollout.LoadOutcome.OVERTAKEN

    def _holds_newest(self, target: objects.Target, model: str) -> bool:
        held = self.site.weights.held_version(target.name, model) or 0
        return held >= self._newest(model)

    def _newest(self, model: str) -> int:
        return self.site.weights.newest[model].version
