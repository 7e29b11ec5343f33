"""Admission: reserves a slot on a target, queues or refuses a request.

A pool has one queue for all its models. Order is kept among requests that need
the same targets: a request whose targets are all saturated does not block
requests that need others.
"""

from __future__ import annotations

import collections
import dataclasses
from typing import NamedTuple

import anyio

from hillthread import clock
from hillthread import errors
from hillthread.coordination import exchange as exchange_lib
from hillthread.coordination import fleet as fleet_lib
from hillthread.state.quotas import admission
from hillthread.state.routing import decision as decision_lib
from hillthread.state.routing import records

__all__ = ["AdmissionGate"]

# `Retry-After` when no target is eligible: one that is ejected or starting may
# be eligible by then.
_NO_TARGET_RETRY_AFTER_S = 2.0
# `Retry-After` when all slots are in use; slots become free sooner.
_OVERLOAD_RETRY_AFTER_S = 1.0
# The first waiter checks for a free slot this often even if nothing woke it.
_RECHECK_INTERVAL_S = 0.25
_TRIED = decision_lib.Exclusion.ALREADY_TRIED
_SATURATED = decision_lib.Exclusion.SATURATED


class _TargetNeed(NamedTuple):
    """Requirements on a target; waiters with equal ones need the same targets.

    Attributes:
        model: The requested model.
        weights_version: Weights that must continue an answer, or empty.
        targets: Identity of the route's list of targets; all requests of the
            route share the list until a newer configuration replaces it.
    """

    model: str
    weights_version: str
    targets: int


@dataclasses.dataclass(slots=True)
class _Waiter:
    """A request that waits for a target."""

    exchange: exchange_lib.Exchange
    constraints: fleet_lib.PlacementConstraints
    event: anyio.Event
    attempt: records.AttemptRecord | None = None
    refusal: errors.RefusalError | None = None


class AdmissionGate:
    """Reserves slots on targets, the most urgent priority first.

    Attributes:
        fleet: The state of the targets.
        queues: The waiting requests of each pool, by name.
    """

    def __init__(self, fleet: fleet_lib.Fleet):
        self.fleet = fleet
        self.queues: dict[str, admission.AdmissionQueue] = {}
        self._waiters: dict[admission.Ticket, _Waiter] = {}
        # Waiters by pool and model; later requests queue behind them.
        self._waiting_counts: collections.Counter[tuple[str, str]] = (
            collections.Counter()
        )

    async def reserve(
        self,
        exchange: exchange_lib.Exchange,
        constraints: fleet_lib.PlacementConstraints,
    ) -> records.AttemptRecord:
        """Returns a started attempt whose slot is reserved.

        Raises:
            RefusalError: No target is eligible, the queue is full, or no slot
                becomes free before the deadline.
        """
        queue = self._queue(constraints)
        if self._waiting_counts[_pool_and_model(constraints)] == 0:
            attempt = self._try_reserve(exchange, constraints)
            if attempt is not None:
                return attempt
        return await self._wait_in_queue(exchange, constraints, queue)

    def release(self, attempt_id: str) -> None:
        """Releases the slot of an ended attempt and serves waiters."""
        self.fleet.finish(attempt_id)
        for queue in self.queues.values():
            self._serve_waiters(queue)

    def _queue(
        self, constraints: fleet_lib.PlacementConstraints
    ) -> admission.AdmissionQueue:
        pool = constraints.pool
        queue = self.queues.get(pool.name)
        if queue is None:
            queue = self.queues[pool.name] = admission.AdmissionQueue(
                pool.queue_size
            )
        queue.capacity = pool.queue_size
        return queue

    def _try_reserve(
        self,
        exchange: exchange_lib.Exchange,
        constraints: fleet_lib.PlacementConstraints,
    ) -> records.AttemptRecord | None:
        """Returns a started attempt, or None if all slots are in use."""
        now = clock.now()
        decision = self.fleet.choose(exchange.parsed.query, constraints, now)
        if decision.target is None and _is_any_excluded(decision, _TRIED):
            # All eligible targets have failed once; one of them is better
            # than none.
            without_tried = constraints._replace(tried=frozenset())
            decision = self.fleet.choose(
                exchange.parsed.query, without_tried, now
            )
        if decision.target is None:
            if _is_any_excluded(decision, _SATURATED):
                return None
            exchange.add_attempt(decision).failure = "no_target"
            raise _no_target(exchange)
        attempt = exchange.add_attempt(decision)
        query = exchange.parsed.query
        self.fleet.start(attempt.attempt_id, query, decision, now)
        return attempt

    async def _wait_in_queue(
        self,
        exchange: exchange_lib.Exchange,
        constraints: fleet_lib.PlacementConstraints,
        queue: admission.AdmissionQueue,
    ) -> records.AttemptRecord:
        started = clock.now()
        offer = queue.offer(
            exchange.resolved.policy.priority, exchange.deadline, started
        )
        if offer.shed is not None:
            self._shed(offer.shed)
        if offer.ticket is None:
            raise _overloaded(exchange)
        waiter = _Waiter(exchange, constraints, anyio.Event())
        self._waiters[offer.ticket] = waiter
        pool_and_model = _pool_and_model(constraints)
        self._waiting_counts[pool_and_model] += 1
        try:
            await self._wait_until_served(queue, offer.ticket, waiter)
        finally:
            queue.withdraw(offer.ticket)
            self._waiters.pop(offer.ticket, None)
            self._waiting_counts -= {pool_and_model: 1}
            exchange.record.queued_s += clock.now() - started
        if waiter.attempt is None:
            raise waiter.refusal or _overloaded(exchange)
        return waiter.attempt

    async def _wait_until_served(
        self,
        queue: admission.AdmissionQueue,
        ticket: admission.Ticket,
        waiter: _Waiter,
    ) -> None:
        """Returns when served, shed or past the deadline.

        A slot may also become free without a release, when a target joins or
        is probed again, so the first waiter checks at fixed intervals.
        """
        try:
            while not waiter.event.is_set():
                remaining_s = ticket.deadline - clock.now()
                if remaining_s <= 0:
                    return
                with anyio.move_on_after(min(_RECHECK_INTERVAL_S, remaining_s)):
                    await waiter.event.wait()
                if queue.first() is ticket:
                    self._serve_waiters(queue)
        except anyio.get_cancelled_exc_class():
            self._release_reserved(waiter)
            raise

    def _release_reserved(self, waiter: _Waiter) -> None:
        if waiter.attempt is not None:
            self.release(waiter.attempt.attempt_id)

    def _serve_waiters(self, queue: admission.AdmissionQueue) -> None:
        """Gives free slots to the waiters that can use them, in queue order."""
        unservable: set[_TargetNeed] = set()
        for ticket in queue.in_order():
            waiter = self._waiters[ticket]
            need = _need_of(waiter.constraints)
            if need in unservable:
                continue
            try:
                waiter.attempt = self._try_reserve(
                    waiter.exchange, waiter.constraints
                )
            except errors.RefusalError as refusal:
                waiter.refusal = refusal
            if waiter.attempt is None and waiter.refusal is None:
                unservable.add(need)
                continue
            queue.serve(ticket, clock.now())
            waiter.event.set()

    def _shed(self, ticket: admission.Ticket) -> None:
        waiter = self._waiters[ticket]
        waiter.refusal = _overloaded(waiter.exchange)
        waiter.event.set()


def _need_of(constraints: fleet_lib.PlacementConstraints) -> _TargetNeed:
    return _TargetNeed(
        constraints.model, constraints.weights_version, id(constraints.targets)
    )


def _pool_and_model(
    constraints: fleet_lib.PlacementConstraints,
) -> tuple[str, str]:
    return constraints.pool.name, constraints.model


def _is_any_excluded(
    decision: decision_lib.Decision, wanted: decision_lib.Exclusion
) -> bool:
    return any(score.exclusion is wanted for score in decision.scores)


def _no_target(exchange: exchange_lib.Exchange) -> errors.RefusalError:
    return errors.RefusalError(
        "no_target",
        503,
        "No target can serve the request now.",
        "Retry later; `hillthread-ctl explain` shows why each was excluded.",
        exchange.run_state(),
        _NO_TARGET_RETRY_AFTER_S,
    )


def _overloaded(exchange: exchange_lib.Exchange) -> errors.RefusalError:
    return errors.RefusalError(
        "overloaded",
        503,
        "No target has a free slot for the request's deadline and priority.",
        "Retry after the time in Retry-After.",
        exchange.run_state(),
        _OVERLOAD_RETRY_AFTER_S,
    )
