"""Serves requests: one job each, ended when nobody waits any more."""

from __future__ import annotations

import functools
from typing import NamedTuple

import anyio
import anyio.abc

from hillthread import errors
from hillthread.coordination.gateway import metrics as metrics_lib
from hillthread.coordination.gateway import site as site_lib
from hillthread.coordination.gateway.peers import work_feed
from hillthread.coordination.gateway.serving import announcement_keeper
from hillthread.coordination.gateway.serving import chooser as chooser_lib
from hillthread.coordination.gateway.serving import intake
from hillthread.coordination.gateway.serving import job as job_lib
from hillthread.coordination.gateway.serving import learning
from hillthread.coordination.gateway.serving import limit_keeper
from hillthread.coordination.gateway.serving import quarantine_keeper
from hillthread.coordination.gateway.serving import quota_keeper
from hillthread.coordination.gateway.serving import reach_monitor
from hillthread.coordination.gateway.serving import sender as sender_lib
from hillthread.transport import http1_client
from hillthread.transport import http1_server

__all__ = ["Dispatcher"]

# Targets count a request's time from when they got it, and their last answers
# are on the way when it is over: 20 ms between data centres, both ways, and the
# opening of a connection. Callers whose own time is over have left by then.
_LAST_ANSWER_S = 0.1
# For a request that found no target within its time.
_RETRY_S = 0.25


class _Cut(NamedTuple):
    """What is told of a request that was cut and may have run.

    Attributes:
        code: The refusal's code.
        status: The HTTP status.
        message: What happened.
        remedy: What the caller can do.
    """

    code: str
    status: int
    message: str
    remedy: str


_LATE = _Cut(
    "deadline",
    504,
    "The request's deadline passed.",
    "Allow more time, or ask for a shorter answer.",
)
_STOPPED = _Cut(
    "stopping",
    502,
    "The host ended before an answer came.",
    "It may have run: find out before sending it again.",
)


class Dispatcher:
    """Carries requests to targets and answers back.

    Attributes:
        chooser: Chooses targets.
        monitor: Finds out which targets can be reached.
        tools: What all jobs share.
        scopes: Of the jobs being served; cancelling one ends its attempts.
        stopped: Whether all jobs were ended because the process ends.
    """

    def __init__(
        self,
        site: site_lib.Site,
        metrics: metrics_lib.GatewayMetrics,
        pool: http1_client.ConnectionPool,
        tasks: anyio.abc.TaskGroup,
        work: work_feed.WorkFeed,
        quarantine: quarantine_keeper.QuarantineKeeper,
        quotas: quota_keeper.QuotaKeeper,
        limits: limit_keeper.LimitKeeper,
    ):
        self.monitor = reach_monitor.ReachabilityMonitor(site, pool, tasks)
        self.monitor.on_reached = quarantine.record_target_reached
        self.monitor.on_refused = functools.partial(
            quarantine.record_target_end, evidence="nobody listens there"
        )
        self.chooser = chooser_lib.Chooser(site, pool, limits)
        self.context = sender_lib.JobContext(
            site,
            metrics,
            pool,
            tasks,
            self.chooser,
            self.monitor,
            learning.OutcomeRecorder(site, metrics, self.monitor, quarantine),
            work,
            quarantine,
            quotas,
            limits,
            announcement_keeper.AnnouncementKeeper(site, work, tasks),
        )
        self.scopes: set[anyio.CancelScope] = set()
        self.stopped = False

    def create_job(
        self,
        request: intake.GatewayRequest,
        answer: http1_server.CallerAnswer,
    ) -> job_lib.Job:
        """Returns the job of a request, to be served."""
        return job_lib.Job(self.context, request, answer)

    async def serve(self, job: job_lib.Job) -> None:
        """Answers a request.

        Raises:
            RefusalError: It cannot be served; its run state is true.
            BrokenAnswerError: Its answer has begun and cannot be completed.
        """
        answer_by = job.request.deadline + _LAST_ANSWER_S
        with anyio.CancelScope(deadline=answer_by) as scope:
            self.scopes.add(scope)
            try:
                await job.run()
            finally:
                self.scopes.discard(scope)
        if scope.cancelled_caught:
            self._note_cut(job)
        if job.answer.ended:
            return
        if job.answer.started:
            raise http1_server.BrokenAnswerError
        if job.last_answer is None:
            raise self._unanswered(job.run_state())
        # What is ready is delivered, also after the time.
        await job.relay_last_answer(job.last_answer)

    def cancel_all(self) -> None:
        """Ends all jobs: their callers get final answers.

        The process is about to be killed; after that nobody could tell them
        whether their requests have run.
        """
        self.stopped = True
        for scope in self.scopes:
            scope.cancel()

    def _note_cut(self, job: job_lib.Job) -> None:
        event = "stop_cut" if self.stopped else "deadline_passed"
        job.request.log.warn(event, run=str(job.run_state()))

    def _unanswered(self, run: errors.RunState) -> errors.RefusalError:
        """Returns the answer to a request that was cut before one came."""
        cut = _STOPPED if self.stopped else _LATE
        if run is not errors.RunState.NOT_RUN:
            return errors.RefusalError(*cut, run)
        return errors.RefusalError(
            cut.code,
            503,
            f"{cut.message} No target had taken the request.",
            "Try again after the time in Retry-After.",
            run,
            _RETRY_S,
        )
