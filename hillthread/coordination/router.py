"""The router's ASGI application: authentication, limits and claims."""

from __future__ import annotations

from collections.abc import Callable
import logging
import secrets
import time

import anyio
import anyio.abc

from hillthread import clock
from hillthread import errors
from hillthread import settings as settings_lib
from hillthread.coordination import claims as claims_lib
from hillthread.coordination import exchange as exchange_lib
from hillthread.coordination import fleet as fleet_lib
from hillthread.coordination import forwarder as forwarder_lib
from hillthread.coordination import intake as intake_lib
from hillthread.coordination import metrics as metrics_lib
from hillthread.coordination import stream_relay
from hillthread.protocol import openai
from hillthread.state.config import objects
from hillthread.state.config import routing_table
from hillthread.state.quotas import limits
from hillthread.state.quotas import shares
from hillthread.state.routing import records
from hillthread.transport import http_server

__all__ = ["Router"]

IDEMPOTENCY_HEADER = "idempotency-key"
_RETRY_AFTER_S = 1.0
_UNLIMITED = objects.Limits()

_logger = logging.getLogger(__name__)


class Router:
    """Serves the requests of callers.

    Attributes:
        table: The routing table in use, or None before the first one.
        fleet: The state of the targets.
        records: The decision records kept in memory.
        usage: Usage of each tenant's limits, by the tenant's name.
        inflight: Requests being served.
        draining: Whether the program is stopping.
        request_ended: Set, and replaced, whenever a request ends.
        on_finished: Called with each complete record of a routed request.
        demand_shares: This router's shares of the tenants' limits.
    """

    def __init__(
        self,
        settings: settings_lib.RouterSettings,
        metrics: metrics_lib.RouterMetrics,
        tasks: anyio.abc.TaskGroup,
    ):
        self.settings = settings
        self.metrics = metrics
        self.fleet = fleet_lib.Fleet(settings.data_centre)
        self.forwarder = forwarder_lib.Forwarder(
            settings, self.fleet, metrics, tasks
        )
        self.claims: claims_lib.ClaimStore = claims_lib.LocalClaims()
        self.table: routing_table.RoutingTable | None = None
        self.records = records.RecordStore(settings.records)
        self.usage: dict[str, limits.TenantUsage] = {}
        self.intake = intake_lib.Intake(settings.limits)
        self.inflight = 0
        self.draining = False
        self.request_ended = anyio.Event()
        self.demand_shares = shares.DemandShares()
        self.on_finished: Callable[[records.RequestRecord], None] = (
            _discard_record
        )

    def apply_table(self, table: routing_table.RoutingTable) -> None:
        """Replaces the routing table, unless the new one is older."""
        if self.table is not None and table.position < self.table.position:
            return
        self.table = table
        self.fleet.retain(list(table.targets.values()))
        for target in table.targets.values():
            if target.data_centre == self.settings.data_centre:
                self.fleet.track(target)
        for removed in self.usage.keys() - table.tenants.keys():
            if self.usage[removed].running == 0:
                del self.usage[removed]
        self.metrics.position.set(table.position)

    def not_ready_reason(self) -> str:
        """Returns why this router takes no new requests, or an empty string."""
        if self.draining:
            return "stopping"
        return "" if self.table is not None else "no configuration in force"

    async def wait_idle(self) -> None:
        """Returns when no request is being served."""
        while self.inflight:
            await self.request_ended.wait()

    async def handle(
        self, request: http_server.Request, send: http_server.Send
    ) -> None:
        """Serves one request."""
        record = records.RequestRecord(
            secrets.token_hex(12), time.time(), self.settings.host
        )
        self.inflight += 1
        self.metrics.inflight.set(self.inflight)
        try:
            await self._serve(request, send, record)
        finally:
            self.inflight -= 1
            self.metrics.inflight.set(self.inflight)
            self._close_record(record)
            self.request_ended.set()
            self.request_ended = anyio.Event()

    async def _serve(
        self,
        request: http_server.Request,
        send: http_server.Send,
        record: records.RequestRecord,
    ) -> None:
        arrived = clock.now()
        started: exchange_lib.Exchange | None = None
        try:
            table = self._check_ready()
            tenant = intake_lib.authenticate(table, request)
            record.tenant = tenant.name
            if request.path == openai.MODELS_PATH and request.method == "GET":
                await self._list_models(table, send)
                record.outcome = "answered"
                return
            parsed = await self.intake.read(table, tenant, request, record)
            self.records.add(record)
            started = exchange_lib.Exchange(
                request,
                send,
                parsed,
                tenant,
                record,
                arrived,
                arrived + parsed.resolved.route.timeout_s,
                closes_connection=self.draining,
            )
            await self._serve_within_limits(started)
            record.outcome = _outcome(record)
        except errors.RefusalError as refusal:
            await self._send_refusal(refusal, record, send, started)
        except Exception:
            _logger.exception("internal error", extra={"code": "internal"})
            await self._send_refusal(
                _internal_error(started), record, send, started
            )

    def _check_ready(self) -> routing_table.RoutingTable:
        if self.table is None:
            raise _unavailable("not_ready", "No configuration is loaded yet.")
        if self.inflight > self.settings.limits.max_concurrency:
            raise _unavailable(
                "router_busy",
                "The router serves its maximum of requests.",
            )
        return self.table

    async def _list_models(
        self, table: routing_table.RoutingTable, send: http_server.Send
    ) -> None:
        data = [
            {"id": name, "object": "model", "owned_by": "hillthread"}
            for name in sorted(table.models)
        ]
        await http_server.send_json(send, 200, {"object": "list", "data": data})

    async def _serve_within_limits(
        self, exchange: exchange_lib.Exchange
    ) -> None:
        usage = self._tenant_usage(exchange.tenant)
        wait_s = usage.refusal_wait_s(clock.now())
        if wait_s is not None:
            raise errors.RefusalError(
                "tenant_limit",
                429,
                "The tenant's limit is exhausted.",
                "Retry after the time in Retry-After.",
                retry_after_s=wait_s,
            )
        usage.begin()
        try:
            key = await self._claim(exchange)
            try:
                await self._serve_while_connected(exchange)
            except errors.RefusalError as refusal:
                await self._release_claim(exchange, key, refusal)
                raise
        finally:
            usage.end(
                self.intake.record_usage(exchange.parsed, exchange.record)
            )

    def _tenant_usage(self, tenant: objects.Tenant) -> limits.TenantUsage:
        now = clock.now()
        share = 1.0
        if tenant.limits != _UNLIMITED:
            self.demand_shares.count_request(tenant.name)
            share = self.demand_shares.share(tenant.name, now)
        usage = self.usage.get(tenant.name)
        if usage is None:
            usage = limits.TenantUsage(tenant.limits, share, now)
            self.usage[tenant.name] = usage
        usage.set_limits(tenant.limits, share, now)
        return usage

    async def _release_claim(
        self,
        exchange: exchange_lib.Exchange,
        key: str | None,
        refusal: errors.RefusalError,
    ) -> None:
        """Releases the key of a request that is proven not to have run."""
        if key is None or refusal.run is not errors.RunState.NOT_RUN:
            return
        await self.claims.release(
            exchange.tenant.name, key, exchange.request_id
        )

    async def _claim(self, exchange: exchange_lib.Exchange) -> str | None:
        """Returns the claimed key, or None if no claim is needed."""
        key = exchange.request.headers.get(IDEMPOTENCY_HEADER)
        if exchange.record.repeatable or key is None:
            return None
        claim_result = await self.claims.claim(
            exchange.tenant.name, key, exchange.request_id
        )
        match claim_result:
            case claims_lib.ClaimResult.TAKEN:
                raise errors.RefusalError(
                    "already_claimed",
                    409,
                    "Another request has claimed this idempotency key.",
                    "Check the outcome of that request; it may have run.",
                    errors.RunState.UNKNOWN,
                )
            case claims_lib.ClaimResult.UNAVAILABLE:
                raise errors.RefusalError(
                    "claim_unavailable",
                    503,
                    "The router cannot ensure that the request runs only once.",
                    "Send it again later with the same key.",
                    retry_after_s=_RETRY_AFTER_S,
                )
        return key

    async def _serve_while_connected(
        self, exchange: exchange_lib.Exchange
    ) -> None:
        refusal: errors.RefusalError | None = None
        async with anyio.create_task_group() as group:

            async def cancel_on_disconnect() -> None:
                await exchange.request.wait_for_disconnect()
                group.cancel_scope.cancel()

            group.start_soon(cancel_on_disconnect)
            try:
                await self.forwarder.serve(exchange)
            except errors.RefusalError as error:
                refusal = error
            group.cancel_scope.cancel()
        if refusal is not None:
            raise refusal

    async def _send_refusal(
        self,
        refusal: errors.RefusalError,
        record: records.RequestRecord,
        send: http_server.Send,
        exchange: exchange_lib.Exchange | None,
    ) -> None:
        record.code = refusal.code
        record.run = refusal.run
        if exchange is not None and exchange.has_sent_head:
            record.outcome = "broken"
            await stream_relay.send_stream_error(exchange, refusal)
            return
        record.outcome = "refused"
        closing = ((b"connection", b"close"),) if self.draining else ()
        await http_server.send_refusal(
            send, refusal, record.request_id, closing
        )

    def _close_record(self, record: records.RequestRecord) -> None:
        record.ended_s = time.time() - record.received_at
        if record.outcome == "running":
            record.outcome = "left"
        if record.outcome in ("answered", "left"):
            record.run = records.infer_run_state(record.attempts)
        self.metrics.requests.labels(record.outcome, record.code).inc()
        if record.route:
            self.on_finished(record)


def _discard_record(record: records.RequestRecord) -> None:
    """Drops a record; the default of `Router.on_finished`."""
    del record


def _outcome(record: records.RequestRecord) -> str:
    whole = records.AttemptState.ANSWERED
    if any(attempt.state is whole for attempt in record.attempts):
        return "answered"
    return "left"


def _internal_error(
    exchange: exchange_lib.Exchange | None,
) -> errors.RefusalError:
    run = exchange.run_state() if exchange else errors.RunState.NOT_RUN
    return errors.RefusalError(
        "internal_error",
        500,
        "An internal error occurred; the router's log has the cause.",
        "Report it with the request id.",
        run,
    )


def _unavailable(code: str, message: str) -> errors.RefusalError:
    return errors.RefusalError(
        code,
        503,
        message,
        "Retry after the time in Retry-After.",
        retry_after_s=_RETRY_AFTER_S,
    )
