"""Relays a streamed answer completely and in order, or with an explicit error.

When the connection breaks, the relay first resumes the stream on the same
incarnation of the target. The forwarder decides whether to continue it on
another target.
"""

from __future__ import annotations

from collections.abc import AsyncIterator

import anyio

from hillthread import clock
from hillthread import errors
from hillthread.coordination import attempt_checks
from hillthread.coordination import exchange as exchange_lib
from hillthread.coordination import fleet as fleet_lib
from hillthread.coordination import metrics as metrics_lib
from hillthread.coordination import stream_progress
from hillthread.protocol import engine
from hillthread.protocol import event_stream
from hillthread.protocol import openai
from hillthread.state.routing import records
from hillthread.state.routing import warmth
from hillthread.transport import target_client

__all__ = ["StreamRelay"]

_STREAM_HEADERS = [
    (b"content-type", b"text/event-stream; charset=utf-8"),
    (b"cache-control", b"no-store"),
]
# Attempts to resume a broken stream on the same incarnation.
_MAX_RESUMES = 2
# Pause before the first resume; each further pause is longer by this time.
_RESUME_PAUSE_S = 0.05
# Bound on reading a response to its end, so that its connection can be reused.
_DRAIN_TIMEOUT_S = 0.5


class StreamRelay:
    """Relays one answer, over all attempts at it.

    Attributes:
        progress: The checks and the position of the answer.
    """

    def __init__(
        self,
        exchange: exchange_lib.Exchange,
        client: target_client.TargetClient,
        checker: attempt_checks.HeadChecker,
        fleet: fleet_lib.Fleet,
        metrics: metrics_lib.RouterMetrics,
        max_event_bytes: int,
    ):
        completion = exchange.completion
        self.exchange = exchange
        self.client = client
        self.checker = checker
        self.fleet = fleet
        self.metrics = metrics
        self.max_event_bytes = max_event_bytes
        self.progress = stream_progress.StreamProgress(
            completion is not None and completion.wants_usage
        )

    async def run(
        self,
        expected: attempt_checks.Expectation,
        headers: dict[str, str],
        body: bytes,
    ) -> None:
        """Runs one attempt until the answer is complete.

        Raises:
            AttemptError: The target cannot complete it.
        """
        self.progress.begin_attempt(expected.attempt.attempt_id)
        path = self.exchange.request.path
        try:
            async with self.client.open(
                expected.target.address, "POST", path, headers, body
            ) as response:
                await self._relay(response, expected)
        except target_client.AttemptError as error:
            if not self._may_resume(error, expected):
                raise
            await self._resume(expected, error)

    async def _relay(
        self,
        response: target_client.TargetResponse,
        expected: attempt_checks.Expectation,
    ) -> None:
        self.checker.check(response, expected)
        if response.status_code != 200:
            await self._relay_error_answer(response, expected)
            return
        splitter = event_stream.EventSplitter(self.max_event_bytes)
        chunks = self.client.read(response)
        async for chunk in chunks:
            await self._relay_chunk(splitter, chunk, expected)
            if self.progress.done:
                break
        if not self.progress.done:
            raise self._fault_error(
                stream_progress.StreamFault.TRUNCATED
                if self.progress.next_index
                else stream_progress.StreamFault.EMPTY
            )
        await self._finish(chunks, expected)

    async def _relay_chunk(
        self,
        splitter: event_stream.EventSplitter,
        chunk: bytes,
        expected: attempt_checks.Expectation,
    ) -> None:
        try:
            events = splitter.feed(chunk)
        except errors.HillthreadError as error:
            raise target_client.AttemptError(
                records.AttemptState.ACCEPTED, error.message
            ) from error
        parts = [self.progress.accept(event) for event in events]
        data = b"".join(parts)
        if data:
            await self._send(data, expected)
        if self.progress.fault is not None:
            raise self._fault_error(self.progress.fault)

    async def _send(
        self, data: bytes, expected: attempt_checks.Expectation
    ) -> None:
        if expected.attempt.first_token_s is None:
            self._record_first_token(expected.attempt)
        if not self.exchange.has_sent_head:
            await self.exchange.begin_answer(200, _STREAM_HEADERS)
        await self.exchange.send_chunk(data)

    def _record_first_token(self, attempt: records.AttemptRecord) -> None:
        attempt.first_token_s = self.exchange.elapsed()
        self.fleet.record_first_token(attempt.attempt_id, clock.now())
        if not self.exchange.has_sent_head:
            self.metrics.observe_first_token(
                self.exchange.tenant.name, attempt.first_token_s
            )

    async def _finish(
        self,
        chunks: AsyncIterator[bytes],
        expected: attempt_checks.Expectation,
    ) -> None:
        """Ends the caller's answer, then reads on to free the connection."""
        expected.attempt.state = records.AttemptState.ANSWERED
        await self.exchange.end_answer()
        with anyio.move_on_after(_DRAIN_TIMEOUT_S):
            try:
                async for _ in chunks:
                    pass
            except target_client.AttemptError:
                return

    async def _relay_error_answer(
        self,
        response: target_client.TargetResponse,
        expected: attempt_checks.Expectation,
    ) -> None:
        """Relays a target's 4xx answer, which is the final answer."""
        data = await self.client.read_all(response, self.max_event_bytes)
        if self.exchange.has_sent_head:
            raise target_client.AttemptError(
                records.AttemptState.ACCEPTED,
                f"status {response.status_code} to a continued stream",
            )
        content_type = response.headers.get("content-type", "application/json")
        await self.exchange.begin_answer(
            response.status_code, [(b"content-type", content_type.encode())]
        )
        await self.exchange.end_answer(data)
        expected.attempt.state = records.AttemptState.ANSWERED
        self.progress.done = True

    def _may_resume(
        self,
        error: target_client.AttemptError,
        expected: attempt_checks.Expectation,
    ) -> bool:
        """Returns whether the stream can be resumed on its incarnation.

        Resuming does not run the request again, so it is allowed for requests
        that are not repeatable.
        """
        fault = self.progress.fault
        if fault is stream_progress.StreamFault.ERROR_EVENT:
            return False
        if not error.resumable:
            return False
        if error.state is records.AttemptState.ACCEPTED:
            return bool(expected.attempt.incarnation)
        return (
            error.state is records.AttemptState.SENT
            and not expected.attempt.incarnation
            and expected.epoch is not None
        )

    async def _resume(
        self,
        expected: attempt_checks.Expectation,
        error: target_client.AttemptError,
    ) -> None:
        incarnation = expected.attempt.incarnation
        weights = expected.attempt.weights_version
        if not incarnation and expected.epoch is not None:
            incarnation, weights = expected.epoch
        resumed = expected._replace(
            epoch=warmth.CacheEpoch(incarnation, weights),
            requires_same_incarnation=True,
        )
        for number in range(_MAX_RESUMES):
            await anyio.sleep(_RESUME_PAUSE_S * (number + 1))
            self.progress.begin_attempt(expected.attempt.attempt_id)
            before = self.progress.next_index
            try:
                await self._resume_once(resumed)
            except target_client.AttemptError:
                if self.progress.next_index == before:
                    continue
            if self.progress.done:
                return
        raise error

    async def _resume_once(self, expected: attempt_checks.Expectation) -> None:
        attempt = expected.attempt
        headers = {engine.REQUEST_ID: attempt.attempt_id}
        if expected.epoch is not None:
            headers[engine.EXPECT_INCARNATION] = expected.epoch.incarnation
        if self.progress.next_index:
            headers[engine.LAST_EVENT_ID] = str(self.progress.next_index - 1)
        self.metrics.resumes.labels("resume").inc()
        async with self.client.open(
            expected.target.address,
            "GET",
            engine.STREAMS_PATH + attempt.attempt_id,
            headers,
            None,
        ) as response:
            if response.status_code != 200:
                raise target_client.AttemptError(
                    records.AttemptState.ACCEPTED,
                    f"resume answered with status {response.status_code}",
                )
            await self._relay(response, expected)

    def _fault_error(
        self, fault: stream_progress.StreamFault
    ) -> target_client.AttemptError:
        self.metrics.mismatches.labels(fault.value).inc()
        return target_client.AttemptError(
            records.AttemptState.ACCEPTED, fault.value
        )


async def send_stream_error(
    exchange: exchange_lib.Exchange, refusal: errors.RefusalError
) -> None:
    """Sends an error to a caller whose answer has begun but cannot complete.

    The body is left unterminated, so that no client takes it for complete.
    """
    if exchange.is_streamed:
        data = openai.encode_error_body(refusal, exchange.request_id)
        await exchange.send_chunk(event_stream.encode_event(None, data))
