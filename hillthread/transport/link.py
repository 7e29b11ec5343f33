"""Authenticated websocket links between hillthread's own processes."""

from __future__ import annotations

from collections.abc import AsyncIterator
from collections.abc import Awaitable
from collections.abc import Callable
import hmac
import secrets
import socket
from typing import Any
from typing import NamedTuple

import anyio
import websockets
from websockets.asyncio import client as websockets_client
from websockets.asyncio import server as websockets_server

from hillthread import errors
from hillthread import settings as settings_lib
from hillthread.protocol import messages

__all__ = ["Identity", "Link", "LinkServer", "connect"]

_HANDSHAKE_TIMEOUT_S = 3.0
_NONCE_BYTES = 16
_MAX_QUEUED_MESSAGES = 64
_WEBSOCKET_OPTIONS: dict[str, Any] = {
    "compression": None,
    "max_size": messages.MAX_MESSAGE_BYTES,
    "max_queue": _MAX_QUEUED_MESSAGES,
    "ping_interval": None,
    "open_timeout": _HANDSHAKE_TIMEOUT_S,
    "close_timeout": 0.5,
}


class Identity(NamedTuple):
    """The identity of a process in the handshake.

    Attributes:
        role: `router` or `control`.
        host: The host's name.
        data_centre: The host's data centre.
        incarnation: Different for each start of the process.
    """

    role: str
    host: str
    data_centre: str
    incarnation: str


class Link:
    """One open link to an authenticated process.

    Attributes:
        peer: Identity of the process at the other end.
        count_bytes: Called with `sent` or `received` and a message's size.
    """

    def __init__(self, connection: Any, peer: Identity):
        self.connection = connection
        self.peer = peer
        self.count_bytes: Callable[[str, int], None] = _ignore_bytes

    async def send(self, message: messages.Message) -> None:
        """Sends a message; waits while the peer is slow to read.

        Raises:
            PeerError: The link is closed.
        """
        await self.send_encoded(messages.encode_message(message))

    async def send_encoded(self, data: bytes) -> None:
        """Sends an encoded message; waits while the peer is slow to read.

        Raises:
            PeerError: The link is closed.
        """
        self.count_bytes("sent", len(data))
        try:
            await self.connection.send(data)
        except websockets.ConnectionClosed as error:
            raise _link_closed_error(self.peer.host) from error

    async def receive(self) -> AsyncIterator[messages.Message]:
        """Yields messages until the link is closed.

        Raises:
            PeerError: A message cannot be decoded.
        """
        try:
            async for data in self.connection:
                raw = data if isinstance(data, bytes) else data.encode()
                self.count_bytes("received", len(raw))
                yield messages.decode_message(raw)
        except websockets.ConnectionClosed:
            return

    async def close(self) -> None:
        """Closes the link."""
        await self.connection.close()


LinkHandler = Callable[[Link], Awaitable[None]]


class LinkServer:
    """Accepts links from other processes.

    Attributes:
        address: `IP:port` it listens on, with the port assigned by the system.
        refused: Number of connections that failed the handshake.
    """

    def __init__(
        self, listen: str, identity: Identity, secret: str, handler: LinkHandler
    ):
        self.identity = identity
        self.secret = secret
        self.handler = handler
        self.refused = 0
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.socket.bind(settings_lib.split_address(listen))
        ip, port = self.socket.getsockname()
        self.address = f"{ip}:{port}"

    async def serve(self) -> None:
        """Accepts links until cancelled."""
        async with websockets_server.serve(
            self._accept, sock=self.socket, **_WEBSOCKET_OPTIONS
        ):
            await anyio.sleep_forever()

    async def _accept(self, connection: Any) -> None:
        try:
            with anyio.fail_after(_HANDSHAKE_TIMEOUT_S):
                peer = await self._handshake(connection)
        except (errors.PeerError, TimeoutError, websockets.ConnectionClosed):
            self.refused += 1
            await connection.close()
            return
        await self.handler(Link(connection, peer))

    async def _handshake(self, connection: Any) -> Identity:
        nonce = secrets.token_bytes(_NONCE_BYTES)
        challenge = messages.Challenge(messages.VERSION, nonce)
        await connection.send(messages.encode_message(challenge))
        hello = _expect(await connection.recv(), messages.Hello)
        _check_version(hello.version)
        peer = Identity(
            hello.role, hello.host, hello.data_centre, hello.incarnation
        )
        _check_proof(self.secret, nonce, peer, hello.proof)
        own = self.identity
        proof = messages.make_proof(self.secret, hello.nonce, *own)
        welcome = messages.Welcome(
            own.host, own.data_centre, own.incarnation, proof
        )
        await connection.send(messages.encode_message(welcome))
        return peer


async def connect(address: str, identity: Identity, secret: str) -> Link:
    """Returns a link to the process that listens at an address.

    Raises:
        PeerError: The process cannot be reached, or does not prove that it
            knows the secret.
    """
    try:
        connection = await websockets_client.connect(
            f"ws://{address}", proxy=None, **_WEBSOCKET_OPTIONS
        )
    except (OSError, TimeoutError, websockets.WebSocketException) as error:
        raise _link_closed_error(address) from error
    try:
        with anyio.fail_after(_HANDSHAKE_TIMEOUT_S):
            peer = await _authenticate(connection, identity, secret)
    except (TimeoutError, websockets.ConnectionClosed) as error:
        await connection.close()
        raise _link_closed_error(address) from error
    except errors.PeerError:
        await connection.close()
        raise
    return Link(connection, peer)


async def _authenticate(
    connection: Any, identity: Identity, secret: str
) -> Identity:
    challenge = _expect(await connection.recv(), messages.Challenge)
    _check_version(challenge.version)
    nonce = secrets.token_bytes(_NONCE_BYTES)
    hello = messages.Hello(
        messages.VERSION,
        *identity,
        nonce,
        messages.make_proof(secret, challenge.nonce, *identity),
    )
    await connection.send(messages.encode_message(hello))
    welcome = _expect(await connection.recv(), messages.Welcome)
    peer = Identity(
        "control", welcome.host, welcome.data_centre, welcome.incarnation
    )
    _check_proof(secret, nonce, peer, welcome.proof)
    return peer


def _expect(data: Any, kind: Any) -> Any:
    message = messages.decode_message(data if isinstance(data, bytes) else b"")
    if not isinstance(message, kind):
        raise errors.PeerError(
            f"Expected {kind.__name__}, got {type(message).__name__}.",
            "Run the same release on all hosts.",
        )
    return message


def _check_version(version: int) -> None:
    if version != messages.VERSION:
        raise errors.PeerError(
            f"The peer uses protocol version {version}, this process "
            f"{messages.VERSION}.",
            "Upgrade the older host.",
        )


def _check_proof(
    secret: str, nonce: bytes, peer: Identity, proof: bytes
) -> None:
    expected = messages.make_proof(secret, nonce, *peer)
    if not hmac.compare_digest(expected, proof):
        raise errors.PeerError(
            f"{peer.host} does not know the shared secret.",
            "Put the same `secret` into the settings of all processes.",
        )


def _ignore_bytes(direction: str, count: int) -> None:
    del direction, count


def _link_closed_error(peer_name: str) -> errors.PeerError:
    return errors.PeerError(
        f"The link to {peer_name} is closed or cannot be opened.",
        "Check that the process runs and is reachable.",
    )
