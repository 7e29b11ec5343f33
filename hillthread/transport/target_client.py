"""Requests to targets: what was sent is known when one fails."""

from __future__ import annotations

from collections.abc import AsyncIterator
from collections.abc import Mapping
import contextlib

import httpx

from hillthread.state import records

__all__ = ["AttemptError", "TargetClient"]

_UNSENT_ERRORS = (
    httpx.ConnectError,
    httpx.ConnectTimeout,
    httpx.PoolTimeout,
    httpx.UnsupportedProtocol,
    httpx.LocalProtocolError,
)


class AttemptError(Exception):
    """An attempt failed.

    Attributes:
        state: How far it got.
        reason: Why, in a few words.
        targets_fault: Whether it counts against the target.
        resumable: Whether the same answer may be asked for again.
    """

    def __init__(
        self,
        state: records.AttemptState,
        reason: str,
        targets_fault: bool = True,
        resumable: bool = True,
    ):
        super().__init__(f"{state}: {reason}")
        self.state = state
        self.reason = reason
        self.targets_fault = targets_fault
        self.resumable = resumable


class TargetClient:
    """Keeps connections to targets.

    A connection is used again only after its answer was read to the end; one
    that is left with unread bytes is closed by the library.
    """

    def __init__(
        self,
        connect_timeout_s: float,
        first_byte_timeout_s: float,
        idle_timeout_s: float,
    ):
        self.idle_timeout_s = idle_timeout_s
        self.timeout = httpx.Timeout(
            first_byte_timeout_s, connect=connect_timeout_s
        )
        self.client = httpx.AsyncClient(
            trust_env=False,
            follow_redirects=False,
            limits=httpx.Limits(
                max_connections=None, max_keepalive_connections=512
            ),
        )

    async def close(self) -> None:
        """Closes all connections."""
        await self.client.aclose()

    @contextlib.asynccontextmanager
    async def open(
        self,
        address: str,
        method: str,
        path: str,
        headers: Mapping[str, str],
        body: bytes | None,
    ) -> AsyncIterator[httpx.Response]:
        """Sends a request and yields the answer, its body unread.

        Raises:
            AttemptError: No answer came; its state tells what was sent.
        """
        request = self.client.build_request(
            method,
            f"http://{address}{path}",
            headers=dict(headers),
            content=body,
            timeout=self.timeout,
        )
        try:
            response = await self.client.send(request, stream=True)
        except _UNSENT_ERRORS as error:
            raise AttemptError(
                records.AttemptState.UNSENT, describe(error)
            ) from error
        except httpx.HTTPError as error:
            raise AttemptError(
                records.AttemptState.SENT, describe(error)
            ) from error
        try:
            yield response
        finally:
            await response.aclose()

    async def read_all(self, response: httpx.Response, limit: int) -> bytes:
        """Returns the whole body of an answer.

        Raises:
            AttemptError: It broke off or is larger than `limit`.
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

    async def read(self, response: httpx.Response) -> AsyncIterator[bytes]:
        """Yields the parts of an answer's body as they come.

        Raises:
            AttemptError: It broke off or stalled.
        """
        try:
            async for chunk in response.aiter_raw():
                yield chunk
        except httpx.HTTPError as error:
            raise AttemptError(
                records.AttemptState.ACCEPTED, describe(error)
            ) from error


def describe(error: Exception) -> str:
    """Returns a short description of a library's error."""
    text = str(error)
    name = type(error).__name__
    return f"{name}: {text}" if text else name
