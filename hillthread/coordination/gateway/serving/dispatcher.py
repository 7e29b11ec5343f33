"""Runs one job for each request and cancels it after its deadline."""

from __future__ import annotations

import functools
from typing import NamedTuple

import anyio
import anyio.abc

from hillthread import errors
from hillthread.coordination.gateway import metrics as metrics_lib
from hillthread.coordination.gateway import site as site_lib
from hillthread.coordination.gateway.serving import announcement_keeper
from hillthread.coordination.gateway.serving import brittle_keeper
from hillthread.coordination.gateway.serving import chooser as chooser_lib
from hillthread.coordination.gateway.serving import intake
from hillthread.coordination.gateway.serving import job as job_lib
from hillthread.coordination.gateway.serving import learning
from hillthread.coordination.gateway.serving import reach_monitor
from hillthread.coordination.gateway.serving import sender as sender_lib
from hillthread.coordination.gateway.serving import services as services_lib
from hillthread.transport import connection_pool
from hillthread.transport import http1_server

__all__ = ["Dispatcher"]

# Time after the deadline in which a target's answer is still accepted. A target
# counts the time from when it received the request, so its last answer arrives
# later: by 20 ms between data centres, each way, and the time to open a
# connection. A caller with a deadline of its own has disconnected by then.
_LATE_ANSWER_GRACE_S = 0.1
# Retry-After for a request that was cancelled before any target ran it.
_NOT_RUN_RETRY_S = 0.25


class _Cancellation(NamedTuple):
    """The refusal of a request that was cancelled.

    A request that has not run gets another status and remedy.

    Attributes:
        code: The error code.
        status: The HTTP status if the request may have run.
        message: What happened.
        remedy: What the caller can do if the request may have run.
    """

    code: str
    status: int
    message: str
    remedy: str


_DEADLINE_PASSED = _Cancellation(
    "deadline",
    504,
    "The request's deadline passed.",
    "Allow more time, or ask for a shorter answer.",
)
_HOST_STOPPED = _Cancellation(
    "stopping",
    502,
    "The host stopped before an answer arrived.",
    "It may have run: find out before sending it again.",
)


class Dispatcher:
    """Forwards requests to targets and relays their answers.

    Attributes:
        monitor: Detects which targets can be reached.
        chooser: Chooses targets.
        context: Services and state that all jobs share.
        cancel_scopes: Cancel scopes of the jobs being served; cancelling one
            ends its attempts.
        is_stopping: Whether all jobs were cancelled because the process ends.
    """

    def __init__(
        self,
        site: site_lib.Site,
        metrics: metrics_lib.GatewayMetrics,
        pool: connection_pool.ConnectionPool,
        tasks: anyio.abc.TaskGroup,
        services: services_lib.HostServices,
    ):
        work, quarantine, quotas, limits, forwarder, streams = services
        self.monitor = reach_monitor.ReachabilityMonitor(site, pool, tasks)
        self.monitor.reaches_other_host = forwarder.reaches_other_host
        self.monitor.on_reached = quarantine.record_target_reached
        self.monitor.on_refused = functools.partial(
            quarantine.record_target_crash,
            evidence="the connection was refused",
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
            brittle_keeper.BrittleKeeper(site, work),
            forwarder,
            streams,
        )
        self.cancel_scopes: set[anyio.CancelScope] = set()
        self.is_stopping = False

    def will_forward(self, request: intake.GatewayRequest) -> bool:
        """Returns whether a request is about to go to another host."""
        if request.forwarded is not None:
            return False
        pool = self.chooser.find_unreachable_pool(request)
        return pool is not None and self.context.forwarder.can_plan(pool)

    def create_job(
        self,
        request: intake.GatewayRequest,
        answer: http1_server.CallerAnswer,
    ) -> job_lib.Job:
        """Returns the job that serves a request; it is not started yet."""
        return job_lib.Job(self.context, request, answer)

    async def serve(self, job: job_lib.Job) -> None:
        """Answers a request.

        Raises:
            RefusalError: It cannot be served; the error's run state tells
                whether it has run.
            BrokenAnswerError: Its answer was started and cannot be completed.
        """
        answer_deadline = job.request.deadline + _LATE_ANSWER_GRACE_S
        with anyio.CancelScope(deadline=answer_deadline) as scope:
            self.cancel_scopes.add(scope)
            try:
                await job.run()
            finally:
                self.cancel_scopes.discard(scope)
        if scope.cancelled_caught:
            self._log_cancellation(job)
        if job.answer.ended:
            return
        if job.answer.started:
            raise http1_server.BrokenAnswerError
        if job.last_answer is None:
            raise self._cancellation_refusal(job.run_state())
        # A complete answer is delivered even after the deadline.
        await job.relay_last_answer(job.last_answer)

    def cancel_all(self) -> None:
        """Cancels all jobs and sends their callers final answers.

        Called before the process is killed: afterwards nobody could tell the
        callers whether their requests have run.
        """
        self.is_stopping = True
        for scope in self.cancel_scopes:
            scope.cancel()

    def _log_cancellation(self, job: job_lib.Job) -> None:
        event = "stop_cut" if self.is_stopping else "deadline_passed"
        job.request.log.warn(event, run=str(job.run_state()))

    def _cancellation_refusal(
        self, run: errors.RunState
    ) -> errors.RefusalError:
        """Returns the refusal of a request cancelled before its answer."""
        cancellation = _HOST_STOPPED if self.is_stopping else _DEADLINE_PASSED
        if run is not errors.RunState.NOT_RUN:
            return errors.RefusalError(*cancellation, run)
        return errors.RefusalError(
            cancellation.code,
            503,
            f"{cancellation.message} No target had accepted the request.",
            "Try again after the time in Retry-After.",
            run,
            _NOT_RUN_RETRY_S,
        )
