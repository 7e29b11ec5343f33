"""A TCP byte stream that buffers received data until it is read.

The stream is an asyncio protocol whose socket stays registered with the event
loop between reads. A stream that registers the socket anew for each read, as
anyio's does, makes 6.7 of the 24 system calls of a streamed request (4 events,
kept-alive connections), and needs an additional task to detect that the peer
closed the connection.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
import fcntl
import select
import socket
import struct
import termios

from hillthread.transport import send_buffer

__all__ = ["ByteStream", "open_connection", "wrap_accepted"]

# Reading pauses when this much is buffered, and TCP then slows the peer down.
# With 128 KiB and reads of up to 256 KiB, the connections to the targets of 80
# answers, half of them to idle callers, held as much as the budget of 25 MB.
_READ_BUFFER_BYTES = 65_536
# The same while the budget for slow callers is in demand.
_SMALL_READ_BUFFER_BYTES = 16_384
_INT = struct.Struct("i")
_LINGER_RESET = struct.pack("ii", 1, 0)


class ByteStream(asyncio.BufferedProtocol):
    """A TCP connection; at most one task may receive and one may send.

    Attributes:
        raw: The socket, for setting its options.
        budget: Limits what is buffered for the peer; None if senders wait until
            the kernel has accepted all bytes.
        unread: What `budget` knows of this connection.
        read_budget: Reading buffers less while this budget is in demand; None
            if it always buffers the same.
        on_peer_closed: Called once when the peer shuts down its side or the
            connection is lost.
    """

    def __init__(self):
        self.raw: socket.socket
        self.on_peer_closed: Callable[[], None] | None = None
        self.budget: send_buffer.BufferBudget | None = None
        self.unread = send_buffer.StreamBuffer(self)
        self.read_budget: send_buffer.BufferBudget | None = None
        self._transport: asyncio.Transport
        self._read_buffer = bytearray()
        self._incoming = bytearray()
        self._is_reading_paused = False
        self._is_peer_closed = False
        self._connection_error: Exception | None = None
        self._receiver: asyncio.Future[None] | None = None
        self._writable = asyncio.Event()
        self._writable.set()
        self._room = asyncio.Event()

    # Callbacks of the transport.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Stores the transport and its socket."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        # With a write buffer limit of 0, `_writable` is set only when the
        # kernel has accepted all bytes.
        transport.set_write_buffer_limits(0)
        self.raw = transport.get_extra_info("socket")

    def get_buffer(self, sizehint: int) -> bytearray:
        """Returns the buffer for the next read."""
        del sizehint
        self._incoming = bytearray(self._read_limit_bytes())
        return self._incoming

    def buffer_updated(self, nbytes: int) -> None:
        """Buffers received bytes; pauses reading when the buffer is full."""
        if self._read_buffer:
            self._read_buffer += memoryview(self._incoming)[:nbytes]
        else:
            del self._incoming[nbytes:]
            self._read_buffer = self._incoming
        self._incoming = bytearray()
        if (
            len(self._read_buffer) >= self._read_limit_bytes()
            and not self._is_reading_paused
        ):
            self._is_reading_paused = True
            self._transport.pause_reading()
        self._wake_receiver()

    def _read_limit_bytes(self) -> int:
        if self.read_budget is not None and self.read_budget.is_in_demand:
            return _SMALL_READ_BUFFER_BYTES
        return _READ_BUFFER_BYTES

    def eof_received(self) -> bool:
        """Records that the peer shut down its side; this side stays open."""
        self._record_peer_closed()
        return True

    def connection_lost(self, exc: Exception | None) -> None:
        """Records that the connection is closed, and why."""
        self._connection_error = exc or ConnectionAbortedError("closed here")
        self.resume_writing()
        self._record_peer_closed()

    def pause_writing(self) -> None:
        """Makes senders wait, or counts the unread bytes."""
        self._writable.clear()
        if self.budget is not None:
            loop = asyncio.get_running_loop()
            self.budget.add(self.unread, loop.time())
            self.budget.keep_ticking(loop)

    def resume_writing(self) -> None:
        """Lets senders continue."""
        self._writable.set()
        self._room.set()
        if self.budget is not None:
            self.budget.remove(self.unread)

    # Methods for the budget of buffered bytes.

    def count_unread(self) -> int:
        """Returns the bytes that the kernel has not accepted."""
        return self._transport.get_write_buffer_size()

    def count_unacknowledged(self) -> int:
        """Returns the bytes that the peer's kernel has not acknowledged.

        Only those that this side's kernel has accepted are counted.
        """
        if self.raw.fileno() < 0:
            return 0
        buffer = bytes(_INT.size)
        result = fcntl.ioctl(self.raw.fileno(), termios.TIOCOUTQ, buffer)
        return _INT.unpack(result)[0]

    def cut(self) -> None:
        """Closes the connection with a reset; buffered bytes are discarded."""
        if self.raw.fileno() >= 0:
            self.raw.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_RESET
            )
        self.abort()

    def wake_sender(self) -> None:
        """Lets a sender that waits in `wait_for_room` continue."""
        self._room.set()

    # Methods for users of the stream.

    async def receive(self) -> bytes:
        """Returns received bytes, or none when the peer shut down its side.

        Raises:
            OSError: The connection was lost.
        """
        while not self._read_buffer:
            if self._connection_error is not None:
                raise self._connection_error
            if self._is_peer_closed:
                return b""
            self._receiver = asyncio.get_running_loop().create_future()
            try:
                await self._receiver
            finally:
                self._receiver = None
        data = bytes(self._read_buffer)
        self._read_buffer.clear()
        if self._is_reading_paused:
            self._is_reading_paused = False
            self._transport.resume_reading()
        return data

    async def send(self, data: bytes) -> None:
        """Sends bytes; returns when the kernel has accepted all of them.

        Raises:
            OSError: The connection was lost.
        """
        self.write(data)
        await self._writable.wait()
        if self._connection_error is not None:
            raise self._connection_error

    def write(self, data: bytes) -> None:
        """Sends bytes; buffers those that the kernel does not accept.

        Raises:
            OSError: The connection was lost.
        """
        if self._connection_error is not None:
            raise self._connection_error
        if self._transport.is_closing():
            raise ConnectionAbortedError("closed here")
        self._transport.write(data)

    async def wait_for_room(self) -> None:
        """Returns when more bytes may be written.

        Without a budget, this is when the kernel has accepted all bytes.

        Raises:
            OSError: The connection was lost.
        """
        if self.budget is None:
            await self._writable.wait()
        while not self._may_write():
            self.unread.is_waiting = True
            self._room.clear()
            try:
                await self._room.wait()
            finally:
                self.unread.is_waiting = False
        if self._connection_error is not None:
            raise self._connection_error

    def _may_write(self) -> bool:
        if self._writable.is_set() or self.budget is None:
            return True
        return self.budget.may_buffer(self.unread)

    @property
    def is_peer_closed(self) -> bool:
        """Whether the peer shut down its side or the connection was lost.

        Reflects only what the event loop has processed so far.
        """
        return self._is_peer_closed

    def is_readable(self) -> bool:
        """Returns whether `receive` would return or raise immediately."""
        if self._read_buffer or self._is_peer_closed or self.raw.fileno() < 0:
            return True
        poller = select.poll()
        poller.register(self.raw.fileno(), select.POLLIN | select.POLLHUP)
        return bool(poller.poll(0))

    def send_eof(self) -> None:
        """Shuts down this side; bytes from the peer can still be received."""
        if not self._transport.is_closing():
            self._transport.write_eof()

    def close(self) -> None:
        """Closes the connection; resets it if bytes are still buffered.

        Nothing would limit how long these stay buffered. After a clean end, an
        answer that has no length would appear complete without them.
        """
        if self._transport.get_write_buffer_size():
            self.cut()
        else:
            self._transport.close()

    def abort(self) -> None:
        """Closes the connection and discards buffered bytes."""
        self._transport.abort()

    def _record_peer_closed(self) -> None:
        if not self._is_peer_closed:
            self._is_peer_closed = True
            if self.on_peer_closed is not None:
                self.on_peer_closed()
        self._wake_receiver()

    def _wake_receiver(self) -> None:
        if self._receiver is not None and not self._receiver.done():
            self._receiver.set_result(None)


async def open_connection(ip: str, port: int) -> ByteStream:
    """Returns a new connection.

    Raises:
        OSError: The connection could not be established.
    """
    loop = asyncio.get_running_loop()
    _, stream = await loop.create_connection(ByteStream, ip, port)
    return stream


async def wrap_accepted(raw: socket.socket) -> ByteStream:
    """Returns a stream for a socket returned by `accept`."""
    loop = asyncio.get_running_loop()
    _, stream = await loop.connect_accepted_socket(ByteStream, raw)
    return stream
