"""Handles HTTP requests from callers."""

from __future__ import annotations

from collections.abc import Mapping
import logging
import random

import anyio
import anyio.abc
import msgspec

from hillthread import clock
from hillthread import errors
from hillthread.coordination.gateway import metrics as metrics_lib
from hillthread.coordination.gateway import site as site_lib
from hillthread.coordination.gateway import startup
from hillthread.coordination.gateway.peers import forwarding
from hillthread.coordination.gateway.serving import dispatcher as dispatcher_lib
from hillthread.coordination.gateway.serving import intake
from hillthread.coordination.gateway.serving import job as job_lib
from hillthread.coordination.gateway.serving import peer_forwarder
from hillthread.coordination.gateway.serving import services as services_lib
from hillthread.coordination.gateway.serving import story as story_lib
from hillthread.platform import names
from hillthread.state.quotas import return_time
from hillthread.transport import connection_pool
from hillthread.transport import http1
from hillthread.transport import http1_server
from hillthread.transport import send_buffer

__all__ = ["Gateway"]

_JSON_HEADER = (b"content-type", b"application/json")
# Requests that this host serves for others at the same time: some, and for each
# request of its own callers some more. Of three hosts of a data centre two may
# lose their links.
_MIN_FORWARDED = 16
_FORWARDED_RATIO = 2
_BUSY_RETRY_S = 0.2
# Another host may serve a request that hit an internal error on this one.
_INTERNAL_ERROR_RETRY_S = 0.1

_logger = logging.getLogger("hillthread.request")


class Gateway:
    """Admits, dispatches and answers the requests of callers.

    Attributes:
        site: The host's view of the site.
        metrics: The gateway's metrics.
        dispatcher: Forwards requests to targets.
        quotas: Refuses requests that exceed an organisation's quota.
        streams: Finds which software began streams that callers resume.
        sampler: Limits how many requests are logged each second.
        inflight: Number of requests being served.
        forwarded_inflight: Those of them that other hosts have forwarded.
    """

    def __init__(
        self,
        site: site_lib.Site,
        metrics: metrics_lib.GatewayMetrics,
        pool: connection_pool.ConnectionPool,
        tasks: anyio.abc.TaskGroup,
        services: services_lib.HostServices,
    ):
        self.site = site
        self.metrics = metrics
        self.dispatcher = dispatcher_lib.Dispatcher(
            site, metrics, pool, tasks, services
        )
        self.quotas = services.quotas
        self.streams = services.streams
        self.sampler = story_lib.RequestSampler(
            site.settings.log_requests_per_s
        )
        self.inflight = 0
        self.forwarded_inflight = 0

    async def handle(
        self,
        caller: http1_server.CallerRequest,
        answer: http1_server.CallerAnswer,
    ) -> None:
        """Serves one request of a caller.

        Raises:
            BrokenAnswerError: Its answer was started and cannot be completed.
        """
        await self._handle(caller, answer, None)

    async def handle_forwarded(
        self,
        raw: http1_server.CallerRequest,
        answer: http1_server.CallerAnswer,
    ) -> None:
        """Serves one request that another host has forwarded.

        Raises:
            BrokenAnswerError: Its answer was started and cannot be completed.
        """
        host = self.site.settings.host.encode()
        answer.added_headers = [(forwarding.HOST_HEADER, host)]
        try:
            forwarded = forwarding.decode_request(raw)
        except errors.PeerError as error:
            self.note_bad_request(400, error.message)
            await answer.send_whole(400, [], b"")
            return
        self.forwarded_inflight += 1
        try:
            await self._handle(forwarded.caller, answer, forwarded.origin)
        finally:
            self.forwarded_inflight -= 1

    async def _check_quota(self, request: intake.GatewayRequest) -> None:
        """Refuses a request that exceeds the quota of its tenant.

        Requests that go to another host are checked there: this host sends
        nothing to targets meanwhile, so that its share of quotas is small. A
        stream that goes on was admitted when it began.

        Raises:
            RefusalError: The quota is exceeded; the request has not run.
        """
        is_continued = request.stream_origin is not None
        if is_continued or self.dispatcher.will_forward(request):
            return
        await self.quotas.wait_at_startup(request)
        self.quotas.admit(request)

    def _check_room(self) -> None:
        """Refuses a forwarded request if this host has many of them.

        Raises:
            RefusalError: There are too many; the request has not run.
        """
        own = self.inflight - self.forwarded_inflight
        if self.forwarded_inflight <= _MIN_FORWARDED + _FORWARDED_RATIO * own:
            return
        raise errors.RefusalError(
            peer_forwarder.BUSY,
            503,
            f"This host serves {self.forwarded_inflight} requests for others.",
            "Ask another host.",
            retry_after_s=_BUSY_RETRY_S,
        )

    async def _handle(
        self,
        caller: http1_server.CallerRequest,
        answer: http1_server.CallerAnswer,
        origin: forwarding.ForwardOrigin | None,
    ) -> None:
        """Serves one request.

        Args:
            caller: The caller's request.
            answer: The answer to it.
            origin: The host that forwarded it; None if its caller sent it.

        Raises:
            BrokenAnswerError: Its answer was started and cannot be completed.
        """
        request_id = _request_id(caller)
        answer.set_label(request_id)
        self.sampler.hosts = self.site.cluster_size
        log = story_lib.RequestLog(request_id, self.sampler)
        self._add_inflight(1)
        outcome, code = "left", ""
        request: intake.GatewayRequest | None = None
        job: job_lib.Job | None = None
        try:
            if origin is not None:
                self._check_room()
            await self.site.wait_until_routable(caller.arrived)
            request = intake.admit(self.site, caller, log, origin)
            await self.streams.resolve(request)
            await self._check_quota(request)
            self._note_admitted(request)
            job = self.dispatcher.create_job(request, answer)
            await self.dispatcher.serve(job)
            outcome = "answered"
            self._note_answered(request, answer)
        except errors.RefusalError as refusal:
            outcome, code = "refused", refusal.code
            if job is not None:
                await self._refuse_job(refusal, job, answer)
            else:
                # The line `admitted` has these fields of other requests.
                fields = self._describe(caller, request)
                await self._refuse(refusal, answer, log, fields=fields)
        except http1_server.BrokenAnswerError:
            outcome = "broken"
            log.warn("answer_broken")
            raise
        except http1.ConnectionLostError:
            pass  # the caller left; logged in the finally block
        except Exception:
            outcome, code = "refused", "internal"
            _logger.exception("internal error", extra={"request": request_id})
            run = job.run_state() if job else errors.RunState.NOT_RUN
            await self._refuse(_internal_error(run), answer, log)
        finally:
            self._add_inflight(-1)
            self._count_outcome(request, outcome, code)
            if origin is not None:
                self.metrics.received_forwarded.labels(outcome).inc()
            if outcome == "left":
                log.warn(
                    "requester_left",
                    seconds=round(clock.now() - caller.arrived, 4),
                )
            log.close()

    def _add_inflight(self, requests: int) -> None:
        self.inflight += requests
        self.metrics.inflight.set(self.inflight)

    def _count_outcome(
        self,
        request: intake.GatewayRequest | None,
        outcome: str,
        code: str,
    ) -> None:
        """Counts the outcome of a request.

        Args:
            request: The request; None if it was not admitted.
            outcome: How it ended.
            code: Error code of its refusal; empty if it was not refused.
        """
        self.metrics.requests.labels(outcome, code).inc()
        if request is None or request.forwarded is not None:
            return
        if request.resumption is not None:
            self.metrics.reconnects.labels(code or outcome).inc()

    def note_caller_left(self, caller: http1_server.CallerRequest) -> None:
        """Counts and logs a request whose caller left before it was served."""
        self.metrics.requests.labels("left", "").inc()
        log = story_lib.RequestLog(_request_id(caller), self.sampler)
        log.warn("requester_left", seconds=0.0, served=False)

    def note_slow_caller(self, cut: send_buffer.CutStream) -> None:
        """Counts and logs a caller that was disconnected for reading slowly."""
        self.metrics.slow_callers_cut.inc()
        log = story_lib.RequestLog(cut.label, self.sampler)
        log.warn(
            "slow_caller",
            bytes=cut.unread_bytes,
            seconds=round(cut.seconds, 3),
        )

    def note_bad_request(self, status: int, reason: str) -> None:
        """Counts and logs a request that could not be read."""
        self.metrics.bad_requests.labels(str(status)).inc()
        _logger.info(
            "request could not be read",
            extra={"event": "bad_request", "status": status, "reason": reason},
        )

    def _note_admitted(self, request: intake.GatewayRequest) -> None:
        origin = request.forwarded
        resumption = request.resumption
        stream = {}
        if resumption is not None:
            stream["resumes"] = resumption.stream_id
            stream["last_event_id"] = resumption.last_event_id
        request.log.note(
            "admitted",
            path=request.caller.path,
            digest=request.digest,
            route=request.route.name,
            tenant=request.tenant_name,
            repeatable=request.repeatable,
            priority=request.priority,
            seconds_left=round(request.seconds_left(), 3),
            **({"forwarded_by": origin.host} if origin else {}),
            **stream,
        )

    def _describe(
        self,
        caller: http1_server.CallerRequest,
        request: intake.GatewayRequest | None,
    ) -> dict[str, object]:
        """Returns the log fields known of a request refused at intake.

        A digest is computed only of an authenticated request, since callers
        without a key must not cause work.
        """
        if request is not None:
            return {
                "path": caller.path,
                "digest": request.digest,
                "route": request.route.name,
                "tenant": request.tenant_name,
            }
        route = intake.current_route(self.site, caller)
        return {"path": caller.path, **({"route": route.name} if route else {})}

    def _note_answered(
        self,
        request: intake.GatewayRequest,
        answer: http1_server.CallerAnswer,
    ) -> None:
        seconds = clock.now() - request.caller.arrived
        self.site.startup.reach(startup.ANSWERED)
        self.metrics.observe_answer_time(request.route.name, seconds)
        request.log.note(
            "answered", seconds=round(seconds, 4), status=answer.status
        )

    def _retry_class(self, request: intake.GatewayRequest) -> float:
        """Returns the class by which the retries of callers are staggered."""
        if self.site.has_urgency_classes:
            return return_time.class_of_urgency(request.urgency)
        return request.priority

    async def _refuse_job(
        self,
        refusal: errors.RefusalError,
        job: job_lib.Job,
        answer: http1_server.CallerAnswer,
    ) -> None:
        """Refuses a request for which attempts may have been made."""
        request = job.request
        if request.forwarded is not None:
            sends = job.charges.arrivals - request.forwarded.sends
            answer.added_headers.append(
                (forwarding.SENDS_HEADER, b"%d" % sends)
            )
        await self._refuse(
            refusal, answer, request.log, self._retry_class(request)
        )

    async def _refuse(
        self,
        refusal: errors.RefusalError,
        answer: http1_server.CallerAnswer,
        log: story_lib.RequestLog,
        priority: float = 0.0,
        fields: Mapping[str, object] = {},
    ) -> None:
        retry_delay_s = _choose_retry_after_s(refusal, priority)
        limits = {}
        if refusal.limited_by:
            limits["limited_by"] = refusal.limited_by
        log.warn(
            "refused",
            code=refusal.code,
            status=refusal.status,
            run=str(refusal.run),
            retry_after_s=retry_delay_s,
            reason=refusal.message,
            started=answer.started,
            store_age_s=self.site.rounded_age_s(clock.now()),
            **fields,
            **limits,
        )
        if answer.started:
            raise http1_server.BrokenAnswerError
        headers: http1.Headers = [
            _JSON_HEADER,
            (names.REQUEST_ID, log.request_id.encode("latin-1")),
        ]
        if answer.added_headers:
            headers.append((forwarding.RUN_HEADER, str(refusal.run).encode()))
        if retry_delay_s is not None:
            headers.append((names.RETRY_AFTER, b"%.3f" % retry_delay_s))
        # Makes the caller reconnect, so that the load balancer chooses a host
        # that is ready.
        answer.closes_connection = refusal.code == intake.NOT_READY
        body = {
            "error": {
                "code": refusal.code,
                "message": refusal.message,
                "remedy": refusal.remedy,
                "run": refusal.run,
            }
        }
        await answer.send_whole(
            refusal.status, headers, msgspec.json.encode(body)
        )


def _request_id(caller: http1_server.CallerRequest) -> str:
    return caller.get(names.REQUEST_ID).decode("latin-1")


def _choose_retry_after_s(
    refusal: errors.RefusalError, priority: float
) -> float | None:
    """Returns when the caller should retry; None if a retry cannot help."""
    min_delay_s = refusal.retry_after_s
    if min_delay_s is None:
        return None
    retry_delay_s = return_time.staggered_retry_after_s(
        min_delay_s, priority, random.random()
    )
    return round(retry_delay_s, 3)


def _internal_error(run: errors.RunState) -> errors.RefusalError:
    """Returns the refusal of a request that hit an error in the gateway."""
    if run is errors.RunState.NOT_RUN:
        return errors.RefusalError(
            "internal",
            503,
            "The gateway failed before any target received the request.",
            "Try again; if it fails again, report it with the request id.",
            run,
            _INTERNAL_ERROR_RETRY_S,
        )
    return errors.RefusalError(
        "internal",
        502,
        "The gateway failed; its log has the cause.",
        "Report it with the request id.",
        errors.RunState.UNKNOWN,
    )
