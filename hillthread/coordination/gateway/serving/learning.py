"""Takes in what attempts tell of their targets, and logs how they ended."""

from __future__ import annotations

import logging

import anyio

from hillthread import clock
from hillthread import errors
from hillthread.coordination.gateway import metrics as metrics_lib
from hillthread.coordination.gateway import site as site_lib
from hillthread.coordination.gateway.serving import attempt as attempt_lib
from hillthread.coordination.gateway.serving import chooser as chooser_lib
from hillthread.coordination.gateway.serving import intake
from hillthread.coordination.gateway.serving import outcome as outcome_lib
from hillthread.coordination.gateway.serving import quarantine_keeper
from hillthread.coordination.gateway.serving import reach_monitor
from hillthread.platform import orders
from hillthread.state.config import objects
from hillthread.state.routing import attempt_plan
from hillthread.state.targets import target_state

__all__ = ["FirstByteRecorder", "OutcomeRecorder"]

# A target that refused work is spared this long.
_SPARE_S = 0.15
_MAX_REASON = 32
# To the first byte of a prompt that is kept whole: one step of an engine and
# both ways of the network.
_LEAST_FIRST_BYTE_S = 0.02
# Shorter prompts are read within that time, and tell little of the rate.
_LEAST_READ_TOKENS = 1_000
# Reports tell how a target stood some hundred ms before; twice that.
_REPORT_LAG_S = 0.5

_logger = logging.getLogger("hillthread.targets")


class FirstByteRecorder:
    """Notes the first byte of an attempt once.

    Attributes:
        noted: Whether it was noted.
    """

    def __init__(
        self,
        outcome_recorder: OutcomeRecorder,
        request: intake.GatewayRequest,
        planned: chooser_lib.PlannedAttempt,
        state: target_state.TargetState,
        started: float,
    ):
        self.outcome_recorder = outcome_recorder
        self.request = request
        self.planned = planned
        self.state = state
        self.started = started
        self.is_recorded = False

    def record(self) -> None:
        """Notes that the answer has begun; idempotent."""
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
        self._release(now, now - self.started)
        self._learn_rate(now - self.started)
        self.outcome_recorder.metrics.observe_first_byte(
            self.request.tenant_name,
            self.request.route.name,
            now - self.request.caller.arrived,
        )

    def record_none(self) -> None:
        """Notes that the answer never begins, if it has not.

        How long a refusal took tells nothing of how long an answer takes.
        """
        if not self.is_recorded:
            self._release(clock.now(), None)

    def _learn_rate(self, seconds: float) -> None:
        """Learns how fast engines read, from a prompt with no queue ahead.

        At a rate that is too high queues seem to be over too soon: with 50,000
        tokens a second assumed, long prompts began 0.08 s later than expected
        in the median, 0.33 s at the 95th of 100. Engines of a pool are alike:
        what one shows is learned for all, since a host sees a prompt of some
        length on each only now and then.
        """
        estimate = self.planned.estimate
        if estimate.queue_s > 0.0:
            return
        if estimate.prefill_tokens < _LEAST_READ_TOKENS:
            return
        reading_s = seconds - estimate.fetch_s - _LEAST_FIRST_BYTE_S
        site = self.outcome_recorder.site
        for member in site.targets.members(self.planned.pool):
            load = site.state(member.target.name).load
            load.learn_prefill_rate(estimate.prefill_tokens, reading_s)

    def _release(self, now: float, seconds: float | None) -> None:
        self.is_recorded = True
        self.state.record_first_byte(now, self.planned.attempt_id, seconds)


class OutcomeRecorder:
    """Changes the host's beliefs after each attempt.

    Attributes:
        site: The beliefs.
        metrics: What is counted.
        monitor: Told of targets that cannot be reached.
        quarantine: Told of targets that have ended.
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
        self._asked: set[str] = set()

    def record_outcome(
        self,
        attempt: attempt_lib.Attempt,
        state: target_state.TargetState,
        result: outcome_lib.Outcome | None,
        started: float,
    ) -> None:
        """Takes in how an attempt ended.

        Args:
            attempt: The attempt.
            state: Of its target, from when it began: what an incarnation did
                tells nothing of the one that has taken its name since.
            result: How it ended; None when nobody waited for it any more.
            started: Seconds, when it began.
        """
        now = clock.now()
        kind = type(result).__name__.lower() if result else "abandoned"
        self.metrics.attempts.labels(kind).inc()
        is_current = self.site.states.get(attempt.plan.target.name) is state
        if is_current:
            self._learn_weights(attempt)
        log = attempt.request.log
        fields = _log_fields(attempt, kind, now - started)
        fields["beside"] = state.open_attempts - 1
        match result:
            case outcome_lib.Unsent(reason):
                self.monitor.mark_unreachable(attempt.plan.target, reason)
                log.warn("attempt", reason=reason, **fields)
            case outcome_lib.Lost(reason) | outcome_lib.Broken(reason):
                # What was ended here tells nothing of the target.
                ejected = not attempt.give_up_reason and state.record_failure(
                    now
                )
                self.metrics.mismatches.labels(reason[:_MAX_REASON]).inc()
                log.warn("attempt", reason=reason, ejected=ejected, **fields)
            case outcome_lib.NotRun(status):
                if is_current:
                    self._learn_refusal(attempt.plan, state, result, now)
                log.warn("attempt", status=status, **fields)
            case outcome_lib.Whole(whole) if whole.head.status >= 500:
                state.record_failure(now)
                log.warn("attempt", status=whole.head.status, **fields)
            case outcome_lib.Whole() | outcome_lib.Relayed():
                state.record_success()
                log.note("attempt", **fields)
            case None:
                log.warn("attempt", **fields)

    def _learn_weights(self, attempt: attempt_lib.Attempt) -> None:
        """Takes in the weights that an answer or its events told."""
        plan = attempt.plan
        told = [attempt.relay.take_weights_version()]
        if attempt.meaning is not None:
            told.append(attempt.meaning.weights_version)
        for version in told:
            if version is not None and plan.model:
                self.site.observe_weights(plan.target.name, plan.model, version)

    def _learn_refusal(
        self,
        plan: attempt_plan.AttemptPlan,
        state: target_state.TargetState,
        refusal: outcome_lib.NotRun,
        now: float,
    ) -> None:
        """Takes in why a target did not run a request."""
        name = plan.target.name
        if refusal.status != 421:
            state.record_refusal(now + _SPARE_S)
            return
        if refusal.meaning.incarnation not in ("", name):
            # Another target has the address: this one is gone.
            state.record_unreachable(now)
            self.quarantine.record_target_end(name, "another has its address")
            return
        if plan.weights_version is None:
            return
        board = self.site.weights
        is_guess = board.reject_version(name, plan.model, plan.weights_version)
        if is_guess and board.is_behind(name, plan.model):
            self.monitor.tasks.start_soon(
                self._ask_weights, plan.target, plan.model
            )

    async def _ask_weights(self, target: objects.Target, model: str) -> None:
        """Asks a target which weights it holds, after a guess.

        Nobody else would tell a host that guessed weights which are too old:
        it sends no requests there. Reports lag some hundred ms.
        """
        if target.name in self._asked:
            return
        self._asked.add(target.name)
        try:
            await anyio.sleep(_REPORT_LAG_S)
            report = await orders.read_report(self.monitor.pool, target)
        except errors.ConfigurationError as error:
            report = None
            _logger.warning(
                "report not readable",
                extra={
                    "event": "bad_report",
                    "target": target.name,
                    "reason": str(error),
                },
            )
        finally:
            self._asked.discard(target.name)
        if report is not None:
            self.site.take_report(target.name, model, report)


def _log_fields(
    attempt: attempt_lib.Attempt, kind: str, seconds: float
) -> dict[str, object]:
    """Returns what every line on the end of an attempt says."""
    fields: dict[str, object] = {
        "target": attempt.plan.target.name,
        "outcome": kind,
        "seconds": round(seconds, 4),
        "weights": attempt.plan.weights_version,
        "reused": attempt.reused,
        "began": attempt.meaning is not None,
    }
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
