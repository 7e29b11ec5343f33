"""Bytes of a TCP connection, read as they come.

asyncio's transport does the work; this keeps what it has read until somebody
asks. The socket stays registered with the loop while nobody does: a stream that
is registered for each read anew, as anyio's is, makes 6.7 of the 24 calls to
the kernel that a streamed request takes (4 events, kept connections), and a
caller who leaves has to be watched by a task of its own.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
import select
import socket

__all__ = ["ByteStream", "accepted", "connected"]

# So much is read ahead; the peer then has to wait.
_MOST_AHEAD_BYTES = 131_072


class ByteStream(asyncio.Protocol):
    """One connection. One task at a time may receive, and one may send.

    Attributes:
        raw: The socket, for its options.
        when_ended: Called once when the peer ends its side, or is lost.
    """

    def __init__(self):
        self.raw: socket.socket
        self.on_peer_closed: Callable[[], None] | None = None
        self._transport: asyncio.Transport
        self._ahead = bytearray()
        self._is_paused = False
        self._has_ended = False
        self._lost: Exception | None = None
        self._receiver: asyncio.Future[None] | None = None
        self._may_send = asyncio.Event()
        self._may_send.set()

    # What the transport calls.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Begins."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        # What was sent is with the kernel, or its sender waits.
        transport.set_write_buffer_limits(0)
        self.raw = transport.get_extra_info("socket")

    def data_received(self, data: bytes) -> None:
        """Keeps what was read."""
        self._ahead += data
        if len(self._ahead) >= _MOST_AHEAD_BYTES and not self._is_paused:
            self._is_paused = True
            self._transport.pause_reading()
        self._wake()

    def eof_received(self) -> bool:
        """Notes that the peer has ended its side; ours stays open."""
        self._end()
        return True

    def connection_lost(self, exc: Exception | None) -> None:
        """Notes that the connection is gone."""
        self._lost = exc or ConnectionAbortedError("closed here")
        self._may_send.set()
        self._end()

    def pause_writing(self) -> None:
        """Has senders wait."""
        self._may_send.clear()

    def resume_writing(self) -> None:
        """Lets them go on."""
        self._may_send.set()

    # What its users call.

    async def receive(self) -> bytes:
        """Returns bytes, or none when the peer has ended its side.

        Raises:
            OSError: The connection was lost.
        """
        while not self._ahead:
            if self._lost is not None:
                raise self._lost
            if self._has_ended:
                return b""
            self._receiver = asyncio.get_running_loop().create_future()
            try:
                await self._receiver
            finally:
                self._receiver = None
        data = bytes(self._ahead)
        self._ahead.clear()
        if self._is_paused:
            self._is_paused = False
            self._transport.resume_reading()
        return data

    async def send(self, data: bytes) -> None:
        """Hands bytes to the kernel, or waits while too many are held here.

        Raises:
            OSError: The connection was lost.
        """
        if self._lost is not None:
            raise self._lost
        if self._transport.is_closing():
            raise ConnectionAbortedError("closed here")
        self._transport.write(data)
        await self._may_send.wait()
        if self._lost is not None:
            raise self._lost

    @property
    def is_peer_closed(self) -> bool:
        """Whether the peer has ended its side, or is lost, as far as read."""
        return self._has_ended

    def is_readable(self) -> bool:
        """Returns whether there are bytes, or the end, to be received."""
        if self._ahead or self._has_ended or self.raw.fileno() < 0:
            return True
        poller = select.poll()
        poller.register(self.raw.fileno(), select.POLLIN | select.POLLHUP)
        return bool(poller.poll(0))

    def send_eof(self) -> None:
        """Ends this side; what the peer sends may still be received."""
        if not self._transport.is_closing():
            self._transport.write_eof()

    def close(self) -> None:
        """Closes at once; bytes already handed over are still sent."""
        self._transport.close()

    def abort(self) -> None:
        """Closes at once; bytes that are held here are lost."""
        self._transport.abort()

    def _end(self) -> None:
        if not self._has_ended:
            self._has_ended = True
            if self.on_peer_closed is not None:
                self.on_peer_closed()
        self._wake()

    def _wake(self) -> None:
        if self._receiver is not None and not self._receiver.done():
            self._receiver.set_result(None)


async def open_connection(ip: str, port: int) -> ByteStream:
    """Returns a new connection.

    Raises:
        OSError: It did not come up.
    """
    loop = asyncio.get_running_loop()
    _, stream = await loop.create_connection(ByteStream, ip, port)
    return stream


async def wrap_accepted(raw: socket.socket) -> ByteStream:
    """Returns a connection that was accepted."""
    loop = asyncio.get_running_loop()
    _, stream = await loop.connect_accepted_socket(ByteStream, raw)
    return stream
