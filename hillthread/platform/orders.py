"""Sends orders to engines and reads their reports."""

from __future__ import annotations

import enum
from typing import NamedTuple

import anyio
import msgspec

from hillthread.platform import attempts
from hillthread.platform import call_ids
from hillthread.platform import names
from hillthread.platform import targets
from hillthread.state.config import objects
from hillthread.transport import connection_pool
from hillthread.transport import http1_client

__all__ = [
    "OrderAnswer",
    "ProbeResult",
    "WeightsOrder",
    "probe_answer",
    "read_report",
    "send_order",
]

_REPORT_TIMEOUT_S = 0.8
# Engines that work send a report within milliseconds.
_PROBE_TIMEOUT_S = 0.3
# Engines answer orders within a few ms or not at all; their report then shows
# whether they accepted the order.
_ORDER_TIMEOUT_S = 0.5
# A report is a few hundred bytes.
_MAX_ANSWER_BYTES = 16_384


class OrderAnswer(enum.StrEnum):
    """The outcome of an order."""

    ACCEPTED = "taken"
    ALREADY_HOLDS = "already_holds"
    CONFLICT = "conflict"
    FENCED = "fenced"
    REFUSED = "refused"
    OTHER_INCARNATION = "other_incarnation"
    UNSENT = "unsent"
    UNKNOWN = "unknown"


class WeightsOrder(NamedTuple):
    """An order to an engine to load weights.

    Attributes:
        model: The model whose weights to load.
        version: The version to load.
        strategy: How the engine treats running requests.
        holder: The holder of the lease on orders.
        fencing: The lease's fencing number.
        orders_taken: Number of orders that the engine must have accepted so
            far; another count means that an earlier order arrived after all.
    """

    model: str
    version: int
    strategy: str
    holder: str
    fencing: int
    orders_taken: int


class ProbeResult(enum.Enum):
    """How an engine responds to a probe.

    Attributes:
        ANSWERED: It sent the head of an answer.
        CLOSED: Its connection opened and was closed without one.
        SILENT: Its connection opened, and nothing came.
        UNREACHED: No connection could be opened.
    """

    ANSWERED = enum.auto()
    CLOSED = enum.auto()
    SILENT = enum.auto()
    UNREACHED = enum.auto()


class _Order(msgspec.Struct, rename="camel"):
    op: str
    model: str
    version: int
    strategy: str
    holder: str
    fence: int
    expected_revision: int


_ANSWERS_BY_STATUS = {
    200: OrderAnswer.ALREADY_HOLDS,
    202: OrderAnswer.ACCEPTED,
    409: OrderAnswer.CONFLICT,
    412: OrderAnswer.FENCED,
    421: OrderAnswer.OTHER_INCARNATION,
}


async def send_order(
    pool: connection_pool.ConnectionPool,
    target: objects.Target,
    order: WeightsOrder,
) -> OrderAnswer:
    """Sends an order and returns its outcome."""
    body = msgspec.json.encode(
        _Order(
            "version",
            order.model,
            order.version,
            order.strategy,
            order.holder,
            order.fencing,
            order.orders_taken,
        )
    )
    request = _make_request(target, b"POST", b"/api/order", body)
    try:
        answer = await _call(pool, target, request, _ORDER_TIMEOUT_S)
    except http1_client.CallError as error:
        return OrderAnswer.UNKNOWN if error.sent else OrderAnswer.UNSENT
    return _ANSWERS_BY_STATUS.get(answer.head.status, OrderAnswer.REFUSED)


async def read_report(
    pool: connection_pool.ConnectionPool, target: objects.Target
) -> targets.EngineReport | None:
    """Returns an engine's report; None if it does not answer.

    Raises:
        ConfigurationError: The report is unreadable.
    """
    request = _make_request(target, b"GET", b"/api/report")
    try:
        answer = await _call(pool, target, request, _REPORT_TIMEOUT_S)
    except http1_client.CallError:
        return None
    if answer.head.status != 200:
        return None
    report = targets.decode_report(answer.body)
    return report._replace(is_leaving=attempts.is_leaving(answer.head))


async def probe_answer(
    pool: connection_pool.ConnectionPool, target: objects.Target
) -> ProbeResult:
    """Returns whether an engine answers over a new connection.

    A report takes none of its slots.
    """
    request = _make_request(target, b"GET", b"/api/report")
    try:
        connection = await pool.open(target.address, "answer probe")
    except http1_client.CallError:
        return ProbeResult.UNREACHED
    try:
        with anyio.move_on_after(_PROBE_TIMEOUT_S):
            await connection.send_request(request)
            await connection.read_head()
            return ProbeResult.ANSWERED
        return ProbeResult.SILENT
    except http1_client.CallError:
        return ProbeResult.CLOSED
    finally:
        connection.must_close = True
        with anyio.CancelScope(shield=True):
            await pool.release(connection)


async def _call(
    pool: connection_pool.ConnectionPool,
    target: objects.Target,
    request: http1_client.ClientRequest,
    timeout_s: float,
) -> http1_client.WholeAnswer:
    return await connection_pool.call(
        pool,
        target.address,
        request,
        timeout_s,
        _MAX_ANSWER_BYTES,
        is_alone=True,
    )


def _make_request(
    target: objects.Target, method: bytes, path: bytes, body: bytes = b""
) -> http1_client.ClientRequest:
    """Returns a request that only this incarnation of a target accepts."""
    call_id = call_ids.make_call_id(is_always_repeated=False)
    headers = [
        (b"host", target.address.encode()),
        (names.EXPECT_INCARNATION, target.name.encode()),
        (call_id.header, call_id.value),
    ]
    if body:
        headers.append((b"content-type", b"application/json"))
    return http1_client.ClientRequest(method, path, headers, body, call_id)
