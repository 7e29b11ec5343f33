"""Serves requests: one job each, ended when nobody waits any more."""

from __future__ import annotations

import anyio
import anyio.abc

from hillthread import errors
from hillthread.coordination.gateway import chooser as chooser_lib
from hillthread.coordination.gateway import intake
from hillthread.coordination.gateway import job as job_lib
from hillthread.coordination.gateway import learning
from hillthread.coordination.gateway import metrics as metrics_lib
from hillthread.coordination.gateway import reach_monitor
from hillthread.coordination.gateway import site as site_lib
from hillthread.transport import http1_client
from hillthread.transport import http1_server

__all__ = ["Dispatcher"]


class Dispatcher:
    """Carries requests to targets and answers back.

    Attributes:
        chooser: Chooses targets.
        monitor: Finds out which targets can be reached.
        tools: What all jobs share.
    """

    def __init__(
        self,
        site: site_lib.Site,
        metrics: metrics_lib.GatewayMetrics,
        pool: http1_client.ConnectionPool,
        tasks: anyio.abc.TaskGroup,
    ):
        self.monitor = reach_monitor.ReachMonitor(site, pool, tasks)
        self.chooser = chooser_lib.Chooser(site, pool)
        self.tools = job_lib.JobTools(
            site,
            metrics,
            pool,
            tasks,
            self.chooser,
            self.monitor,
            learning.Learner(site, metrics, self.monitor),
        )

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
        job = job_lib.Job(self.tools, request, answer)
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
