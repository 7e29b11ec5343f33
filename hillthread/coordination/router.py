"""The callers' application: who asks, what for, and under which limits."""

from __future__ import annotations

from collections.abc import Callable
import logging
import secrets
import time

import anyio
import anyio.abc
import cachetools

from hillthread import errors
from hillthread import settings as settings_lib
from hillthread.coordination import claims as claims_lib
from hillthread.coordination import exchange as exchange_lib
from hillthread.coordination import fleet as fleet_lib
from hillthread.coordination import forwarder as forwarder_lib
from hillthread.coordination import metrics as metrics_lib
from hillthread.coordination import stream_relay
from hillthread.protocol import openai
from hillthread.state import limits
from hillthread.state import objects
from hillthread.state import prompt
from hillthread.state import records
from hillthread.state import routing_table
from hillthread.state import shares
from hillthread.transport import http_server

__all__ = ["Router"]

REPEATABLE_HEADER = "x-hillthread-repeatable"
IDEMPOTENCY_HEADER = "idempotency-key"
_SAFE_METHODS = ("GET", "HEAD", "OPTIONS")
_BUSY_RETRY_S = 1.0
_FIRST_RATIO = 0.25
_RATIO_STEP = 0.05
_MAX_MODELS = 64
_NO_LIMITS = objects.Limits()

_logger = logging.getLogger(__name__)


class Router:
    """Serves callers.

    Attributes:
        table: The configuration in force, or None before the first.
        fleet: What is known of the targets.
        records: The decision records kept.
        inflight: Requests being served.
        draining: Whether the program is stopping.
        finished: Called with each record that is complete.
        demand: Which part of the tenants' limits this router may spend.
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
        self.ratios: cachetools.LRUCache = cachetools.LRUCache(_MAX_MODELS)
        self.inflight = 0
        self.draining = False
        self.ended = anyio.Event()
        self.demand = shares.DemandShares()
        self.finished: Callable[[records.RequestRecord], None] = _keep_nothing

    def adopt(self, table: routing_table.RoutingTable) -> None:
        """Puts a configuration in force."""
        if self.table is not None and table.position < self.table.position:
            return
        self.table = table
        self.fleet.retain(list(table.targets.values()))
        for target in table.targets.values():
            if target.data_centre == self.settings.data_centre:
                self.fleet.track(target)
        for gone in self.usage.keys() - table.tenants.keys():
            if self.usage[gone].running == 0:
                del self.usage[gone]
        self.metrics.position.set(table.position)

    def not_ready_reason(self) -> str:
        """Returns why new requests should go elsewhere, or nothing."""
        if self.draining:
            return "stopping"
        return "" if self.table is not None else "no configuration in force"

    async def wait_idle(self) -> None:
        """Returns when no request is being served."""
        while self.inflight:
            await self.ended.wait()

    async def application(
        self, scope, receive: http_server.Receive, send: http_server.Send
    ) -> None:
        """Serves one connection's request, in the ASGI convention."""
        if scope["type"] == "lifespan":
            await http_server.accept_lifespan(receive, send)
            return
        if scope["type"] != "http":
            return
        record = records.RequestRecord(
            secrets.token_hex(12), time.time(), self.settings.host
        )
        self.inflight += 1
        self.metrics.inflight.set(self.inflight)
        try:
            await self._serve(http_server.Request(scope, receive), send, record)
        finally:
            self.inflight -= 1
            self.metrics.inflight.set(self.inflight)
            self._close_record(record)
            self.ended.set()
            self.ended = anyio.Event()

    async def _serve(
        self,
        request: http_server.Request,
        send: http_server.Send,
        record: records.RequestRecord,
    ) -> None:
        arrived = time.monotonic()
        started: exchange_lib.Exchange | None = None
        try:
            table = self._check_open()
            tenant = self._authenticate(table, request)
            record.tenant = tenant.name
            if request.path == openai.MODELS_PATH and request.method == "GET":
                await self._list_models(table, send)
                record.outcome = "answered"
                return
            body = await self._read_body(request)
            started = self._exchange(
                table, tenant, request, send, body, record, arrived
            )
            await self._serve_within_limits(started)
            record.outcome = _outcome(record)
        except errors.RefusalError as refusal:
            await self._refuse(refusal, record, send, started)
        except Exception:
            _logger.exception("internal error", extra={"code": "internal"})
            await self._refuse(_internal(started), record, send, started)

    def _check_open(self) -> routing_table.RoutingTable:
        if self.table is None:
            raise _busy("not_ready", "No configuration is in force yet.")
        if self.inflight > self.settings.limits.max_concurrency:
            raise _busy("router_busy", "The router serves too many requests.")
        return self.table

    def _authenticate(
        self, table: routing_table.RoutingTable, request: http_server.Request
    ) -> objects.Tenant:
        scheme, _, key = request.headers.get("authorization", "").partition(" ")
        tenant = None
        if scheme.lower() == "bearer":
            tenant = table.tenant_of_key(key.strip())
        if tenant is None:
            raise errors.RefusalError(
                "invalid_key",
                401,
                "The bearer key is missing or unknown.",
                "Send `Authorization: Bearer KEY` with a key of your tenant.",
            )
        return tenant

    async def _read_body(self, request: http_server.Request) -> bytes:
        bounds = self.settings.limits
        with anyio.move_on_after(bounds.read_timeout_s):
            return await request.body(bounds.max_body_bytes)
        raise errors.RefusalError(
            "body_timeout",
            408,
            f"The body took longer than {bounds.read_timeout_s} s.",
            "Send the body without pauses.",
        )

    async def _list_models(
        self, table: routing_table.RoutingTable, send: http_server.Send
    ) -> None:
        data = [
            {"id": name, "object": "model", "owned_by": "hillthread"}
            for name in sorted(table.models)
        ]
        await http_server.send_json(send, 200, {"object": "list", "data": data})

    def _exchange(
        self,
        table: routing_table.RoutingTable,
        tenant: objects.Tenant,
        request: http_server.Request,
        send: http_server.Send,
        body: bytes,
        record: records.RequestRecord,
        arrived: float,
    ) -> exchange_lib.Exchange:
        completion = self._parse(request, body)
        model = completion.model if completion else ""
        resolved = table.resolve(tenant, request.path, model)
        if resolved is None:
            raise errors.RefusalError(
                "no_route",
                404,
                f"No route leads from {request.path} for model {model!r}.",
                "Ask for a model of /v1/models or a path that is routed.",
            )
        levels = self._levels(tenant, completion)
        query = fleet_lib.make_query(
            levels,
            resolved.policy.recompute_weight,
            record.request_id.encode(),
        )
        record.path = request.path
        record.model = model
        record.route = resolved.route.name
        record.policy = resolved.policy.name
        record.position = table.position
        record.prompt_tokens = query.prompt_tokens
        record.level_tokens = tuple(level.tokens for level in levels)
        record.repeatable = _is_repeatable(request, resolved.route, completion)
        self.records.add(record)
        return exchange_lib.Exchange(
            request,
            send,
            body,
            completion,
            tenant,
            resolved,
            query,
            record,
            arrived,
            arrived + resolved.route.timeout_s,
            closing=self.draining,
        )

    def _parse(
        self, request: http_server.Request, body: bytes
    ) -> openai.CompletionRequest | None:
        if request.path not in (openai.CHAT_PATH, openai.COMPLETIONS_PATH):
            return None
        if request.method != "POST":
            raise errors.RefusalError(
                "method_not_allowed",
                405,
                f"{request.method} is not possible on {request.path}.",
                "Use POST.",
            )
        return openai.parse_completion(body, request.path == openai.CHAT_PATH)

    def _levels(
        self,
        tenant: objects.Tenant,
        completion: openai.CompletionRequest | None,
    ) -> tuple[prompt.PrefixLevel, ...]:
        if completion is None:
            return ()
        ratio = self.ratios.get(completion.model, _FIRST_RATIO)
        return prompt.prefix_levels(
            tenant.organisation, completion.model, completion.parts, ratio
        )

    async def _serve_within_limits(
        self, exchange: exchange_lib.Exchange
    ) -> None:
        usage = self._tenant_usage(exchange.tenant)
        wait_s = usage.refusal_wait_s(time.monotonic())
        if wait_s is not None:
            raise errors.RefusalError(
                "tenant_limit",
                429,
                "The tenant's limit is used up.",
                "Wait as long as Retry-After says.",
                retry_after_s=wait_s,
            )
        usage.begin()
        try:
            await self._claim(exchange)
            await self._serve_while_connected(exchange)
        finally:
            usage.end(self._learn_usage(exchange))

    def _tenant_usage(self, tenant: objects.Tenant) -> limits.TenantUsage:
        now = time.monotonic()
        share = 1.0
        if tenant.limits != _NO_LIMITS:
            self.demand.want(tenant.name)
            share = self.demand.share(tenant.name, now)
        usage = self.usage.get(tenant.name)
        if usage is None:
            usage = limits.TenantUsage(tenant.limits, share, now)
            self.usage[tenant.name] = usage
        usage.adopt(tenant.limits, share, now)
        return usage

    async def _claim(self, exchange: exchange_lib.Exchange) -> None:
        key = exchange.request.headers.get(IDEMPOTENCY_HEADER)
        if exchange.record.repeatable or key is None:
            return
        verdict = await self.claims.claim(
            exchange.tenant.name, key, exchange.request_id
        )
        match verdict:
            case claims_lib.ClaimVerdict.TAKEN:
                raise errors.RefusalError(
                    "already_claimed",
                    409,
                    "A request with this idempotency key was taken before.",
                    "Ask what became of that one; it may have run.",
                    errors.RunState.UNKNOWN,
                )
            case claims_lib.ClaimVerdict.UNAVAILABLE:
                raise errors.RefusalError(
                    "claim_unavailable",
                    503,
                    "It cannot be made sure that the request runs only once.",
                    "Send it again later with the same key.",
                    retry_after_s=_BUSY_RETRY_S,
                )

    async def _serve_while_connected(
        self, exchange: exchange_lib.Exchange
    ) -> None:
        refusal: errors.RefusalError | None = None
        async with anyio.create_task_group() as group:

            async def watch() -> None:
                await exchange.request.wait_disconnect()
                group.cancel_scope.cancel()

            group.start_soon(watch)
            try:
                await self.forwarder.serve(exchange)
            except errors.RefusalError as error:
                refusal = error
            group.cancel_scope.cancel()
        if refusal is not None:
            raise refusal

    def _learn_usage(self, exchange: exchange_lib.Exchange) -> float:
        """Returns tokens used, and learns how long tokens are."""
        attempts = exchange.record.attempts
        completion = exchange.completion
        if not attempts or completion is None:
            return 0.0
        last = attempts[-1]
        if not last.prompt_tokens:
            return float(exchange.record.prompt_tokens)
        characters = sum(len(part) for part in completion.parts)
        measured = last.prompt_tokens / max(1, characters)
        ratio = self.ratios.get(completion.model, _FIRST_RATIO)
        ratio += _RATIO_STEP * (measured - ratio)
        self.ratios[completion.model] = ratio
        return float(last.prompt_tokens + last.completion_tokens)

    async def _refuse(
        self,
        refusal: errors.RefusalError,
        record: records.RequestRecord,
        send: http_server.Send,
        exchange: exchange_lib.Exchange | None,
    ) -> None:
        record.code = refusal.code
        record.run = refusal.run
        if exchange is not None and exchange.started:
            record.outcome = "broken"
            await stream_relay.send_broken(exchange, refusal)
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
        if record.outcome == "answered" and record.attempts:
            record.run = errors.RunState.RAN
        self.metrics.requests.labels(record.outcome, record.code).inc()
        if record.route:
            self.finished(record)


def _keep_nothing(record: records.RequestRecord) -> None:
    """Stands for nobody who keeps records beyond the host."""
    del record


def _outcome(record: records.RequestRecord) -> str:
    whole = records.AttemptState.ANSWERED
    if any(attempt.state is whole for attempt in record.attempts):
        return "answered"
    return "left"


def _is_repeatable(
    request: http_server.Request,
    route: objects.Route,
    completion: openai.CompletionRequest | None,
) -> bool:
    """Returns whether a request may run more than once.

    Calls of plain services may not, but for the safe methods, unless their
    route says so; completions may, unless route or header say otherwise.
    """
    marked = request.headers.get(REPEATABLE_HEADER, "").lower()
    if marked == "false":
        return False
    if completion is None and request.method in _SAFE_METHODS:
        return True
    if route.repeatable is None:
        return completion is not None
    return route.repeatable


def _internal(
    exchange: exchange_lib.Exchange | None,
) -> errors.RefusalError:
    run = exchange.run_state() if exchange else errors.RunState.NOT_RUN
    return errors.RefusalError(
        "internal_error",
        500,
        "The router failed; its log has the cause.",
        "Report it with the request id.",
        run,
    )


def _busy(code: str, message: str) -> errors.RefusalError:
    return errors.RefusalError(
        code,
        503,
        message,
        "Try again after the time in Retry-After.",
        retry_after_s=_BUSY_RETRY_S,
    )
