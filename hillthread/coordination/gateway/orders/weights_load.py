"""Loads the newest weights on one target.

The target's report is read first, then it is sent an order, then its reports
are polled until the load has ended.
"""

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
from hillthread.state.targets import load_times
from hillthread.state.targets import rollout
from hillthread.state.targets import target_list
from hillthread.transport import connection_pool

__all__ = ["WeightsLoader"]

STRATEGY = "retain"
# Time limit of a load, which takes about a second.
_MAX_LOAD_S = 4.0
# Reports lag an engine's state by some hundred ms. This long after an order the
# report shows whether the engine accepted it, even if the engine did not
# answer.
_REPORT_LAG_S = 0.7
# Interval at which the queue of an engine that is about to load is estimated
# again: requests begin earlier or later than expected.
_QUEUE_POLL_INTERVAL_S = 0.02

_logger = logging.getLogger("hillthread.orders")


class _SentOrder(NamedTuple):
    """An order that was sent.

    Attributes:
        version: Version of the weights to load.
        orders_taken: The engine's count of orders before this one.
        sent_at: When the order was sent, seconds.
        answer: The engine's answer.
        born_ms: Start time of the engine that received the order, Unix
            milliseconds.
    """

    version: int
    orders_taken: int
    sent_at: float
    answer: orders.OrderAnswer
    born_ms: int


class WeightsLoader:
    """Loads weights on single targets and logs each load's outcome.

    Attributes:
        site: The state of this host.
        leadership: Decides whether this host gives orders.
        plan: Tracks the loads in progress.
        work: Notifies other hosts of loading engines.
        load_times: How long recent loads took.
    """

    def __init__(
        self,
        site: site_lib.Site,
        leadership: order_duty.OrderLeadership,
        pool: connection_pool.ConnectionPool,
        plan: rollout.RolloutPlan,
        work: work_feed.WorkFeed,
    ):
        self.site = site
        self.leadership = leadership
        self.pool = pool
        self.plan = plan
        self.work = work
        self.load_times = load_times.LoadTimes()
        self.metrics = site.metrics

    async def load(self, target: objects.Target, model: str) -> None:
        """Runs a load that the plan has begun, and ends it in the plan."""
        started = clock.now()
        outcome = rollout.LoadOutcome.TOO_LONG
        reason = ""
        try:
            with anyio.move_on_after(_MAX_LOAD_S):
                outcome = await self._load(target, model)
        except errors.HillthreadError as error:
            outcome = rollout.LoadOutcome.FAILED
            reason = str(error)
        finally:
            self.plan.end_load(target.name, outcome, clock.now())
        self.metrics.loads.labels(outcome).inc()
        _logger.info(
            "load ended",
            extra={
                "event": "load_ended",
                "target": target.name,
                "model": model,
                "version": self._newest_version(model),
                "held": self.site.weights.held_version(target.name, model),
                "outcome": outcome,
                "reason": reason,
                "seconds": round(clock.now() - started, 3),
            },
        )

    async def _load(
        self, target: objects.Target, model: str
    ) -> rollout.LoadOutcome:
        report = await self._read_report(target, model)
        if report is None:
            return self._outcome_without_report(target)
        if report.busy:
            return await self._await_load(
                target, model, report.orders - 1, report.born_ms
            )
        if self._holds_newest(target, model):
            return rollout.LoadOutcome.HELD
        if not self.plan.reserve_slot(target.name, clock.now()):
            return rollout.LoadOutcome.NO_ROOM
        if not await self.leadership.acquire_or_renew():
            return rollout.LoadOutcome.NO_LEASE
        try:
            self._notify_hosts(target, model, report.born_ms, loading=True)
            await self._wait_for_queue(target.name)
            sent = await self._send_order(target, model, report)
            if sent is None:
                return rollout.LoadOutcome.NO_LEASE
            return await self._process_answer(target, model, sent)
        finally:
            self._notify_hosts(target, model, report.born_ms, loading=False)

    async def _wait_for_queue(self, name: str) -> None:
        """Waits until the queue of an engine is expected to be empty.

        The hosts have just been notified that it is about to load weights, and
        send it no more requests. The wait is bounded.
        """
        notified_at = now = clock.now()
        while True:
            delay_s = rollout.compute_order_delay_s(
                self.site.expected_queue_s(name, now), now - notified_at
            )
            if delay_s <= 0.0:
                return
            await anyio.sleep(min(delay_s, _QUEUE_POLL_INTERVAL_S))
            now = clock.now()

    def _notify_hosts(
        self, target: objects.Target, model: str, born_ms: int, loading: bool
    ) -> None:
        """Notifies all hosts whether an engine loads and what it holds."""
        version = self.site.weights.held_version(target.name, model) or 0
        if loading:
            version = self._newest_version(model)
        self.work.notify_weights(
            work_notice.WeightsNotice(
                target_list.incarnation_key(target.name, born_ms),
                model,
                version,
                loading,
            )
        )

    async def _send_order(
        self,
        target: objects.Target,
        model: str,
        report: targets_lib.EngineReport,
    ) -> _SentOrder | None:
        """Sends an order; returns None if the lease has expired."""
        lease = self.leadership.lease
        order = orders.WeightsOrder(
            model,
            self._newest_version(model),
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
        return _SentOrder(
            order.version, order.orders_taken, now, answer, report.born_ms
        )

    async def _process_answer(
        self, target: objects.Target, model: str, sent: _SentOrder
    ) -> rollout.LoadOutcome:
        """Returns the outcome of a load after the answer to its order."""
        match sent.answer:
            case orders.OrderAnswer.ACCEPTED:
                return await self._await_load(
                    target, model, sent.orders_taken, sent.born_ms
                )
            case orders.OrderAnswer.UNKNOWN | orders.OrderAnswer.CONFLICT:
                return await self._resolve_uncertain(target, model, sent)
            case orders.OrderAnswer.ALREADY_HOLDS:
                self.site.observe_weights(target.name, model, sent.version)
                return self._outcome_of_finished_load(target, model)
            case orders.OrderAnswer.FENCED:
                self.leadership.step_down("an engine has seen a newer holder")
                return rollout.LoadOutcome.NO_LEASE
            case orders.OrderAnswer.OTHER_INCARNATION:
                return rollout.LoadOutcome.OTHER_INCARNATION
            case orders.OrderAnswer.UNSENT:
                return rollout.LoadOutcome.NO_REPORT
        return rollout.LoadOutcome.NOT_TAKEN

    async def _resolve_uncertain(
        self, target: objects.Target, model: str, sent: _SentOrder
    ) -> rollout.LoadOutcome:
        """Determines by the report whether an order was accepted.

        If it was not, it may still be executed later. This needs no action: an
        order that repeats it names the same count and so makes it fail.
        """
        remaining_s = sent.sent_at + _REPORT_LAG_S - clock.now()
        await anyio.sleep(max(0.0, remaining_s))
        report = await self._read_report(target, model)
        if report is None:
            return self._outcome_without_report(target)
        if report.born_ms != sent.born_ms:
            return rollout.LoadOutcome.RESTARTED
        if report.busy or report.orders > sent.orders_taken:
            return await self._await_load(
                target, model, sent.orders_taken, sent.born_ms
            )
        return rollout.LoadOutcome.UNANSWERED

    async def _await_load(
        self,
        target: objects.Target,
        model: str,
        orders_before: int,
        born_ms: int,
    ) -> rollout.LoadOutcome:
        """Waits until a load that the engine has confirmed ends.

        Args:
            target: The engine.
            model: Model whose weights it loads.
            orders_before: The engine's count of orders before it accepted this
                one; a report with this count is outdated.
            born_ms: Start time of the engine that accepted the order. An engine
                that has restarted since has lost the order and counts anew.
        """
        name = target.name
        began_at = clock.now()
        reports = 0
        self.plan.set_stage(name, rollout.LoadStage.LOADING, began_at)
        while name in self.site.targets.entries:
            elapsed_s = clock.now() - began_at
            await anyio.sleep(self.load_times.next_pause_s(elapsed_s))
            report = await self._read_report(target, model)
            if report is None:
                return rollout.LoadOutcome.NO_REPORT
            if report.born_ms != born_ms:
                return rollout.LoadOutcome.RESTARTED
            reports += 1
            if not report.busy and report.orders > orders_before:
                self.load_times.add(clock.now() - began_at, reports)
                return self._outcome_of_finished_load(target, model)
        return rollout.LoadOutcome.TARGET_GONE

    async def _read_report(
        self, target: objects.Target, model: str
    ) -> targets_lib.EngineReport | None:
        """Reads a target's report and records the weights that it holds."""
        report = await orders.read_report(self.pool, target)
        if report is None:
            return None
        if not self.site.apply_report(target.name, model, report):
            return None
        return report

    def _outcome_without_report(
        self, target: objects.Target
    ) -> rollout.LoadOutcome:
        if target.name in self.site.targets.entries:
            return rollout.LoadOutcome.NO_REPORT
        return rollout.LoadOutcome.TARGET_GONE

    def _outcome_of_finished_load(
        self, target: objects.Target, model: str
    ) -> rollout.LoadOutcome:
        """Returns the outcome of a load that has ended."""
        if self._holds_newest(target, model):
            return rollout.LoadOutcome.HELD
        return rollout.LoadOutcome.OVERTAKEN

    def _holds_newest(self, target: objects.Target, model: str) -> bool:
        held = self.site.weights.held_version(target.name, model) or 0
        return held >= self._newest_version(model)

    def _newest_version(self, model: str) -> int:
        return self.site.weights.newest[model].version
