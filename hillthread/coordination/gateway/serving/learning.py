"""Records how attempts ended: state of targets, metrics and log lines."""

from __future__ import annotations

import logging

import anyio

from hillthread import clock
from hillthread import errors
from hillthread.coordination.gateway import metrics as metrics_lib
from hillthread.coordination.gateway import site as site_lib
from hillthread.coordination.gateway.peers import work_feed
from hillthread.coordination.gateway.serving import attempt as attempt_lib
from hillthread.coordination.gateway.serving import chooser as chooser_lib
from hillthread.coordination.gateway.serving import intake
from hillthread.coordination.gateway.serving import outcome as outcome_lib
from hillthread.coordination.gateway.serving import quarantine_keeper
from hillthread.coordination.gateway.serving import reach_monitor
from hillthread.platform import orders
from hillthread.protocol import body_framing
from hillthread.state.config import objects
from hillthread.state.routing import attempt_plan
from hillthread.state.routing import engine_speed
from hillthread.state.targets import target_state

__all__ = ["FirstByteRecorder", "OutcomeRecorder"]

# A target that refused a request gets no new ones for this time.
_REFUSAL_PAUSE_S = 0.15
_MAX_REASON_CHARS = 32
# Delay before a target's report is read: twice the age of reports, which show a
# target as it was some hundred ms ago.
_REPORT_DELAY_S = 0.5

_logger = logging.getLogger("hillthread.targets")


class FirstByteRecorder:
    """Records the first byte of an attempt, once.

    Attributes:
        outcome_recorder: Provides the host's state and metrics.
        request: The caller's request.
        planned: The plan and the estimate of the attempt.
        state: State of the target when the attempt began.
        started: Seconds, when the attempt began.
        work: Notifies other hosts of the speed of engines.
        is_recorded: Whether the first byte, or its absence, was recorded.
    """

    def __init__(
        self,
        outcome_recorder: OutcomeRecorder,
        request: intake.GatewayRequest,
        planned: chooser_lib.PlannedAttempt,
        state: target_state.TargetState,
        started: float,
        work: work_feed.WorkFeed,
    ):
        self.outcome_recorder = outcome_recorder
        self.request = request
        self.planned = planned
        self.state = state
        self.started = started
        self.work = work
        self.is_recorded = False

    def record(self) -> None:
        """Records that the answer has begun; idempotent."""
        if self.is_recorded:
            return
        now = clock.now()
        estimate = self.planned.estimate
        self.request.log.note(
            "first_byte",
            seconds=round(now - self.started, 4),
            expected_s=round(estimate.total_s, 4),
            queue_s=round(estimate.queue_s, 4),
            fetch_s=round(estimate.fetch_s, 4),
            read_tokens=estimate.prefill_tokens,
        )
        self._mark_recorded(now, now - self.started)
        self._learn_speed(now - self.started, now)
        self.outcome_recorder.metrics.observe_first_byte(
            self.request.tenant_name,
            self.request.route.name,
            now - self.request.caller.arrived,
        )

    def record_none(self) -> None:
        """Records that no answer has come, unless one has begun.

        The duration of a refusal says nothing about the duration of an answer.
        """
        if not self.is_recorded:
            self._mark_recorded(clock.now(), None)

    def _learn_speed(self, seconds: float, now: float) -> None:
        """Learns the engine's speed from a prompt that met no known queue.

        If the speed is wrong, queues seem to end at the wrong time. With one
        rate for all engines of a pool and no base time, the expected first byte
        was off by 52 to 68% at the median where engines differ or are far away.
        """
        if not self.request.prompt.parts:
            return
        estimate = self.planned.estimate
        self.outcome_recorder.metrics.observe_first_byte_ratio(
            self.planned.pool.name, seconds, estimate.total_s
        )
        name = self.planned.plan.target.name
        site = self.outcome_recorder.site
        if estimate.backlog_s > 0.0 or site.states.get(name) is not self.state:
            return
        sample = engine_speed.SpeedSample(
            estimate.prefill_tokens, seconds - estimate.fetch_s
        )
        notice = site.add_speed_sample(name, sample, now)
        if notice is not None:
            self.work.notify_speed(notice)

    def _mark_recorded(self, now: float, seconds: float | None) -> None:
        self.is_recorded = True
        self.state.record_first_byte(now, self.planned.attempt_id, seconds)


class OutcomeRecorder:
    """Updates the state of targets after each attempt.

    Attributes:
        site: The host's view of the targets and their weights.
        metrics: The host's metrics.
        monitor: Notified of targets that cannot be reached.
        quarantine: Notified of targets that are gone.
    """

    def __init__(
        self,
        site: site_lib.Site,
        metrics: metrics_lib.GatewayMetrics,
        monitor: reach_monitor.ReachabilityMonitor,
        quarantine: quarantine_keeper.QuarantineKeeper,
    ):
        self.site = site
        self.metrics = metrics
        self.monitor = monitor
        self.quarantine = quarantine
        self._targets_being_read: set[str] = set()

    def record_outcome(
        self,
        attempt: attempt_lib.Attempt,
        state: target_state.TargetState,
        result: outcome_lib.Outcome | None,
        started: float,
    ) -> None:
        """Records how an attempt ended.

        Args:
            attempt: The attempt.
            state: State of its target when it began. A later incarnation of
                the same name has a state of its own, which is not changed.
            result: How it ended; None if the caller no longer waited for it.
            started: Seconds, when it began.
        """
        now = clock.now()
        kind = type(result).__name__.lower() if result else "abandoned"
        self.metrics.attempts.labels(kind).inc()
        if attempt.framing is not None:
            self.metrics.answers.labels(str(attempt.framing)).inc()
        is_current = self.site.states.get(attempt.plan.target.name) is state
        if is_current:
            self._record_weights(attempt)
        log = attempt.request.log
        fields = _build_log_fields(attempt, kind, now - started)
        fields["beside"] = state.open_attempts - 1
        if attempt.meaning is not None and not _is_mismatch(result):
            state.mismatches = 0
        match result:
            case outcome_lib.Unsent(reason):
                self.monitor.mark_unreachable(attempt.plan.target, reason)
                log.warn("attempt", reason=reason, **fields)
            case outcome_lib.Lost(reason) | outcome_lib.Broken(reason):
                # An attempt given up here says nothing about the target.
                ejected = not attempt.give_up_reason and state.record_failure(
                    now
                )
                self.metrics.mismatches.labels(reason[:_MAX_REASON_CHARS]).inc()
                log.warn("attempt", reason=reason, ejected=ejected, **fields)
            case outcome_lib.NotRun(status):
                if is_current:
                    self._record_refusal(attempt.plan, state, result, now)
                log.warn("attempt", status=status, **fields)
            case outcome_lib.Whole(whole) if whole.head.status >= 500:
                state.record_failure(now)
                log.warn("attempt", status=whole.head.status, **fields)
            case outcome_lib.Whole() | outcome_lib.Relayed():
                state.record_success()
                log.note("attempt", **fields)
            case None:
                log.warn("attempt", **fields)

    def _record_weights(self, attempt: attempt_lib.Attempt) -> None:
        """Records the weights versions that an answer or its events named."""
        plan = attempt.plan
        versions = [attempt.relay.take_weights_version()]
        if attempt.meaning is not None:
            versions.append(attempt.meaning.weights_version)
        for version in versions:
            if version is not None and plan.model:
                self.site.observe_weights(plan.target.name, plan.model, version)

    def _record_refusal(
        self,
        plan: attempt_plan.AttemptPlan,
        state: target_state.TargetState,
        refusal: outcome_lib.NotRun,
        now: float,
    ) -> None:
        """Records why a target did not run a request."""
        name = plan.target.name
        if not _is_mismatch(refusal):
            state.record_refusal(now + _REFUSAL_PAUSE_S)
            return
        if refusal.meaning.incarnation not in ("", name):
            # Another target has the address, so this one is gone.
            state.record_unreachable(now)
            self.quarantine.record_target_crash(name, "another has its address")
            self.site.confirm_live(
                refusal.meaning.incarnation, plan.target.address
            )
            return
        board = self.site.weights
        version = plan.weights_version
        is_guess = version is not None and board.reject_version(
            name, plan.model, version
        )
        if version is not None and not is_guess:
            return  # another version has been assumed since it was sent
        is_ejected = state.record_mismatch(now)
        if is_ejected:
            _logger.warning(
                "target ejected after mismatches",
                extra={
                    "event": "target_mismatch",
                    "target": name,
                    "mismatches": state.mismatches,
                    "ejected_s": round(state.breaker.open_until - now, 3),
                },
            )
        if is_guess and (is_ejected or board.is_behind(name, plan.model)):
            self.monitor.tasks.start_soon(
                self._fetch_weights, plan.target, plan.model
            )

    async def _fetch_weights(self, target: objects.Target, model: str) -> None:
        """Reads from a target's report which weights it holds.

        A host that wrongly assumes old weights sends the target no requests,
        so that no answer would correct it. Reports lag by some hundred ms.
        """
        if target.name in self._targets_being_read:
            return
        self._targets_being_read.add(target.name)
        try:
            await anyio.sleep(_REPORT_DELAY_S)
            report = await orders.read_report(self.monitor.pool, target)
        except errors.ConfigurationError as error:
            report = None
            _logger.warning(
                "target report is unreadable",
                extra={
                    "event": "bad_report",
                    "target": target.name,
                    "reason": str(error),
                },
            )
        finally:
            self._targets_being_read.discard(target.name)
        if report is not None:
            self.site.apply_report(target.name, model, report)


def _is_mismatch(result: outcome_lib.Outcome | None) -> bool:
    """Returns whether the target or its weights are not the expected ones."""
    return isinstance(result, outcome_lib.NotRun) and result.status == 421


def _build_log_fields(
    attempt: attempt_lib.Attempt, kind: str, seconds: float
) -> dict[str, object]:
    """Returns the log fields of an attempt that has ended."""
    fields: dict[str, object] = {
        "target": attempt.plan.target.name,
        "outcome": kind,
        "seconds": round(seconds, 4),
        "weights": attempt.plan.weights_version,
        "reused": attempt.reused,
        "began": attempt.meaning is not None,
    }
    if attempt.framing is body_framing.BodyFraming.CLOSE:
        fields["framing"] = str(attempt.framing)
    if attempt.relay.unfinished_bytes:
        fields["unfinished_bytes"] = attempt.relay.unfinished_bytes
    if attempt.plan.fetch_from:
        fields["cache"] = attempt.plan.fetch_from
        fields["saves"] = bool(attempt.plan.save_to)
    if attempt.meaning is not None:
        fields["answered_weights"] = attempt.meaning.weights_version
        if attempt.meaning.limit_per_s is not None:
            fields["limit_per_s"] = attempt.meaning.limit_per_s
        if attempt.meaning.is_leaving:
            fields["announced_leaving"] = True
        if attempt.meaning.backoff_s:
            fields["backoff_s"] = attempt.meaning.backoff_s
    return fields
