"""A caller that judges its answer itself: whole, in order, its own."""

from __future__ import annotations

import itertools
import time
from typing import Any
from typing import NamedTuple

import anyio
import httpx
import msgspec

from hillthread.protocol import engine
from hillthread.protocol import event_stream
from hillthread.standin import language

__all__ = ["Answer", "Caller", "expected_text"]

_MAX_EVENT = 1_048_576


class Answer(NamedTuple):
    """What a caller got.

    Attributes:
        status: HTTP status; 0 when no answer came.
        request_id: As told by the router.
        text: The words received.
        complete: Whether the terminal marker came.
        clean_end: Whether the body ended as HTTP asks.
        error: The error told, or None.
        first_token_s: From sending to the first event; None without one.
        total_s: From sending to the end.
        prompt_tokens: As told, or 0.
        cached_tokens: As told, or 0.
    """

    status: int
    request_id: str = ""
    text: str = ""
    complete: bool = False
    clean_end: bool = False
    error: dict[str, Any] | None = None
    first_token_s: float | None = None
    total_s: float = 0.0
    prompt_tokens: int = 0
    cached_tokens: int = 0

    @property
    def run(self) -> str:
        """The run state a refusal told, or empty."""
        return self.error.get("run", "") if self.error else ""


class Caller:
    """Sends completion requests to one address.

    Attributes:
        client: The HTTP client, with the caller's key.
    """

    def __init__(self, address: str, key: str = "", timeout_s: float = 60.0):
        headers = {"authorization": f"Bearer {key}"} if key else {}
        self.address = address
        self.client = httpx.AsyncClient(
            base_url=f"http://{address}",
            headers=headers,
            trust_env=False,
            timeout=timeout_s,
            limits=httpx.Limits(max_connections=None),
        )

    async def close(self) -> None:
        """Closes all connections."""
        await self.client.aclose()

    async def ask(
        self,
        messages: list[dict[str, str]],
        max_tokens: int,
        headers: dict[str, str] | None = None,
        **fields: Any,
    ) -> Answer:
        """Asks for a streamed chat completion and reads it to its end."""
        body = {
            "model": "m1",
            "stream": True,
            "stream_options": {"include_usage": True},
            "max_tokens": max_tokens,
            "messages": messages,
            **fields,
        }
        started = time.monotonic()
        reader = _Reader(started)
        try:
            async with self.client.stream(
                "POST", "/v1/chat/completions", json=body, headers=headers
            ) as response:
                await reader.read(response)
        except httpx.HTTPError:
            reader.clean_end = False
        return reader.answer()

    async def ask_whole(
        self,
        messages: list[dict[str, str]],
        max_tokens: int,
        headers: dict[str, str] | None = None,
    ) -> Answer:
        """Asks for a completion that is not streamed."""
        body = {"model": "m1", "max_tokens": max_tokens, "messages": messages}
        try:
            response = await self.client.post(
                "/v1/chat/completions", json=body, headers=headers
            )
            value = response.json()
        except (httpx.HTTPError, ValueError):
            return Answer(0)
        request_id = response.headers.get("x-request-id", "")
        if response.status_code != 200:
            return Answer(
                response.status_code, request_id, error=value.get("error")
            )
        text = value["choices"][0]["message"]["content"]
        return Answer(200, request_id, text, complete=True, clean_end=True)


class _Reader:
    """Reads one streamed answer."""

    def __init__(self, started: float):
        self.started = started
        self.status = 0
        self.request_id = ""
        self.parts: list[str] = []
        self.complete = False
        self.clean_end = False
        self.error: dict[str, Any] | None = None
        self.first_token_s: float | None = None
        self.usage: engine.AnswerUsage | None = None

    async def read(self, response: httpx.Response) -> None:
        """Reads a response to its end."""
        self.status = response.status_code
        self.request_id = response.headers.get("x-request-id", "")
        if self.status != 200:
            value = msgspec.json.decode(await response.aread())
            self.error = value.get("error")
            self.clean_end = True
            return
        splitter = event_stream.EventSplitter(_MAX_EVENT)
        async for chunk in response.aiter_raw():
            for event in splitter.feed(chunk):
                self._take(event)
        self.clean_end = True

    def answer(self) -> Answer:
        """Returns what was read."""
        return Answer(
            self.status,
            self.request_id,
            "".join(self.parts),
            self.complete,
            self.clean_end,
            self.error,
            self.first_token_s,
            time.monotonic() - self.started,
            self.usage.prompt_tokens if self.usage else 0,
            (self.usage.cached_tokens or 0) if self.usage else 0,
        )

    def _take(self, event: event_stream.Event) -> None:
        if event.data == engine.DONE:
            self.complete = True
            return
        if not event.data:
            return  # a blank line carries nothing
        if self.first_token_s is None:
            self.first_token_s = time.monotonic() - self.started
        chunk = msgspec.json.decode(event.data)
        if "error" in chunk:
            self.error = chunk["error"]
            return
        for choice in chunk["choices"]:
            self.parts.append(choice["delta"].get("content", ""))
        self.usage = engine.decode_usage(event.data) or self.usage


def expected_text(
    messages: list[dict[str, str]], max_tokens: int, weights_version: str
) -> str:
    """Returns the whole answer that the stand-in gives to a chat."""
    text = language.chat_text(messages, continued=False)
    words = language.words(text, weights_version)
    return "".join(itertools.islice(words, max_tokens))


async def gather_at(
    start: float, calls: list[tuple[float, Any]]
) -> list[Answer]:
    """Makes calls at their times and returns their answers in order.

    Args:
        start: Monotonic seconds that the times are counted from.
        calls: Each a time in seconds and a function that makes the call.
    """
    answers: list[Answer | None] = [None] * len(calls)

    async def make(number: int, at_s: float, call: Any) -> None:
        await anyio.sleep(max(0.0, start + at_s - time.monotonic()))
        answers[number] = await call()

    async with anyio.create_task_group() as group:
        for number, (at_s, call) in enumerate(calls):
            group.start_soon(make, number, at_s, call)
    return [answer for answer in answers if answer is not None]
