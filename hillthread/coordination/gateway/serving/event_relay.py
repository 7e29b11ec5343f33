"""Relays a stream of events over all runs that produce it.

Only whole events are passed on. When a stream goes on in another run, events
that the caller has already are left out, and the answer keeps the head of its
first run.
"""

from __future__ import annotations

from collections.abc import Callable

from hillthread import clock
from hillthread import errors
from hillthread.platform import attempts
from hillthread.protocol import event_stream
from hillthread.transport import http1_client
from hillthread.transport import http1_server

__all__ = ["EventRelay"]

_MAX_EVENT_BYTES = 1_048_576


class EventRelay:
    """One answer to a caller, as a stream.

    Attributes:
        answer: Where it goes.
        last_id: Of the last event relayed, or None.
        events: Events relayed.
        first_at: Seconds on the clock, of the first event, or None.
        longest_gap_s: Longest pause between two events.
        weights_version: Weights that the last event told, or None.
        begun: Called when the first event of a run is relayed.
        heard: Called when anything of a run came.
    """

    def __init__(self, answer: http1_server.CallerAnswer):
        self.answer = answer
        self.last_event_id: int | None = None
        self.events = 0
        self.first_at: float | None = None
        self.longest_gap_s = 0.0
        self.weights_version: int | None = None
        self.on_first_event: Callable[[], None] = _nobody
        self.on_received: Callable[[], None] = _nobody
        self._last_at = 0.0
        self._run_began = False

    async def run(
        self,
        connection: http1_client.ClientConnection,
        head: http1_client.AnswerHead,
    ) -> None:
        """Relays one run to its end.

        Raises:
            CallError: The run broke off.
        """
        self._run_began = False
        splitter = event_stream.EventSplitter(_MAX_EVENT_BYTES)
        while part := await connection.read_part():
            self.on_received()
            try:
                events = splitter.feed(part)
            except errors.HillthreadError as error:
                raise http1_client.CallError(True, error.message) from error
            await self._relay(head, events)
        await self._pass_on(head, splitter.rest)
        if not self.answer.started:
            raise http1_client.CallError(True, "stream without events")
        await self.answer.end()

    def take_weights_version(self) -> int | None:
        """Returns the weights told since the last call, or None."""
        version, self.weights_version = self.weights_version, None
        return version

    async def _relay(
        self,
        head: http1_client.AnswerHead,
        events: list[event_stream.Event],
    ) -> None:
        fresh = [event for event in events if self._is_fresh(event)]
        for event in fresh:
            version = attempts.event_weights(event.raw)
            if version is not None:
                self.weights_version = version
        await self._pass_on(head, b"".join(event.raw for event in fresh))
        self.events += len(fresh)

    def _is_fresh(self, event: event_stream.Event) -> bool:
        if event.index is None:
            return True
        if self.last_event_id is not None and event.index <= self.last_event_id:
            return False
        self.last_event_id = event.index
        return True

    async def _pass_on(
        self, head: http1_client.AnswerHead, data: bytes
    ) -> None:
        if not data:
            return
        now = clock.now()
        if not self._run_began:
            self._run_began = True
            self.on_first_event()
        if self.first_at is None:
            self.first_at = now
        else:
            gap_s = now - self._last_at
            self.longest_gap_s = max(self.longest_gap_s, gap_s)
        self._last_at = now
        if self.answer.started:
            await self.answer.send(data)
            return
        headers = attempts.relayed_headers(head)
        await self.answer.begin(head.status, headers, data)


def _nobody() -> None:
    """Stands for nobody who wants to know that a run has begun."""
