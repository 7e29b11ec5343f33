"""The engine stand-in: an HTTP server for the engine model.

Its protocol is specified in docs/PROTOCOLS.md.
"""

from __future__ import annotations

import collections
import secrets
import time
from typing import Any

import anyio
import anyio.abc
import msgspec

from hillthread import settings as settings_lib
from hillthread.protocol import engine as engine_protocol
from hillthread.protocol import openai
from hillthread.standin import engine_answer
from hillthread.standin import engine_model
from hillthread.standin import engine_telemetry
from hillthread.standin import language
from hillthread.standin import run_journal
from hillthread.transport import http_server

__all__ = ["EngineSettings", "EngineStandin"]

_MAX_KEPT_ANSWERS = 4096
_DEFAULT_MAX_TOKENS = 64
_MAX_BODY_BYTES = 16_777_216


class EngineSettings(settings_lib.SettingsStruct, frozen=True, kw_only=True):
    """Settings of the engine stand-in.

    Attributes:
        listen: Address that it listens on.
        models: Names of the served models.
        weights_version: Version of the weights loaded at the start.
        cache_blocks: Blocks of 16 tokens in its memory.
        batch_tokens: Maximum number of tokens computed in a step.
        max_running: Maximum number of requests computed concurrently.
        load_lag_s: Age of the load that it reports.
        event_lag_s: Age of the cache events that it publishes.
        event_loss_every: Drops every n-th cache event; 0 drops none.
        load_s: Duration of loading weights; new requests are refused then.
        resume_s: How long an answer without readers is still generated.
        honours_weights: Whether it refuses a request that expects another
            weights version.
        honours_fencing: Whether it refuses an order with an old fencing
            number.
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


class EngineStandin:
    """An engine process.

    Attributes:
        incarnation: Random identifier, replaced at each start and crash.
        journal: Every run, which tests check against the answers.
        answers: Answers that callers may read or resume, by attempt ID.
        orders: Executed orders with their start and end times.
    """

    def __init__(self, settings: EngineSettings):
        self.settings = settings
        self.server = http_server.Server(settings.listen, self.handle)
        self.journal = run_journal.RunJournal()
        self.orders: list[dict[str, Any]] = []
        self.highest_fencing = 0
        self.leaving = False
        self.loading = False
        self.refusing = False
        self.lose_orders = 0
        self.work = anyio.Event()
        self.weights_version = settings.weights_version
        self.answers: collections.OrderedDict[str, engine_answer.Answer] = (
            collections.OrderedDict()
        )
        self._restart()

    async def run(self, stop: anyio.Event) -> None:
        """Serves requests and runs engine steps until `stop` is set."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._run_steps)
            self.tasks = tasks
            await self.server.serve(stop)
            tasks.cancel_scope.cancel()

    async def handle(
        self, request: http_server.Request, send: http_server.Send
    ) -> None:
        """Serves one request."""
        match request.method, request.path:
            case "POST", openai.CHAT_PATH | openai.COMPLETIONS_PATH:
                await self._handle_completion(request, send)
            case (("GET" | "DELETE"), path) if path.startswith(
                engine_protocol.STREAMS_PATH
            ):
                await self._handle_stream(request, send)
            case "GET", "/metrics":
                page = self.telemetry.metrics_page()
                headers = tuple(self._headers(""))
                await http_server.send_body(
                    send, 200, page, b"text/plain", headers
                )
            case "GET", engine_protocol.EVENTS_PATH:
                start = int(request.parameter("from", "0"))
                found = self.telemetry.events_since(start)
                event_page = {"incarnation": self.incarnation, "events": found}
                await self._send(send, 200, event_page)
            case "GET", "/health":
                await self._send(send, 200, {"incarnation": self.incarnation})
            case "GET", "/journal":
                await self._send(send, 200, self.journal.entries)
            case "GET", "/orders":
                await self._send(send, 200, self.orders)
            case "POST", engine_protocol.ORDERS_PATH:
                await self._handle_order(request, send)
            case "POST", "/control":
                await self._handle_control(request, send)
            case _:
                await self._send(send, 404, {"error": "not found"})

    def _restart(self) -> None:
        """Starts a new incarnation with an empty cache, as after a crash."""
        self.incarnation = secrets.token_hex(4)
        self.model = engine_model.EngineModel(
            engine_model.EngineShape(
                cache_blocks=self.settings.cache_blocks,
                batch_tokens=self.settings.batch_tokens,
                max_running=self.settings.max_running,
            )
        )
        for answer in self.answers.values():
            answer.cancel()
        self.answers = collections.OrderedDict()
        self.telemetry = engine_telemetry.Telemetry(
            self.model,
            self.settings.load_lag_s,
            self.settings.event_lag_s,
            self.settings.event_loss_every,
        )

    async def _run_steps(self) -> None:
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
                self.answers[job.job_id].add_word()
                if job.finished:
                    self.journal.end(job, "finished")
            self.telemetry.record_load()
            self.telemetry.record_events()

    async def _handle_completion(
        self, request: http_server.Request, send: http_server.Send
    ) -> None:
        body = msgspec.json.decode(await request.body(_MAX_BODY_BYTES))
        attempt_id = request.headers.get(
            engine_protocol.REQUEST_ID, secrets.token_hex(8)
        )
        refusal = self._refusal_reason(request, body)
        if refusal:
            await self._send(send, 409, {"error": refusal}, attempt_id)
            return
        answer = self._start_answer(request, body, attempt_id)
        if body.get("stream"):
            await self._send_stream(answer, 0, request, send)
        else:
            await self._send_whole(answer, request, send)

    def _refusal_reason(
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

    def _start_answer(
        self,
        request: http_server.Request,
        body: dict[str, Any],
        attempt_id: str,
    ) -> engine_answer.Answer:
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
        last = request.headers.get(engine_protocol.LAST_EVENT_ID)
        answer = engine_answer.Answer(
            job,
            body["model"],
            language.words(text, self.weights_version),
            first_index=int(last) + 1 if last else 0,
        )
        self.answers[attempt_id] = answer
        if len(self.answers) > _MAX_KEPT_ANSWERS:
            self.answers.popitem(last=False)
        self.journal.begin(job, self.incarnation)
        self.model.submit(job)
        self.work.set()
        self.telemetry.record_load()
        return answer

    async def _send_stream(
        self,
        answer: engine_answer.Answer,
        position: int,
        request: http_server.Request,
        send: http_server.Send,
    ) -> None:
        headers = self._headers(answer.job.job_id)
        headers.append((b"content-type", b"text/event-stream"))
        answer.readers += 1
        try:
            async with anyio.create_task_group() as group:
                group.start_soon(_cancel_on_disconnect, request, group)
                await engine_answer.send_events(answer, position, headers, send)
                group.cancel_scope.cancel()
        finally:
            answer.readers -= 1
            if not answer.done:
                self.tasks.start_soon(self._cancel_if_unread, answer)

    async def _send_whole(
        self,
        answer: engine_answer.Answer,
        request: http_server.Request,
        send: http_server.Send,
    ) -> None:
        try:
            async with anyio.create_task_group() as group:
                group.start_soon(_cancel_on_disconnect, request, group)
                while not answer.done and not answer.cancelled:
                    await answer.wait_for_change()
                group.cancel_scope.cancel()
        finally:
            if not answer.done:
                self._cancel(answer)
        if answer.done:
            document = answer.document()
            await self._send(send, 200, document, answer.job.job_id)

    async def _handle_stream(
        self, request: http_server.Request, send: http_server.Send
    ) -> None:
        attempt_id = request.path.removeprefix(engine_protocol.STREAMS_PATH)
        answer = self.answers.get(attempt_id)
        if request.method == "DELETE":
            if answer is not None and not answer.done:
                self._cancel(answer)
            await self._send(send, 200, {"cancelled": answer is not None})
            return
        wanted = request.headers.get(engine_protocol.EXPECT_INCARNATION)
        known = wanted in (None, self.incarnation)
        if answer is None or answer.cancelled or not known:
            await self._send(send, 404, {"error": "no such stream"})
            return
        last = request.headers.get(engine_protocol.LAST_EVENT_ID)
        position = int(last) + 1 - answer.first_index if last else 0
        await self._send_stream(answer, max(0, position), request, send)

    async def _cancel_if_unread(self, answer: engine_answer.Answer) -> None:
        await anyio.sleep(self.settings.resume_s)
        if answer.readers == 0 and not answer.done:
            self._cancel(answer)

    def _cancel(self, answer: engine_answer.Answer) -> None:
        if answer.cancelled:
            return
        answer.cancel()
        self.model.cancel(answer.job.job_id)
        self.journal.end(answer.job, "cancelled")
        self.telemetry.record_load()

    async def _handle_order(
        self, request: http_server.Request, send: http_server.Send
    ) -> None:
        order = msgspec.json.decode(await request.body(_MAX_BODY_BYTES))
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

    async def _handle_control(
        self, request: http_server.Request, send: http_server.Send
    ) -> None:
        """Injects faults for tests."""
        wanted = msgspec.json.decode(await request.body(_MAX_BODY_BYTES))
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


async def _cancel_on_disconnect(
    request: http_server.Request, group: anyio.abc.TaskGroup
) -> None:
    """Cancels the tasks of a request once its caller disconnects."""
    await request.wait_for_disconnect()
    group.cancel_scope.cancel()
