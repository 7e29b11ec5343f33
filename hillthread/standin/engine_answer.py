"""One answer of an engine stand-in: its events, its usage, its document."""

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
    """An answer that grows word by word, kept while it may be resumed.

    Attributes:
        job: What the engine model computes for it.
        model: The model that was asked for.
        first_index: Number of its first event; above 0 where it goes on after
            another engine's.
        events: All events so far, encoded.
        text: All words so far.
        readers: Callers that read its events now.
        done: Whether its last event is among `events`.
        cancelled: Whether it ended early; it gets no more events.
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
        """Adds the event of the next word, and the last ones behind it."""
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
        """Ends it early and wakes its readers."""
        self.cancelled = True
        self._wake_readers()

    async def wait_for_change(self) -> None:
        """Returns after the next event, or once it is cancelled."""
        await self._changed.wait()

    def document(self) -> dict[str, Any]:
        """Returns the whole answer for callers that want no events."""
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
    """Sends an answer's events from a position on, until its end.

    The head is sent with the first event. A cancelled answer is left without
    its end.
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
