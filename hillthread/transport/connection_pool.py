"""Kept-alive HTTP/1.1 connections to targets, the store and other hosts."""

from __future__ import annotations

import collections

import anyio

from hillthread import settings as settings_lib
from hillthread.transport import byte_stream
from hillthread.transport import http1
from hillthread.transport import http1_client

__all__ = ["MAX_IDLE_CONNECTIONS", "ConnectionPool", "call"]

# Idle connections kept per address when the peer's own limit is unknown.
MAX_IDLE_CONNECTIONS = 64
# Bounds of the idle time after which a kept connection is not used for a
# request that may not be repeated. The limit drops when a kept connection turns
# out to be dead, and grows slowly with each reuse that succeeds.
_MAX_UNREPEATABLE_IDLE_S = 2.5
_MIN_UNREPEATABLE_IDLE_S = 0.2
_IDLE_LIMIT_GROWTH_FACTOR = 1.02
# A timer that fires this late was delayed by this process, not by the peer.
_TIMER_DELAY_S = 0.03


class ConnectionPool:
    """A pool of connections to targets, reused last in, first out.

    Attributes:
        connect_timeout_s: Timeout for establishing a connection.
        silence_ms: Silence after which the kernel drops a connection.
        opened: Connections opened so far, by the reason why no idle one was
            used.
        idle: Idle connections by address, the last used one at the end.
        keep_alive_counts: Releases of connections, by their keep-alive time in
            seconds.
        unrepeatable_max_idle_s: Idle time above which a kept connection is not
            used for a request that may not be repeated. It is lowered when a
            kept connection turns out to be dead.
        suspect_before: Time of the loop. Connections last used before it may
            have fallen silent and are not used again.
        faults: Counts bytes received that are no valid answer, by kind.
    """

    def __init__(
        self,
        connect_timeout_s: float,
        silence_ms: int = http1.PEER_SILENCE_MS,
    ):
        self.connect_timeout_s = connect_timeout_s
        self.silence_ms = silence_ms
        self.unrepeatable_max_idle_s = _MAX_UNREPEATABLE_IDLE_S
        self.opened: collections.Counter[str] = collections.Counter()
        self.idle: dict[
            str, collections.deque[http1_client.ClientConnection]
        ] = {}
        self.keep_alive_counts: collections.Counter[str] = collections.Counter()
        self.suspect_before = float("-inf")
        self.faults: collections.Counter[str] = collections.Counter()

    def has_idle(self, address: str) -> bool:
        """Returns whether `acquire` is likely to find an idle connection."""
        now = anyio.current_time()
        kept = self.idle.get(address)
        if not kept or kept[-1].last_used_at < self.suspect_before:
            return False
        return now - kept[-1].last_used_at < kept[-1].keep_alive_s

    async def acquire(
        self,
        address: str,
        max_idle_s: float = float("inf"),
        call_id: http1_client.CallId | None = None,
    ) -> http1_client.ClientConnection:
        """Returns an idle connection, or a new one.

        Args:
            address: `IP:port`.
            max_idle_s: Maximum idle time of the connection.
            call_id: Id that the connection must not have carried.

        Raises:
            CallError: No connection could be established; nothing was sent.
        """
        reason = "none_kept"
        while connection := self._pop_idle(address, call_id):
            idle_s = anyio.current_time() - connection.last_used_at
            if idle_s >= connection.keep_alive_s:
                reason = "rested_too_long"
            elif connection.last_used_at < self.suspect_before:
                reason = "suspect"
            elif connection.is_readable():
                reason = "closed_by_peer"
            elif idle_s > max_idle_s:
                self.idle[address].append(connection)
                return await self.open(address, "too_old_for_request")
            else:
                if connection.requests:
                    connection.state_machine.start_next_cycle()
                return connection
            await connection.close()
        if reason == "none_kept" and self.idle.get(address):
            reason = "id_carried"
        return await self.open(address, reason)

    def _pop_idle(
        self, address: str, call_id: http1_client.CallId | None
    ) -> http1_client.ClientConnection | None:
        """Removes and returns the last used connection without this id."""
        kept = self.idle.get(address, ())
        for index in range(len(kept) - 1, -1, -1):
            connection = kept[index]
            if not connection.has_carried(call_id):
                del kept[index]
                return connection
        return None

    def record_stale(self, idle_s: float) -> None:
        """Lowers the idle limit: a connection died while it was idle."""
        self.unrepeatable_max_idle_s = max(
            _MIN_UNREPEATABLE_IDLE_S,
            min(self.unrepeatable_max_idle_s, idle_s / 2.0),
        )

    def mark_suspect(self, since: float) -> None:
        """Stops the reuse of connections that have been idle since `since`.

        Called when such a connection was silent. Connections seldom fall silent
        alone, and each silent one makes a request wait until it fails.
        """
        self.suspect_before = max(self.suspect_before, since)

    def record_reused(self) -> None:
        """Raises the idle limit: a kept connection carried a request."""
        self.unrepeatable_max_idle_s = min(
            _MAX_UNREPEATABLE_IDLE_S,
            self.unrepeatable_max_idle_s * _IDLE_LIMIT_GROWTH_FACTOR,
        )

    async def release(
        self,
        connection: http1_client.ClientConnection,
        max_idle: int = MAX_IDLE_CONNECTIONS,
    ) -> None:
        """Keeps a connection that is reusable, and closes it otherwise.

        Args:
            connection: The connection to release.
            max_idle: Idle connections kept to its address, including this one.
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
        kept.clear()  # other tasks may acquire connections during `close`
        for connection in closing:
            await connection.close()

    async def drop_idle_since(self, address: str, since: float) -> None:
        """Closes connections to an address that have been idle since `since`.

        Connections seldom die alone: after a lost call, those that have carried
        nothing since may be dead too, unlike those that carried an answer.
        """
        kept = self.idle.get(address, collections.deque())
        idle_connections = [each for each in kept if each.last_used_at < since]
        for connection in idle_connections:
            kept.remove(connection)
        # Other tasks may acquire and release connections during `close`.
        for connection in idle_connections:
            await connection.close()

    async def close(self) -> None:
        """Closes all idle connections."""
        for address in list(self.idle):
            await self.drop(address)

    async def open(
        self, address: str, reason: str
    ) -> http1_client.ClientConnection:
        """Returns a new connection.

        Args:
            address: `IP:port`.
            reason: Why no idle one is used, counted in `opened`.

        Raises:
            CallError: The connection could not be established.
        """
        try:
            stream = await self._connect(address)
        except TimeoutError as error:
            raise http1_client.CallError(
                False, "connecting timed out", connect_timed_out=True
            ) from error
        except OSError as error:
            connection_refused = isinstance(error, ConnectionRefusedError)
            raise http1_client.CallError(
                False,
                f"cannot connect: {error}",
                connection_refused=connection_refused,
            ) from error
        self.opened[reason] += 1
        http1.enable_dead_peer_detection(stream, self.silence_ms)
        return http1_client.ClientConnection(stream, address, self.faults)

    async def _connect(self, address: str) -> byte_stream.ByteStream:
        """Returns a connected stream.

        A timeout that fires late because this process was paused, or had too
        little processor time, does not show that the peer is unreachable, so
        connecting is tried once more.
        """
        ip, port = settings_lib.split_address(address)
        for is_last_attempt in (False, True):
            began_at = anyio.current_time()
            try:
                with anyio.fail_after(self.connect_timeout_s):
                    return await byte_stream.open_connection(ip, port)
            except TimeoutError:
                elapsed_s = anyio.current_time() - began_at
                if (
                    is_last_attempt
                    or elapsed_s < self.connect_timeout_s + _TIMER_DELAY_S
                ):
                    raise
        raise AssertionError("not reached")


async def call(
    pool: ConnectionPool,
    address: str,
    request: http1_client.ClientRequest,
    timeout_s: float,
    max_bytes: int,
    is_alone: bool = False,
) -> http1_client.WholeAnswer:
    """Sends a request and returns its whole answer.

    After a failed call, the next one uses a new connection, or one that has
    carried an answer since.

    Args:
        pool: The connections to use.
        address: `IP:port`.
        request: The request.
        timeout_s: Timeout for connecting and for the whole answer.
        max_bytes: Maximum size of the answer's body.
        is_alone: Whether the call gets a new connection, which no other call
            uses. Only this distinguishes answers of peers that repeat no ids.

    Raises:
        CallError: The call failed; `sent` tells whether the peer may have
            processed the request.
    """
    connection = None
    began_at = anyio.current_time()
    try:
        with anyio.fail_after(timeout_s):
            if is_alone:
                connection = await pool.open(address, "call_alone")
            else:
                connection = await pool.acquire(
                    address, call_id=request.call_id
                )
            await connection.send_request(request)
            if not connection.is_body_sent:
                await connection.send_body(request)
            head = await connection.read_head()
            body = await connection.read_body(max_bytes)
    except TimeoutError as error:
        await pool.drop_idle_since(address, began_at)
        raise http1_client.CallError(
            connection is not None, "timed out"
        ) from error
    except http1_client.CallError:
        await pool.drop_idle_since(address, began_at)
        raise
    finally:
        if connection is not None:
            connection.must_close = connection.must_close or is_alone
            await pool.release(connection)
    return http1_client.WholeAnswer(head, body)
