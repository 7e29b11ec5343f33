"""Carries one request to targets: attempts, retries, resumes, the answer."""

from __future__ import annotations

import collections

from hillthread import clock
from hillthread import errors
from hillthread.coordination.gateway.serving import chooser as chooser_lib
from hillthread.coordination.gateway.serving import event_relay
from hillthread.coordination.gateway.serving import intake
from hillthread.coordination.gateway.serving import outcome as outcome_lib
from hillthread.coordination.gateway.serving import sender as sender_lib
from hillthread.platform import attempts
from hillthread.state.quotas import aim_admission
from hillthread.state.targets import quarantine
from hillthread.transport import http1_client
from hillthread.transport import http1_server

__all__ = ["Job"]

# Sends of one request at most, those that targets refused included.
_MAX_SENDS = 5
# A target that refuses for its weights twice is not what it is taken for.
_MAX_MISMATCHES = 2
_OVERLOAD_RETRY_S = 0.25
# Statuses that promise that a request has not run.
_PROMISES = (408, 421, 429, 503)


class Job:
    """One request on its way.

    Attributes:
        sender: Makes the attempts.
        tried: Targets not to be taken again.
        mismatches: How often each target refused for its weights.
        last_answer: A target's whole answer, to be relayed: the one wanted,
            or a failure that no later attempt has improved.
        retry_claimed: The budget was charged for an attempt not yet planned.
        is_suspect: Targets may end under it; as found before the last attempt.
        tries_suspect: This try is the trial of one under which several ended.
    """

    def __init__(
        self,
        context: sender_lib.JobContext,
        request: intake.GatewayRequest,
        answer: http1_server.CallerAnswer,
    ):
        self.context = context
        self.site = context.site
        self.metrics = context.metrics
        self.request = request
        self.answer = answer
        self.relay = event_relay.EventRelay(answer)
        self.sender = sender_lib.Sender(
            context, request, self.relay, self._reserve_retry
        )
        self.tried: set[str] = set()
        self.mismatches: collections.Counter[str] = collections.Counter()
        self.last_answer: http1_client.WholeAnswer | None = None
        self.retry_reserved = False
        self.is_suspect = False
        self.tries_suspect = False

    @property
    def attempts_made(self) -> int:
        """Attempts so far."""
        return self.sender.attempts_made

    @property
    def possible_runs(self) -> int:
        """Attempts that may have run."""
        return self.sender.possible_runs

    def run_state(self) -> errors.RunState:
        """Returns whether the request has run, as far as it is known."""
        if self.possible_runs == 0:
            return errors.RunState.NOT_RUN
        if self.last_answer is not None:
            return errors.RunState.RAN
        return errors.RunState.UNKNOWN

    async def run(self) -> None:
        """Makes attempts until the request is answered, or `last_answer` is.

        Raises:
            RefusalError: It cannot be answered.
            BrokenAnswerError: Its answer cannot be completed.
        """
        while (planned := self._plan()) is not None:
            result = await self.sender.send(planned, self.is_suspect)
            if not self._handle_outcome(result, planned):
                return

    def _plan(self) -> chooser_lib.PlannedAttempt | None:
        """Returns the next attempt; None when the last failure is relayed."""
        request = self.request
        try:
            if self.attempts_made:
                self._recheck_request()
            intake.check_deadline(request)
            standing = self.context.quarantine.admit(
                request, self.possible_runs, self.tries_suspect
            )
            self.is_suspect = standing.is_suspect
            self.tries_suspect = standing.ends >= quarantine.HOLD_MIN_ENDS
            planned = self.context.chooser.plan(
                request,
                frozenset(self.tried),
                self.relay.last_event_id,
                chooser_lib.AntiAffinity.for_standing(standing),
            )
            if not self.possible_runs:
                self._check_aim(planned)
            return planned
        except errors.RefusalError as refusal:
            if self.last_answer is not None:
                return None
            raise self._refusal(refusal) from refusal

    def _check_aim(self, planned: chooser_lib.PlannedAttempt) -> None:
        """Refuses a prompt that would wait for longer than its aim.

        Raises:
            RefusalError: It would; it has not run.
        """
        expected = planned.estimate
        aim_s = self.request.route.first_byte_aim_s
        if not aim_admission.is_queue_too_long(expected, aim_s):
            return
        raise errors.RefusalError(
            "queue_too_long",
            503,
            f"On the engine that costs least, prompts ahead take "
            f"{expected.queue_s:.2f} s; the aim is {aim_s:.2f} s.",
            "Try again after the time in Retry-After.",
            retry_after_s=aim_admission.queue_drain_s(expected),
        )

    def _recheck_request(self) -> None:
        """Checks the request against what is in force before a retry."""
        request = self.request
        intake.authenticate(self.site, request.caller, request.route)
        route = intake.current_route(self.site, request.caller)
        request.route = route or request.route
        if self.possible_runs and not request.repeatable:
            raise errors.RefusalError(
                "target_failed",
                502,
                "The request may have run, and may not be repeated any more.",
                "Find out whether it has run before sending it again.",
                self.run_state(),
            )

    def _handle_outcome(
        self, result: outcome_lib.Outcome, planned: chooser_lib.PlannedAttempt
    ) -> bool:
        """Acts on the end of an attempt; returns whether another follows."""
        name = planned.plan.target.name
        match result:
            case outcome_lib.Relayed():
                return False
            case outcome_lib.Unsent(reason):
                self.tried.add(name)
                return self._retry_or_refuse(planned, reason)
            case outcome_lib.NotRun(status):
                self._note_refusal(name, result)
                return self._retry_or_refuse(planned, f"refused with {status}")
        self.tried.add(name)
        match result:
            case outcome_lib.Lost(reason):
                return self._repeat_or_refuse(planned, reason)
            case outcome_lib.Broken(reason):
                self._resume_or_break(planned, reason)
                return True
            case outcome_lib.Whole(whole):
                self.last_answer = whole
                return self._may_improve(planned, whole)

    def _note_refusal(self, name: str, refusal: outcome_lib.NotRun) -> None:
        """Notes whether a target that refused may be taken again."""
        is_other = refusal.meaning.incarnation not in ("", name)
        is_mismatch = refusal.status == 421
        self.mismatches[name] += is_mismatch
        is_repeated = self.mismatches[name] >= _MAX_MISMATCHES
        if not is_mismatch or is_other or is_repeated:
            self.tried.add(name)

    def _may_improve(
        self,
        planned: chooser_lib.PlannedAttempt,
        whole: http1_client.WholeAnswer,
    ) -> bool:
        """Returns whether a target's failure is worth another run."""
        if whole.head.status < 500 or not self._may_run_again():
            return False
        return self._withdraw(planned, f"status {whole.head.status}")

    def _may_run_again(self) -> bool:
        return (
            self.request.repeatable
            and self.possible_runs < self.request.route.max_attempts
            and self.attempts_made < _MAX_SENDS
        )

    def _reserve_retry(self, planned: chooser_lib.PlannedAttempt) -> bool:
        """Charges the budget for an attempt after one that is given up now.

        Returns:
            Whether another attempt may follow.
        """
        if not self.request.repeatable or self.attempts_made >= _MAX_SENDS:
            return False
        if self.possible_runs + 1 >= self.request.route.max_attempts:
            return False
        if self.answer.started and not self._has_resumable_events():
            return False
        self.retry_reserved = self._withdraw(planned, "given up")
        return self.retry_reserved

    def _retry_or_refuse(
        self, planned: chooser_lib.PlannedAttempt, reason: str
    ) -> bool:
        """Returns whether another attempt follows one that has not run.

        Raises:
            RefusalError: None may, and no answer is there to be relayed.
            BrokenAnswerError: None may, and a stream has begun.
        """
        if self.answer.started:
            self._resume_or_break(planned, reason)
            return True
        if self.attempts_made < _MAX_SENDS and self._withdraw(planned, reason):
            return True
        if self.last_answer is not None:
            return False
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
        self, planned: chooser_lib.PlannedAttempt, reason: str
    ) -> bool:
        """Returns whether another attempt follows one that may have run.

        Raises:
            RefusalError: None may, and no answer is there to be relayed.
        """
        if self._may_run_again() and self._withdraw(planned, reason):
            return True
        if self.last_answer is not None:
            return False
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
        self, planned: chooser_lib.PlannedAttempt, reason: str
    ) -> None:
        """Lets a broken stream go on in another run, or breaks it off."""
        why_not = self._why_no_resume(planned, reason)
        if why_not:
            self.request.log.warn("no_resume", reason=reason, why=why_not)
            raise http1_server.BrokenAnswerError
        self.metrics.resumes.inc()
        self.request.log.warn(
            "stream_resumes", after=self.relay.last_event_id, reason=reason
        )

    def _has_resumable_events(self) -> bool:
        return (
            self.request.route.resumable
            and self.relay.last_event_id is not None
        )

    def _why_no_resume(
        self, planned: chooser_lib.PlannedAttempt, reason: str
    ) -> str:
        """Returns why a broken stream cannot go on; empty when it can."""
        if not self.request.route.resumable:
            return "its route is not resumable"
        if self.relay.last_event_id is None:
            return "its events have no ids"
        if not self._may_run_again():
            return "it may not run on more targets"
        if not self._withdraw(planned, reason):
            return "the retry budget is spent"
        return ""

    def _withdraw(
        self, planned: chooser_lib.PlannedAttempt, reason: str
    ) -> bool:
        """Returns whether the retry budget allows another attempt."""
        if self.retry_reserved:
            self.retry_reserved = False
            return True
        budget = self.site.budget(planned.pool.name)
        now = clock.now()
        allowed = budget.withdraw(now)
        self.request.log.warn(
            "retry" if allowed else "no_retry",
            reason=reason,
            sends=self.attempts_made,
            runs=self.possible_runs,
            budget_left=round(budget.remaining(now), 2),
        )
        if allowed:
            self.metrics.retries.labels(reason[:32]).inc()
        return allowed

    async def relay_last_answer(self, whole: http1_client.WholeAnswer) -> None:
        """Passes on a target's whole answer.

        A status that promises that the request has not run must not be passed
        on for one that may have run.

        Raises:
            RefusalError: The answer's status may not be passed on.
        """
        head, body = whole
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
        if self.possible_runs == 0:
            return refusal
        return errors.RefusalError(
            refusal.code,
            502,
            refusal.message,
            "It may have run; send it again only if that is safe.",
            self.run_state(),
        )
