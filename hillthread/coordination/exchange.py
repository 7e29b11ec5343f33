"""The state of one request while the router serves it."""

from __future__ import annotations

import dataclasses

from hillthread import clock
from hillthread import errors
from hillthread.coordination import intake
from hillthread.protocol import openai
from hillthread.state.config import objects
from hillthread.state.config import routing_table
from hillthread.state.routing import decision as decision_lib
from hillthread.state.routing import records
from hillthread.transport import http_server

__all__ = ["Exchange"]


@dataclasses.dataclass(slots=True)
class Exchange:
    """A request with its answer and its decision record.

    Attributes:
        request: As received.
        send: Sends the answer to the caller.
        parsed: The parsed request.
        tenant: The tenant that sent it.
        record: The decision record, filled as the request is served.
        arrived_at: Monotonic seconds.
        deadline: Monotonic seconds.
        has_sent_head: Whether the head of the answer was sent to the caller.
        closes_connection: Whether the caller's connection is to be closed after
            the answer.
    """

    request: http_server.Request
    send: http_server.Send
    parsed: intake.ParsedRequest
    tenant: objects.Tenant
    record: records.RequestRecord
    arrived_at: float
    deadline: float
    has_sent_head: bool = False
    closes_connection: bool = False

    @property
    def request_id(self) -> str:
        """The request's identifier."""
        return self.record.request_id

    @property
    def completion(self) -> openai.CompletionRequest | None:
        """The validated completion request; None for plain services."""
        return self.parsed.completion

    @property
    def resolved(self) -> routing_table.ResolvedRoute:
        """Route, policy, pool and targets."""
        return self.parsed.resolved

    @property
    def is_streamed(self) -> bool:
        """Whether the caller gets server-sent events."""
        return self.completion is not None and self.completion.stream

    def elapsed(self) -> float:
        """Returns the seconds since the request arrived."""
        return clock.now() - self.arrived_at

    def add_attempt(
        self, decision: decision_lib.Decision
    ) -> records.AttemptRecord:
        """Adds a new attempt to the decision record and returns it."""
        number = len(self.record.attempts) + 1
        attempt = records.AttemptRecord(
            f"{self.request_id}-{number}",
            records.trim_decision(decision),
            self.elapsed(),
        )
        if decision.scores:
            best = decision.scores[0]
            attempt.predicted_cached = int(
                best.warm_tokens * best.warm_probability
            )
        self.record.attempts.append(attempt)
        return attempt

    def run_state(self) -> errors.RunState:
        """Returns whether a target ran the request, judging by all attempts."""
        return records.infer_run_state(self.record.attempts)

    async def begin_answer(
        self, status: int, headers: list[tuple[bytes, bytes]]
    ) -> None:
        """Sends the head of the answer to the caller."""
        self.has_sent_head = True
        fixed = [(b"x-request-id", self.request_id.encode())]
        if self.closes_connection:
            fixed.append((b"connection", b"close"))
        await self.send(
            {
                "type": "http.response.start",
                "status": status,
                "headers": fixed + headers,
            }
        )

    async def send_chunk(self, data: bytes) -> None:
        """Sends a chunk of the body; waits while the caller is slow."""
        await self.send(
            {"type": "http.response.body", "body": data, "more_body": True}
        )

    async def end_answer(self, data: bytes = b"") -> None:
        """Sends the last chunk; only for answers that are complete."""
        await self.send({"type": "http.response.body", "body": data})
