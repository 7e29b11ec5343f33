"""HTTP/1.1 server for callers that reports the outcome of every write.

One task per connection reads and serves its requests. When the caller closes
the connection, the handler of the current request is cancelled.
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
from hillthread.transport import send_buffer

__all__ = ["BrokenAnswerError", "CallerAnswer", "CallerRequest", "Server"]

_BACKLOG = 1024
# Additional time before a connection that was idle for too long is closed, so
# that a request that has just arrived is still served.
_CLOSE_GRACE_S = 0.05
# Pause after an error in accepting. An idle connection that is closed to free
# its descriptor needs this time to end.
_ACCEPT_RETRY_S = 0.1
# Least time between two log lines about such errors.
_ACCEPT_LOG_INTERVAL_S = 1.0
# By the second cycle, the event loop has read all data that reached this host.
_LOOP_CYCLES = 2
_CLOSE_HEADER = (b"connection", b"close")
# Bodies of other requests are sent on within about this time.
_NO_MEMORY_RETRY_S = 0.5

_logger = logging.getLogger(__name__)


class CallerRequest(NamedTuple):
    """A caller's request with its complete body.

    Attributes:
        method: Upper-case method name.
        target: Path and query as sent.
        headers: Names and values in order, names in lower case.
        body: The complete body.
        arrived: Time of the loop, in seconds, when the head was read.
    """

    method: bytes
    target: bytes
    headers: http1.Headers
    body: bytes
    arrived: float

    def get(self, name: bytes) -> bytes:
        """Returns the first value of a header, or an empty value."""
        for each, value in self.headers:
            if each == name:
                return value
        return b""

    @property
    def path(self) -> str:
        """The path without its query."""
        return self.target.partition(b"?")[0].decode("latin-1")


class BrokenAnswerError(Exception):
    """An answer that was started cannot be completed."""


class _BadRequestError(Exception):
    """A request is malformed, too large or too slow.

    Attributes:
        status: HTTP status code of the answer.
        retry_after_s: Seconds after which the caller may try again; None to
            name no time.
    """

    def __init__(
        self, status: int, reason: str, retry_after_s: float | None = None
    ):
        super().__init__(reason)
        self.status = status
        self.retry_after_s = retry_after_s


class CallerAnswer:
    """Sends the answer to one request.

    Attributes:
        started: Whether sending of the head has begun.
        status: HTTP status code; 0 before the head is sent.
        ended: Whether the whole answer was sent.
        is_closing: Returns whether the server closes connections after their
            current answer.
        closes_connection: Whether this connection closes after the answer.
        budget: Limits what is buffered for callers; None if every part waits
            until the kernel has accepted it.
        added_headers: Headers that are added to the answer, whoever makes it.
    """

    def __init__(
        self, connection: http1.Http1Connection, is_closing: Callable[[], bool]
    ):
        self.connection = connection
        self.added_headers: http1.Headers = []
        self.is_closing = is_closing
        self.started = False
        self.status = 0
        self.ended = False
        self.closes_connection = False
        self.budget = connection.stream.budget

    def set_label(self, label: str) -> None:
        """Sets the ID by which the budget's reports name the request."""
        self.connection.stream.unread.label = label

    async def begin(
        self, status: int, headers: http1.Headers, data: bytes = b""
    ) -> None:
        """Sends the head together with the first part of the body.

        With a budget this returns at once, as does `send`; call
        `wait_for_room` before producing more.
        """
        events: list[h11.Event] = [
            h11.Response(
                status_code=status, headers=[*headers, *self._extra_headers()]
            )
        ]
        if data:
            events.append(h11.Data(data=data))
        self.started = True
        self.status = status
        await self._write(events)

    async def send(self, data: bytes) -> None:
        """Sends a part of the body."""
        await self._write([h11.Data(data=data)])

    async def wait_for_room(self) -> None:
        """Returns when another part may be sent.

        The caller of this method should hold no reference to data that it has
        sent, since the data is then in memory twice.
        """
        await self.connection.wait_for_room()

    def _extra_headers(self) -> http1.Headers:
        if self.closes_connection or self.is_closing():
            return [*self.added_headers, _CLOSE_HEADER]
        return self.added_headers

    async def _write(self, events: list[h11.Event]) -> None:
        if self.budget is None:
            await self.connection.send(events)
        else:
            self.connection.write(events)

    async def end(self) -> None:
        """Ends the body; returns when the kernel has accepted all of it."""
        await self.connection.send([h11.EndOfMessage()])
        self.ended = True

    async def send_whole(
        self, status: int, headers: http1.Headers, body: bytes
    ) -> None:
        """Sends a complete answer with one write."""
        framed = [
            *headers,
            (b"content-length", b"%d" % len(body)),
            *self._extra_headers(),
        ]
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
        bounds: Bounds that apply to the request being read.
        http: The HTTP connection.
        requests: Requests read so far.
        has_unfinished_request: Whether a request was partly or wholly received
            and is not answered yet.
        is_serving: Whether a request is being served.
        idle_since: Time of the loop since which it waits for a request, or
            None.
        idle_scope: Cancels that wait, or None.
        must_close: Whether it is closed as soon as it waits for a request.
        reserved_body_bytes: Memory reserved for the body of its request.
    """

    def __init__(self, stream: byte_stream.ByteStream, server: Server):
        self.server = server
        stream.budget = server.budget
        self.bounds = server.bounds()
        self.http = http1.Http1Connection(
            stream, h11.SERVER, self.bounds.max_head_bytes
        )
        self.requests = 0
        self.has_unfinished_request = False
        self.is_serving = False
        self.idle_since: float | None = None
        self.idle_scope: anyio.CancelScope | None = None
        self.must_close = False
        self.reserved_body_bytes = 0

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
            self.has_unfinished_request = False
            if self.server.budget is not None:
                self.server.budget.release_body(self.reserved_body_bytes)
            self.reserved_body_bytes = 0

    async def _read_and_serve(self) -> bool:
        request = await self._read_request()
        if request is None:
            return False
        self.requests += 1
        if await self._has_caller_left():
            self.server.on_caller_left(request)
            return False
        answer = CallerAnswer(self.http, self.server.is_stopping)
        self.is_serving = True
        try:
            await self._handle(request, answer)
        except BrokenAnswerError:
            await self.http.reset()
            return False
        finally:
            self.is_serving = False
            self.has_unfinished_request = False
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
        """Calls the handler; cancels it when the caller closes."""
        stream = self.http.stream
        with anyio.CancelScope() as scope:
            stream.on_peer_closed = scope.cancel
            try:
                if not stream.is_peer_closed:
                    await self.server.handler(request, answer)
            except http1.ConnectionLostError:
                pass  # the caller closed while an answer was being sent
            finally:
                stream.on_peer_closed = None

    async def _has_caller_left(self) -> bool:
        """Returns whether the caller closed before its request is served.

        Callers give up when their request is not read for a long time. Targets
        should not run such requests.
        """
        if self.http.is_readable():
            for _ in range(_LOOP_CYCLES):
                await anyio.lowlevel.checkpoint()
        return self.http.stream.is_peer_closed

    async def _read_request(self) -> CallerRequest | None:
        """Returns the next request, or None when the connection ends."""
        self.bounds = self.server.bounds()
        try:
            head = await self._read_head()
            if head is None:
                return None
            arrived = anyio.current_time()
            self._reserve_body(_get_length(head))
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
        self.has_unfinished_request = True
        with anyio.move_on_after(self.bounds.head_timeout_s):
            event = await self.http.next_event()
            if isinstance(event, h11.Request):
                _check_framing(event)
                return event
            return None
        raise _BadRequestError(408, "the head took too long")

    async def _receive_first(self) -> bytes:
        """Returns the first bytes of a request, or none on close or timeout."""
        self.idle_since = anyio.current_time()
        try:
            while (
                remaining_s := self._remaining_idle_s(self.idle_since)
            ) > 0.0:
                with anyio.move_on_after(remaining_s) as self.idle_scope:
                    return await self.http.receive()
            with anyio.move_on_after(_CLOSE_GRACE_S):
                return await self.http.receive()
            return b""
        finally:
            self.idle_since = None
            self.idle_scope = None

    def _remaining_idle_s(self, idle_since: float) -> float:
        """Returns how long the connection may still wait for a request.

        A server that stops keeps connections that have not carried a request,
        because their callers are about to send one.
        """
        if self.must_close or (self.server.closes_idle and self.requests):
            return 0.0
        idle_s = anyio.current_time() - idle_since
        return self.server.bounds().idle_timeout_s - idle_s

    def recheck_idle(self) -> None:
        """Checks again whether it may keep waiting for a request."""
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
                    self._reserve_body(size)
                case h11.EndOfMessage():
                    return b"".join(parts)
                case None:
                    raise _BadRequestError(408, "the body took too long")
                case _:
                    raise http1.ConnectionLostError("caller left")
            if size > self.bounds.max_body_bytes:
                raise _BadRequestError(413, "the body is too large")

    def _reserve_body(self, size: int) -> None:
        """Reserves memory for the body up to a size.

        Raises:
            _BadRequestError: The bodies of other requests take all of it.
        """
        missing = min(size, self.bounds.max_body_bytes)
        missing -= self.reserved_body_bytes
        budget = self.server.budget
        if budget is None or missing <= 0:
            return
        if not budget.reserve_body(missing, size):
            raise _BadRequestError(
                503, "no memory for the body", _NO_MEMORY_RETRY_S
            )
        self.reserved_body_bytes += missing

    async def _refuse(self, error: _BadRequestError) -> None:
        """Answers a request that could not be read, then closes."""
        self.server.on_bad_request(error.status, str(error))
        answer = CallerAnswer(self.http, _always_closing)
        body = b'{"error":{"code":"bad_request"}}'
        headers = [(b"content-type", b"application/json")]
        if error.retry_after_s is not None:
            headers.append((b"retry-after", b"%g" % error.retry_after_s))
        try:
            await answer.send_whole(error.status, headers, body)
            await self.http.close_gracefully()
        except (h11.LocalProtocolError, http1.ConnectionLostError):
            return  # the caller closed and cannot receive the answer


class Server:
    """A listening socket and the connections accepted on it.

    Attributes:
        handler: Serves one request.
        bounds: Returns the current bounds on requests and connections.
        on_bad_request: Called with the status and the reason when a request
            cannot be read.
        on_caller_left: Called with each request whose caller closed the
            connection before the request was served.
        stopping: Whether connections close after their current answer.
        closes_idle: Whether idle connections that carried a request before are
            closed.
        connections: All open connections.
        accept_failures: Errors in accepting connections so far.
        address: `IP:port` it listens on.
        budget: Limits what is buffered for callers; None if senders wait until
            the kernel has accepted every part.
    """

    def __init__(
        self,
        listen: tuple[str, int],
        handler: Handler,
        bounds: Callable[[], caller_bounds.CallerBounds],
        on_bad_request: Callable[[int, str], None],
        on_caller_left: Callable[[CallerRequest], None] | None = None,
        budget: send_buffer.BufferBudget | None = None,
    ):
        self.handler = handler
        self.bounds = bounds
        self.on_bad_request = on_bad_request
        self.on_caller_left = on_caller_left or _ignore
        self.budget = budget
        self.stopping = False
        self.closes_idle = False
        self.connections: set[_CallerConnection] = set()
        self.accept_failures = 0
        self._accept_logged_at = float("-inf")
        # asyncio sets TCP_NODELAY on accepted sockets only when the protocol is
        # IPPROTO_TCP, and not 0.
        self.socket = socket.socket(
            socket.AF_INET, socket.SOCK_STREAM, socket.IPPROTO_TCP
        )
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.socket.bind(listen)
        # The backlog holds connections of callers while the process starts.
        self.socket.listen(_BACKLOG)
        ip, port = self.socket.getsockname()
        self.address = f"{ip}:{port}"

    @property
    def serving(self) -> int:
        """Number of requests being served."""
        return sum(each.is_serving for each in self.connections)

    @property
    def unfinished(self) -> int:
        """Number of requests partly or wholly received and not yet answered."""
        return sum(each.has_unfinished_request for each in self.connections)

    def is_stopping(self) -> bool:
        """Returns whether connections close after their current answer."""
        return self.stopping

    def close_idle(self) -> None:
        """Closes idle connections now, and later ones when they become idle.

        Connections that have not carried a request yet stay open.
        """
        self.closes_idle = True
        for connection in self.connections:
            connection.recheck_idle()

    async def serve(self, tasks: anyio.abc.TaskGroup | None = None) -> None:
        """Accepts connections until cancelled.

        Args:
            tasks: Task group for the connections, which then outlive the
                listening socket; with None they end together with it.
        """
        self.socket.setblocking(False)
        with self.socket:
            async with anyio.create_task_group() as own_tasks:
                await self._accept_all(tasks or own_tasks)

    async def _accept_all(self, tasks: anyio.abc.TaskGroup) -> None:
        """Accepts connections until cancelled; continues after errors."""
        loop = asyncio.get_running_loop()
        while True:
            failed: asyncio.Future[OSError] = loop.create_future()
            loop.add_reader(self.socket, self._accept, tasks, failed)
            try:
                error = await failed
            finally:
                loop.remove_reader(self.socket)
            self._log_accept_failure(error)
            self._close_longest_idle()
            await anyio.sleep(_ACCEPT_RETRY_S)

    def _accept(
        self, tasks: anyio.abc.TaskGroup, failed: asyncio.Future[OSError]
    ) -> None:
        """Accepts one connection; called again while more are pending."""
        try:
            raw, _ = self.socket.accept()
        except (BlockingIOError, ConnectionAbortedError):
            return  # the caller closed before the connection was accepted
        except OSError as error:
            if not failed.done():
                failed.set_result(error)
            return
        tasks.start_soon(self._serve_connection, raw)

    def _log_accept_failure(self, error: OSError) -> None:
        now = anyio.current_time()
        self.accept_failures += 1
        if now - self._accept_logged_at < _ACCEPT_LOG_INTERVAL_S:
            return
        self._accept_logged_at = now
        _logger.warning(
            "cannot accept connections",
            extra={
                "event": "accept_failed",
                "reason": str(error),
                "failures": self.accept_failures,
                "connections": len(self.connections),
            },
        )

    def _close_longest_idle(self) -> None:
        """Closes the longest idle connection to free its descriptor."""
        idle = {
            each: each.idle_since
            for each in self.connections
            if each.idle_since is not None and not each.must_close
        }
        if idle:
            longest = min(idle, key=idle.__getitem__)
            longest.must_close = True
            longest.recheck_idle()

    async def _serve_connection(self, raw: socket.socket) -> None:
        raw.setblocking(False)
        try:
            stream = await byte_stream.wrap_accepted(raw)
        except OSError:
            raw.close()  # the caller has closed
            return
        connection = _CallerConnection(stream, self)
        self.connections.add(connection)
        try:
            http1.enable_dead_peer_detection(stream, http1.CALLER_SILENCE_MS)
            await connection.run()
        except Exception:
            _logger.exception("connection failed", extra={"code": "internal"})
            await connection.http.close()
        finally:
            self.connections.discard(connection)


def _always_closing() -> bool:
    """Returns True: the connection closes after its answer."""
    return True


def _ignore(request: CallerRequest) -> None:
    """Ignores a request whose caller has closed the connection."""
    del request


def _get_length(head: h11.Request) -> int:
    """Returns the length that a head states; 0 if it states none."""
    # h11 has rejected lengths that are no number.
    lengths = [
        int(value) for name, value in head.headers if name == b"content-length"
    ]
    return max(lengths, default=0)


def _check_framing(head: h11.Request) -> None:
    """Refuses a request with both a content length and chunked encoding.

    A target could choose the other one of the two and see another request.
    """
    names = [bytes(name) for name, _ in head.headers]
    if b"content-length" in names and b"transfer-encoding" in names:
        raise _BadRequestError(400, "both a length and chunks")
