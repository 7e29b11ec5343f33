"""A stream is resumed at an engine that has started again under its id."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import pathlib
import time
from typing import Any
from typing import NamedTuple

import loopback

_HOST = "callers.example"
_SERVICE = "triage-llm"
_MODEL = "moe"
_SLOTS = 64
_MAX_ATTEMPTS = 3
_TIMEOUT_MS = 12_000
_PIECES = 45
_PIECE_S = 0.1
# From the start of a request to its first piece.
_FIRST_S = 1.0
# Numbers of the streams: fewer than engines, so that one is idle.
_STREAMS = (0, 1)
# From when an engine drains until it ends: `drainMs`, 2 s, and a little longer.
_DRAIN_S = 2.5
# How long an engine is down, and from its start until its entry is written:
# less than `heartbeatMs`, which is 1,200.
_DOWN_S = 1.0
_ENTRY_S = 0.5
# From that start until the engine that drains ends.
_BEFORE_END_S = 0.2
_CALM_S = 1.0
_ENDS = (OSError, asyncio.IncompleteReadError, asyncio.CancelledError)


class Engine:
    """A sound engine, which may crash and start again under its id.

    Attributes:
        name: Its id.
        born_ms: When it started.
        running: Requests that it works on.
    """

    def __init__(self, name: str, record: loopback.Record):
        self.name = name
        self.record = record
        self.born_ms = 0
        self.port = 0
        self.running = 0
        self.listener: asyncio.Server | None = None
        self._channels: set[asyncio.StreamWriter] = set()

    @property
    def address(self) -> str:
        """Where it listens."""
        return f"{loopback.IP}:{self.port}"

    async def start(self) -> None:
        """Starts, at its former address if it had one."""
        self.born_ms = int(time.time() * 1000)
        self.running = 0
        self.listener = await asyncio.start_server(
            self._serve, loopback.IP, self.port
        )
        self.port = self.listener.sockets[0].getsockname()[1]

    def crash(self) -> None:
        """Ends at once."""
        if self.listener is not None:
            self.listener.close()
        for writer in list(self._channels):
            writer.transport.abort()
        self._channels.clear()

    def entry(self) -> dict[str, Any]:
        """Returns the fields of its entry that engines have besides."""
        return {"born": self.born_ms, "models": _models(), "stage": "unified"}

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._channels.add(writer)
        with contextlib.suppress(*_ENDS):
            while True:
                first, headers = await loopback.read_head(reader)
                await loopback.read_body(reader, headers)
                await self._answer(first, dict(headers), writer)
        self._channels.discard(writer)
        writer.close()

    async def _answer(
        self, first: str, headers: dict[str, str], writer: asyncio.StreamWriter
    ) -> None:
        request_id = headers.get("x-request-id", "")
        fields = [("X-Request-Id", request_id)]
        expected = headers.get("x-expect-instance", self.name)
        if expected != self.name:
            fields += [("X-Not-Run", "1"), ("Content-Length", "0")]
            writer.write(loopback.make_head("HTTP/1.1 421 -", fields))
        elif first.startswith("GET /api/report"):
            writer.write(self._report(fields))
        else:
            await self._stream(request_id, headers, writer)
        await writer.drain()

    def _report(self, fields: loopback.Headers) -> bytes:
        report = {
            "stage": "unified",
            "models": _models(),
            "busy": False,
            "sequence": 0,
            "waiting": 0,
            "running": self.running,
            "kvUsed": 0,
            "kvTotal": 99_487,
            "handles": 0,
            "born": self.born_ms,
        }
        body = json.dumps(report).encode()
        fields = [*fields, ("Content-Length", str(len(body)))]
        return loopback.make_head("HTTP/1.1 200 OK", fields) + body

    async def _stream(
        self,
        request_id: str,
        headers: dict[str, str],
        writer: asyncio.StreamWriter,
    ) -> None:
        after = int(headers.get("last-event-id", "0"))
        self.record("run", server=self.name, id=request_id, after=after)
        self.running += 1
        try:
            await asyncio.sleep(_FIRST_S)
            fields = [
                ("X-Request-Id", request_id),
                ("X-Response-Stamp", f"{self.name}-{request_id}"),
                ("X-Weight-Versions", "1"),
                ("Content-Type", "text/event-stream"),
                ("Transfer-Encoding", "chunked"),
            ]
            writer.write(loopback.make_head("HTTP/1.1 200 OK", fields))
            for piece in range(after + 1, _PIECES + 1):
                event = f"id: {piece}\ndata: piece {piece}\n\n".encode()
                writer.write(b"%x\r\n%b\r\n" % (len(event), event))
                await writer.drain()
                await asyncio.sleep(_PIECE_S)
            writer.write(b"0\r\n\r\n")
        finally:
            self.running -= 1


class Stream(NamedTuple):
    """A stream as its requester has it.

    Attributes:
        request_id: Id of the request.
        pieces: Ids of the pieces, in order.
        is_complete: Whether the answer ended as complete.
    """

    request_id: str
    pieces: list[int]
    is_complete: bool

    @property
    def is_broken(self) -> bool:
        """Returns whether a piece is missing or comes twice."""
        expected = list(range(1, _PIECES + 1))
        if not self.is_complete:
            expected = expected[: len(self.pieces)]
        return self.pieces != expected


def _models() -> list[dict[str, Any]]:
    return [{"name": _MODEL, "version": 1, "adapters": []}]


async def main() -> int:
    """Returns 1 if a stream lacks a piece, else 0."""
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    record = loopback.Record(pathlib.Path(__file__).parent / "record.txt")
    engines = [Engine(f"i-{name}", record) for name in "abc"]
    async with loopback.Stage(record) as stage:
        operator = stage.operator
        for engine in engines:
            await engine.start()
            await _list(operator, engine)
        await operator.configure(*_configuration())
        if not await stage.start_gateways(1):
            return 2
        await asyncio.sleep(1.0)
        async with asyncio.TaskGroup() as tasks:
            asked = [
                tasks.create_task(_ask(stage.gateways[0], number, record))
                for number in _STREAMS
            ]
            await asyncio.sleep(_CALM_S)
            await _disturb(engines, operator, record, has_trouble)
        streams = [each.result() for each in asked]
    broken = [each.request_id for each in streams if each.is_broken]
    complete = sum(each.is_complete for each in streams)
    record("end", broken=broken, complete=complete)
    print(f"{len(streams)} streams, {complete} complete, {len(broken)} broken")
    if not any(each.pieces for each in streams):
        return 2
    return 1 if broken else 0


async def _disturb(
    engines: list[Engine],
    operator: loopback.Operator,
    record: loopback.Record,
    has_trouble: bool,
) -> None:
    """Takes an engine that serves away; an idle one starts again meanwhile.

    Args:
        engines: All engines.
        operator: Writes their entries.
        record: What happens.
        has_trouble: Whether the idle engine crashes and starts again; taking
            the other one away is planned work.
    """
    engines = sorted(engines, key=lambda each: each.running)
    idle, leaving = engines[0], engines[-1]
    await _list(operator, leaving, "draining")
    record("an engine drains", server=leaving.name)
    await asyncio.sleep(_DRAIN_S - _DOWN_S - _BEFORE_END_S)
    if has_trouble:
        idle.crash()
        record("an engine crashes", server=idle.name)
    await asyncio.sleep(_DOWN_S)
    if has_trouble:
        await idle.start()
        record("it starts again", server=idle.name, born=idle.born_ms)
    listing = asyncio.create_task(_list_later(operator, idle))
    await asyncio.sleep(_BEFORE_END_S)
    leaving.crash()
    record("the engine that drained ends", server=leaving.name)
    await listing


async def _list_later(operator: loopback.Operator, engine: Engine) -> None:
    await asyncio.sleep(_ENTRY_S)
    await _list(operator, engine)


async def _list(
    operator: loopback.Operator, engine: Engine, state: str = "ready"
) -> None:
    more = {**engine.entry(), "state": state}
    await operator.list_server(
        engine.name, _SERVICE, engine.address, _SLOTS, more
    )


def _configuration() -> tuple[list[dict[str, Any]], list[dict[str, Any]]]:
    """Returns the routes and the services."""
    route = {
        "name": "change-brief",
        "host": _HOST,
        "pathPrefix": "/brief/",
        "type": "streaming",
        "resumable": True,
        "service": _SERVICE,
        "timeoutMs": _TIMEOUT_MS,
        "targetLatencyMs": 1000,
        "gapAimMs": 500,
        "priority": 0,
        "maxAttempts": _MAX_ATTEMPTS,
        "public": True,
    }
    service = {
        "name": _SERVICE,
        "maxConnections": 370,
        "engine": {
            "slots": _SLOTS,
            "kvCapacityTokens": 99_487,
            "kvTokenBytes": 18_432.0,
            "models": [{"name": _MODEL}],
        },
    }
    return [route], [service]


async def _ask(
    gateway: loopback.Gateway, number: int, record: loopback.Record
) -> Stream:
    """Asks for a stream and reads it to its end."""
    request_id = f"client-{number}"
    fields = [
        ("Host", _HOST),
        ("X-Request-Id", request_id),
        ("X-Model", _MODEL),
        ("X-Token-Count", "628,45"),
        ("X-Prompt-Prefix", f"aa{number}:119,bb{number}:79,cc{number}:430"),
        ("X-Deadline-Ms", str(_TIMEOUT_MS)),
    ]
    record("sent", id=request_id, to=gateway.name)
    answer = await loopback.call(
        gateway.listen,
        "POST",
        "/brief/a",
        fields,
        f"prompt {number}".encode(),
        15.0,
    )
    lines = answer.body.decode().split("\n")
    pieces = [int(each[4:]) for each in lines if each.startswith("id: ")]
    is_complete = answer.status == 200 and answer.is_whole
    record(
        "answered",
        id=request_id,
        status=answer.status,
        complete=is_complete,
        pieces=pieces,
        missing=sorted(set(range(1, _PIECES + 1)) - set(pieces)),
    )
    return Stream(request_id, pieces, is_complete)


if __name__ == "__main__":
    loopback.run_case(main)
