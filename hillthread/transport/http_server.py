"""HTTP server on top of hypercorn: sockets, requests and answers."""

from __future__ import annotations

from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Mapping
import hmac
import socket
from typing import Any
from urllib import parse

import anyio
import hypercorn.asyncio
import hypercorn.config
import msgspec

from hillthread import errors
from hillthread import settings as settings_lib
from hillthread.protocol import openai

__all__ = ["Handler", "Request", "Server", "send_json", "send_refusal"]

Receive = Callable[[], Awaitable[Any]]
Send = Callable[[Any], Awaitable[None]]

_BACKLOG = 512


class Request:
    """One HTTP request.

    Attributes:
        method: Upper-case method name.
        path: Path without the query.
        query: The raw query string.
        headers: Values by lower-case name; a repeated header has its last one.
    """

    def __init__(self, scope: Mapping[str, Any], receive: Receive):
        self.method: str = scope["method"]
        self.path: str = scope["path"]
        self.query: bytes = scope.get("query_string", b"")
        self.headers: dict[str, str] = {
            name.decode("latin-1"): value.decode("latin-1")
            for name, value in scope["headers"]
        }
        self.receive = receive

    def parameter(self, name: str, default: str = "") -> str:
        """Returns a query parameter, or the default when it is missing."""
        values = parse.parse_qs(self.query.decode("latin-1"))
        return values.get(name, [default])[-1]

    def int_parameter(self, name: str, default: int) -> int:
        """Returns a query parameter as an integer, or the default.

        The default also replaces a value that is not a whole number.
        """
        text = self.parameter(name)
        return int(text) if text.isdigit() else default

    def bearer_key(self) -> str | None:
        """Returns the key of the `Authorization: Bearer` header, or None."""
        scheme, _, key = self.headers.get("authorization", "").partition(" ")
        return key.strip() if scheme.lower() == "bearer" else None

    def has_bearer(self, key: str) -> bool:
        """Returns whether the request carries the given bearer key."""
        expected = f"Bearer {key}".encode()
        given = self.headers.get("authorization", "").encode()
        return hmac.compare_digest(expected, given)

    async def body(self, limit: int) -> bytes:
        """Returns the whole body.

        Raises:
            RefusalError: The body is larger than `limit`, or the caller closed
                the connection.
        """
        if int(self.headers.get("content-length", "0")) > limit:
            raise _body_too_large(limit)
        chunks = []
        size = 0
        while True:
            message = await self.receive()
            if message["type"] == "http.disconnect":
                raise errors.RefusalError(
                    "caller_left",
                    499,
                    "The caller closed the connection.",
                    "Send the request again.",
                )
            chunks.append(message.get("body", b""))
            size += len(chunks[-1])
            if size > limit:
                raise _body_too_large(limit)
            if not message.get("more_body", False):
                return b"".join(chunks)

    async def wait_for_disconnect(self) -> None:
        """Returns when the caller has closed the connection."""
        while True:
            message = await self.receive()
            if message["type"] == "http.disconnect":
                return


Handler = Callable[[Request, Send], Awaitable[None]]


class Server:
    """One listening socket and the handler of its requests.

    Attributes:
        address: `IP:port` it listens on, with the port assigned by the system.
    """

    def __init__(
        self,
        listen: str,
        handler: Handler,
        limits: settings_lib.CallerLimits | None = None,
        tls: settings_lib.TlsSettings | None = None,
    ):
        self.handler = handler
        self.limits = limits or settings_lib.CallerLimits()
        self.tls = tls
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.socket.bind(settings_lib.split_address(listen))
        # Programs print their addresses before the task of `serve` runs.
        self.socket.listen(_BACKLOG)
        ip, port = self.socket.getsockname()
        self.address = f"{ip}:{port}"

    async def serve(self, stop: anyio.Event) -> None:
        """Serves until `stop` is set and open requests are complete."""
        self.socket.setblocking(False)
        config = self._config()
        await hypercorn.asyncio.serve(
            self._application,  # type: ignore[arg-type]
            config,
            shutdown_trigger=stop.wait,
            mode="asgi",
        )

    async def _application(
        self, scope: Mapping[str, Any], receive: Receive, send: Send
    ) -> None:
        """Calls the handler for a request; an ASGI application."""
        if scope["type"] == "lifespan":
            await _accept_lifespan(receive, send)
        elif scope["type"] == "http":
            await self.handler(Request(scope, receive), send)

    def _config(self) -> hypercorn.config.Config:
        config = hypercorn.config.Config()
        config.bind = [f"fd://{self.socket.fileno()}"]
        config.include_server_header = False
        config.include_date_header = False
        config.accesslog = None
        config.errorlog = None
        config.h11_max_incomplete_size = self.limits.max_header_bytes
        # A read timeout would cut answers to callers that send nothing more.
        config.read_timeout = None
        config.keep_alive_timeout = self.limits.keep_alive_s
        config.graceful_timeout = 1.0
        config.alpn_protocols = ["http/1.1"]
        if self.tls is not None:
            config.certfile = self.tls.certificate
            config.keyfile = self.tls.key
        return config


async def send_body(
    send: Send,
    status: int,
    body: bytes,
    content_type: bytes = b"application/json",
    headers: tuple[tuple[bytes, bytes], ...] = (),
) -> None:
    """Sends a complete answer."""
    fixed = (
        (b"content-type", content_type),
        (b"content-length", str(len(body)).encode()),
    )
    await send(
        {
            "type": "http.response.start",
            "status": status,
            "headers": [*fixed, *headers],
        }
    )
    await send({"type": "http.response.body", "body": body})


async def send_json(send: Send, status: int, value: Any) -> None:
    """Sends a complete answer with a JSON body."""
    await send_body(send, status, msgspec.json.encode(value))


async def send_refusal(
    send: Send,
    refusal: errors.RefusalError,
    request_id: str,
    headers: tuple[tuple[bytes, bytes], ...] = (),
) -> None:
    """Sends a typed error in the error format of the OpenAI API."""
    extra = [(b"x-request-id", request_id.encode()), *headers]
    retry_after = openai.format_retry_after(refusal)
    if retry_after is not None:
        extra.append((b"retry-after", retry_after))
    await send_body(
        send,
        refusal.status,
        openai.encode_error_body(refusal, request_id),
        headers=tuple(extra),
    )


async def _accept_lifespan(receive: Receive, send: Send) -> None:
    """Acknowledges the ASGI lifespan messages for startup and shutdown."""
    while True:
        message = await receive()
        await send({"type": message["type"] + ".complete"})
        if message["type"] == "lifespan.shutdown":
            return


def _body_too_large(limit: int) -> errors.RefusalError:
    return errors.RefusalError(
        "body_too_large",
        413,
        f"The body is larger than {limit} bytes.",
        "Send a shorter prompt.",
    )
