"""HTTP client for targets that reports how far a failed request got.

It uses single connections of httpcore, on which httpx is built. httpx's pool
compares all connections with each other for every request, which with some
hundred connections costs more than the request itself.
"""

from __future__ import annotations

import collections
from collections.abc import AsyncIterator
from collections.abc import Mapping
import contextlib
from typing import Any

import httpcore

from hillthread import settings as settings_lib
from hillthread.state.routing import records

__all__ = ["AttemptError", "TargetClient", "TargetResponse"]

_MAX_IDLE_CONNECTIONS = 64
_KEEP_ALIVE_S = 20.0
_UNSENT_ERRORS = (
    httpcore.ConnectError,
    httpcore.ConnectTimeout,
    httpcore.ConnectionNotAvailable,
    httpcore.LocalProtocolError,
    httpcore.UnsupportedProtocol,
)
_LIBRARY_ERRORS = (
    httpcore.NetworkError,
    httpcore.TimeoutException,
    httpcore.ProtocolError,
    httpcore.ConnectionNotAvailable,
    httpcore.UnsupportedProtocol,
)


class AttemptError(Exception):
    """An attempt at sending a request to a target failed.

    Attributes:
        state: How far the attempt got.
        reason: A short description of the failure.
        is_target_fault: Whether the failure counts against the target.
        resumable: Whether the same answer may be requested again.
    """

    def __init__(
        self,
        state: records.AttemptState,
        reason: str,
        is_target_fault: bool = True,
        resumable: bool = True,
    ):
        super().__init__(f"{state}: {reason}")
        self.state = state
        self.reason = reason
        self.is_target_fault = is_target_fault
        self.resumable = resumable


class TargetResponse:
    """The head of an answer whose body has not been read yet.

    Attributes:
        status_code: HTTP status code.
        headers: Values by lower-case name; a repeated header has its last one.
        header_items: All names and values in order.
    """

    def __init__(self, response: httpcore.Response, timeout: dict[str, float]):
        self.response = response
        self.timeout = timeout
        self.status_code = response.status
        self.header_items = [
            (name.decode("latin-1").lower(), value.decode("latin-1"))
            for name, value in response.headers
        ]
        self.headers = dict(self.header_items)


class TargetClient:
    """Sends requests to targets over kept-alive connections.

    A connection is reused only after its answer was read to the end; one with
    unread bytes is closed.

    Attributes:
        opened: Connections opened so far.
        idle: Idle connections by address, the last used one at the end.
    """

    def __init__(
        self,
        connect_timeout_s: float,
        first_byte_timeout_s: float,
        idle_timeout_s: float,
    ):
        self.connect_timeout_s = connect_timeout_s
        self.first_byte_timeout_s = first_byte_timeout_s
        self.idle_timeout_s = idle_timeout_s
        self.opened = 0
        self.idle: dict[
            str, collections.deque[httpcore.AsyncHTTPConnection]
        ] = {}

    async def close(self) -> None:
        """Closes all idle connections."""
        for connections in self.idle.values():
            while connections:
                await connections.pop().aclose()

    @contextlib.asynccontextmanager
    async def open(
        self,
        address: str,
        method: str,
        path: str,
        headers: Mapping[str, str],
        body: bytes | None,
    ) -> AsyncIterator[TargetResponse]:
        """Sends a request and yields the answer, its body unread.

        Raises:
            AttemptError: The request failed; `state` tells whether it was sent.
        """
        timeout = {
            "connect": self.connect_timeout_s,
            "write": self.first_byte_timeout_s,
            "read": self.first_byte_timeout_s,
        }
        request = _request(address, method, path, headers, body, timeout)
        connection = await self._acquire(address)
        try:
            response = await connection.handle_async_request(request)
        except _LIBRARY_ERRORS as error:
            await connection.aclose()
            state = records.AttemptState.SENT
            if isinstance(error, _UNSENT_ERRORS):
                state = records.AttemptState.UNSENT
            raise AttemptError(state, describe(error)) from error
        except BaseException:
            await connection.aclose()
            raise
        timeout["read"] = self.idle_timeout_s
        try:
            yield TargetResponse(response, timeout)
        finally:
            await response.aclose()
            await self._release(address, connection)

    async def read_all(self, response: TargetResponse, limit: int) -> bytes:
        """Returns the whole body of an answer.

        Raises:
            AttemptError: The body is truncated or larger than `limit`.
        """
        chunks = []
        size = 0
        async for chunk in self.read(response):
            size += len(chunk)
            if size > limit:
                raise AttemptError(
                    records.AttemptState.ACCEPTED, "answer too large"
                )
            chunks.append(chunk)
        return b"".join(chunks)

    async def read(self, response: TargetResponse) -> AsyncIterator[bytes]:
        """Yields the parts of an answer's body as they arrive.

        Raises:
            AttemptError: The body is truncated or stalled.
        """
        stream: Any = response.response.stream
        try:
            async for chunk in stream:
                yield chunk
        except _LIBRARY_ERRORS as error:
            raise AttemptError(
                records.AttemptState.ACCEPTED, describe(error)
            ) from error

    async def _acquire(self, address: str) -> httpcore.AsyncHTTPConnection:
        """Returns an idle connection that has not expired, or a new one."""
        connections = self.idle.get(address)
        while connections:
            connection = connections.pop()
            if not connection.has_expired():
                return connection
            await connection.aclose()
        ip, port = settings_lib.split_address(address)
        self.opened += 1
        return httpcore.AsyncHTTPConnection(
            httpcore.Origin(b"http", ip.encode(), port),
            keepalive_expiry=_KEEP_ALIVE_S,
        )

    async def _release(
        self, address: str, connection: httpcore.AsyncHTTPConnection
    ) -> None:
        """Keeps a connection whose answer was read to the end, or closes it."""
        connections = self.idle.setdefault(address, collections.deque())
        if connection.is_idle() and len(connections) < _MAX_IDLE_CONNECTIONS:
            connections.append(connection)
        else:
            await connection.aclose()


def describe(error: Exception) -> str:
    """Returns the type and text of an error of the HTTP library."""
    text = str(error)
    name = type(error).__name__
    return f"{name}: {text}" if text else name


def _request(
    address: str,
    method: str,
    path: str,
    headers: Mapping[str, str],
    body: bytes | None,
    timeout: dict[str, float],
) -> httpcore.Request:
    items = [(b"host", address.encode())]
    items += [
        (name.encode("latin-1"), value.encode("latin-1"))
        for name, value in headers.items()
    ]
    if body is not None:
        items.append((b"content-length", str(len(body)).encode()))
    ip, port = settings_lib.split_address(address)
    return httpcore.Request(
        method,
        httpcore.URL(
            scheme=b"http",
            host=ip.encode(),
            port=port,
            target=path.encode("latin-1"),
        ),
        headers=items,
        content=body,
        extensions={"timeout": timeout},
    )
