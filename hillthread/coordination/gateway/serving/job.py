"""Serves one request: attempts, retries, stream resumes and its answer."""

from __future__ import annotations

import collections

from hillthread import clock
from hillthread import errors
from hillthread.coordination.gateway.serving import chooser as chooser_lib
from hillthread.coordination.gateway.serving import event_relay
from hillthread.coordination.gateway.serving import intake
from hillthread.coordination.gateway.serving import outcome as outcome_lib
from hillthread.coordination.gateway.serving import peer_forwarder
from hillthread.coordination.gateway.serving import prompt_scheduler
from hillthread.coordination.gateway.serving import request_forwarding
from hillthread.coordination.gateway.serving import retry_charges
from hillthread.coordination.gateway.serving import sender as sender_lib
from hillthread.coordination.gateway.serving import stream_binding
from hillthread.platform import attempts
from hillthread.state.config import objects
from hillthread.state.quotas import aim_admission
from hillthread.state.scheduling import scheduler
from hillthread.state.targets import quarantine
from hillthread.transport import http1_client
from hillthread.transport import http1_server

__all__ = ["Job"]

# Limits all attempts of one request, including those that targets refused.
# Those that may have run are limited further by the route's `max_attempts`.
_MAX_ATTEMPTS = 5
# Refusals because of its weights after which a target is not used again for the
# request: what this host knows of its weights is wrong.
_MAX_WEIGHTS_REFUSALS = 2
_OVERLOAD_RETRY_S = 0.25
# Statuses which guarantee that a request has not run.
_NOT_RUN_STATUSES = (408, 421, 429, 503)


class Job:
    """Serves one request with as many attempts as it needs and may have.

    Attributes:
        context: Services and state that all jobs share.
        site: The host's view of the site.
        metrics: The gateway's metrics.
        request: The caller's request.
        answer: The answer to the caller.
        relay: Relays the events of a streamed answer.
        sender: Makes the attempts.
        tried_targets: Targets not to be used again.
        weights_refusals: How often each target refused because of its weights.
        last_answer: A target's complete answer, to be relayed at the end:
            the final one, or a failure that no later attempt has improved on.
        charges: Charges the attempts to the retry budget.
        is_suspect: Whether the request is suspected of crashing targets, as
            of before the last attempt.
        is_suspect_trial: Whether this is the trial run of a request during
            which several targets crashed.
        forwarding: Sends the request to other hosts.
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
        resumption = request.resumption
        self.relay = event_relay.EventRelay(
            answer, resumption.last_event_number if resumption else None
        )
        binding = stream_binding.StreamBinding(request, context.streams.record)
        self.charges = retry_charges.RetryCharges(self.site, request)
        self.sender = sender_lib.Sender(
            context,
            request,
            self.relay,
            binding,
            self.charges,
            self._reserve_retry,
        )
        self.tried_targets: set[str] = set()
        self.weights_refusals: collections.Counter[str] = collections.Counter()
        self.last_answer: http1_client.WholeAnswer | None = None
        self.is_suspect = False
        self.is_suspect_trial = False
        self.forwarding = request_forwarding.RequestForwarding(
            context, request, self.relay, self.sender
        )
        if request.forwarded is not None:
            self.sender.attempts_made = request.forwarded.sends
            self.sender.possible_runs = request.forwarded.runs

    @property
    def attempts_made(self) -> int:
        """Number of attempts made so far."""
        return self.sender.attempts_made

    @property
    def possible_runs(self) -> int:
        """Number of attempts that may have run."""
        return self.sender.possible_runs

    def run_state(self) -> errors.RunState:
        """Returns whether the request has run, as far as is known."""
        if self.possible_runs == 0:
            return errors.RunState.NOT_RUN
        if self.last_answer is not None:
            return errors.RunState.RAN
        return errors.RunState.UNKNOWN

    async def run(self) -> None:
        """Makes attempts until the answer is relayed or in `last_answer`.

        Raises:
            RefusalError: The request cannot be answered.
            BrokenAnswerError: Its answer cannot be completed.
        """
        try:
            await self._make_attempts()
        finally:
            self.charges.close()
            self.context.quarantine.end_trial(self.request)

    async def _make_attempts(self) -> None:
        """Makes attempts until the answer is relayed or in `last_answer`.

        Raises:
            RefusalError: The request cannot be answered.
            BrokenAnswerError: Its answer cannot be completed.
        """
        while (planned := await self._plan_next()) is not None:
            match planned:
                case peer_forwarder.ForwardPlan():
                    forwarded = await self.forwarding.send(planned)
                    is_open = self._handle_forwarded(forwarded, planned)
                case _:
                    result = await self.sender.send(planned, self.is_suspect)
                    is_open = self._handle_outcome(result, planned)
            if not is_open:
                return

    async def _plan_next(
        self,
    ) -> chooser_lib.PlannedAttempt | peer_forwarder.ForwardPlan | None:
        """Plans the next attempt, after the trial of a part that it has."""
        await self.context.quarantine.wait_for_trial(self.request)
        return self._plan_attempt()

    def _plan_attempt(
        self,
    ) -> chooser_lib.PlannedAttempt | peer_forwarder.ForwardPlan | None:
        """Returns the next attempt; None if `last_answer` is to be relayed."""
        request = self.request
        try:
            version = self.site.configuration_version
            if self.attempts_made or request.configuration_version != version:
                self._recheck_request()
            intake.check_deadline(request)
            # The other host checks the quarantine: a trial that this host
            # announced would hold the request there.
            if self.forwarding.is_needed():
                forward = self.forwarding.plan()
                if forward is not None:
                    return forward
            admission = self.context.quarantine.admit(
                request, self.possible_runs, self.is_suspect_trial
            )
            self.is_suspect = admission.is_suspect
            self.is_suspect_trial = (
                admission.status.ends >= quarantine.HOLD_MIN_CRASHES
            )
            anti_affinity = chooser_lib.AntiAffinity.for_admission(admission)
            if self.possible_runs:
                return self._choose(anti_affinity)
            return self._schedule(anti_affinity)
        except errors.RefusalError as refusal:
            is_unreached = self.forwarding.unsent_in_a_row > 0
            if refusal.code == chooser_lib.NO_TARGET and is_unreached:
                forward = self.forwarding.plan()
                if forward is not None:
                    return forward
            if self.last_answer is not None:
                return None
            self._count_refused_request()
            raise self._refusal_with_run_state(refusal) from refusal

    def _count_refused_request(self) -> None:
        """Counts a request that no host has sent to a target."""
        is_counted = self.attempts_made or self.forwarding.tried_peers
        if is_counted or self.request.forwarded is not None:
            return
        pool = self.context.chooser.choose_pool(self.request)
        if pool is not None:
            self.charges.count_unsent_request(pool)

    def _handle_forwarded(
        self,
        result: outcome_lib.ForwardOutcome,
        planned: peer_forwarder.ForwardPlan,
    ) -> bool:
        """Handles the end of an attempt at another host.

        Returns whether another attempt follows.

        Raises:
            RefusalError: The other host refused the request.
            BrokenAnswerError: The answer cannot be completed.
        """
        match result:
            case outcome_lib.Relayed():
                return False
            case outcome_lib.Whole(whole):
                self.last_answer = whole
                return False
            case outcome_lib.Refused(refusal):
                if self.last_answer is not None:
                    return False
                raise self._refusal_with_run_state(refusal)
            case outcome_lib.Lost(reason):
                return self._retry_possibly_run_request(planned.pool, reason)
            case outcome_lib.Broken(reason):
                self._resume_or_break(planned.pool, reason)
            case outcome_lib.Declined(reason, sends) if sends:
                return self._retry_unrun_request(planned.pool, reason)
        return True

    def _choose(
        self, anti_affinity: chooser_lib.AntiAffinity
    ) -> chooser_lib.PlannedAttempt:
        return self.context.chooser.plan(
            self.request,
            frozenset(self.tried_targets),
            self.relay.last_event_id,
            anti_affinity,
        )

    def _schedule(
        self, anti_affinity: chooser_lib.AntiAffinity
    ) -> chooser_lib.PlannedAttempt:
        """Plans an attempt of a request that has not run.

        A prompt that would miss its aim on the engine that serves it first is
        deferred, to the engine with the shortest backlog. A stream that a
        caller resumes is not: it has waited, and fewer engines may serve it.

        Raises:
            RefusalError: No target is available, or it would wait for too long.
        """
        request = self.request
        request.is_deferred = False
        planned = self._choose(anti_affinity)
        if request.stream_origin is not None:
            return planned
        prompts = self.context.chooser.scheduler
        if not prompts.applies_to(request):
            self._check_first_byte_aim(planned)
            return planned
        decision = prompts.decide(request, planned.pool, planned.estimate)
        if isinstance(decision, scheduler.Send):
            return planned
        request.is_deferred = True
        deferred = self._choose(anti_affinity)
        request.is_deferred = False
        match prompts.decide_deferral(
            request, planned.pool, planned.estimate, deferred.estimate
        ):
            case scheduler.Refuse() as refuse:
                raise prompt_scheduler.make_refusal(
                    refuse, request.route.first_byte_aim_s
                )
        request.is_deferred = True
        return deferred

    def _check_first_byte_aim(
        self, planned: chooser_lib.PlannedAttempt
    ) -> None:
        """Refuses a prompt whose queueing time would exceed its route's aim.

        Raises:
            RefusalError: It would wait for too long; it has not run.
        """
        first_byte_estimate = planned.estimate
        aim_s = self.request.route.first_byte_aim_s
        if not aim_admission.is_queue_too_long(first_byte_estimate, aim_s):
            return
        raise errors.RefusalError(
            "queue_too_long",
            503,
            f"On the cheapest engine, the prompts queued ahead take "
            f"{first_byte_estimate.queue_s:.2f} s; the aim is {aim_s:.2f} s.",
            "Try again after the time in Retry-After.",
            retry_after_s=aim_admission.queue_drain_s(first_byte_estimate),
        )

    def _recheck_request(self) -> None:
        """Checks the request against the current configuration.

        Its tenant may have become isolated since, so that it shares nothing.
        """
        request = self.request
        request.tenant = intake.authenticate(
            self.site, request.caller, request.route
        )
        request.configuration_version = self.site.configuration_version
        route = intake.current_route(self.site, request.caller)
        request.route = route or request.route
        if self.possible_runs and not request.repeatable:
            raise errors.RefusalError(
                "target_failed",
                502,
                "The request may have run, and its route no longer allows "
                "repetition.",
                "Find out whether it has run before sending it again.",
                self.run_state(),
            )

    def _handle_outcome(
        self, result: outcome_lib.Outcome, planned: chooser_lib.PlannedAttempt
    ) -> bool:
        """Handles the end of an attempt; returns whether another follows."""
        name = planned.plan.target.name
        self.forwarding.note_outcome(result)
        match result:
            case outcome_lib.Relayed():
                return False
            case outcome_lib.Unsent(reason):
                self.tried_targets.add(name)
                return self._retry_unrun_request(planned.pool, reason)
            case outcome_lib.NotRun(status):
                self._note_refusal(name, result)
                self._check_brittle(name, status)
                return self._retry_unrun_request(
                    planned.pool, f"refused with {status}"
                )
        self.tried_targets.add(name)
        match result:
            case outcome_lib.Lost(reason):
                return self._retry_possibly_run_request(planned.pool, reason)
            case outcome_lib.Broken(reason):
                self._resume_or_break(planned.pool, reason)
                return True
            case outcome_lib.Whole(whole):
                self.last_answer = whole
                return self._may_retry_failure(planned, whole)

    def _check_brittle(self, name: str, status: int) -> None:
        """Refuses a request that a brittle target has refused.

        Its other targets may have no more room, and refuse it as well.

        Raises:
            RefusalError: The target is brittle; the request has not run there.
        """
        if status != 503 or name not in self.site.brittle:
            return
        if not self.answer.started and self.last_answer is None:
            refusal = self.context.chooser.brittle_refusal([name], clock.now())
            raise self._refusal_with_run_state(refusal)

    def _note_refusal(self, name: str, refusal: outcome_lib.NotRun) -> None:
        """Excludes a target that refused, but not after its first mismatch."""
        is_other = refusal.meaning.incarnation not in ("", name)
        is_mismatch = refusal.status == 421
        self.weights_refusals[name] += is_mismatch
        is_repeated = self.weights_refusals[name] >= _MAX_WEIGHTS_REFUSALS
        if not is_mismatch or is_other or is_repeated:
            self.tried_targets.add(name)

    def _may_retry_failure(
        self,
        planned: chooser_lib.PlannedAttempt,
        whole: http1_client.WholeAnswer,
    ) -> bool:
        """Returns whether the request is retried after an error status."""
        if whole.head.status < 500 or not self._may_run_again():
            return False
        return self._allow_retry(planned.pool, f"status {whole.head.status}")

    def _may_run_again(self) -> bool:
        return (
            self.request.repeatable
            and self.possible_runs < self.request.route.max_attempts
            and self.attempts_made < _MAX_ATTEMPTS
        )

    def _reserve_retry(self, planned: chooser_lib.PlannedAttempt) -> bool:
        """Charges the retry budget before the current attempt is given up.

        Returns:
            Whether another attempt may follow.
        """
        if not self.request.repeatable or self.attempts_made >= _MAX_ATTEMPTS:
            return False
        if self.possible_runs + 1 >= self.request.route.max_attempts:
            return False
        if self.answer.started and not self._has_resumable_events():
            return False
        # The current attempt has reached its target; the next one is charged.
        self.charges.note_sent()
        return self._allow_retry(planned.pool, "given up")

    def _retry_unrun_request(self, pool: objects.Pool, reason: str) -> bool:
        """Returns whether another attempt follows one that has not run.

        Raises:
            RefusalError: None may, and there is no answer to relay.
            BrokenAnswerError: None may, and a stream was started.
        """
        if self.answer.started:
            self._resume_or_break(pool, reason)
            return True
        if self.attempts_made < _MAX_ATTEMPTS and self._allow_retry(
            pool, reason
        ):
            return True
        if self.last_answer is not None:
            return False
        raise self._refusal_with_run_state(
            errors.RefusalError(
                "overloaded",
                503,
                f"No target accepted the request; the last one: {reason}.",
                "Try again after the time in Retry-After.",
                retry_after_s=_OVERLOAD_RETRY_S,
            )
        )

    def _retry_possibly_run_request(
        self, pool: objects.Pool, reason: str
    ) -> bool:
        """Returns whether another attempt follows one that may have run.

        Raises:
            RefusalError: None may, and there is no answer to relay.
        """
        if self._may_run_again() and self._allow_retry(pool, reason):
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

    def _resume_or_break(self, pool: objects.Pool, reason: str) -> None:
        """Checks that another attempt may resume a broken stream.

        Raises:
            BrokenAnswerError: None may; the answer stays incomplete.
        """
        why_not = self._why_no_resume(pool, reason)
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

    def _why_no_resume(self, pool: objects.Pool, reason: str) -> str:
        """Returns why a broken stream cannot be resumed; empty if it can."""
        if not self.request.route.resumable:
            return "its route is not resumable"
        if self.relay.last_event_id is None:
            return "its events have no ids"
        if not self._may_run_again():
            return "it may not run on more targets"
        if not self.context.chooser.can_continue(self.request):
            return "no target of the release that began it is left"
        if not self._allow_retry(pool, reason):
            return "the retry budget is exhausted"
        return ""

    def _allow_retry(self, pool: objects.Pool, reason: str) -> bool:
        """Returns whether the retry budget allows another attempt."""
        return self.charges.allow_retry(
            pool, reason, self.attempts_made, self.possible_runs
        )

    async def relay_last_answer(self, whole: http1_client.WholeAnswer) -> None:
        """Relays a target's complete answer.

        A status which guarantees that the request has not run must not be
        relayed for a request that may have run.

        Raises:
            RefusalError: The answer has such a status.
        """
        head, body = whole
        if head.status in _NOT_RUN_STATUSES:
            raise errors.RefusalError(
                "target_failed",
                502,
                f"The target answered with status {head.status}.",
                "It may have run: find out before sending it again.",
                errors.RunState.UNKNOWN,
            )
        headers = attempts.filter_relayed_headers(head)
        await self.answer.send_whole(head.status, headers, body)

    def _refusal_with_run_state(
        self, refusal: errors.RefusalError
    ) -> errors.RefusalError:
        """Returns a refusal that does not deny that the request may have run.

        Args:
            refusal: The reason why no further attempt is made; it is returned
                unchanged if no attempt may have run.
        """
        if self.possible_runs == 0:
            return refusal
        return errors.RefusalError(
            refusal.code,
            502,
            refusal.message,
            "It may have run; send it again only if that is safe.",
            self.run_state(),
        )
