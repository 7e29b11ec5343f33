"""Serves callers over HTTP/1.1 with the outcome of every write known.

One task reads each connection and serves its requests. When the caller leaves,
the handler is cancelled.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import logging
import socket
from typing import NamedTuple

import anyio
import anyio.abc
import anyio.lowlevel
import h11

from hillthread.state.config import caller_bounds
from hillthread.transport import byte_stream
from hillthread.transport import http1

__all__ = ["BrokenAnswerError", "CallerAnswer", "CallerRequest", "Server"]

_BACKLOG = 1024
# A connection that has rested too long is closed after this time more: what has
# just come in is still served.
_LAST_CHANCE_S = 0.05
# After an error in accepting, until the connection dropped for it is closed.
_ACCEPT_PAUSE_S = 0.1
# Between two lines on such errors.
_ACCEPT_TELL_S = 1.0
# The loop has read what has reached this host by the second turn.
_LOOP_TURNS = 2
_CLOSE = (b"connection", b"close")

_logger = logging.getLogger(__name__)


class CallerRequest(NamedTuple):
    """A whole request of a caller.

    Attributes:
        method: In capitals.
        target: Path and query as sent.
        headers: In order, names in lower case.
        body: Its whole body.
        arrived: Seconds on the steady clock, when its head was read.
    """

    method: bytes
    target: bytes
    headers: http1.Headers
    body: bytes
    arrived: float

    def get(self, name: bytes) -> bytes:
        """Returns the first value of a header, or nothing."""
        for each, value in self.headers:
            if each == name:
                return value
        return b""

    @property
    def path(self) -> str:
        """The path without its query."""
        return self.target.partition(b"?")[0].decode("latin-1")


class BrokenAnswerError(Exception):
    """An answer that has begun cannot be completed."""


class _BadRequestError(Exception):
    """A request that cannot be read.

    Attributes:
        status: Of the answer.
    """

    def __init__(self, status: int, reason: str):
        super().__init__(reason)
        self.status = status


class CallerAnswer:
    """Where the answer to one request goes.

    Attributes:
        started: Whether its head was sent.
        status: Of the answer; 0 before its head was sent.
        ended: Whether it was sent whole.
        is_closing: Returns whether the server's connections close after
            their answers.
        closes: Whether this connection does.
    """

    def __init__(
        self, connection: http1.Http1Connection, is_closing: Callable[[], bool]
    ):
        self.connection = connection
        self.is_closing = is_closing
        self.started = False
        self.status = 0
        self.ended = False
        self.closes_connection = False

    async def begin(
        self, status: int, headers: http1.Headers, data: bytes = b""
    ) -> None:
        """Sends the head, and the first part of the body with it."""
        extra = [_CLOSE] if self.closes_connection or self.is_closing() else []
        events: list[h11.Event] = [
            h11.Response(status_code=status, headers=[*headers, *extra])
        ]
        if data:
            events.append(h11.Data(data=data))
        self.started = True
        self.status = status
        await self.connection.send(events)

    async def send(self, data: bytes) -> None:
        """Sends a part of the body."""
        await self.connection.send([h11.Data(data=data)])

    async def end(self) -> None:
        """Ends the body; the answer is then complete."""
        await self.connection.send([h11.EndOfMessage()])
        self.ended = True

    async def send_whole(
        self, status: int, headers: http1.Headers, body: bytes
    ) -> None:
        """Sends a whole answer with one write."""
        extra = [_CLOSE] if self.closes_connection or self.is_closing() else []
        framed = [*headers, (b"content-length", b"%d" % len(body)), *extra]
        events: list[h11.Event] = [
            h11.Response(status_code=status, headers=framed)
        ]
        if body:
            events.append(h11.Data(data=body))
        events.append(h11.EndOfMessage())
        self.started = True
        self.status = status
        await self.connection.send(events)
        self.ended = True


Handler = Callable[[CallerRequest, CallerAnswer], Awaitable[None]]


class _CallerConnection:
    """One connection of a caller.

    Attributes:
        server: The server that accepted it.
        bounds: On the request being read.
        http: The connection.
        requests: Requests read so far.
        unfinished: Whether a request has begun to come in that is not yet
            answered.
        serving: Whether a request is being served.
        idle_since: Seconds, since when it waits for a request, or None.
        idle_scope: Ends that wait, or None.
        unwanted: It is closed as soon as it waits for a request.
    """

    def __init__(self, stream: byte_stream.ByteStream, server: Server):
        self.server = server
        self.bounds = server.bounds()
        self.http = http1.Http1Connection(
            stream, h11.SERVER, self.bounds.max_head_bytes
        )
        self.requests = 0
        self.unfinished = False
        self.serving = False
        self.idle_since: float | None = None
        self.idle_scope: anyio.CancelScope | None = None
        self.unwanted = False

    async def run(self) -> None:
        """Serves requests until the connection ends."""
        try:
            while await self._serve_next():
                pass
        except http1.ConnectionLostError:
            pass
        except _BadRequestError as error:
            await self._refuse(error)
        finally:
            with anyio.CancelScope(shield=True):
                await self.http.close()

    async def _serve_next(self) -> bool:
        """Serves one request; returns whether another may follow."""
        try:
            return await self._read_and_serve()
        finally:
            self.unfinished = False

    async def _read_and_serve(self) -> bool:
        request = await self._read_request()
        if request is None:
            return False
        self.requests += 1
        if await self._has_left():
            self.server.on_caller_left(request)
            return False
        answer = CallerAnswer(self.http, self.server.is_stopping)
        self.serving = True
        try:
            await self._handle(request, answer)
        except BrokenAnswerError:
            await self.http.reset()
            return False
        finally:
            self.serving = False
            self.unfinished = False
        if not answer.ended:
            return False
        if self.http.state_machine.our_state is not h11.DONE:
            await self.http.close_gracefully()
            return False
        self.http.state_machine.start_next_cycle()
        return True

    async def _handle(
        self, request: CallerRequest, answer: CallerAnswer
    ) -> None:
        """Calls the handler, and cancels it when the caller leaves."""
        stream = self.http.stream
        with anyio.CancelScope() as scope:
            stream.on_peer_closed = scope.cancel
            try:
                if not stream.is_peer_closed:
                    await self.server.handler(request, answer)
            except http1.ConnectionLostError:
                pass  # the caller left while an answer was being sent
            finally:
                stream.on_peer_closed = None

    async def _has_left(self) -> bool:
        """Returns whether the caller closed before its request is served.

        Callers give up requests that are not read for long; no target should
        run those.
        """
        if self.http.is_readable():
            for _ in range(_LOOP_TURNS):
                await anyio.lowlevel.checkpoint()
        return self.http.stream.is_peer_closed

    async def _read_request(self) -> CallerRequest | None:
        """Returns the next request, or None when there is none."""
        self.bounds = self.server.bounds()
        try:
            head = await self._read_head()
            if head is None:
                return None
            arrived = anyio.current_time()
            if self.http.state_machine.they_are_waiting_for_100_continue:
                await self.http.send(
                    [h11.InformationalResponse(status_code=100, headers=[])]
                )
            body = await self._read_body(head)
        except h11.RemoteProtocolError as error:
            raise _BadRequestError(
                error.error_status_hint, str(error)
            ) from error
        return CallerRequest(
            bytes(head.method),
            bytes(head.target),
            [(bytes(name), bytes(value)) for name, value in head.headers],
            body,
            arrived,
        )

    async def _read_head(self) -> h11.Request | None:
        """Returns the next head, or None when the connection ends instead."""
        state_machine = self.http.state_machine
        if not state_machine.trailing_data[0]:
            data = await self._receive_first()
            if not data:
                return None
            state_machine.receive_data(data)
        self.unfinished = True
        with anyio.move_on_after(self.bounds.head_timeout_s):
            event = await self.http.next_event()
            if isinstance(event, h11.Request):
                _check_framing(event)
                return event
            return None
        raise _BadRequestError(408, "the head took too long")

    async def _receive_first(self) -> bytes:
        """Returns the first bytes of a request; none when there are none."""
        self.idle_since = anyio.current_time()
        try:
            while (left_s := self._idle_left_s(self.idle_since)) > 0.0:
                with anyio.move_on_after(left_s) as self.idle_scope:
                    return await self.http.receive()
            with anyio.move_on_after(_LAST_CHANCE_S):
                return await self.http.receive()
            return b""
        finally:
            self.idle_since = None
            self.idle_scope = None

    def _idle_left_s(self, idle_since: float) -> float:
        """Returns how long it may still wait for a request.

        A connection that has not carried any is about to: a server that stops
        leaves it open, so that its caller is answered.
        """
        if self.unwanted or (self.server.closes_idle and self.requests):
            return 0.0
        idle_s = anyio.current_time() - idle_since
        return self.server.bounds().idle_timeout_s - idle_s

    def stop_waiting(self) -> None:
        """Looks again whether it may wait for a request any longer."""
        if self.idle_scope is not None:
            self.idle_scope.cancel()

    async def _read_body(self, head: h11.Request) -> bytes:
        parts = []
        size = 0
        while True:
            event = None
            with anyio.move_on_after(self.bounds.idle_timeout_s):
                event = await self.http.next_event()
            match event:
                case h11.Data():
                    parts.append(bytes(event.data))
                    size += len(event.data)
                case h11.EndOfMessage():
                    return b"".join(parts)
                case None:
                    raise _BadRequestError(408, "the body took too long")
                case _:
                    raise http1.ConnectionLostError("caller left")
            if size > self.bounds.max_body_bytes:
                raise _BadRequestError(413, "the body is too large")

    async def _refuse(self, error: _BadRequestError) -> None:
        """Answers a request that could not be read, then closes."""
        self.server.on_bad_request(error.status, str(error))
        answer = CallerAnswer(self.http, _always)
        body = b'{"error":{"code":"bad_request"}}'
        headers = [(b"content-type", b"application/json")]
        try:
            await answer.send_whole(error.status, headers, body)
            await self.http.close_gracefully()
        except (h11.LocalProtocolError, http1.ConnectionLostError):
            return  # nobody is there to be told


class Server:
    """A listening socket and the connections accepted on it.

    Attributes:
        handler: Serves one request.
        bounds: Returns the bounds on callers in force.
        refused: Told of each request that could not be read.
        departed: Told of each request whose caller left before it was served.
        stopping: Whether connections close after their current answer.
        closes_idle: Whether kept connections without a request are closed.
        connections: All that are open.
        accept_failures: Connections that could not be accepted.
        address: `IP:port` it listens on.
    """

    def __init__(
        self,
        listen: tuple[str, int],
        handler: Handler,
        bounds: Callable[[], caller_bounds.CallerBounds],
        on_bad_request: Callable[[int, str], None],
        on_caller_left: Callable[[CallerRequest], None] | None = None,
    ):
        self.handler = handler
        self.bounds = bounds
        self.on_bad_request = on_bad_request
        self.on_caller_left = on_caller_left or _ignore
        self.stopping = False
        self.closes_idle = False
        self.connections: set[_CallerConnection] = set()
        self.accept_failures = 0
        self._told_accept_at = float("-inf")
        # With the protocol named, asyncio has small writes sent at once on
        # what is accepted here.
        self.socket = socket.socket(
            socket.AF_INET, socket.SOCK_STREAM, socket.IPPROTO_TCP
        )
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.socket.bind(listen)
        # Callers wait in the backlog while the process starts.
        self.socket.listen(_BACKLOG)
        ip, port = self.socket.getsockname()
        self.address = f"{ip}:{port}"

    @property
    def serving(self) -> int:
        """Requests being served."""
        return sum(each.serving for each in self.connections)

    @property
    def unfinished(self) -> int:
        """Requests that have begun to come in and are not yet answered."""
        return sum(each.unfinished for each in self.connections)

    def is_stopping(self) -> bool:
        """Returns whether connections close after their current answer."""
        return self.stopping

    def close_idle(self) -> None:
        """Closes kept connections without a request, now and from now on."""
        self.closes_idle = True
        for connection in self.connections:
            connection.stop_waiting()

    async def serve(self, tasks: anyio.abc.TaskGroup | None = None) -> None:
        """Accepts connections until cancelled.

        Args:
            tasks: Where connections are served, so that they outlive the
                listening socket; None ends them with it.
        """
        self.socket.setblocking(False)
        with self.socket:
            async with anyio.create_task_group() as own_tasks:
                await self._accept_all(tasks or own_tasks)

    async def _accept_all(self, tasks: anyio.abc.TaskGroup) -> None:
        """Accepts connections; an error never ends the server."""
        loop = asyncio.get_running_loop()
        while True:
            failed: asyncio.Future[OSError] = loop.create_future()
            loop.add_reader(self.socket, self._accept, tasks, failed)
            try:
                error = await failed
            finally:
                loop.remove_reader(self.socket)
            self._tell_accept_failed(error)
            self._drop_longest_idle()
            await anyio.sleep(_ACCEPT_PAUSE_S)

    def _accept(
        self, tasks: anyio.abc.TaskGroup, failed: asyncio.Future[OSError]
    ) -> None:
        """Accepts one connection; the loop calls again while there are more."""
        try:
            raw, _ = self.socket.accept()
        except (BlockingIOError, ConnectionAbortedError):
            return  # its caller has left
        except OSError as error:
            if not failed.done():
                failed.set_result(error)
            return
        tasks.start_soon(self._serve_connection, raw)

    def _tell_accept_failed(self, error: OSError) -> None:
        now = anyio.current_time()
        self.accept_failures += 1
        if now - self._told_accept_at < _ACCEPT_TELL_S:
            return
        self._told_accept_at = now
        _logger.warning(
            "cannot accept connections",
            extra={
                "event": "accept_failed",
                "reason": str(error),
                "failures": self.accept_failures,
                "connections": len(self.connections),
            },
        )

    def _drop_longest_idle(self) -> None:
        """Closes the connection that rests longest: its place is needed."""
        idle = {
            each: each.idle_since
            for each in self.connections
            if each.idle_since is not None and not each.unwanted
        }
        if idle:
            longest = min(idle, key=idle.__getitem__)
            longest.unwanted = True
            longest.stop_waiting()

    async def _serve_connection(self, raw: socket.socket) -> None:
        raw.setblocking(False)
        try:
            stream = await byte_stream.wrap_accepted(raw)
        except OSError:
            raw.close()  # its caller has left
            return
        connection = _CallerConnection(stream, self)
        self.connections.add(connection)
        try:
            http1.enable_dead_peer_detection(
                stream, http1.CALLER_USER_TIMEOUT_MS
            )
            await connection.run()
        except Exception:
            _logger.exception("connection failed", extra={"code": "internal"})
            await connection.http.close()
        finally:
            self.connections.discard(connection)


def _always() -> bool:
    """Stands for a connection that closes after its answer."""
    return True


def _ignore(request: CallerRequest) -> None:
    """Stands for nobody who wants to know of callers that left."""
    del request


def _check_framing(head: h11.Request) -> None:
    """Refuses a body with two lengths: targets may read it another way."""
    names = [bytes(name) for name, _ in head.headers]
    if b"content-length" in names and b"transfer-encoding" in names:
        raise _BadRequestError(400, "both a length and chunks")
