"""Serves one request: attempts, retries, resumes and the final answer."""

from __future__ import annotations

import collections
import time

import anyio
import anyio.abc

from hillthread import errors
from hillthread.coordination.gateway import attempt as attempt_lib
from hillthread.coordination.gateway import chooser as chooser_lib
from hillthread.coordination.gateway import event_relay
from hillthread.coordination.gateway import intake
from hillthread.coordination.gateway import metrics as metrics_lib
from hillthread.coordination.gateway import outcome as outcome_lib
from hillthread.coordination.gateway import reach_monitor
from hillthread.coordination.gateway import site as site_lib
from hillthread.platform import attempts
from hillthread.transport import http1_client
from hillthread.transport import http1_server

__all__ = ["Dispatcher"]

# Sends of one request at most, those that targets refused included.
_MAX_SENDS = 5
# A target that refuses for its weights twice is not what it is taken for.
_MAX_MISMATCHES = 2
# A target that refused work is spared this long.
_SPARE_S = 0.15
# The same while it may be loading weights, which takes 0.8 s.
_SPARE_LOADING_S = 0.4
_OVERLOAD_RETRY_S = 0.25
# Statuses that promise that a request has not run.
_PROMISES = (408, 421, 429, 503)


class Dispatcher:
    """Carries requests to targets and answers back.

    Attributes:
        site: The host's beliefs.
        pool: Connections to targets.
        chooser: Chooses targets.
        monitor: Finds out which targets can be reached.
    """

    def __init__(
        self,
        site: site_lib.Site,
        metrics: metrics_lib.GatewayMetrics,
        pool: http1_client.ConnectionPool,
        tasks: anyio.abc.TaskGroup,
    ):
        self.site = site
        self.metrics = metrics
        self.pool = pool
        self.tasks = tasks
        self.chooser = chooser_lib.Chooser(site, pool)
        self.monitor = reach_monitor.ReachMonitor(site, pool, tasks)

    async def serve(
        self,
        request: intake.GatewayRequest,
        answer: http1_server.CallerAnswer,
    ) -> None:
        """Answers a request.

        Raises:
            RefusalError: It cannot be served; its run state is true.
            BrokenAnswerError: Its answer has begun and cannot be completed.
        """
        job = _Job(self, request, answer)
        with anyio.move_on_at(request.deadline) as scope:
            await job.run()
        if not scope.cancelled_caught or answer.ended:
            return
        request.story.warn("deadline_passed", run=str(job.run_state()))
        if answer.started:
            raise http1_server.BrokenAnswerError
        raise errors.RefusalError(
            "deadline",
            504,
            "The request's deadline passed.",
            "Allow more time, or ask for a shorter answer.",
            job.run_state(),
        )


class _FirstByte:
    """Notes the first byte of an attempt once.

    Attributes:
        noted: Whether it was noted.
    """

    def __init__(self, job: _Job, planned: chooser_lib.Planned, started: float):
        self.job = job
        self.planned = planned
        self.started = started
        self.noted = False

    def note(self) -> None:
        """Notes it; later calls change nothing."""
        if not self.noted:
            self.noted = True
            self.job.note_first_byte(self.planned, self.started)


class _Job:
    """One request on its way.

    Attributes:
        sends: Attempts so far.
        runs: Attempts that may have run.
        tried: Targets not to be taken again.
        mismatches: How often each target refused for its weights.
        last_answer: A target's failure, relayed when no retry does better.
    """

    def __init__(
        self,
        dispatcher: Dispatcher,
        request: intake.GatewayRequest,
        answer: http1_server.CallerAnswer,
    ):
        self.dispatcher = dispatcher
        self.site = dispatcher.site
        self.metrics = dispatcher.metrics
        self.request = request
        self.answer = answer
        self.relay = event_relay.EventRelay(answer)
        self.sends = 0
        self.runs = 0
        self.tried: set[str] = set()
        self.mismatches: collections.Counter[str] = collections.Counter()
        self.last_answer: http1_client.WholeAnswer | None = None

    def run_state(self) -> errors.RunState:
        """Returns whether the request has run, as far as it is known."""
        if self.runs == 0:
            return errors.RunState.NOT_RUN
        if self.last_answer is not None:
            return errors.RunState.RAN
        return errors.RunState.UNKNOWN

    async def run(self) -> None:
        """Makes attempts until the request is answered.

        Raises:
            RefusalError: It cannot be answered.
            BrokenAnswerError: Its answer cannot be completed.
        """
        while True:
            planned = self._plan()
            if planned is None:
                return await self._relay_last()
            result = await self._attempt(planned)
            if await self._finish(result, planned):
                return None

    def _plan(self) -> chooser_lib.Planned | None:
        """Returns the next attempt; None when the last failure is relayed."""
        request = self.request
        if self.sends:
            intake.authorise(self.site, request.caller, request.route)
            route = intake.current_route(self.site, request.caller)
            request.route = route or request.route
        try:
            return self.dispatcher.chooser.plan(
                request, frozenset(self.tried), self.relay.last_id
            )
        except errors.RefusalError as refusal:
            if self.last_answer is not None:
                return None
            raise self._refusal(refusal) from refusal

    async def _attempt(
        self, planned: chooser_lib.Planned
    ) -> outcome_lib.Outcome:
        request = self.request
        target = planned.plan.target
        state = self.site.state(target.name)
        now = time.monotonic()
        if self.sends == 0:
            self.site.budget(planned.pool.name).deposit(now)
        self.sends += 1
        attempt = attempt_lib.Attempt(
            self.dispatcher.pool,
            self.dispatcher.tasks,
            self.dispatcher.monitor,
            request,
            planned.plan,
            self.relay,
        )
        state.begin(now, planned.prefill_tokens)
        waits = _FirstByte(self, planned, now)
        self.relay.begun = waits.note
        result: outcome_lib.Outcome | None = None
        try:
            result = await attempt.run()
            return result
        finally:
            if result is None and attempt.sent:
                self.runs += 1
            waits.note()
            state.end()
            self._learn(planned, attempt, result, now)

    def note_first_byte(
        self, planned: chooser_lib.Planned, started: float
    ) -> None:
        """Notes that an attempt's answer has begun, or never will."""
        now = time.monotonic()
        state = self.site.state(planned.plan.target.name)
        state.first_byte(now, planned.prefill_tokens, now - started)
        self.metrics.observe_first_byte(
            self.request.tenant_name,
            self.request.route.name,
            now - self.request.caller.arrived,
        )

    def _learn(
        self,
        planned: chooser_lib.Planned,
        attempt: attempt_lib.Attempt,
        result: outcome_lib.Outcome | None,
        started: float,
    ) -> None:
        """Takes in what an attempt tells of its target."""
        plan = planned.plan
        name = plan.target.name
        now = time.monotonic()
        kind = type(result).__name__.lower() if result else "abandoned"
        self.metrics.attempts.labels(kind).inc()
        fields = {
            "target": name,
            "outcome": kind,
            "seconds": round(now - started, 4),
            "weights": plan.weights_version,
            "reused": attempt.reused,
        }
        meaning = attempt.meaning
        if meaning is not None:
            fields["answered_weights"] = meaning.weights_version
            if meaning.weights_version is not None and plan.model:
                self.site.observe_weights(
                    name, plan.model, meaning.weights_version
                )
        if self.relay.weights_version is not None:
            self.site.observe_weights(
                name, plan.model, self.relay.weights_version
            )
            self.relay.weights_version = None
        state = self.site.state(name)
        match result:
            case outcome_lib.Unsent(reason):
                self.dispatcher.monitor.note_unreachable(plan.target, reason)
                self.request.story.warn("attempt", reason=reason, **fields)
            case outcome_lib.Lost(reason) | outcome_lib.Broken(reason):
                ejected = state.fail(now)
                self.metrics.mismatches.labels(reason[:32]).inc()
                self.request.story.warn(
                    "attempt", reason=reason, ejected=ejected, **fields
                )
            case outcome_lib.NotRun(status):
                self._learn_refusal(planned, result, now)
                self.request.story.warn("attempt", status=status, **fields)
            case outcome_lib.Whole(whole) if whole.head.status >= 500:
                state.fail(now)
                self.request.story.warn(
                    "attempt", status=whole.head.status, **fields
                )
            case outcome_lib.Whole() | outcome_lib.Relayed():
                state.succeed()
                self.request.story.note("attempt", **fields)
            case None:
                self.request.story.warn("attempt", **fields)

    def _learn_refusal(
        self,
        planned: chooser_lib.Planned,
        refusal: outcome_lib.NotRun,
        now: float,
    ) -> None:
        """Takes in why a target did not run a request."""
        name = planned.plan.target.name
        if refusal.status != 421:
            loads = self.site.weights.is_behind(name, planned.plan.model)
            spare_s = _SPARE_LOADING_S if loads else _SPARE_S
            self.site.state(name).refuse(now + spare_s)
            return
        if refusal.meaning.incarnation not in ("", name):
            # Another target has the address: this one is gone.
            self.site.state(name).lose(now)
            self.tried.add(name)
            return
        plan = planned.plan
        if plan.weights_version is not None:
            self.site.weights.refute(name, plan.model, plan.weights_version)

    async def _finish(
        self, result: outcome_lib.Outcome, planned: chooser_lib.Planned
    ) -> bool:
        """Acts on the end of an attempt; returns whether all is done."""
        name = planned.plan.target.name
        match result:
            case outcome_lib.Relayed():
                return True
            case outcome_lib.Unsent(reason):
                self.tried.add(name)
                self._retry_or_refuse(planned, reason)
            case outcome_lib.NotRun(status):
                self.mismatches[name] += status == 421
                if status != 421 or self.mismatches[name] >= _MAX_MISMATCHES:
                    self.tried.add(name)
                self._retry_or_refuse(planned, f"refused with {status}")
            case outcome_lib.Lost(reason):
                self.runs += 1
                self.tried.add(name)
                self._repeat_or_refuse(planned, reason)
            case outcome_lib.Broken(reason):
                self.runs += 1
                self.tried.add(name)
                self._resume_or_break(planned, reason)
            case outcome_lib.Whole(whole):
                self.runs += 1
                self.tried.add(name)
                self.last_answer = whole
                if not self._may_improve(planned, whole):
                    await self._relay_last()
                    return True
        return False

    def _may_improve(
        self,
        planned: chooser_lib.Planned,
        whole: http1_client.WholeAnswer,
    ) -> bool:
        """Returns whether a target's failure is worth another run."""
        if whole.head.status < 500 or not self._may_run_again():
            return False
        return self._withdraw(planned, f"status {whole.head.status}")

    def _may_run_again(self) -> bool:
        return (
            self.request.repeatable
            and self.runs < self.request.route.max_attempts
            and self.sends < _MAX_SENDS
        )

    def _retry_or_refuse(
        self, planned: chooser_lib.Planned, reason: str
    ) -> None:
        """Allows another attempt after one that surely did not run."""
        if self.answer.started:
            return self._resume_or_break(planned, reason)
        if self.sends < _MAX_SENDS and self._withdraw(planned, reason):
            return None
        if self.last_answer is not None:
            return None
        raise self._refusal(
            errors.RefusalError(
                "overloaded",
                503,
                f"No target took the request; the last one: {reason}.",
                "Try again after the time in Retry-After.",
                retry_after_s=_OVERLOAD_RETRY_S,
            )
        )

    def _repeat_or_refuse(
        self, planned: chooser_lib.Planned, reason: str
    ) -> None:
        """Allows another attempt after one that may have run."""
        if self._may_run_again() and self._withdraw(planned, reason):
            return
        remedy = "Send the request again."
        if not self.request.repeatable:
            remedy = "It may have run: find out before sending it again."
        raise errors.RefusalError(
            "target_failed",
            502,
            f"The target did not answer: {reason}.",
            remedy,
            self.run_state(),
        )

    def _resume_or_break(
        self, planned: chooser_lib.Planned, reason: str
    ) -> None:
        """Lets a broken stream go on in another run, or breaks it off."""
        why_not = self._why_no_resume(planned, reason)
        if why_not:
            self.request.story.warn("no_resume", reason=reason, why=why_not)
            raise http1_server.BrokenAnswerError
        self.metrics.resumes.inc()
        self.request.story.warn(
            "stream_resumes", after=self.relay.last_id, reason=reason
        )

    def _why_no_resume(self, planned: chooser_lib.Planned, reason: str) -> str:
        """Returns why a broken stream cannot go on; empty when it can."""
        if not self.request.route.resumable:
            return "its route is not resumable"
        if self.relay.last_id is None:
            return "its events have no ids"
        if not self._may_run_again():
            return "it may not run on more targets"
        if not self._withdraw(planned, reason):
            return "the retry budget is spent"
        return ""

    def _withdraw(self, planned: chooser_lib.Planned, reason: str) -> bool:
        """Returns whether the retry budget allows another attempt."""
        budget = self.site.budget(planned.pool.name)
        now = time.monotonic()
        allowed = budget.withdraw(now)
        self.request.story.warn(
            "retry" if allowed else "no_retry",
            reason=reason,
            sends=self.sends,
            runs=self.runs,
            budget_left=round(budget.left(now), 2),
        )
        if allowed:
            self.metrics.retries.labels(reason[:32]).inc()
        return allowed

    async def _relay_last(self) -> None:
        """Passes on a target's whole answer.

        A status that promises that the request has not run must not be passed
        on for one that may have run.
        """
        assert self.last_answer is not None
        head, body = self.last_answer
        if head.status in _PROMISES:
            raise errors.RefusalError(
                "target_failed",
                502,
                f"The target answered with status {head.status}.",
                "It may have run: find out before sending it again.",
                errors.RunState.UNKNOWN,
            )
        headers = attempts.relayed_headers(head)
        await self.answer.send_whole(head.status, headers, body)

    def _refusal(self, refusal: errors.RefusalError) -> errors.RefusalError:
        """Returns a refusal that is true of a request that may have run."""
        if self.runs == 0:
            return refusal
        return errors.RefusalError(
            refusal.code,
            502,
            refusal.message,
            "It may have run; send it again only if that is safe.",
            self.run_state(),
        )
