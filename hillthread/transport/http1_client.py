"""Requests to targets over kept connections; what was sent stays known."""

from __future__ import annotations

import collections
from typing import NamedTuple

import anyio
import h11

from hillthread import settings as settings_lib
from hillthread.transport import byte_stream
from hillthread.transport import http1

__all__ = [
    "AnswerHead",
    "CallError",
    "ClientConnection",
    "ClientRequest",
    "ConnectionPool",
    "MAX_IDLE_CONNECTIONS",
    "WholeAnswer",
    "call",
]

_MAX_HEAD_BYTES = 65_536
# Connections kept to one address, where nothing tells what its peer bears.
MAX_IDLE_CONNECTIONS = 64
# How long a kept connection may have rested for a request that may not be
# repeated; less once one turned out dead, and slowly more again.
_LONGEST_TRUST_S = 2.5
_LEAST_TRUST_S = 0.2
_TRUST_GAIN = 1.02
# Used up to this share of the time a peer said it keeps idle connections.
_KEEP_ALIVE_SHARE = 0.85
# When the peer tells no time: shorter than what peers are seen to keep.
_DEFAULT_KEEP_S = 4.0
# A timer that goes off so late tells of this process, not of the peer.
_STANDSTILL_S = 0.03
_INLINE_BODY_BYTES = 16_384
_GARBLED = (h11.RemoteProtocolError, h11.LocalProtocolError)


class CallError(Exception):
    """A call did not bring a whole answer.

    Attributes:
        sent: Whether any byte of the request may have reached the peer.
        reason: What happened, in a few words.
        unheard: No connection came up, and nothing was heard of why.
        refused: Nobody listens at the address.
    """

    def __init__(
        self,
        sent: bool,
        reason: str,
        connect_timed_out: bool = False,
        connection_refused: bool = False,
    ):
        super().__init__(reason)
        self.sent = sent
        self.reason = reason
        self.connect_timed_out = connect_timed_out
        self.connection_refused = connection_refused


class ClientRequest(NamedTuple):
    """A request to a target.

    Attributes:
        method: In capitals.
        target: Path and query.
        headers: Without those that frame the body.
        body: The whole body.
    """

    method: bytes
    target: bytes
    headers: http1.Headers
    body: bytes = b""


class AnswerHead(NamedTuple):
    """The head of an answer.

    Attributes:
        status: HTTP status.
        headers: In order, names in lower case.
    """

    status: int
    headers: http1.Headers

    def get(self, name: bytes) -> bytes:
        """Returns the first value of a header, or nothing."""
        for each, value in self.headers:
            if each == name:
                return value
        return b""


class WholeAnswer(NamedTuple):
    """An answer with its whole body."""

    head: AnswerHead
    body: bytes


class ClientConnection(http1.Http1Connection):
    """A connection to a target.

    Attributes:
        address: `IP:port`.
        opened_at: Seconds, when it came up.
        used_at: Seconds, when its last answer ended.
        keep_s: Seconds it may rest before it is used again.
        requests: Requests sent over it.
        body_sent: Whether the whole request was handed to the kernel.
        sent_before: Bytes that were sent before the last request.
    """

    def __init__(self, stream, address: str):
        super().__init__(stream, h11.CLIENT, _MAX_HEAD_BYTES)
        self.address = address
        self.opened_at = anyio.current_time()
        self.last_used_at = self.opened_at
        self.keep_alive_s = _DEFAULT_KEEP_S
        self.requests = 0
        self.is_body_sent = True
        self.sent_bytes_before_request = 0
        self.must_close = False

    async def send_request(self, request: ClientRequest) -> None:
        """Sends a request whole; a long body is sent by `send_body`.

        Raises:
            CallError: The connection was lost.
        """
        self.requests += 1
        self.sent_bytes_before_request = self.sent_bytes
        head = h11.Request(
            method=request.method,
            target=request.target,
            headers=_framed(request),
        )
        events: list[h11.Event] = [head]
        self.is_body_sent = len(request.body) <= _INLINE_BODY_BYTES
        if self.is_body_sent:
            events += [h11.Data(data=request.body)] if request.body else []
            events.append(h11.EndOfMessage())
        try:
            await self.send(events)
        except http1.ConnectionLostError as error:
            raise CallError(True, f"lost while sending: {error}") from error
        except h11.LocalProtocolError as error:
            raise CallError(False, f"cannot be sent: {error}") from error

    async def send_body(self, request: ClientRequest) -> None:
        """Sends the body of a request whose head was sent.

        An answer may come, and the peer may stop reading, before its end.
        """
        try:
            await self.send([h11.Data(data=request.body), h11.EndOfMessage()])
        except (http1.ConnectionLostError, h11.LocalProtocolError):
            return  # reading the answer tells what became of the request
        self.is_body_sent = True

    async def read_head(self) -> AnswerHead:
        """Returns the head of the final answer.

        Raises:
            CallError: No answer came, or what came is none.
        """
        try:
            while True:
                event = await self.next_event()
                match event:
                    case h11.InformationalResponse():
                        continue
                    case h11.Response():
                        return self._head(event)
                    case _:
                        raise CallError(True, "closed before an answer")
        except http1.ConnectionLostError as error:
            raise CallError(True, f"lost before an answer: {error}") from error
        except _GARBLED as error:
            raise CallError(True, f"not an HTTP answer: {error}") from error

    async def read_part(self) -> bytes:
        """Returns a part of the answer's body; nothing at its end.

        Raises:
            CallError: The answer broke off.
        """
        try:
            while True:
                event = await self.next_event()
                match event:
                    case h11.Data():
                        if event.data:
                            return bytes(event.data)
                    case h11.EndOfMessage():
                        return b""
                    case _:
                        raise CallError(True, "answer broke off")
        except http1.ConnectionLostError as error:
            raise CallError(True, f"answer cut: {error}") from error
        except _GARBLED as error:
            raise CallError(True, f"answer broke off: {error}") from error

    async def read_body(self, limit: int) -> bytes:
        """Returns the whole body of an answer.

        Raises:
            CallError: It broke off or is larger than `limit`.
        """
        parts = []
        size = 0
        while part := await self.read_part():
            parts.append(part)
            size += len(part)
            if size > limit:
                raise CallError(True, f"answer larger than {limit} bytes")
        return b"".join(parts)

    def is_request_unacknowledged(self) -> bool:
        """Returns whether the peer's kernel has seen nothing of the request.

        Tells only of requests that were handed to the kernel whole: a peer
        that reads a long body slowly leaves a part of it unacknowledged.
        """
        sent = self.sent_bytes - self.sent_bytes_before_request
        if not sent or not self.is_body_sent:
            return False
        return self.unacknowledged_bytes() >= sent

    def is_reusable(self) -> bool:
        """Returns whether another request may follow on the connection."""
        if self.requests == 0:
            return True
        if self.must_close or not self.is_body_sent:
            return False
        if self.state_machine.our_state is not h11.DONE:
            return False
        if self.state_machine.their_state is not h11.DONE:
            return False
        return not self.state_machine.trailing_data[0]

    def _head(self, response: h11.Response) -> AnswerHead:
        head = AnswerHead(
            response.status_code,
            [(bytes(name), bytes(value)) for name, value in response.headers],
        )
        self.keep_alive_s = _keep_s(head.get(b"keep-alive"))
        self.must_close = b"close" in head.get(b"connection").lower()
        return head


class ConnectionPool:
    """Keeps connections to targets, the last used one first.

    Attributes:
        connect_timeout_s: For a new connection to come up.
        probes: How many unanswered probes of the kernel end a connection.
        opened: Connections opened so far, by why no kept one was used.
        idle: Connections not in use, by address, the last used last.
        keep_told: How long peers said they keep connections, counted.
        trust_s: A request that may not be repeated takes a kept connection
            only if it rested less; falls when kept connections turn out dead.
        suspect_before: Seconds; connections that have rested since before
            then may have fallen silent, and are used no more.
    """

    def __init__(
        self, connect_timeout_s: float, probes: int = http1.KEEPALIVE_PROBES
    ):
        self.connect_timeout_s = connect_timeout_s
        self.probes = probes
        self.unrepeatable_max_idle_s = _LONGEST_TRUST_S
        self.opened: collections.Counter[str] = collections.Counter()
        self.idle: dict[str, collections.deque[ClientConnection]] = {}
        self.keep_alive_counts: collections.Counter[str] = collections.Counter()
        self.suspect_before = float("-inf")

    def has_idle(self, address: str) -> bool:
        """Returns whether a kept connection is likely to be there."""
        now = anyio.current_time()
        kept = self.idle.get(address)
        if not kept or kept[-1].last_used_at < self.suspect_before:
            return False
        return now - kept[-1].last_used_at < kept[-1].keep_alive_s

    async def acquire(
        self, address: str, max_idle_s: float = float("inf")
    ) -> ClientConnection:
        """Returns a kept connection that rested briefly, or a new one.

        Raises:
            CallError: No connection came up; nothing was sent.
        """
        kept = self.idle.get(address)
        reason = "none_kept"
        while kept:
            connection = kept.pop()
            rested_s = anyio.current_time() - connection.last_used_at
            if rested_s >= connection.keep_alive_s:
                reason = "rested_too_long"
            elif connection.last_used_at < self.suspect_before:
                reason = "suspect"
            elif connection.is_readable():
                reason = "closed_by_peer"
            elif rested_s > max_idle_s:
                kept.append(connection)
                reason = "too_old_for_request"
                break
            else:
                if connection.requests:
                    connection.state_machine.start_next_cycle()
                return connection
            await connection.close()
        return await self.open(address, reason)

    def record_stale(self, rested_s: float) -> None:
        """Notes that a kept connection had died while it rested."""
        self.unrepeatable_max_idle_s = max(
            _LEAST_TRUST_S, min(self.unrepeatable_max_idle_s, rested_s / 2.0)
        )

    def mark_suspect(self, since: float) -> None:
        """Notes that a connection that rested until then was silent.

        Connections seldom fall silent alone, and each one costs a request
        that waits in vain.
        """
        self.suspect_before = max(self.suspect_before, since)

    def record_reused(self) -> None:
        """Notes that a kept connection carried a request."""
        self.unrepeatable_max_idle_s = min(
            _LONGEST_TRUST_S, self.unrepeatable_max_idle_s * _TRUST_GAIN
        )

    async def release(
        self, connection: ClientConnection, max_idle: int = MAX_IDLE_CONNECTIONS
    ) -> None:
        """Keeps a connection whose exchange ended cleanly, else closes it.

        Args:
            connection: It.
            most_idle: Connections kept to its address, this one included.
        """
        kept = self.idle.setdefault(connection.address, collections.deque())
        if connection.is_reusable() and len(kept) < max_idle:
            connection.last_used_at = anyio.current_time()
            self.keep_alive_counts[f"{connection.keep_alive_s:.1f}"] += 1
            kept.append(connection)
            return
        await connection.close()

    async def drop(self, address: str) -> None:
        """Closes all idle connections to an address."""
        kept = self.idle.pop(address, collections.deque())
        closing = list(kept)
        kept.clear()  # others may be taking from it while these are closed
        for connection in closing:
            await connection.close()

    async def drop_idle_since(self, address: str, since: float) -> None:
        """Closes idle connections to an address that have rested since then.

        Connections seldom die alone: one that was lost makes suspect those
        that have carried nothing since, not those that proved alive.
        """
        kept = self.idle.get(address, collections.deque())
        rested = [each for each in kept if each.last_used_at < since]
        for connection in rested:
            kept.remove(connection)
        # Others may take and give back while these are closed.
        for connection in rested:
            await connection.close()

    async def close(self) -> None:
        """Closes all idle connections."""
        for address in list(self.idle):
            await self.drop(address)

    async def open(self, address: str, reason: str) -> ClientConnection:
        """Returns a new connection.

        Args:
            address: `IP:port`.
            reason: Why no kept one is used, for the count.

        Raises:
            CallError: It did not come up.
        """
        try:
            stream = await self._connect(address)
        except TimeoutError as error:
            raise CallError(
                False, "connecting timed out", connect_timed_out=True
            ) from error
        except OSError as error:
            connection_refused = isinstance(error, ConnectionRefusedError)
            raise CallError(
                False,
                f"cannot connect: {error}",
                connection_refused=connection_refused,
            ) from error
        self.opened[reason] += 1
        http1.enable_dead_peer_detection(
            stream, http1.TARGET_USER_TIMEOUT_MS, self.probes
        )
        return ClientConnection(stream, address)

    async def _connect(self, address: str) -> byte_stream.ByteStream:
        """Returns a connected socket.

        A time that was over because this process stood still, or had too
        little processor time, says nothing of the peer: it is tried again.
        """
        ip, port = settings_lib.split_address(address)
        for last in (False, True):
            began_at = anyio.current_time()
            try:
                with anyio.fail_after(self.connect_timeout_s):
                    return await byte_stream.open_connection(ip, port)
            except TimeoutError:
                late_s = anyio.current_time() - began_at
                if last or late_s < self.connect_timeout_s + _STANDSTILL_S:
                    raise
        raise AssertionError("not reached")


async def call(
    pool: ConnectionPool,
    address: str,
    request: ClientRequest,
    timeout_s: float,
    max_bytes: int,
) -> WholeAnswer:
    """Returns the whole answer of a short call.

    After one that was lost, the next call takes a new connection, or one that
    has carried an answer meanwhile.

    Raises:
        CallError: There is none; `sent` tells whether it may have been done.
    """
    connection = None
    began_at = anyio.current_time()
    try:
        with anyio.fail_after(timeout_s):
            connection = await pool.acquire(address)
            await connection.send_request(request)
            if not connection.is_body_sent:
                await connection.send_body(request)
            head = await connection.read_head()
            body = await connection.read_body(max_bytes)
    except TimeoutError as error:
        await pool.drop_idle_since(address, began_at)
        raise CallError(connection is not None, "timed out") from error
    except CallError:
        await pool.drop_idle_since(address, began_at)
        raise
    finally:
        if connection is not None:
            await pool.release(connection)
    return WholeAnswer(head, body)


def _framed(request: ClientRequest) -> http1.Headers:
    if not request.body and request.method in (b"GET", b"HEAD"):
        return request.headers
    length = b"%d" % len(request.body)
    return [*request.headers, (b"content-length", length)]


def _keep_s(header: bytes) -> float:
    for term in header.split(b","):
        name, _, value = term.strip().partition(b"=")
        if name.lower() == b"timeout" and value.isdigit():
            return int(value) * _KEEP_ALIVE_SHARE
    return _DEFAULT_KEEP_S
