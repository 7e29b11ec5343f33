"""HTTP/1.1 over one connection: h11's state machine on a byte stream.

hypercorn and httpcore hide facts that the gateway's guarantees depend on:
whether bytes of a request were sent, whether an answer is complete or
truncated, surplus bytes after an answer, and when a peer closes. h11 is the
parser that both use.
"""

from __future__ import annotations

from collections.abc import Sequence
import math
import socket

import anyio
import h11

from hillthread.transport import byte_stream

__all__ = [
    "CALLER_SILENCE_MS",
    "ConnectionLostError",
    "Headers",
    "Http1Connection",
    "PEER_SILENCE_MS",
    "enable_dead_peer_detection",
]

Headers = list[tuple[bytes, bytes]]

_GRACEFUL_CLOSE_S = 0.5
# Silence after which a peer counts as dead, while it has bytes or a keepalive
# probe to acknowledge. Two lost packets in a row are retransmitted within it.
PEER_SILENCE_MS = 1_000
CALLER_SILENCE_MS = 5_000
_KEEPALIVE_IDLE_S = 1
_KEEPALIVE_INTERVAL_S = 1
# One probe may be lost on a bad link; two in a row are rarely lost.
_MAX_KEEPALIVE_PROBES = 2


class ConnectionLostError(Exception):
    """The connection was reset or timed out."""


def enable_dead_peer_detection(
    stream: byte_stream.ByteStream,
    silence_ms: int,
) -> None:
    """Sets socket options that make the kernel drop a dead connection.

    With TCP_USER_TIMEOUT, Linux ignores the number of keepalive probes: it
    drops an idle connection at the first probe after that time. The number
    matters to kernels that count all the same.

    Args:
        stream: The connection.
        silence_ms: How long sent bytes or probes may stay unacknowledged.
    """
    probing_s = silence_ms / 1000.0 - _KEEPALIVE_IDLE_S
    probes = math.ceil(probing_s / _KEEPALIVE_INTERVAL_S)
    probes = max(1, min(_MAX_KEEPALIVE_PROBES, probes))
    raw = stream.raw
    tcp = socket.IPPROTO_TCP
    raw.setsockopt(tcp, socket.TCP_USER_TIMEOUT, silence_ms)
    raw.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    raw.setsockopt(tcp, socket.TCP_KEEPIDLE, _KEEPALIVE_IDLE_S)
    raw.setsockopt(tcp, socket.TCP_KEEPINTVL, _KEEPALIVE_INTERVAL_S)
    raw.setsockopt(tcp, socket.TCP_KEEPCNT, probes)


class Http1Connection:
    """An HTTP/1.1 connection, as a client or as a server.

    Attributes:
        stream: The underlying byte stream.
        state_machine: h11's parser and serializer for this connection.
        sent_bytes: Bytes accepted by the kernel since the connection opened.
    """

    def __init__(
        self, stream: byte_stream.ByteStream, role: type, max_head_bytes: int
    ):
        self.stream = stream
        self.state_machine = h11.Connection(
            role, max_incomplete_event_size=max_head_bytes
        )
        self.sent_bytes = 0

    async def next_event(self):
        """Returns the next event of h11, reading as needed.

        Raises:
            ConnectionLostError: The connection was reset or timed out.
            RemoteProtocolError: The peer violated HTTP/1.1 (raised by h11).
        """
        while True:
            event = self.state_machine.next_event()
            if event is not h11.NEED_DATA:
                return event
            self.state_machine.receive_data(await self.receive())

    async def receive(self) -> bytes:
        """Returns received bytes, or none when the peer shut down its side.

        Raises:
            ConnectionLostError: The connection was reset or timed out.
        """
        try:
            return await self.stream.receive()
        except OSError as error:
            raise ConnectionLostError(_describe(error)) from error

    async def send(self, events: Sequence[h11.Event]) -> None:
        """Sends events with one write.

        Returns when the kernel has accepted all bytes, also those of earlier
        calls of `write`.

        Raises:
            ConnectionLostError: The connection was reset or timed out.
        """
        data = self._serialize(events)
        # The end of a message may have no bytes of its own.
        if not data and self.stream.budget is None:
            return
        try:
            await self.stream.send(data)
        except OSError as error:
            raise ConnectionLostError(_describe(error)) from error
        self.sent_bytes += len(data)

    def write(self, events: Sequence[h11.Event]) -> None:
        """Sends events with one write; buffers what the kernel refuses.

        Raises:
            ConnectionLostError: The connection was reset or timed out.
        """
        try:
            self.stream.write(self._serialize(events))
        except OSError as error:
            raise ConnectionLostError(_describe(error)) from error

    async def wait_for_room(self) -> None:
        """Returns when more may be written.

        Raises:
            ConnectionLostError: The connection was reset or timed out.
        """
        try:
            await self.stream.wait_for_room()
        except OSError as error:
            raise ConnectionLostError(_describe(error)) from error

    def _serialize(self, events: Sequence[h11.Event]) -> bytes:
        return b"".join(
            self.state_machine.send(event) or b"" for event in events
        )

    def is_readable(self) -> bool:
        """Returns whether an idle connection was closed or has surplus bytes.

        In both cases the connection must not carry another request.
        """
        return self.stream.is_readable()

    def unacknowledged_bytes(self) -> int:
        """Returns how many sent bytes the peer's kernel has not acknowledged.

        The kernel of a slow peer acknowledges bytes that the peer has not read.
        A peer that is unreachable, or whose connection fell silent, does not.
        """
        return self.stream.count_unacknowledged()

    async def close(self) -> None:
        """Closes the connection; resets it if bytes are still buffered."""
        self.stream.close()

    async def reset(self) -> None:
        """Closes the connection with a reset instead of a clean end."""
        self.stream.cut()

    async def close_gracefully(self) -> None:
        """Closes after giving the peer time to read the last answer.

        Closing a socket with unread bytes resets the connection, and a reset
        can discard an answer that the peer has not read yet.
        """
        with anyio.move_on_after(_GRACEFUL_CLOSE_S):
            try:
                self.stream.send_eof()
                while await self.receive():
                    pass
            except ConnectionLostError:
                pass
        await self.close()


def _describe(error: BaseException) -> str:
    cause = error.__cause__ or error
    return type(cause).__name__
