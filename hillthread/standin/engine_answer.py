"""The answer of an engine stand-in, as events or as one document."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any

import anyio
import msgspec

from hillthread.protocol import engine as engine_protocol
from hillthread.protocol import event_stream
from hillthread.standin import engine_model
from hillthread.transport import http_server

__all__ = ["Answer", "send_events"]


class Answer:
    """An answer generated word by word, kept while it may be resumed.

    Attributes:
        job: The job of the engine model that generates it.
        model: Name of the requested model.
        first_index: Number of its first event; above 0 if it continues the
            answer of another engine.
        events: Encoded events so far.
        text: Words so far.
        readers: Number of callers that are reading its events.
        done: Whether its last event is among `events`.
        cancelled: Whether it was cancelled; no event is added then.
    """

    def __init__(
        self,
        job: engine_model.Job,
        model: str,
        words: Iterator[str],
        first_index: int = 0,
    ):
        self.job = job
        self.model = model
        self.first_index = first_index
        self.events: list[bytes] = []
        self.text: list[str] = []
        self.readers = 0
        self.done = False
        self.cancelled = False
        self._words = words
        self._changed = anyio.Event()

    def add_word(self) -> None:
        """Adds the event of the next word; the last word adds the end, too."""
        word = next(self._words)
        self.text.append(word)
        finished = self.job.finished
        choice = {
            "index": 0,
            "delta": {"content": word},
            "finish_reason": "length" if finished else None,
        }
        self._add_chunk({"choices": [choice]})
        if finished:
            self._add_chunk({"choices": [], "usage": self._usage()})
            done = event_stream.encode_event(None, engine_protocol.DONE)
            self.events.append(done)
            self.done = True
        self._wake_readers()

    def cancel(self) -> None:
        """Marks the answer as cancelled and wakes its readers."""
        self.cancelled = True
        self._wake_readers()

    async def wait_for_change(self) -> None:
        """Waits for the next event or for cancellation."""
        await self._changed.wait()

    def document(self) -> dict[str, Any]:
        """Returns the complete answer for requests without streaming."""
        message = {"role": "assistant", "content": "".join(self.text)}
        return {
            "id": self._completion_id(),
            "object": "chat.completion",
            "model": self.model,
            "choices": [
                {"index": 0, "message": message, "finish_reason": "length"}
            ],
            "usage": self._usage(),
        }

    def _add_chunk(self, fields: dict[str, Any]) -> None:
        chunk = {
            "id": self._completion_id(),
            "object": "chat.completion.chunk",
            "model": self.model,
            **fields,
        }
        index = self.first_index + len(self.events)
        data = msgspec.json.encode(chunk)
        self.events.append(event_stream.encode_event(index, data))

    def _completion_id(self) -> str:
        return f"chatcmpl-{self.job.job_id}"

    def _usage(self) -> dict[str, Any]:
        job = self.job
        return {
            "prompt_tokens": job.prompt_tokens,
            "completion_tokens": job.generated,
            "total_tokens": job.prompt_tokens + job.generated,
            "prompt_tokens_details": {"cached_tokens": job.cached_tokens},
        }

    def _wake_readers(self) -> None:
        self._changed.set()
        self._changed = anyio.Event()


async def send_events(
    answer: Answer,
    position: int,
    headers: list[tuple[bytes, bytes]],
    send: http_server.Send,
) -> None:
    """Sends the events of an answer, starting at a position.

    Response headers are sent with the first event. If the answer is cancelled,
    the response is left incomplete.
    """
    started = False
    while not (answer.done and position >= len(answer.events)):
        if position >= len(answer.events):
            if answer.cancelled:
                return
            await answer.wait_for_change()
            continue
        if not started:
            started = True
            await send(
                {
                    "type": "http.response.start",
                    "status": 200,
                    "headers": headers,
                }
            )
        data = b"".join(answer.events[position:])
        position = len(answer.events)
        await send(
            {"type": "http.response.body", "body": data, "more_body": True}
        )
    await send({"type": "http.response.body", "body": b""})
