"""A proxy that injects faults between a client and one upstream server.

The proxy parses requests and answers with h11, so that a fault can be injected
before the request, after the request or within the answer.
"""

from __future__ import annotations

from collections.abc import AsyncIterator
import socket
import struct
from typing import Any
from typing import NamedTuple

import anyio
import anyio.abc
import h11
import msgspec

from hillthread import settings as settings_lib
from hillthread.transport import http_server

__all__ = ["FAULTS", "Fault", "FaultProxy", "ProxySettings"]

FAULTS = (
    "reset_on_accept",
    "drop_request",
    "reset_after_request",
    "lose_answer",
    "blackhole",
    "delay",
    "status_500",
    "status_503",
    "empty_200",
    "truncate_reset",
    "truncate_clean",
    "no_terminal",
    "duplicate_events",
    "drop_event",
    "crossed_answer",
    "crossed_body",
    "stall",
    "slow",
)

_READ_BYTES = 65_536
_PAUSE_S = 0.02
_RESET_LINGER = struct.pack("ii", 1, 0)


class ProxySettings(settings_lib.SettingsStruct, frozen=True, kw_only=True):
    """Settings of the fault proxy.

    Attributes:
        listen: Address of the control page.
        traffic_listen: Address that clients connect to.
        upstream: Address that requests are forwarded to.
    """

    listen: settings_lib.Address = "127.0.0.1:0"
    traffic_listen: settings_lib.Address = "127.0.0.1:0"
    upstream: settings_lib.Address


class Fault(msgspec.Struct, kw_only=True):
    """A planned fault.

    Attributes:
        fault: One of `FAULTS`.
        times: Number of requests that it affects; -1 for all.
        method: Method of affected requests; empty for all.
        after: Number of events of the answer before the fault.
        seconds: Length of a delay.
        skip: Number of matching requests forwarded before the first fault.
    """

    fault: str
    times: int = 1
    method: str = "POST"
    after: int = 3
    seconds: float = 0.5
    skip: int = 0


class _RecordedAnswer(NamedTuple):
    """A complete answer of the upstream server."""

    head: h11.Response
    body: list[bytes]


class _ResetError(Exception):
    """Raised to reset the connection of the client."""


class FaultProxy:
    """Forwards requests and injects the planned faults.

    Attributes:
        plan: Planned faults.
        injected: Number of injected faults by name.
        last_answer: The last forwarded answer, for crossed answers.
        address: `IP:port` that clients connect to.
    """

    def __init__(self, settings: ProxySettings):
        self.settings = settings
        self.plan: list[Fault] = []
        self.injected: dict[str, int] = {}
        self.server = http_server.Server(settings.listen, self.handle)
        self.last_answer: _RecordedAnswer | None = None
        self.clients: set[anyio.abc.SocketStream] = set()
        self.listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self.listener.bind(settings_lib.split_address(settings.traffic_listen))
        ip, port = self.listener.getsockname()
        self.address = f"{ip}:{port}"

    async def run(self, stop: anyio.Event) -> None:
        """Serves until `stop`."""
        self.listener.listen(256)
        self.listener.setblocking(False)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._accept, tasks)
            await self.server.serve(stop)
            tasks.cancel_scope.cancel()

    async def handle(
        self, request: http_server.Request, send: http_server.Send
    ) -> None:
        """Replaces the plan on POST and reports the injected faults."""
        if request.method == "POST":
            body = await request.body(_READ_BYTES)
            self.plan = msgspec.json.decode(body, type=list[Fault])
            if any(each.fault == "reset_on_accept" for each in self.plan):
                await self._close_clients()
        await http_server.send_json(
            send, 200, {"traffic": self.address, "injected": self.injected}
        )

    async def _accept(self, tasks: anyio.abc.TaskGroup) -> None:
        listener = await anyio.abc.SocketListener.from_socket(self.listener)
        await listener.serve(self._handle_connection, tasks)

    async def _close_clients(self) -> None:
        """Closes kept-alive connections so that the next request reconnects."""
        for client in list(self.clients):
            await anyio.aclose_forcefully(client)

    async def _handle_connection(self, client: anyio.abc.SocketStream) -> None:
        self.clients.add(client)
        try:
            await self._serve_client(client)
        finally:
            self.clients.discard(client)

    async def _serve_client(self, client: anyio.abc.SocketStream) -> None:
        if self._next_fault("", "reset_on_accept"):
            await _reset(client)
            return
        server_side = h11.Connection(h11.SERVER)
        try:
            while await self._exchange(client, server_side):
                server_side.start_next_cycle()
            await client.aclose()
        except _ResetError:
            await _reset(client)
        except (anyio.BrokenResourceError, anyio.ClosedResourceError, OSError):
            await anyio.aclose_forcefully(client)
        except h11.ProtocolError:
            await anyio.aclose_forcefully(client)

    async def _exchange(
        self, client: anyio.abc.SocketStream, client_side: h11.Connection
    ) -> bool:
        """Forwards a request; returns whether another may follow."""
        request, body = await _read_message(client, client_side)
        if not isinstance(request, h11.Request):
            return False
        fault = self._next_fault(request.method.decode(), None)
        if fault is not None:
            await self._inject_before_request(client, client_side, fault)
            if client_side.our_state is h11.DONE:
                return client_side.their_state is h11.DONE
        try:
            await self._forward(client, client_side, request, body, fault)
        except (anyio.EndOfStream, h11.RemoteProtocolError) as error:
            raise _ResetError from error
        return (
            client_side.our_state is h11.DONE
            and client_side.their_state is h11.DONE
        )

    def _next_fault(self, method: str, name: str | None) -> Fault | None:
        """Returns and counts the next planned fault for a request."""
        for fault in self.plan:
            at_accept = fault.fault == "reset_on_accept"
            if fault.times == 0 or at_accept != (name is not None):
                continue
            if name is None and fault.method not in ("", method):
                continue
            if fault.skip > 0:
                fault.skip -= 1
                return None
            fault.times -= 1
            count = self.injected.get(fault.fault, 0)
            self.injected[fault.fault] = count + 1
            return fault
        return None

    async def _inject_before_request(
        self,
        client: anyio.abc.SocketStream,
        client_side: h11.Connection,
        fault: Fault,
    ) -> None:
        match fault.fault:
            case "drop_request":
                raise _ResetError
            case "blackhole":
                await _wait_closed(client)
                raise _ResetError
            case "delay":
                await anyio.sleep(fault.seconds)
            case "status_500" | "status_503":
                status = int(fault.fault[-3:])
                await _send(client, client_side, _empty_response(status))
                await _send(client, client_side, h11.EndOfMessage())

    async def _forward(
        self,
        client: anyio.abc.SocketStream,
        client_side: h11.Connection,
        request: h11.Request,
        body: bytes,
        fault: Fault | None,
    ) -> None:
        ip, port = settings_lib.split_address(self.settings.upstream)
        async with await anyio.connect_tcp(ip, port) as upstream:
            upstream_side = h11.Connection(h11.CLIENT)
            await _send(upstream, upstream_side, request)
            if body:
                await _send(upstream, upstream_side, h11.Data(body))
            await _send(upstream, upstream_side, h11.EndOfMessage())
            if fault is not None and fault.fault == "reset_after_request":
                await anyio.sleep(_PAUSE_S)
                raise _ResetError
            await self._relay(
                client, client_side, upstream, upstream_side, fault
            )

    async def _relay(
        self,
        client: anyio.abc.SocketStream,
        client_side: h11.Connection,
        upstream: anyio.abc.SocketStream,
        upstream_side: h11.Connection,
        fault: Fault | None,
    ) -> None:
        head = await _next_event(upstream, upstream_side)
        assert isinstance(head, h11.Response)
        name = fault.fault if fault else ""
        other = self.last_answer
        if name == "crossed_answer" and other is not None:
            await self._send_recorded(
                client, client_side, other.head, other.body
            )
            return
        if name == "crossed_body" and other is not None:
            await self._send_recorded(client, client_side, head, other.body)
            return
        if name == "empty_200":
            await _send(client, client_side, _empty_response(200, head))
            await _send(client, client_side, h11.EndOfMessage())
            return
        if name != "lose_answer":
            await _send(client, client_side, head)
        received: list[bytes] = []
        async for event in _read_events(upstream, upstream_side):
            await self._relay_event(
                client, client_side, event, len(received), fault
            )
            received.append(event)
            if (
                name == "truncate_clean"
                and len(received) >= (fault or _NO_FAULT).after
            ):
                break
        if name == "lose_answer":
            raise _ResetError
        self.last_answer = _RecordedAnswer(head, received)
        await _send(client, client_side, h11.EndOfMessage())

    async def _send_recorded(
        self,
        client: anyio.abc.SocketStream,
        client_side: h11.Connection,
        head: h11.Response,
        body: list[bytes],
    ) -> None:
        await _send(client, client_side, head)
        for each in body:
            await _send(client, client_side, h11.Data(each))
        await _send(client, client_side, h11.EndOfMessage())

    async def _relay_event(
        self,
        client: anyio.abc.SocketStream,
        client_side: h11.Connection,
        event: bytes,
        number: int,
        fault: Fault | None,
    ) -> None:
        fault = fault or _NO_FAULT
        reached = number >= fault.after
        match fault.fault:
            case "lose_answer":
                return
            case "truncate_reset" if reached:
                raise _ResetError
            case "stall" if reached:
                await _wait_closed(client)
                raise _ResetError
            case "no_terminal" if b"[DONE]" in event:
                return
            case "drop_event" if number == fault.after:
                return
            case "duplicate_events":
                await _send(client, client_side, h11.Data(event))
            case "slow":
                await anyio.sleep(_PAUSE_S)
        await _send(client, client_side, h11.Data(event))


_NO_FAULT = Fault(fault="")


def _empty_response(
    status: int, like: h11.Response | None = None
) -> h11.Response:
    """Returns the response head of an answer without a body."""
    headers = [(b"content-length", b"0")]
    if like is not None:
        headers += [
            (name, value)
            for name, value in like.headers
            if name not in (b"content-length", b"transfer-encoding")
        ]
    return h11.Response(status_code=status, headers=headers)


async def _send(
    stream: anyio.abc.SocketStream, connection: h11.Connection, event: Any
) -> None:
    data = connection.send(event)
    if data:
        await stream.send(data)


async def _next_event(
    stream: anyio.abc.SocketStream, connection: h11.Connection
) -> Any:
    while True:
        event = connection.next_event()
        if event is not h11.NEED_DATA:
            return event
        try:
            connection.receive_data(await stream.receive(_READ_BYTES))
        except anyio.EndOfStream:
            connection.receive_data(b"")


async def _read_message(
    stream: anyio.abc.SocketStream, connection: h11.Connection
) -> tuple[Any, bytes]:
    """Returns the head and body of a request, or None after the last."""
    head = await _next_event(stream, connection)
    if not isinstance(head, h11.Request):
        return None, b""
    body = b""
    while True:
        event = await _next_event(stream, connection)
        if not isinstance(event, h11.Data):
            return head, body
        body += event.data


async def _read_events(
    stream: anyio.abc.SocketStream, connection: h11.Connection
) -> AsyncIterator[bytes]:
    """Yields the server-sent events of a body, and any remaining bytes."""
    rest = b""
    while True:
        event = await _next_event(stream, connection)
        if not isinstance(event, h11.Data):
            break
        *whole, rest = (rest + bytes(event.data)).split(b"\n\n")
        for each in whole:
            yield each + b"\n\n"
    if rest:
        yield rest
    if not isinstance(event, h11.EndOfMessage):
        raise anyio.EndOfStream


async def _wait_closed(stream: anyio.abc.SocketStream) -> None:
    """Waits until the other side closes the connection or sends data."""
    try:
        await stream.receive(1)
    except (anyio.EndOfStream, anyio.BrokenResourceError):
        return


async def _reset(stream: anyio.abc.SocketStream) -> None:
    """Closes a connection with a reset."""
    raw = stream.extra(anyio.abc.SocketAttribute.raw_socket)
    raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_LINGER)
    await anyio.aclose_forcefully(stream)
