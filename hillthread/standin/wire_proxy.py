"""A TCP and UDP proxy that simulates a faulty network link.

It does not parse messages. It delays data, blocks one direction or both, and
resets connections. Blocked data is delivered once the link is healed, as TCP
retransmission would do. Data and the end of a silenced connection are never
delivered.
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
_CONNECTION_ERRORS = (
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
    anyio.EndOfStream,
    OSError,
)


class Direction(enum.StrEnum):
    """The direction of a data flow."""

    TO_SERVER = "there"
    TO_CLIENT = "back"


class WireProxy:
    """Forwards connections and datagrams of clients to a server.

    Attributes:
        upstream: `IP:port` of the server; may be changed at any time. While
            it is empty, new connections are reset.
        address: `IP:port` that clients connect to.
        delay_s: Delay before each chunk of data is forwarded.
        connections: Open sockets of both sides, without silenced ones.
        listener: Listening socket at `address`.
    """

    def __init__(self, upstream: str = ""):
        self.upstream = upstream
        self.delay_s = 0.0
        self.connections: set[anyio.abc.SocketStream] = set()
        self._silenced: set[anyio.abc.SocketStream] = set()
        self._flowing = {direction: anyio.Event() for direction in Direction}
        self.heal()
        self.listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self.listener.bind(("127.0.0.1", 0))
        self.listener.listen(_BACKLOG)
        self.listener.setblocking(False)
        ip, port = self.listener.getsockname()
        self.address = f"{ip}:{port}"

    def cut(self, *directions: Direction) -> None:
        """Blocks data in the given directions, or in both if none is given."""
        for direction in directions or tuple(Direction):
            if self._flowing[direction].is_set():
                self._flowing[direction] = anyio.Event()

    def heal(self) -> None:
        """Unblocks all directions and removes the delay."""
        self.delay_s = 0.0
        for event in self._flowing.values():
            event.set()

    def silence(self) -> None:
        """Stops forwarding on all open connections for good.

        Neither side is notified, not even when the other side closes its
        connection. New connections work.
        """
        self._silenced |= self.connections
        self.connections.clear()

    async def reset(self) -> None:
        """Resets all open connections except silenced ones."""
        for stream in list(self.connections):
            _reset_at_close(stream)
            await anyio.aclose_forcefully(stream)

    async def serve(self) -> None:
        """Forwards connections until cancelled."""
        listener = await anyio.abc.SocketListener.from_socket(self.listener)
        async with listener:
            await listener.serve(self._forward)

    async def serve_datagrams(self) -> None:
        """Forwards datagrams while no direction is cut, until cancelled."""
        ip, port = settings_lib.split_address(self.address)
        udp_socket = await anyio.create_udp_socket(
            family=socket.AF_INET, local_host=ip, local_port=port
        )
        async with udp_socket:
            async for datagram, _ in udp_socket:
                is_open = all(
                    event.is_set() for event in self._flowing.values()
                )
                if self.upstream and is_open:
                    server = settings_lib.split_address(self.upstream)
                    await udp_socket.sendto(datagram, *server)

    async def _forward(self, client: anyio.abc.SocketStream) -> None:
        server = await self._connect()
        if server is None:
            _reset_at_close(client)
            await anyio.aclose_forcefully(client)
            return
        both_sides = {client, server}
        self.connections |= both_sides
        try:
            async with client, server:
                await self._pump_both(client, server)
        except* _CONNECTION_ERRORS:
            pass  # a side has disconnected; both are closed
        finally:
            self.connections -= both_sides
            self._silenced -= both_sides

    async def _connect(self) -> anyio.abc.SocketStream | None:
        """Returns a connection to the server, or None if it is unreachable."""
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
        except* _CONNECTION_ERRORS:
            # Forward a reset as a reset, not as an orderly close.
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
            await self._flowing[direction].wait()
            if source in self._silenced:
                await anyio.sleep_forever()
            if not data:
                await sink.send_eof()
                return
            if self.delay_s:
                await anyio.sleep(self.delay_s)
            await sink.send(data)

    async def _receive(self, source: anyio.abc.SocketStream) -> bytes:
        """Returns received data, or no bytes at the end of the connection."""
        try:
            return await source.receive(_READ_BYTES)
        except anyio.EndOfStream:
            return b""
        except _CONNECTION_ERRORS:
            if source in self._silenced:
                return b""
            raise


def _reset_at_close(stream: anyio.abc.SocketStream) -> None:
    """Sets up a connection to be reset when it is closed."""
    raw = stream.extra(anyio.abc.SocketAttribute.raw_socket)
    with contextlib.suppress(OSError):  # already closed
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_LINGER)
