"""Reads an answer from a connection and relays it, or buffers it whole."""

from __future__ import annotations

from collections.abc import Callable

import anyio

from hillthread.coordination.gateway.serving import event_relay
from hillthread.coordination.gateway.serving import intake
from hillthread.coordination.gateway.serving import outcome as outcome_lib
from hillthread.platform import attempts
from hillthread.transport import http1_client

__all__ = ["AnswerReader", "find_fault"]

# Answers up to this size are buffered until complete; longer ones are relayed
# as they arrive.
_MAX_BUFFERED_BYTES = 262_144
# The head of a refusal has all its information. More of its body is read only
# to keep the connection.
_MAX_REFUSAL_BYTES = 4_096
_MAX_REFUSAL_S = 0.05


class AnswerReader:
    """Reads the answer to one attempt.

    Attributes:
        request: The caller's request.
        relay: Relays the events of the answer to the caller.
        held_bytes: Bytes that the attempt holds of the budget for buffers.
        on_received: Called when a part of a stream arrives.
    """

    def __init__(
        self, request: intake.GatewayRequest, relay: event_relay.EventRelay
    ):
        self.request = request
        self.relay = relay
        self.held_bytes = 0
        self.on_received: Callable[[], None] = _ignore

    def hold(self, size: int) -> None:
        """Counts bytes towards the budget; negative when held no more."""
        budget = self.relay.answer.budget
        if budget is not None:
            budget.hold(size)
            self.held_bytes += size

    def release_all(self) -> None:
        """Returns all held bytes to the budget."""
        self.hold(-self.held_bytes)

    async def read(
        self,
        connection: http1_client.ClientConnection,
        head: http1_client.AnswerHead,
    ) -> outcome_lib.Outcome:
        """Relays a stream or a long answer; returns a short one.

        Raises:
            CallError: The answer was broken off.
        """
        if self.request.route.streaming and head.status == 200:
            self.relay.on_received = self.on_received
            await self.relay.run(connection, head)
            return outcome_lib.Relayed(head.status)
        return await self._read_or_relay(connection, head)

    async def discard(self, connection: http1_client.ClientConnection) -> None:
        """Reads and discards the body of a refusal.

        If the body is cut off or has no end, the connection is not reused.
        """
        reason = "body without end"
        try:
            with anyio.move_on_after(_MAX_REFUSAL_S):
                await connection.read_body(_MAX_REFUSAL_BYTES)
                return
        except http1_client.CallError as error:
            reason = error.reason
        connection.must_close = True
        self.request.log.warn("refusal_cut", reason=reason)

    def failure_outcome(
        self, error: http1_client.CallError
    ) -> outcome_lib.Outcome:
        """Returns the outcome of an attempt that failed."""
        if not error.sent:
            return outcome_lib.Unsent(error.reason)
        if self.relay.answer.started:
            return outcome_lib.Broken(error.reason)
        return outcome_lib.Lost(error.reason)

    async def _read_or_relay(
        self,
        connection: http1_client.ClientConnection,
        head: http1_client.AnswerHead,
    ) -> outcome_lib.Outcome:
        """Buffers and returns a short answer; relays a long one in parts."""
        # Not a list of parts: a target that sends single bytes would make it
        # take many times their size.
        body = bytearray()
        while part := await connection.read_part():
            body += part
            self.hold(len(part))
            if len(body) > _MAX_BUFFERED_BYTES:
                answer = self.relay.answer
                headers = attempts.filter_relayed_headers(head)
                await answer.begin(head.status, headers, bytes(body))
                self.hold(-len(body))
                # While the caller reads slowly, only the answer's buffer holds
                # the data.
                del part
                body.clear()
                await self._relay_rest(connection)
                return outcome_lib.Relayed(head.status)
        return outcome_lib.Whole(http1_client.WholeAnswer(head, bytes(body)))

    async def _relay_rest(
        self, connection: http1_client.ClientConnection
    ) -> None:
        answer = self.relay.answer
        await answer.wait_for_room()
        while part := await connection.read_part():
            await answer.send(part)
            del part
            await answer.wait_for_room()
        await answer.end()


def find_fault(
    request: intake.GatewayRequest,
    head: http1_client.AnswerHead,
    meaning: attempts.AnswerMeaning,
) -> str:
    """Returns what is wrong with the head of an answer; empty if valid."""
    if meaning.request_id != request.request_id.encode("latin-1"):
        return "crossed_answer"
    if meaning.is_encoded:
        return "encoded_answer"
    if head.status < 300 and not meaning.has_receipt:
        return "no_receipt"
    return ""


def _ignore() -> None:
    """Default callback; does nothing."""
