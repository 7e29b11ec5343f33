"""Relays a stream of events from one or more runs of a request.

Only complete events are relayed. When another run resumes the stream, events
that the caller already has are skipped, and the answer keeps the head from the
first run.
"""

from __future__ import annotations

from collections.abc import Callable

from hillthread import clock
from hillthread import errors
from hillthread.platform import attempts
from hillthread.protocol import event_stream
from hillthread.protocol import stream_end
from hillthread.transport import http1_client
from hillthread.transport import http1_server

__all__ = ["EventRelay"]

_MAX_EVENT_BYTES = 1_048_576
# The same while the budget of buffered bytes is in demand.
_SMALL_EVENT_BYTES = 65_536


class EventRelay:
    """Relays the events of one answer to a caller.

    Attributes:
        answer: The answer to the caller.
        last_event_id: Id of the last event that the caller has, or None.
        is_continued: Whether the caller has an earlier part of the stream, so
            that a run may have nothing to add.
        event_count: Number of events relayed.
        first_sent_at: Clock time in seconds of the first event, or None.
        longest_gap_s: Longest pause between two events.
        unfinished_bytes: Bytes of the event in which the last run ended, which
            are not relayed; 0 if it ended between two events.
        weights_version: The last weights version that an event named since
            `take_weights_version` was called, or None.
        on_first_event: Called when the first event of a run is relayed.
        on_received: Called when any part of a run's answer arrives.
    """

    def __init__(
        self,
        answer: http1_server.CallerAnswer,
        last_event_id: int | None = None,
    ):
        self.answer = answer
        self.last_event_id = last_event_id
        self.is_continued = last_event_id is not None
        self.event_count = 0
        self.first_sent_at: float | None = None
        self.longest_gap_s = 0.0
        self.unfinished_bytes = 0
        self.weights_version: int | None = None
        self.on_first_event: Callable[[], None] = _ignore
        self.on_received: Callable[[], None] = _ignore
        self._last_sent_at = 0.0
        self._held_bytes = 0
        self._has_run_begun = False

    async def run(
        self,
        connection: http1_client.ClientConnection,
        head: http1_client.AnswerHead,
    ) -> None:
        """Relays one run to its end.

        Raises:
            CallError: The run was broken off.
        """
        self._has_run_begun = False
        self.unfinished_bytes = 0
        splitter = event_stream.EventSplitter(_MAX_EVENT_BYTES)
        try:
            await self._relay_events(connection, head, splitter)
        finally:
            self._hold(0)
        end: stream_end.StreamEnd = stream_end.Complete()
        is_event_stream = attempts.is_event_stream(head)
        if is_event_stream:
            end = stream_end.judge(
                connection.framing,
                splitter,
                self.answer.started or self.is_continued,
            )
        match end:
            case stream_end.BrokenOff(reason):
                if splitter.has_unfinished_event():
                    self.unfinished_bytes = len(splitter.rest)
                connection.must_close = True
                raise http1_client.CallError(True, reason)
        await self._forward(head, splitter.rest)
        may_be_empty = is_event_stream and self.is_continued
        if not self.answer.started and not may_be_empty:
            raise http1_client.CallError(True, "stream without events")
        # The end of a stream continues it, too.
        self._begin_run()
        if not self.answer.started:
            headers = attempts.filter_relayed_headers(head)
            await self.answer.begin(head.status, headers)
        await self.answer.end()

    async def _relay_events(
        self,
        connection: http1_client.ClientConnection,
        head: http1_client.AnswerHead,
        splitter: event_stream.EventSplitter,
    ) -> None:
        """Relays events until the body ends.

        Raises:
            InvalidAnswerError: An event has no end or no valid id.
            CallError: The body is broken off.
        """
        while part := await connection.read_part():
            self.on_received()
            try:
                events = splitter.feed(part)
            except errors.HillthreadError as error:
                raise connection.reject("event not valid") from error
            await self._relay(head, events)
            del part, events
            splitter.limit = self._hold(splitter.rest_bytes)
            if self.answer.started:
                await self.answer.wait_for_room()

    def _hold(self, size: int) -> int:
        """Counts an unfinished event towards the budget of buffered bytes.

        Returns:
            How large it may become.
        """
        budget = self.answer.budget
        if budget is None:
            return _MAX_EVENT_BYTES
        if size != self._held_bytes:
            budget.hold(size - self._held_bytes)
            self._held_bytes = size
        return _SMALL_EVENT_BYTES if budget.is_in_demand else _MAX_EVENT_BYTES

    def take_weights_version(self) -> int | None:
        """Returns and clears `weights_version`."""
        version, self.weights_version = self.weights_version, None
        return version

    async def _relay(
        self,
        head: http1_client.AnswerHead,
        events: list[event_stream.Event],
    ) -> None:
        new_events, last_event_id = self._select_new(events)
        if not new_events:
            return
        # A run that is rejected here has relayed nothing: the next one resumes
        # where the caller is.
        self._begin_run()
        self.last_event_id = last_event_id
        for event in new_events:
            version = attempts.parse_event_weights(event.raw)
            if version is not None:
                self.weights_version = version
        await self._forward(head, b"".join(event.raw for event in new_events))
        self.event_count += len(new_events)

    def _select_new(
        self, events: list[event_stream.Event]
    ) -> tuple[list[event_stream.Event], int | None]:
        """Returns the events that the caller lacks, and the last id then."""
        new_events = []
        last_id = self.last_event_id
        for event in events:
            if event.index is not None:
                if last_id is not None and event.index <= last_id:
                    continue
                last_id = event.index
            new_events.append(event)
        return new_events, last_id

    def _begin_run(self) -> None:
        """Reports the first event of a run, before it is relayed.

        Raises:
            CallError: The run must not continue the stream.
        """
        if not self._has_run_begun:
            self._has_run_begun = True
            self.on_first_event()

    async def _forward(
        self, head: http1_client.AnswerHead, data: bytes
    ) -> None:
        if not data:
            return
        now = clock.now()
        self._begin_run()
        if self.first_sent_at is None:
            self.first_sent_at = now
        else:
            gap_s = now - self._last_sent_at
            self.longest_gap_s = max(self.longest_gap_s, gap_s)
        self._last_sent_at = now
        if self.answer.started:
            await self.answer.send(data)
            return
        headers = attempts.filter_relayed_headers(head)
        await self.answer.begin(head.status, headers, data)


def _ignore() -> None:
    """Default callback; does nothing."""
