"""Sends one request's attempts, and tells all who count what is sent."""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

import anyio.abc

from hillthread import clock
from hillthread.coordination.gateway import metrics as metrics_lib
from hillthread.coordination.gateway import site as site_lib
from hillthread.coordination.gateway.peers import work_feed
from hillthread.coordination.gateway.serving import announcement_keeper
from hillthread.coordination.gateway.serving import attempt as attempt_lib
from hillthread.coordination.gateway.serving import cache_source
from hillthread.coordination.gateway.serving import chooser as chooser_lib
from hillthread.coordination.gateway.serving import event_relay
from hillthread.coordination.gateway.serving import intake
from hillthread.coordination.gateway.serving import learning
from hillthread.coordination.gateway.serving import limit_keeper
from hillthread.coordination.gateway.serving import outcome as outcome_lib
from hillthread.coordination.gateway.serving import quarantine_keeper
from hillthread.coordination.gateway.serving import quota_keeper
from hillthread.coordination.gateway.serving import reach_monitor
from hillthread.platform import attempts
from hillthread.protocol import work_notice
from hillthread.state.config import objects
from hillthread.state.targets import target_state
from hillthread.transport import http1_client

__all__ = ["JobContext", "Sender"]

# Of the connections that a target takes from all hosts together; it resets
# further ones, and the rest is for those that carry requests.
_IDLE_SHARE = 0.5
# Ends of attempts that have surely not run.
_NOT_RUN = (outcome_lib.NotRun, outcome_lib.Unsent)


class JobContext(NamedTuple):
    """What all jobs share.

    Attributes:
        site: The host's beliefs.
        metrics: What is counted.
        pool: Connections to targets.
        tasks: Where long bodies are sent.
        chooser: Chooses targets.
        monitor: Finds out which targets can be reached.
        learner: Takes in what attempts tell.
        work: Tells other hosts of work sent to engines.
        quarantine: Knows requests under which targets ended.
        quotas: Counts what is sent for organisations.
        limits: Counts what is sent to targets.
        announcements: Applies what targets announce.
    """

    site: site_lib.Site
    metrics: metrics_lib.GatewayMetrics
    pool: http1_client.ConnectionPool
    tasks: anyio.abc.TaskGroup
    chooser: chooser_lib.Chooser
    monitor: reach_monitor.ReachabilityMonitor
    outcome_recorder: learning.OutcomeRecorder
    work: work_feed.WorkFeed
    quarantine: quarantine_keeper.QuarantineKeeper
    quotas: quota_keeper.QuotaKeeper
    limits: limit_keeper.LimitKeeper
    announcements: announcement_keeper.AnnouncementKeeper


class _Sending(NamedTuple):
    """An attempt while it is under way.

    Attributes:
        planned: What is sent, and where to.
        attempt: It.
        state: Of its target, from when it began.
        first_byte: Notes its first byte.
        sent_to: The start of the target that it reaches.
        is_suspect: Targets may end under it.
    """

    planned: chooser_lib.PlannedAttempt
    attempt: attempt_lib.Attempt
    state: target_state.TargetState
    first_byte: learning.FirstByteRecorder
    sent_to: quarantine_keeper.TargetIncarnation
    is_suspect: bool


class Sender:
    """Makes the attempts of one request.

    Attributes:
        request: The caller's request.
        relay: Where events of answers go.
        claim_retry: Charges the retry budget for an attempt after a planned
            one; returns whether there may be one.
        sends: Attempts so far.
        runs: Attempts that may have run.
    """

    def __init__(
        self,
        context: JobContext,
        request: intake.GatewayRequest,
        relay: event_relay.EventRelay,
        reserve_retry: Callable[[chooser_lib.PlannedAttempt], bool],
    ):
        self.context = context
        self.site = context.site
        self.request = request
        self.relay = relay
        self.reserve_retry = reserve_retry
        self.attempts_made = 0
        self.possible_runs = 0

    async def send(
        self, planned: chooser_lib.PlannedAttempt, is_suspect: bool
    ) -> outcome_lib.Outcome:
        """Makes an attempt; returns how it ended.

        Args:
            planned: What is sent, and where to.
            is_suspect: Targets may end under it.
        """
        name = planned.plan.target.name
        now = clock.now()
        if self.attempts_made == 0:
            self.site.budget(planned.pool.name).deposit(now)
        self.attempts_made += 1
        number = f"{self.request.request_id}/{self.attempts_made}"
        planned = planned._replace(attempt_id=number)
        state = self.site.state(name)
        incarnation = self.site.targets.key_of(name)
        first_byte = learning.FirstByteRecorder(
            self.context.outcome_recorder, self.request, planned, state, now
        )
        sending = _Sending(
            planned,
            self._attempt(planned, state, incarnation),
            state,
            first_byte,
            self.context.quarantine.incarnation_of(name),
            is_suspect,
        )
        self._begin(sending)
        result: outcome_lib.Outcome | None = None
        try:
            result = await sending.attempt.run()
            return result
        finally:
            self._end(sending, result)

    def _attempt(
        self,
        planned: chooser_lib.PlannedAttempt,
        state: target_state.TargetState,
        incarnation: int,
    ) -> attempt_lib.Attempt:
        return attempt_lib.Attempt(
            self.context.pool,
            self.context.tasks,
            self.context.monitor,
            self.request,
            planned.plan,
            self.relay,
            self._most_idle(planned.pool),
            attempt_lib.Callbacks(
                lambda meaning: self._note_head(
                    planned, state, incarnation, meaning
                ),
                lambda: self.reserve_retry(planned),
            ),
        )

    def _begin(self, sending: _Sending) -> None:
        """Counts an attempt that is about to be sent."""
        planned = sending.planned
        name = planned.plan.target.name
        if sending.is_suspect:
            self.context.chooser.suspect_attempts[name] += 1
        sending.state.begin_attempt(
            sending.first_byte.started,
            planned.attempt_id,
            planned.estimate.prefill_tokens,
        )
        self.context.quotas.charge(self.request)
        self.context.limits.charge(name)
        self._tell(planned)
        self.relay.on_first_event = sending.first_byte.record

    def _end(
        self, sending: _Sending, result: outcome_lib.Outcome | None
    ) -> None:
        """Takes in how an attempt ended; None when nobody waited any more."""
        attempt = sending.attempt
        target = sending.planned.plan.target
        may_have_run = attempt.sent and not isinstance(result, _NOT_RUN)
        self.possible_runs += may_have_run
        if not may_have_run:
            self.context.quotas.refund_request(self.request)
        if not attempt.sent:
            self.context.limits.refund(target.name)
        if isinstance(result, outcome_lib.Whole):
            sending.first_byte.record()
        sending.first_byte.record_none()
        # A trial of an ejected target has to tell before it ends.
        self.context.outcome_recorder.record_outcome(
            attempt, sending.state, result, sending.first_byte.started
        )
        self.context.quarantine.record_outcome(
            self.request, sending.sent_to, result, attempt.closed_by_target
        )
        if attempt.closed_by_target:
            # Whether the target has ended decides what may follow.
            self.context.monitor.probe_now(target)
        sending.state.end_attempt(sending.planned.attempt_id)
        if sending.is_suspect:
            self.context.chooser.note_suspect_ended(target.name)

    def _most_idle(self, pool: objects.Pool) -> int:
        """Returns how many connections to a target this host may keep."""
        if not pool.max_connections:
            return http1_client.MOST_IDLE
        part = pool.max_connections * _IDLE_SHARE / self.site.hosts
        return max(1, min(http1_client.MOST_IDLE, int(part)))

    def _note_head(
        self,
        planned: chooser_lib.PlannedAttempt,
        state: target_state.TargetState,
        incarnation: int,
        meaning: attempts.AnswerMeaning,
    ) -> None:
        """Applies what an answer says of its target before its end.

        Args:
            planned: The attempt.
            state: Of the target, from when the attempt began.
            incarnation: Key of the target's incarnation at that time.
            meaning: What the head of the answer says.
        """
        name = planned.plan.target.name
        self.context.announcements.apply_answer(name, incarnation, meaning)
        # One that has started again since has told nothing yet.
        if self.site.states.get(name) is state:
            self.context.limits.apply_answer(name, meaning)

    def _tell(self, planned: chooser_lib.PlannedAttempt) -> None:
        """Notes and tells other hosts that an engine gets a prompt."""
        parts = self.request.prompt.parts
        if not parts:
            return
        target = planned.plan.target.name
        notice = work_notice.WorkNotice(
            self.site.targets.key_of(target),
            planned.estimate.prefill_tokens,
            work_notice.checksum(planned.plan.cache_scope),
            cache_source.shared_parts(self.request),
            parts[-1].tokens,
            0,
        )
        self.site.note_prompt(target, notice)
        self.context.work.tell(notice)
