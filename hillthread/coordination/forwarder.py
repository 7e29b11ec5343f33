"""Serves requests: makes attempts, retries them and returns the answer."""

from __future__ import annotations

import random

import anyio
import anyio.abc

from hillthread import clock
from hillthread import errors
from hillthread import settings as settings_lib
from hillthread.coordination import attempt_checks
from hillthread.coordination import exchange as exchange_lib
from hillthread.coordination import fleet as fleet_lib
from hillthread.coordination import gate as gate_lib
from hillthread.coordination import metrics as metrics_lib
from hillthread.coordination import stream_relay
from hillthread.coordination import whole_relay
from hillthread.protocol import engine
from hillthread.protocol import headers as headers_lib
from hillthread.protocol import openai
from hillthread.state.config import objects
from hillthread.state.routing import decision as decision_lib
from hillthread.state.routing import records
from hillthread.transport import target_client

__all__ = ["Forwarder"]

# Upper bound of the random pause before a retry; doubles with each failure.
_FIRST_BACKOFF_S = 0.02
# Refusals of one request that reveal a new epoch of the target and do not count
# as failures: targets that change weights at the same time refuse requests for
# the former weights. Further ones do count.
_MAX_UNCOUNTED_REFUSALS = 4
# Bound on the request that cancels an answer at an engine.
_CANCEL_TIMEOUT_S = 1.0


class Forwarder:
    """Forwards requests to targets and relays their answers.

    Attributes:
        fleet: The state of the targets.
        gate: Reserves slots on targets.
    """

    def __init__(
        self,
        settings: settings_lib.RouterSettings,
        fleet: fleet_lib.Fleet,
        metrics: metrics_lib.RouterMetrics,
        tasks: anyio.abc.TaskGroup,
    ):
        self.settings = settings
        self.fleet = fleet
        self.metrics = metrics
        self.tasks = tasks
        self.gate = gate_lib.AdmissionGate(fleet)
        self.checker = attempt_checks.HeadChecker(fleet, metrics)
        self.random = random.Random()
        self.client = target_client.TargetClient(
            settings.connect_timeout_s,
            settings.first_byte_timeout_s,
            settings.idle_timeout_s,
        )

    async def serve(self, exchange: exchange_lib.Exchange) -> None:
        """Serves one request until its answer is complete.

        Raises:
            RefusalError: No attempt gave a complete answer; the error's run
                state tells whether a target may have run the request.
        """
        job = _Job(self, exchange)
        budget = self.fleet.retry_budget(exchange.resolved.pool)
        budget.deposit(clock.now())
        failure = await job.attempt()
        while failure is not None:
            if job.failures >= exchange.resolved.policy.max_attempts:
                break
            if not self._may_retry(exchange, job, failure):
                break
            await self._back_off(job.failures)
            self.metrics.retries.inc()
            failure = await job.attempt()
        if failure is not None:
            raise _refusal(exchange, failure)

    def cancel(self, target: objects.Target, attempt_id: str) -> None:
        """Cancels an answer at an engine; does nothing for other targets."""
        if target.service == "engine":
            self.tasks.start_soon(self._cancel, target.address, attempt_id)

    async def _cancel(self, address: str, attempt_id: str) -> None:
        path = engine.STREAMS_PATH + attempt_id
        with anyio.move_on_after(_CANCEL_TIMEOUT_S):
            try:
                async with self.client.open(
                    address, "DELETE", path, {}, None
                ) as response:
                    await self.client.read_all(response, 4096)
            except target_client.AttemptError:
                return

    def _may_retry(
        self,
        exchange: exchange_lib.Exchange,
        job: _Job,
        failure: target_client.AttemptError | None,
    ) -> bool:
        if failure is None or clock.now() > exchange.deadline:
            return False
        if not exchange.record.repeatable and not _surely_not_run(exchange):
            return False
        if exchange.has_sent_head and not job.may_continue():
            return False
        budget = self.fleet.retry_budget(exchange.resolved.pool)
        return budget.withdraw(clock.now())

    async def _back_off(self, number: int) -> None:
        """Waits a random time whose bound doubles with each failure."""
        await anyio.sleep(self.random.uniform(0, _FIRST_BACKOFF_S * 2**number))


class _Job:
    """All attempts at one request.

    Attributes:
        tried: Targets that failed; they are excluded from further attempts.
        failures: Failed attempts. A refusal that revealed a new epoch of its
            target does not count, and the target may be chosen again at once.
        weights_version: Weights of the latest attempt that reported them.
        stream: The relay of a streamed answer, or None.
        whole: The relay of an answer that is not streamed.
    """

    def __init__(self, forwarder: Forwarder, exchange: exchange_lib.Exchange):
        self.forwarder = forwarder
        self.exchange = exchange
        self.fleet = forwarder.fleet
        self.tried: set[str] = set()
        self.failures = 0
        self._uncounted_refusals = 0
        self.weights_version = ""
        self.stream = (
            self._make_stream_relay() if exchange.is_streamed else None
        )
        self.whole = whole_relay.WholeRelay(
            exchange,
            forwarder.client,
            forwarder.checker,
            forwarder.settings.limits.max_body_bytes,
        )

    def may_continue(self) -> bool:
        """Returns whether another target may continue the answer."""
        completion = self.exchange.completion
        if self.stream is None or completion is None:
            return False
        if "messages" not in completion.body or not self.weights_version:
            return False
        limit = completion.max_tokens
        relayed = self.stream.progress.next_index
        if limit is not None and relayed >= limit:
            return False
        return self.stream.progress.relayed_text() is not None

    async def attempt(self) -> target_client.AttemptError | None:
        """Makes one attempt; returns its error, or None on success."""
        attempt = await self.forwarder.gate.reserve(
            self.exchange, self._constraints()
        )
        target = self._find_target(attempt)
        self._count_decision(attempt)
        beliefs = self.fleet.warmth.targets[target.name]
        expected = attempt_checks.Expectation(
            target, attempt, beliefs.epoch, target.service == "engine"
        )
        breaker = self.fleet.breakers[target.name]
        try:
            await self._run(expected)
            breaker.record_success()
            return None
        except target_client.AttemptError as error:
            self._record_failure(expected, error)
            return error
        finally:
            self._finish_attempt(expected)

    def _constraints(self) -> fleet_lib.PlacementConstraints:
        resolved = self.exchange.resolved
        return fleet_lib.PlacementConstraints(
            resolved.targets,
            resolved.pool,
            self.exchange.record.model,
            frozenset(self.tried),
            self.weights_version if self.exchange.has_sent_head else "",
        )

    def _find_target(self, attempt: records.AttemptRecord) -> objects.Target:
        name = attempt.decision.target
        return next(
            each for each in self.exchange.resolved.targets if each.name == name
        )

    async def _run(self, expected: attempt_checks.Expectation) -> None:
        remaining_s = self.exchange.deadline - clock.now()
        attempt = expected.attempt
        with anyio.move_on_after(max(0.0, remaining_s)) as scope:
            if self.stream is not None:
                await self.stream.run(
                    expected,
                    self._headers(expected),
                    self._stream_body(self.stream),
                )
            else:
                await self.whole.run(
                    expected, self._headers(expected), self._whole_body()
                )
        if scope.cancelled_caught:
            state = records.AttemptState.SENT
            if attempt.incarnation:
                state = records.AttemptState.ACCEPTED
            raise target_client.AttemptError(
                state, "deadline", is_target_fault=False
            )

    def _headers(self, expected: attempt_checks.Expectation) -> dict[str, str]:
        result = headers_lib.filter_request_headers(
            self.exchange.request.headers
        )
        result[engine.REQUEST_ID] = expected.attempt.attempt_id
        if expected.epoch is not None and expected.must_echo:
            result[engine.EXPECT_WEIGHTS] = expected.epoch.weights_version
        if self.stream is not None and self.stream.progress.next_index:
            last = self.stream.progress.next_index - 1
            result[engine.LAST_EVENT_ID] = str(last)
        return result

    def _cache_salt(self) -> str:
        return engine.cache_salt(
            self.exchange.tenant.organisation, self.forwarder.settings.secret
        )

    def _stream_body(self, stream: stream_relay.StreamRelay) -> bytes:
        completion = self.exchange.completion
        assert completion is not None
        priority = self.exchange.resolved.policy.priority
        progress = stream.progress
        if progress.next_index == 0:
            return openai.encode_upstream_body(
                completion, self._cache_salt(), priority
            )
        progress.earlier_tokens = progress.next_index
        self.forwarder.metrics.resumes.labels("continue").inc()
        return openai.encode_continuation_body(
            completion,
            self._cache_salt(),
            priority,
            progress.relayed_text() or "",
            progress.next_index,
        )

    def _whole_body(self) -> bytes | None:
        completion = self.exchange.completion
        if completion is None:
            return self.exchange.parsed.body or None
        priority = self.exchange.resolved.policy.priority
        return openai.encode_upstream_body(
            completion, self._cache_salt(), priority
        )

    def _make_stream_relay(self) -> stream_relay.StreamRelay:
        return stream_relay.StreamRelay(
            self.exchange,
            self.forwarder.client,
            self.forwarder.checker,
            self.fleet,
            self.forwarder.metrics,
            self.forwarder.settings.max_event_bytes,
        )

    def _count_decision(self, attempt: records.AttemptRecord) -> None:
        reason = attempt.decision.reason or decision_lib.Reason.LEAST_COST
        self.forwarder.metrics.decisions.labels(reason.value).inc()

    def _record_failure(
        self,
        expected: attempt_checks.Expectation,
        error: target_client.AttemptError,
    ) -> None:
        attempt = expected.attempt
        attempt.failure = error.reason
        if attempt.state is not records.AttemptState.ACCEPTED:
            attempt.state = error.state
        self.weights_version = attempt.weights_version or self.weights_version
        name = expected.target.name
        if error.is_target_fault:
            self.fleet.breakers[name].record_failure(clock.now())
        epoch = self.fleet.warmth.targets[name].epoch
        if error.state is records.AttemptState.REFUSED and (
            epoch != expected.epoch
        ):
            self._uncounted_refusals += 1
            self.failures += self._uncounted_refusals > _MAX_UNCOUNTED_REFUSALS
            return
        self.failures += 1
        self.tried.add(name)

    def _finish_attempt(self, expected: attempt_checks.Expectation) -> None:
        """Records the end of an attempt and releases its slot.

        Runs also when the caller has disconnected and the task is cancelled.
        An attempt that may have been sent and was not answered is cancelled
        at the engine.
        """
        attempt = expected.attempt
        attempt.ended_s = self.exchange.elapsed()
        self._record_usage(attempt)
        self.fleet.breakers[expected.target.name].cancel_probe()
        self.forwarder.gate.release(attempt.attempt_id)
        self.forwarder.metrics.attempts.labels(
            expected.target.name, attempt.state.value
        ).inc()
        if attempt.state is records.AttemptState.ANSWERED:
            return
        if attempt.state is records.AttemptState.UNSENT and not attempt.failure:
            attempt.state = records.AttemptState.SENT
        if attempt.state is not records.AttemptState.UNSENT:
            self.forwarder.cancel(expected.target, attempt.attempt_id)

    def _record_usage(self, attempt: records.AttemptRecord) -> None:
        usage = self.whole.usage
        if self.stream is not None:
            usage = self.stream.progress.usage
        if usage is None:
            return
        attempt.prompt_tokens = usage.prompt_tokens
        attempt.completion_tokens = usage.completion_tokens
        metrics = self.forwarder.metrics
        metrics.prompt_tokens.inc(usage.prompt_tokens)
        if usage.cached_tokens is None:
            return
        attempt.cached_tokens = usage.cached_tokens
        metrics.cached_tokens.inc(usage.cached_tokens)
        self.fleet.record_first_token(attempt.attempt_id, clock.now())
        self.fleet.record_usage(
            attempt.attempt_id,
            fleet_lib.Usage(
                usage.prompt_tokens,
                usage.cached_tokens,
                usage.completion_tokens,
            ),
            clock.now(),
        )


def _surely_not_run(exchange: exchange_lib.Exchange) -> bool:
    return exchange.run_state() is errors.RunState.NOT_RUN


def _refusal(
    exchange: exchange_lib.Exchange,
    failure: target_client.AttemptError | None,
) -> errors.RefusalError:
    run = exchange.run_state()
    reason = failure.reason if failure else "no attempt"
    if reason == "deadline":
        return errors.RefusalError(
            "deadline",
            504,
            "The deadline of the request has passed.",
            "Raise the route's timeout_s, or request a shorter answer.",
            run,
        )
    remedy = "Send the request again."
    if run is not errors.RunState.NOT_RUN and not exchange.record.repeatable:
        remedy = "It may have run: check its outcome before sending it again."
    return errors.RefusalError(
        "target_failed",
        502,
        f"No target completed the request; last failure: {reason}.",
        remedy,
        run,
        1.0 if run is errors.RunState.NOT_RUN else None,
    )
