"""A proxy that passes bytes on, and treats connections as a bad link does.

It looks at no message: links delay, stop in one direction or both, and reset.
What a link holds up is delivered when it heals, as retransmission would. What a
silenced connection holds is never delivered, nor is its end.
"""

from __future__ import annotations

import contextlib
import enum
import socket
import struct

import anyio
import anyio.abc

from hillthread import settings as settings_lib

__all__ = ["Direction", "WireProxy"]

_BACKLOG = 256
_READ_BYTES = 65_536
_RESET_LINGER = struct.pack("ii", 1, 0)
_LOST = (
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
    anyio.EndOfStream,
    OSError,
)


class Direction(enum.StrEnum):
    """Which way bytes go."""

    TO_SERVER = "there"
    TO_CLIENT = "back"


class WireProxy:
    """Stands on the link between clients and one server.

    Attributes:
        upstream: `IP:port` of the server; may be changed at any time. Empty
            while there is none: connections are then reset.
        address: `IP:port` where clients connect.
        delay_s: Added to each piece of data.
        connections: Connections that are open.
    """

    def __init__(self, upstream: str = ""):
        self.upstream = upstream
        self.delay_s = 0.0
        self.connections: set[anyio.abc.SocketStream] = set()
        self._silenced: set[anyio.abc.SocketStream] = set()
        self._open = {direction: anyio.Event() for direction in Direction}
        self.heal()
        self.listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self.listener.bind(("127.0.0.1", 0))
        self.listener.listen(_BACKLOG)
        self.listener.setblocking(False)
        ip, port = self.listener.getsockname()
        self.address = f"{ip}:{port}"

    def cut(self, *directions: Direction) -> None:
        """Holds up what goes in some directions; all when none is named."""
        for direction in directions or tuple(Direction):
            if self._open[direction].is_set():
                self._open[direction] = anyio.Event()

    def heal(self) -> None:
        """Passes everything on at once again."""
        self.delay_s = 0.0
        for event in self._open.values():
            event.set()

    def silence(self) -> None:
        """Passes nothing on any more for connections that are open now.

        Neither side hears of it, nor of the other's end; new connections work.
        """
        self._silenced |= self.connections
        self.connections.clear()

    async def reset(self) -> None:
        """Resets all open connections but those that were silenced."""
        for stream in list(self.connections):
            _reset_at_close(stream)
            await anyio.aclose_forcefully(stream)

    async def serve(self) -> None:
        """Passes connections on until cancelled."""
        listener = await anyio.abc.SocketListener.from_socket(self.listener)
        async with listener:
            await listener.serve(self._pass_on)

    async def serve_datagrams(self) -> None:
        """Passes datagrams on, too, while nothing is cut; until cancelled."""
        ip, port = settings_lib.split_address(self.address)
        opened = await anyio.create_udp_socket(
            family=socket.AF_INET, local_host=ip, local_port=port
        )
        async with opened:
            async for packet, _ in opened:
                is_open = all(event.is_set() for event in self._open.values())
                if self.upstream and is_open:
                    server = settings_lib.split_address(self.upstream)
                    await opened.sendto(packet, *server)

    async def _pass_on(self, client: anyio.abc.SocketStream) -> None:
        server = await self._connect()
        if server is None:
            _reset_at_close(client)
            await anyio.aclose_forcefully(client)
            return
        ends = {client, server}
        self.connections |= ends
        try:
            async with client, server:
                await self._pump_both(client, server)
        except* _LOST:
            pass  # one side is gone; the other was closed with it
        finally:
            self.connections -= ends
            self._silenced -= ends

    async def _connect(self) -> anyio.abc.SocketStream | None:
        """Returns a connection to the server, or None when it is not there."""
        if not self.upstream:
            return None
        ip, port = settings_lib.split_address(self.upstream)
        try:
            return await anyio.connect_tcp(ip, port)
        except OSError:
            return None

    async def _pump_both(
        self, client: anyio.abc.SocketStream, server: anyio.abc.SocketStream
    ) -> None:
        try:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(
                    self._pump, client, server, Direction.TO_SERVER
                )
                tasks.start_soon(
                    self._pump, server, client, Direction.TO_CLIENT
                )
        except* _LOST:
            # A reset on one side is one on the other, not an orderly end.
            _reset_at_close(client)
            _reset_at_close(server)

    async def _pump(
        self,
        source: anyio.abc.SocketStream,
        sink: anyio.abc.SocketStream,
        direction: Direction,
    ) -> None:
        while True:
            data = await self._receive(source)
            await self._open[direction].wait()
            if source in self._silenced:
                await anyio.sleep_forever()
            if not data:
                await sink.send_eof()
                return
            if self.delay_s:
                await anyio.sleep(self.delay_s)
            await sink.send(data)

    async def _receive(self, source: anyio.abc.SocketStream) -> bytes:
        """Returns what came; nothing at the end of the connection."""
        try:
            return await source.receive(_READ_BYTES)
        except anyio.EndOfStream:
            return b""
        except _LOST:
            if source in self._silenced:
                return b""
            raise


def _reset_at_close(stream: anyio.abc.SocketStream) -> None:
    """Has the coming close of a connection reset it."""
    raw = stream.extra(anyio.abc.SocketAttribute.raw_socket)
    with contextlib.suppress(OSError):  # it has just been closed
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_LINGER)
