"""HTTP/1.1 over one connection: h11's state machine on a stream of bytes.

hypercorn and httpcore hide what the gateway's promises rest on: whether bytes
of a request were sent, whether an answer ended or was cut, surplus bytes after
an answer, and when a peer closes. h11 is the parser that both use.
"""

from __future__ import annotations

from collections.abc import Sequence
import fcntl
import socket
import struct
import termios

import anyio
import h11

from hillthread.transport import byte_stream

__all__ = [
    "CALLER_USER_TIMEOUT_MS",
    "ConnectionLostError",
    "Headers",
    "Http1Connection",
    "KEEPALIVE_PROBES",
    "TARGET_USER_TIMEOUT_MS",
    "enable_dead_peer_detection",
]

Headers = list[tuple[bytes, bytes]]

_LINGER_S = 0.5
# Dead peers say nothing: unacknowledged bytes and unanswered probes tell. Two
# lost packets in a row are sent again within this time.
TARGET_USER_TIMEOUT_MS = 1_000
CALLER_USER_TIMEOUT_MS = 5_000
_PROBE_IDLE_S = 1
_PROBE_EVERY_S = 1
# A single probe may be lost on a bad link, seldom two in a row.
KEEPALIVE_PROBES = 2
_COUNT = struct.Struct("i")
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class ConnectionLostError(Exception):
    """The connection was reset or timed out."""


def enable_dead_peer_detection(
    stream: byte_stream.ByteStream,
    user_timeout_ms: int,
    probes: int = KEEPALIVE_PROBES,
) -> None:
    """Has the kernel find out that a peer is dead.

    Args:
        stream: The connection.
        silence_ms: How long sent bytes may stay unacknowledged.
        probes: Probes in a row that must go unanswered on a quiet connection.
    """
    raw = stream.raw
    tcp = socket.IPPROTO_TCP
    raw.setsockopt(tcp, socket.TCP_USER_TIMEOUT, user_timeout_ms)
    raw.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    raw.setsockopt(tcp, socket.TCP_KEEPIDLE, _PROBE_IDLE_S)
    raw.setsockopt(tcp, socket.TCP_KEEPINTVL, _PROBE_EVERY_S)
    raw.setsockopt(tcp, socket.TCP_KEEPCNT, probes)


class Http1Connection:
    """One connection.

    Attributes:
        stream: The bytes.
        machine: What has been sent and received, as HTTP.
        sent_bytes: Bytes handed to the kernel since the connection opened.
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
            ConnectionLostError: The peer reset the connection.
            RemoteProtocolError: The peer sent what is not HTTP (h11's).
        """
        while True:
            event = self.state_machine.next_event()
            if event is not h11.NEED_DATA:
                return event
            self.state_machine.receive_data(await self.receive())

    async def receive(self) -> bytes:
        """Returns bytes, or none when the peer ended its side.

        Raises:
            ConnectionLostError: The peer reset the connection.
        """
        try:
            return await self.stream.receive()
        except OSError as error:
            raise ConnectionLostError(_describe(error)) from error

    async def send(self, events: Sequence[h11.Event]) -> None:
        """Sends events with one write.

        Raises:
            ConnectionLostError: The peer reset the connection.
        """
        data = b"".join(
            self.state_machine.send(event) or b"" for event in events
        )
        if not data:
            return
        try:
            await self.stream.send(data)
        except OSError as error:
            raise ConnectionLostError(_describe(error)) from error
        self.sent_bytes += len(data)

    def is_readable(self) -> bool:
        """Returns whether an idle connection was closed or has surplus bytes.

        Either way it must not carry another request.
        """
        return self.stream.is_readable()

    def unacknowledged_bytes(self) -> int:
        """Returns how many sent bytes the peer's kernel has not acknowledged.

        A peer that is slow acknowledges all the same; one that lies behind a
        dead path, or whose connection fell silent, does not.
        """
        raw = self.stream.raw
        if raw.fileno() < 0:
            return 0
        room = bytes(_COUNT.size)
        told = fcntl.ioctl(raw.fileno(), termios.TIOCOUTQ, room)
        return _COUNT.unpack(told)[0]

    async def close(self) -> None:
        """Closes at once; bytes already handed over are still sent."""
        self.stream.close()

    async def reset(self) -> None:
        """Closes so that the peer sees a reset and no clean end."""
        raw = self.stream.raw
        if raw.fileno() >= 0:
            raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
        self.stream.abort()

    async def close_gracefully(self) -> None:
        """Closes after the peer has had time to read the last answer.

        Closing with unread bytes would reset the connection, and the answer
        could be lost on its way.
        """
        with anyio.move_on_after(_LINGER_S):
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
