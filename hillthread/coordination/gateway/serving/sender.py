"""Makes the attempts of one request and accounts for them.

Quotas, target limits, load estimates, the quarantine and other hosts learn of
each attempt here.
"""

from __future__ import annotations

from collections.abc import Callable
import functools
from typing import NamedTuple

import anyio.abc

from hillthread import clock
from hillthread.coordination.gateway import metrics as metrics_lib
from hillthread.coordination.gateway import site as site_lib
from hillthread.coordination.gateway.peers import forwarding
from hillthread.coordination.gateway.peers import work_feed
from hillthread.coordination.gateway.serving import announcement_keeper
from hillthread.coordination.gateway.serving import attempt as attempt_lib
from hillthread.coordination.gateway.serving import brittle_keeper
from hillthread.coordination.gateway.serving import cache_source
from hillthread.coordination.gateway.serving import chooser as chooser_lib
from hillthread.coordination.gateway.serving import event_relay
from hillthread.coordination.gateway.serving import intake
from hillthread.coordination.gateway.serving import learning
from hillthread.coordination.gateway.serving import limit_keeper
from hillthread.coordination.gateway.serving import outcome as outcome_lib
from hillthread.coordination.gateway.serving import peer_forwarder
from hillthread.coordination.gateway.serving import quarantine_keeper
from hillthread.coordination.gateway.serving import quota_keeper
from hillthread.coordination.gateway.serving import reach_monitor
from hillthread.coordination.gateway.serving import retry_charges
from hillthread.coordination.gateway.serving import stream_binding
from hillthread.coordination.gateway.serving import stream_keeper
from hillthread.platform import attempts
from hillthread.protocol import work_notice
from hillthread.state.config import objects
from hillthread.state.targets import target_state
from hillthread.transport import connection_pool

__all__ = ["JobContext", "Sender"]

# Share of a target's maximum connections that all hosts together keep idle. The
# rest is for connections in use; the target resets those beyond its maximum.
_IDLE_SHARE = 0.5
# Outcomes of attempts that certainly did not run.
_NOT_RUN_OUTCOMES = (outcome_lib.NotRun, outcome_lib.Unsent)


class JobContext(NamedTuple):
    """Services and state that all jobs share.

    Attributes:
        site: The host's view of the site.
        metrics: The gateway's metrics.
        pool: Connections to targets.
        tasks: Task group that sends long bodies.
        chooser: Chooses targets.
        monitor: Detects which targets can be reached.
        outcome_recorder: Updates the host's view of targets from outcomes.
        work: Notifies other hosts of work sent to engines.
        quarantine: Tracks requests during which targets crashed.
        quotas: Charges what is sent on behalf of organisations.
        limits: Charges what is sent to targets.
        announcements: Applies what targets announce.
        brittle: Keeps brittle targets from refusing too much.
        forwarder: Sends requests to other hosts.
        streams: Records which software began each stream.
    """

    site: site_lib.Site
    metrics: metrics_lib.GatewayMetrics
    pool: connection_pool.ConnectionPool
    tasks: anyio.abc.TaskGroup
    chooser: chooser_lib.Chooser
    monitor: reach_monitor.ReachabilityMonitor
    outcome_recorder: learning.OutcomeRecorder
    work: work_feed.WorkFeed
    quarantine: quarantine_keeper.QuarantineKeeper
    quotas: quota_keeper.QuotaKeeper
    limits: limit_keeper.LimitKeeper
    announcements: announcement_keeper.AnnouncementKeeper
    brittle: brittle_keeper.BrittleKeeper
    forwarder: peer_forwarder.PeerForwarder
    streams: stream_keeper.StreamKeeper


class _OngoingAttempt(NamedTuple):
    """An attempt in progress.

    Attributes:
        planned: What is sent, and to which target.
        attempt: The attempt itself.
        state: The state of its target, as of when the attempt began.
        first_byte: Records its first byte.
        incarnation: Key of the target's incarnation when the attempt began.
        target_incarnation: The incarnation of the target that gets the request.
        is_suspect: Whether the request is suspected of crashing targets.
    """

    planned: chooser_lib.PlannedAttempt
    attempt: attempt_lib.Attempt
    state: target_state.TargetState
    first_byte: learning.FirstByteRecorder
    incarnation: int
    target_incarnation: quarantine_keeper.TargetIncarnation
    is_suspect: bool


class Sender:
    """Makes the attempts of one request.

    Attributes:
        context: Services and state that all jobs share.
        site: The host's view of the site.
        request: The caller's request.
        relay: Relays the events of answers to the caller.
        binding: Binds the stream to the release that begins it.
        reserve_retry: Charges the retry budget for an attempt after a planned
            one; returns whether there may be one.
        charges: Charges the attempts to the retry budget.
        attempts_made: Number of attempts made so far.
        possible_runs: Number of attempts that may have run.
    """

    def __init__(
        self,
        context: JobContext,
        request: intake.GatewayRequest,
        relay: event_relay.EventRelay,
        binding: stream_binding.StreamBinding,
        charges: retry_charges.RetryCharges,
        reserve_retry: Callable[[chooser_lib.PlannedAttempt], bool],
    ):
        self.context = context
        self.site = context.site
        self.request = request
        self.relay = relay
        self.binding = binding
        self.charges = charges
        self.reserve_retry = reserve_retry
        self.attempts_made = 0
        self.possible_runs = 0

    async def send(
        self, planned: chooser_lib.PlannedAttempt, is_suspect: bool
    ) -> outcome_lib.Outcome:
        """Makes an attempt and returns its outcome.

        Args:
            planned: What is sent, and to which target.
            is_suspect: Whether the request is suspected of crashing targets.
        """
        name = planned.plan.target.name
        now = clock.now()
        if self.attempts_made == 0:
            self.site.retry_share(planned.pool.name, now).deposit(now)
        self.attempts_made += 1
        self.charges.begin_attempt()
        new_attempt_id = f"{self.request.request_id}/{self.attempts_made}"
        planned = planned._replace(attempt_id=new_attempt_id)
        state = self.site.state(name)
        incarnation = self.site.targets.key_of(name)
        first_byte = learning.FirstByteRecorder(
            self.context.outcome_recorder,
            self.request,
            planned,
            state,
            now,
            self.context.work,
        )
        ongoing = _OngoingAttempt(
            planned,
            self._create_attempt(planned, state, incarnation),
            state,
            first_byte,
            incarnation,
            self.context.quarantine.incarnation_of(name),
            is_suspect,
        )
        self._begin(ongoing)
        result: outcome_lib.Outcome | None = None
        try:
            result = await ongoing.attempt.run()
            return result
        finally:
            self._end(ongoing, result)

    def _create_attempt(
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
            self._max_idle_connections(planned.pool),
            attempt_lib.Callbacks(
                lambda: self.context.quarantine.announce_trial(self.request),
                lambda meaning: self._note_head(
                    planned, state, incarnation, meaning
                ),
                lambda: self.reserve_retry(planned),
            ),
        )

    def _begin(self, ongoing: _OngoingAttempt) -> None:
        """Accounts for an attempt that is about to be sent."""
        planned = ongoing.planned
        name = planned.plan.target.name
        if ongoing.is_suspect:
            self.context.chooser.suspect_attempts[name] += 1
        ongoing.state.begin_attempt(
            ongoing.first_byte.started,
            planned.attempt_id,
            planned.estimate.prefill_tokens,
            self.site.effective_urgency(self.request.urgency),
        )
        self.context.quotas.charge(self.request)
        self.context.limits.charge(name)
        self.context.brittle.record_send(name)
        self.context.quarantine.begin_attempt(ongoing.attempt)
        self._announce_work(planned)
        self.relay.on_first_event = functools.partial(
            self._note_first_event, ongoing
        )

    def _end(
        self, ongoing: _OngoingAttempt, result: outcome_lib.Outcome | None
    ) -> None:
        """Accounts for the end of an attempt.

        Args:
            ongoing: The attempt.
            result: Its outcome; None if it was cancelled.
        """
        attempt = ongoing.attempt
        target = ongoing.planned.plan.target
        may_have_run = attempt.sent and not isinstance(
            result, _NOT_RUN_OUTCOMES
        )
        self.possible_runs += may_have_run
        if not may_have_run:
            self.context.quotas.refund_request(self.request)
        if attempt.sent:
            self.charges.note_sent()
        else:
            self.context.limits.refund(target.name)
        self.charges.end_attempt()
        if isinstance(result, outcome_lib.Whole):
            ongoing.first_byte.record()
        ongoing.first_byte.record_none()
        # The trial of an ejected target must be judged before the state counts
        # the attempt as ended.
        self.context.outcome_recorder.record_outcome(
            attempt, ongoing.state, result, ongoing.first_byte.started
        )
        self.context.quarantine.record_outcome(
            attempt, ongoing.target_incarnation, result
        )
        if isinstance(result, outcome_lib.NotRun) and result.status == 503:
            self.context.brittle.record_refusal(target.name, result.meaning)
        if attempt.closed_by_target:
            # Whether the target has crashed decides how the request goes on.
            self.context.monitor.probe_now(target)
        ongoing.state.end_attempt(ongoing.planned.attempt_id)
        if ongoing.is_suspect:
            self.context.chooser.note_suspect_ended(target.name)

    def _note_first_event(self, ongoing: _OngoingAttempt) -> None:
        """Binds the stream before the first event of a run is relayed.

        Raises:
            CallError: The run must not continue the stream.
        """
        ongoing.first_byte.record()
        planned = ongoing.planned
        self.context.quarantine.note_first_event(ongoing.attempt)
        origin = stream_binding.confirm_origin(
            self.site, planned.plan, planned.pool.name, ongoing.incarnation
        )
        self.binding.apply_first_event(origin)
        if self.request.forwarded is not None:
            self.relay.answer.added_headers += forwarding.encode_origin(origin)

    def note_forwarded_head(
        self, target: str, meaning: attempts.AnswerMeaning
    ) -> None:
        """Applies announcements and limits from an answer via another host.

        This host relays the answer, so that it has to obey them.
        """
        if target not in self.site.targets.entries:
            return
        incarnation = self.site.targets.key_of(target)
        self.context.announcements.apply_answer(target, incarnation, meaning)
        self.context.limits.apply_answer(target, meaning)

    def _max_idle_connections(self, pool: objects.Pool) -> int:
        """Returns how many idle connections to a target this host may keep."""
        if not pool.max_connections:
            return connection_pool.MAX_IDLE_CONNECTIONS
        share = pool.max_connections * _IDLE_SHARE / self.site.cluster_size
        return max(1, min(connection_pool.MAX_IDLE_CONNECTIONS, int(share)))

    def _note_head(
        self,
        planned: chooser_lib.PlannedAttempt,
        state: target_state.TargetState,
        incarnation: int,
        meaning: attempts.AnswerMeaning,
    ) -> None:
        """Applies announcements and limits from the head of an answer.

        Args:
            planned: The attempt.
            state: The state of the target, as of when the attempt began.
            incarnation: Key of the target's incarnation at that time.
            meaning: The decoded head of the answer.
        """
        name = planned.plan.target.name
        self.context.announcements.apply_answer(name, incarnation, meaning)
        # If the target has restarted since, its new incarnation has named no
        # limit yet.
        if self.site.states.get(name) is state:
            self.context.limits.apply_answer(name, meaning)
            self.context.brittle.apply_answer(name, meaning)
        if self.request.forwarded is not None:
            self.relay.answer.added_headers = [
                (forwarding.HOST_HEADER, self.site.settings.host.encode()),
                (forwarding.TARGET_HEADER, name.encode()),
            ]

    def _announce_work(self, planned: chooser_lib.PlannedAttempt) -> None:
        """Records that an engine gets a prompt, and notifies other hosts."""
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
            self.site.effective_urgency(self.request.urgency),
        )
        self.site.record_prompt(target, notice)
        self.context.work.notify_work(notice)
