"""The engine stand-in: an HTTP face for the engine model.

docs/PROTOCOLS.md is the specification of what it speaks.
"""

from __future__ import annotations

import collections
import secrets
import time
from typing import Any

import anyio
import msgspec

from hillthread import settings as settings_lib
from hillthread.protocol import engine as engine_protocol
from hillthread.protocol import event_stream
from hillthread.protocol import openai
from hillthread.standin import engine_model
from hillthread.standin import engine_telemetry
from hillthread.standin import language
from hillthread.transport import http_server

__all__ = ["EngineSettings", "EngineStandin"]

_KEPT_STREAMS = 4096
_DEFAULT_MAX_TOKENS = 64
_MAX_BODY = 16_777_216


class EngineSettings(settings_lib.SettingsStruct, frozen=True, kw_only=True):
    """Settings of the engine stand-in.

    Attributes:
        listen: Where it serves.
        models: Models it serves.
        weights_version: Of the weights loaded at the start.
        cache_blocks: Blocks of 16 tokens in its memory.
        batch_tokens: Tokens computed in one step at most.
        max_running: Requests computed at once.
        load_lag_s: Age of the load it reports.
        event_lag_s: Age of the cache events it publishes.
        event_loss_every: Every so many cache events one is lost; 0 for none.
        load_s: How long loading weights takes; it serves no new request then.
        resume_s: How long an answer nobody reads goes on.
        honours_weights: Whether it refuses a request that expects others.
        honours_fencing: Whether it refuses an old fencing number.
    """

    listen: settings_lib.Address = "127.0.0.1:0"
    models: tuple[str, ...] = ("m1",)
    weights_version: str = "w1"
    cache_blocks: int = 4096
    batch_tokens: int = 512
    max_running: int = 64
    load_lag_s: float = 0.3
    event_lag_s: float = 0.5
    event_loss_every: int = 0
    load_s: float = 0.3
    resume_s: float = 2.0
    honours_weights: bool = True
    honours_fencing: bool = True


class _Stream:
    """One answer, kept while it may be resumed."""

    def __init__(self, job: engine_model.Job, request: dict[str, Any]):
        self.job = job
        self.model = request["model"]
        self.events: list[bytes] = []
        self.text: list[str] = []
        self.done = False
        self.cancelled = False
        self.readers = 0
        self.changed = anyio.Event()
        self.first_index = 0
        self.words = iter(())

    def publish(self, event: bytes) -> None:
        """Adds an event and wakes readers."""
        self.events.append(event)
        self.changed.set()
        self.changed = anyio.Event()


class EngineStandin:
    """One engine process.

    Attributes:
        incarnation: New with each start and each crash.
        journal: Every run, for checkers: what callers cannot see.
    """

    def __init__(self, settings: EngineSettings):
        self.settings = settings
        self.server = http_server.Server(settings.listen, self.handle)
        self.journal: list[dict[str, Any]] = []
        self.orders: list[dict[str, Any]] = []
        self.highest_fencing = 0
        self.leaving = False
        self.loading = False
        self.refusing = False
        self.lose_orders = 0
        self.work = anyio.Event()
        self.weights_version = settings.weights_version
        self._restart()

    async def run(self, stop: anyio.Event) -> None:
        """Serves and computes until `stop`."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._compute)
            self.tasks = tasks
            await self.server.serve(stop)
            tasks.cancel_scope.cancel()

    async def handle(
        self, request: http_server.Request, send: http_server.Send
    ) -> None:
        """Serves one request."""
        match request.method, request.path:
            case "POST", openai.CHAT_PATH | openai.COMPLETIONS_PATH:
                await self._complete(request, send)
            case (("GET" | "DELETE"), path) if path.startswith(
                engine_protocol.STREAMS_PATH
            ):
                await self._stream_request(request, send)
            case "GET", "/metrics":
                page = self.telemetry.metrics_page()
                headers = tuple(self._headers(""))
                await http_server.send_body(
                    send, 200, page, b"text/plain", headers
                )
            case "GET", engine_protocol.EVENTS_PATH:
                start = int(request.parameter("from", "0"))
                found = self.telemetry.events_since(start)
                told = {"incarnation": self.incarnation, "events": found}
                await self._send(send, 200, told)
            case "GET", "/health":
                await self._send(send, 200, {"incarnation": self.incarnation})
            case "GET", "/journal":
                await self._send(send, 200, self.journal)
            case "GET", "/orders":
                await self._send(send, 200, self.orders)
            case "POST", engine_protocol.ORDERS_PATH:
                await self._order(request, send)
            case "POST", "/control":
                await self._control(request, send)
            case _:
                await self._send(send, 404, {"error": "not found"})

    def _restart(self) -> None:
        """Starts anew and empty, as after a crash."""
        self.incarnation = secrets.token_hex(4)
        self.model = engine_model.EngineModel(
            engine_model.EngineShape(
                cache_blocks=self.settings.cache_blocks,
                batch_tokens=self.settings.batch_tokens,
                max_running=self.settings.max_running,
            )
        )
        for stream in getattr(self, "streams", {}).values():
            stream.cancelled = True
            stream.changed.set()
        self.streams: collections.OrderedDict[str, _Stream] = (
            collections.OrderedDict()
        )
        self.telemetry = engine_telemetry.Telemetry(
            self.model,
            self.settings.load_lag_s,
            self.settings.event_lag_s,
            self.settings.event_loss_every,
        )

    async def _compute(self) -> None:
        while True:
            if not self.model.busy():
                self.work = anyio.Event()
                await self.work.wait()
            model = self.model
            await anyio.sleep(model.begin_step())
            if model is not self.model:
                continue
            result = model.end_step()
            for job in result.emitted:
                self._emit(self.streams[job.job_id])
            self.telemetry.note_load()
            self.telemetry.note_events()

    def _emit(self, stream: _Stream) -> None:
        word = next(stream.words)
        stream.text.append(word)
        job = stream.job
        choice: dict[str, Any] = {
            "index": 0,
            "delta": {"content": word},
            "finish_reason": "length" if job.finished else None,
        }
        self._publish(stream, {"choices": [choice]})
        if not job.finished:
            return
        usage = self._usage(stream)
        self._publish(stream, {"choices": [], "usage": usage})
        stream.publish(event_stream.encode_event(None, engine_protocol.DONE))
        stream.done = True
        stream.changed.set()
        self._close_journal(stream, "finished")

    def _publish(self, stream: _Stream, fields: dict[str, Any]) -> None:
        chunk = {
            "id": f"chatcmpl-{stream.job.job_id}",
            "object": "chat.completion.chunk",
            "model": stream.model,
            **fields,
        }
        index = stream.first_index + len(stream.events)
        data = msgspec.json.encode(chunk)
        stream.publish(event_stream.encode_event(index, data))

    def _usage(self, stream: _Stream) -> dict[str, Any]:
        job = stream.job
        return {
            "prompt_tokens": job.prompt_tokens,
            "completion_tokens": job.generated,
            "total_tokens": job.prompt_tokens + job.generated,
            "prompt_tokens_details": {"cached_tokens": job.cached_tokens},
        }

    async def _complete(
        self, request: http_server.Request, send: http_server.Send
    ) -> None:
        body = msgspec.json.decode(await request.body(_MAX_BODY))
        attempt_id = request.headers.get(
            engine_protocol.REQUEST_ID, secrets.token_hex(8)
        )
        refusal = self._refusal(request, body)
        if refusal:
            await self._send(send, 409, {"error": refusal}, attempt_id)
            return
        stream = self._start(request, body, attempt_id)
        if body.get("stream"):
            await self._send_stream(stream, 0, request, send)
        else:
            await self._send_whole(stream, request, send)

    def _refusal(
        self, request: http_server.Request, body: dict[str, Any]
    ) -> str:
        expected = request.headers.get(engine_protocol.EXPECT_WEIGHTS)
        if self.leaving:
            return "leaving"
        if self.loading or self.refusing:
            return "loading"
        if body.get("model") not in self.settings.models:
            return "model_not_served"
        if not self.settings.honours_weights or expected is None:
            return ""
        return "" if expected == self.weights_version else "weights_mismatch"

    def _start(
        self,
        request: http_server.Request,
        body: dict[str, Any],
        attempt_id: str,
    ) -> _Stream:
        if request.path == openai.CHAT_PATH:
            continued = bool(body.get("continue_final_message"))
            text = language.chat_text(body["messages"], continued)
        else:
            text = body["prompt"]
        salt = f"{body.get('cache_salt', '')}/{self.weights_version}"
        tokens = -(-len(text) // engine_model.CHARACTERS_PER_TOKEN)
        job = engine_model.Job(
            attempt_id,
            engine_model.block_hashes(text, salt, 16),
            max(1, tokens),
            body.get("max_tokens") or _DEFAULT_MAX_TOKENS,
            body.get("priority", 0),
        )
        stream = _Stream(job, body)
        last = request.headers.get(engine_protocol.LAST_EVENT_ID)
        stream.first_index = int(last) + 1 if last else 0
        stream.words = language.words(text, self.weights_version)
        self.streams[attempt_id] = stream
        if len(self.streams) > _KEPT_STREAMS:
            self.streams.popitem(last=False)
        self.journal.append(
            {
                "attempt_id": attempt_id,
                "incarnation": self.incarnation,
                "prompt_tokens": tokens,
                "end": "running",
            }
        )
        self.model.submit(job)
        self.work.set()
        self.telemetry.note_load()
        return stream

    async def _send_stream(
        self,
        stream: _Stream,
        position: int,
        request: http_server.Request,
        send: http_server.Send,
    ) -> None:
        headers = self._headers(stream.job.job_id)
        headers.append((b"content-type", b"text/event-stream"))
        left = anyio.Event()
        stream.readers += 1
        try:
            async with anyio.create_task_group() as group:
                group.start_soon(_watch, request, left, group.cancel_scope)
                await self._pump(stream, position, headers, send)
                group.cancel_scope.cancel()
        finally:
            stream.readers -= 1
            if not stream.done:
                self.tasks.start_soon(self._expire, stream)

    async def _pump(
        self,
        stream: _Stream,
        position: int,
        headers: list[tuple[bytes, bytes]],
        send: http_server.Send,
    ) -> None:
        started = False
        while not (stream.done and position >= len(stream.events)):
            if position >= len(stream.events):
                if stream.cancelled:
                    return
                await stream.changed.wait()
                continue
            if not started:
                started = True
                await _send_head(send, 200, headers)
            data = b"".join(stream.events[position:])
            position = len(stream.events)
            await send(
                {"type": "http.response.body", "body": data, "more_body": True}
            )
        await send({"type": "http.response.body", "body": b""})

    async def _send_whole(
        self,
        stream: _Stream,
        request: http_server.Request,
        send: http_server.Send,
    ) -> None:
        left = anyio.Event()
        try:
            async with anyio.create_task_group() as group:
                group.start_soon(_watch, request, left, group.cancel_scope)
                while not stream.done and not stream.cancelled:
                    await stream.changed.wait()
                group.cancel_scope.cancel()
        finally:
            if not stream.done:
                self._cancel(stream)
        if not stream.done:
            return
        message = {"role": "assistant", "content": "".join(stream.text)}
        answer = {
            "id": f"chatcmpl-{stream.job.job_id}",
            "object": "chat.completion",
            "model": stream.model,
            "choices": [
                {"index": 0, "message": message, "finish_reason": "length"}
            ],
            "usage": self._usage(stream),
        }
        await self._send(send, 200, answer, stream.job.job_id)

    async def _stream_request(
        self, request: http_server.Request, send: http_server.Send
    ) -> None:
        attempt_id = request.path.removeprefix(engine_protocol.STREAMS_PATH)
        stream = self.streams.get(attempt_id)
        if request.method == "DELETE":
            if stream is not None and not stream.done:
                self._cancel(stream)
            await self._send(send, 200, {"cancelled": stream is not None})
            return
        wanted = request.headers.get(engine_protocol.EXPECT_INCARNATION)
        known = wanted in (None, self.incarnation)
        if stream is None or stream.cancelled or not known:
            await self._send(send, 404, {"error": "no such stream"})
            return
        last = request.headers.get(engine_protocol.LAST_EVENT_ID)
        position = int(last) + 1 - stream.first_index if last else 0
        await self._send_stream(stream, max(0, position), request, send)

    async def _expire(self, stream: _Stream) -> None:
        await anyio.sleep(self.settings.resume_s)
        if stream.readers == 0 and not stream.done:
            self._cancel(stream)

    def _cancel(self, stream: _Stream) -> None:
        if stream.cancelled:
            return
        stream.cancelled = True
        stream.changed.set()
        self.model.cancel(stream.job.job_id)
        self._close_journal(stream, "cancelled")
        self.telemetry.note_load()

    def _close_journal(self, stream: _Stream, end: str) -> None:
        for entry in reversed(self.journal):
            if entry["attempt_id"] == stream.job.job_id:
                entry["end"] = end
                entry["generated"] = stream.job.generated
                entry["cached_tokens"] = stream.job.cached_tokens
                return

    async def _order(
        self, request: http_server.Request, send: http_server.Send
    ) -> None:
        order = msgspec.json.decode(await request.body(_MAX_BODY))
        fencing = order.get("fencing", 0)
        if self.settings.honours_fencing and fencing < self.highest_fencing:
            await self._send(send, 409, {"error": "old fencing number"})
            return
        self.highest_fencing = max(fencing, self.highest_fencing)
        entry = {**order, "began_at": time.time(), "ended_at": 0.0}
        self.orders.append(entry)
        wanted = order.get("weights_version", self.weights_version)
        if wanted != self.weights_version:
            self.loading = True
            await anyio.sleep(self.settings.load_s)
            self.loading = False
            self.weights_version = wanted
            self.model.clear_cache()
        entry["ended_at"] = time.time()
        if self.lose_orders > 0:
            self.lose_orders -= 1
            return
        await self._send(send, 200, {"weights_version": self.weights_version})

    async def _control(
        self, request: http_server.Request, send: http_server.Send
    ) -> None:
        """Brings about failures, for tests."""
        wanted = msgspec.json.decode(await request.body(_MAX_BODY))
        if wanted.get("crash"):
            self._restart()
        if "leaving" in wanted:
            self.leaving = wanted["leaving"]
        self.refusing = wanted.get("refusing", self.refusing)
        if "lose_orders" in wanted:
            self.lose_orders = wanted["lose_orders"]
        if "weights_version" in wanted:
            self.weights_version = wanted["weights_version"]
            self.model.clear_cache()
        await self._send(send, 200, {"incarnation": self.incarnation})

    def _headers(self, attempt_id: str) -> list[tuple[bytes, bytes]]:
        pairs = [
            (engine_protocol.INCARNATION, self.incarnation),
            (engine_protocol.WEIGHTS_VERSION, self.weights_version),
        ]
        if attempt_id:
            pairs.append((engine_protocol.REQUEST_ID, attempt_id))
        if self.leaving:
            pairs.append((engine_protocol.LEAVING, "1"))
        return [(name.encode(), value.encode()) for name, value in pairs]

    async def _send(
        self,
        send: http_server.Send,
        status: int,
        value: Any,
        attempt_id: str = "",
    ) -> None:
        await http_server.send_body(
            send,
            status,
            msgspec.json.encode(value),
            headers=tuple(self._headers(attempt_id)),
        )


async def _watch(
    request: http_server.Request,
    left: anyio.Event,
    scope: anyio.CancelScope,
) -> None:
    await request.wait_disconnect()
    left.set()
    scope.cancel()


async def _send_head(
    send: http_server.Send, status: int, headers: list[tuple[bytes, bytes]]
) -> None:
    await send(
        {"type": "http.response.start", "status": status, "headers": headers}
    )
