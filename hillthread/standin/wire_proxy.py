"""A proxy that passes bytes on, and treats connections as a bad link does.

It looks at no message: links delay, stop in one direction or both, and reset.
What a link holds up is delivered when it heals, as retransmission would. Open
connections may also fall silent for good while new ones work, as behind a box
that forgot them; the kernel still sees acknowledgements, unlike on a real link.
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

    THERE = "there"
    BACK = "back"


class WireProxy:
    """Stands on the link between clients and one server.

    Attributes:
        upstream: `IP:port` of the server; may be changed at any time.
        address: `IP:port` where clients connect.
        delay_s: Added to each piece of data.
        connections: Connections that are open.
    """

    def __init__(self, upstream: str = ""):
        self.upstream = upstream
        self.delay_s = 0.0
        self.connections: set[anyio.abc.SocketStream] = set()
        self._silent: set[anyio.abc.SocketStream] = set()
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
        """Swallows for good what is sent over connections open now."""
        self._silent |= self.connections

    async def reset(self) -> None:
        """Resets all open connections."""
        for stream in list(self.connections):
            raw = stream.extra(anyio.abc.SocketAttribute.raw_socket)
            with contextlib.suppress(OSError):  # it has just been closed
                raw.setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, _RESET_LINGER
                )
            await anyio.aclose_forcefully(stream)

    async def serve(self) -> None:
        """Passes connections on until cancelled."""
        listener = await anyio.abc.SocketListener.from_socket(self.listener)
        async with listener:
            await listener.serve(self._pass_on)

    async def _pass_on(self, client: anyio.abc.SocketStream) -> None:
        ip, port = settings_lib.split_address(self.upstream)
        try:
            server = await anyio.connect_tcp(ip, port)
        except OSError:
            await anyio.aclose_forcefully(client)
            return
        ends = {client, server}
        self.connections |= ends
        try:
            async with client, server, anyio.create_task_group() as tasks:
                tasks.start_soon(self._pump, client, server, Direction.THERE)
                tasks.start_soon(self._pump, server, client, Direction.BACK)
        except* _LOST:
            pass  # one side is gone; the other was closed with it
        finally:
            self.connections -= ends
            self._silent -= ends

    async def _pump(
        self,
        source: anyio.abc.SocketStream,
        sink: anyio.abc.SocketStream,
        direction: Direction,
    ) -> None:
        while True:
            try:
                data = await source.receive(_READ_BYTES)
            except anyio.EndOfStream:
                data = b""
            await self._open[direction].wait()
            if self.delay_s:
                await anyio.sleep(self.delay_s)
            if source in self._silent:
                if not data:
                    return
                continue
            if not data:
                await sink.send_eof()
                return
            await sink.send(data)
