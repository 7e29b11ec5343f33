"""One attempt: a request sent to one target, and its answer checked."""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

import anyio
import anyio.abc

from hillthread import clock
from hillthread.coordination.gateway.serving import event_relay
from hillthread.coordination.gateway.serving import intake
from hillthread.coordination.gateway.serving import outcome as outcome_lib
from hillthread.coordination.gateway.serving import reach_monitor
from hillthread.platform import attempts
from hillthread.state.routing import attempt_plan
from hillthread.transport import http1_client
from hillthread.transport import http1_server

__all__ = ["Attempt", "Callbacks"]

# Answers up to this size are checked whole before any of it is relayed.
_WHOLE_BYTES = 262_144


class Callbacks(NamedTuple):
    """What an attempt asks and tells whoever makes it.

    Attributes:
        note_head: Told what the head of the answer said, if it is one to this
            request.
        claim_retry: Charges the retry budget for an attempt after this one;
            returns whether there may be one.
    """

    note_head: Callable[[attempts.AnswerMeaning], None]
    reserve_retry: Callable[[], bool]


class Attempt:
    """Sends a request to a target once.

    Attributes:
        pool: Connections to targets.
        tasks: Where long bodies are sent.
        monitor: Ends the attempt when its target cannot be reached.
        request: The caller's request.
        plan: What is asked of the target.
        relay: Where events go.
        most_idle: Connections to the target that this host keeps.
        meaning: What the head of the answer said; None before it came.
        reused: Whether it went over a kept connection.
        sent: Whether any of it may have reached the target.
        target: Where it goes.
        callbacks: What it asks and tells whoever makes it.
        heard_at: Seconds, when the target last sent anything of its answer.
        connected_at: Seconds, when its connection came up.
        connection: To the target, once there is one.
        given_up: Why it was ended here, or nothing: its target cannot be
            reached, its connection is silent, or its weights became too old.
        found_silent: Whether the monitor found its connection silent.
        cut: Whether the target's side ended its connection before its answer.
    """

    def __init__(
        self,
        pool: http1_client.ConnectionPool,
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

    async def run(self) -> outcome_lib.Outcome:
        """Returns how it ended."""
        max_idle_s = (
            float("inf") if self.request.repeatable else self.pool.trust_s
        )
        try:
            connection = await self.pool.take(
                self.plan.target.address, max_idle_s
            )
        except http1_client.CallError as error:
            return outcome_lib.Unsent(error.reason)
        self.reused = connection.requests > 0
        self.sent = True
        self.last_received_at = clock.now()
        self.connected_at = connection.opened_at
        rested_s = self.last_received_at - connection.used_at
        self.monitor.attempts.add(self)
        self.connection = connection
        try:
            return await self._exchange(connection)
        except http1_client.CallError as error:
            was_ours = self.give_up_reason and not self.found_silent
            if self.reused and self.meaning is None and not was_ours:
                self.pool.note_dead(rested_s)
            self.closed_by_target = error.sent and not self.give_up_reason
            reason = self.give_up_reason or error.reason
            return self._failed(http1_client.CallError(error.sent, reason))
        finally:
            self.monitor.attempts.discard(self)
            # Closing takes no time, and must not lose an answer that is here.
            with anyio.CancelScope(shield=True):
                await self.pool.give_back(connection, self.max_idle)

    def give_up(self, reason: str) -> bool:
        """Ends the attempt as lost if another can follow; returns whether.

        Otherwise silence is no reason to end it: the answer may still come.
        Only the target's connection is closed: a write to the caller that is
        under way must not be cut, since another attempt may go on after it.
        """
        if self.give_up_reason or not self.callbacks.reserve_retry():
            return False
        self.give_up_reason = reason
        if self.connection is not None:
            self.tasks.start_soon(self.connection.close)
        return True

    def is_unacknowledged(self) -> bool:
        """Returns whether nothing shows that the request has arrived."""
        if self.connection is None or self.meaning is not None:
            return False
        return self.connection.is_request_unacknowledged()

    async def _exchange(
        self, connection: http1_client.ClientConnection
    ) -> outcome_lib.Outcome:
        caller = self.request.caller
        # Connecting may have taken a part of the time that the plan had.
        plan = self.plan._replace(seconds_left=self.request.seconds_left())
        sent = http1_client.ClientRequest(
            caller.method,
            caller.target,
            attempts.encode_attempt(caller.headers, plan),
            caller.body,
        )
        await connection.send_request(sent)
        if not connection.body_sent:
            self.tasks.start_soon(connection.send_body, sent)
        head = await self._read_head(connection)
        self.last_received_at = clock.now()
        if self.reused:
            self.pool.note_alive()
        self.meaning = attempts.decode_answer(head)
        wrong = self._check(head, self.meaning)
        if wrong:
            connection.told_close = True
            return outcome_lib.Lost(wrong)
        self.callbacks.note_head(self.meaning)
        if self.meaning.not_run:
            await self._pass_over_body(connection)
            return outcome_lib.NotRun(head.status, self.meaning)
        if self.request.route.streaming and head.status == 200:
            self.relay.on_received = self._note_heard
            await self.relay.run(connection, head)
            return outcome_lib.Relayed(head.status)
        return await self._collect(connection, head)

    async def _read_head(
        self, connection: http1_client.ClientConnection
    ) -> http1_client.AnswerHead:
        """Returns the head of the answer.

        Raises:
            CallError: None came, or not before the weights were too old: one
                that waits in the target's queue must not begin then.
        """
        start_by = self.plan.start_by
        with anyio.CancelScope(deadline=start_by or float("inf")):
            return await connection.read_head()
        self.give_up_reason = "not begun on old weights in time"
        raise http1_client.CallError(True, self.give_up_reason)

    async def _pass_over_body(
        self, connection: http1_client.ClientConnection
    ) -> None:
        """Reads the body of a refusal, whose head has said all.

        If it breaks off, its connection is not kept.
        """
        try:
            await connection.read_body(_WHOLE_BYTES)
        except http1_client.CallError as error:
            self.request.log.warn("refusal_cut", reason=error.reason)

    async def _collect(
        self,
        connection: http1_client.ClientConnection,
        head: http1_client.AnswerHead,
    ) -> outcome_lib.Outcome:
        """Returns a short answer whole; relays a long one as it comes."""
        parts = []
        size = 0
        while part := await connection.read_part():
            parts.append(part)
            size += len(part)
            if size > _WHOLE_BYTES:
                await self._relay_long(connection, head, b"".join(parts))
                return outcome_lib.Relayed(head.status)
        body = b"".join(parts)
        return outcome_lib.Whole(http1_client.WholeAnswer(head, body))

    async def _relay_long(
        self,
        connection: http1_client.ClientConnection,
        head: http1_client.AnswerHead,
        data: bytes,
    ) -> None:
        answer = self.relay.answer
        headers = attempts.relayed_headers(head)
        await answer.begin(head.status, headers, data)
        while part := await connection.read_part():
            await answer.send(part)
        await answer.end()

    def _note_heard(self) -> None:
        self.last_received_at = clock.now()

    def _check(
        self, head: http1_client.AnswerHead, meaning: attempts.AnswerMeaning
    ) -> str:
        """Returns what is wrong with the head of an answer, or nothing."""
        if meaning.request_id != self.request.request_id.encode("latin-1"):
            return "crossed_answer"
        if meaning.encoded:
            return "encoded_answer"
        if head.status < 300 and not meaning.has_receipt:
            return "no_receipt"
        return ""

    def _failed(self, error: http1_client.CallError) -> outcome_lib.Outcome:
        if not error.sent:
            return outcome_lib.Unsent(error.reason)
        answer: http1_server.CallerAnswer = self.relay.answer
        if answer.started:
            return outcome_lib.Broken(error.reason)
        return outcome_lib.Lost(error.reason)
