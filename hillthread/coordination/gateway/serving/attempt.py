"""Sends a request to one target once, and checks and relays the answer."""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

import anyio
import anyio.abc

from hillthread import clock
from hillthread.coordination.gateway.serving import answer_reader
from hillthread.coordination.gateway.serving import event_relay
from hillthread.coordination.gateway.serving import intake
from hillthread.coordination.gateway.serving import outcome as outcome_lib
from hillthread.coordination.gateway.serving import reach_monitor
from hillthread.platform import attempts
from hillthread.protocol import body_framing
from hillthread.state.routing import attempt_plan
from hillthread.transport import connection_pool
from hillthread.transport import http1_client

__all__ = ["Attempt", "Callbacks"]


class Callbacks(NamedTuple):
    """Callbacks from an attempt to the sender that makes it.

    Attributes:
        note_sent: Called when the request is about to be sent over a
            connection.
        note_head: Called with the decoded head of the answer, if it answers
            this request.
        reserve_retry: Charges the retry budget for an attempt after this one;
            returns whether there may be one.
    """

    note_sent: Callable[[], None]
    note_head: Callable[[attempts.AnswerMeaning], None]
    reserve_retry: Callable[[], bool]


class Attempt:
    """Sends a request to a target once.

    Attributes:
        pool: Connections to targets.
        tasks: Task group that sends long bodies.
        monitor: Gives up the attempt if its target cannot be reached.
        request: The caller's request.
        plan: Which target gets the request, and with which parameters.
        relay: Relays the events of the answer to the caller.
        max_idle: Maximum idle connections to the target that this host keeps.
        meaning: The decoded head of the answer; None before it arrives.
        reused: Whether the request was sent over a reused connection.
        sent: Whether any part of it may have reached the target.
        target: The target of the plan.
        callbacks: Callbacks to the sender.
        last_received_at: Clock time in seconds when the target last sent any
            part of its answer, initially when the request was sent.
        connected_at: Clock time in seconds when the connection was opened.
        connection: The connection to the target; None before there is one.
        give_up_reason: Why this host ended the attempt; empty if it did not.
            The target cannot be reached, its connection is silent, or its
            weights became too old.
        found_silent: Whether the monitor found the connection silent.
        closed_by_target: Whether the connection ended before the answer did,
            and not by this host.
        reader: Reads and relays the answer.
    """

    def __init__(
        self,
        pool: connection_pool.ConnectionPool,
        tasks: anyio.abc.TaskGroup,
        monitor: reach_monitor.ReachabilityMonitor,
        request: intake.GatewayRequest,
        plan: attempt_plan.AttemptPlan,
        relay: event_relay.EventRelay,
        max_idle: int,
        callbacks: Callbacks,
    ):
        self.pool = pool
        self.tasks = tasks
        self.monitor = monitor
        self.request = request
        self.plan = plan
        self.relay = relay
        self.max_idle = max_idle
        self.meaning: attempts.AnswerMeaning | None = None
        self.reused = False
        self.sent = False
        self.target = plan.target
        self.callbacks = callbacks
        self.last_received_at = 0.0
        self.connected_at = 0.0
        self.connection: http1_client.ClientConnection | None = None
        self.give_up_reason = ""
        self.found_silent = False
        self.closed_by_target = False
        self.reader = answer_reader.AnswerReader(request, relay)
        self.reader.on_received = self._note_received

    async def run(self) -> outcome_lib.Outcome:
        """Sends the request and returns the outcome."""
        self.reader.hold(len(self.request.caller.body))
        try:
            return await self._connect_and_exchange()
        finally:
            self.reader.release_all()

    async def _connect_and_exchange(self) -> outcome_lib.Outcome:
        max_idle_s = (
            float("inf")
            if self.request.repeatable
            else self.pool.unrepeatable_max_idle_s
        )
        began_at = clock.now()
        call_id = attempts.make_request_call_id(self.request.request_id)
        try:
            connection = await self.pool.acquire(
                self.plan.target.address, max_idle_s, call_id
            )
        except http1_client.CallError as error:
            return outcome_lib.Unsent(error.reason)
        if connection.opened_at >= began_at:
            self.monitor.note_connected()
        if self.give_up_reason:
            await self.pool.release(connection, self.max_idle)
            return outcome_lib.Unsent(self.give_up_reason)
        self.reused = connection.requests > 0
        self.sent = True
        self.callbacks.note_sent()
        self.last_received_at = clock.now()
        self.connected_at = connection.opened_at
        idle_s = self.last_received_at - connection.last_used_at
        self.monitor.attempts.add(self)
        self.connection = connection
        connection.stream.read_budget = self.relay.answer.budget
        try:
            return await self._exchange(connection, call_id)
        except http1_client.InvalidAnswerError as error:
            self._note_received()
            return self.reader.failure_outcome(error)
        except http1_client.CallError as error:
            # An attempt given up for another cause than silence tells nothing
            # of its connection.
            has_other_cause = self.give_up_reason and not self.found_silent
            if self.reused and self.meaning is None and not has_other_cause:
                self.pool.record_stale(idle_s)
            self.closed_by_target = (
                error.sent
                and not self.give_up_reason
                and not connection.is_answer_read()
            )
            reason = self.give_up_reason or error.reason
            return self.reader.failure_outcome(
                http1_client.CallError(error.sent, reason)
            )
        finally:
            self.monitor.attempts.discard(self)
            # Shielded so that a cancellation here does not lose an answer that
            # has arrived. Closing a connection does not block.
            with anyio.CancelScope(shield=True):
                await self.pool.release(connection, self.max_idle)

    def give_up(self, reason: str) -> bool:
        """Ends the attempt as lost if it can be retried.

        Returns whether it was ended.

        Without a retry the attempt continues, since the answer may still come.
        Only the connection to the target is closed: a write to the caller in
        progress must not be interrupted, since another attempt may resume the
        stream after it.
        """
        if self.give_up_reason or not self.callbacks.reserve_retry():
            return False
        self.abort(reason)
        return True

    def abort(self, reason: str) -> None:
        """Ends the attempt as lost, whether or not it can be retried."""
        if self.give_up_reason:
            return
        self.give_up_reason = reason
        if self.connection is not None:
            self.tasks.start_soon(self.connection.close)

    @property
    def framing(self) -> body_framing.BodyFraming | None:
        """What marks the end of the answer's body; None before its head."""
        return self.connection.framing if self.connection else None

    def is_unacknowledged(self) -> bool:
        """Returns whether the target has not acknowledged the request."""
        if self.connection is None or self.meaning is not None:
            return False
        return self.connection.is_request_unacknowledged()

    async def _exchange(
        self,
        connection: http1_client.ClientConnection,
        call_id: http1_client.CallId,
    ) -> outcome_lib.Outcome:
        caller = self.request.caller
        # Connecting may have used up part of the plan's time.
        plan = self.plan._replace(seconds_left=self.request.seconds_left())
        sent = http1_client.ClientRequest(
            caller.method,
            caller.target,
            attempts.encode_attempt(caller.headers, plan),
            caller.body,
            call_id,
        )
        await connection.send_request(sent)
        if not connection.is_body_sent:
            self.tasks.start_soon(connection.send_body, sent)
        head = await self._read_head(connection)
        self._note_received()
        if self.reused:
            self.pool.record_reused()
        self.meaning = attempts.decode_answer(head)
        fault = answer_reader.find_fault(self.request, head, self.meaning)
        if fault:
            connection.must_close = True
            return outcome_lib.Lost(fault)
        self.callbacks.note_head(self.meaning)
        if self.meaning.not_run:
            await self.reader.discard(connection)
            return outcome_lib.NotRun(head.status, self.meaning)
        return await self.reader.read(connection, head)

    async def _read_head(
        self, connection: http1_client.ClientConnection
    ) -> http1_client.AnswerHead:
        """Returns the head of the answer.

        Raises:
            CallError: No head arrived, or none before the target's weights
                became too old. A request that waits in the target's queue must
                not start after that.
        """
        start_by = self.plan.start_by
        with anyio.CancelScope(deadline=start_by or float("inf")):
            return await connection.read_head()
        self.give_up_reason = "not begun on old weights in time"
        raise http1_client.CallError(True, self.give_up_reason)

    def _note_received(self) -> None:
        self.last_received_at = clock.now()
        self.monitor.answers.note_answered(self.last_received_at)
