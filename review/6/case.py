"""The address of a KV cache store that is gone goes to another service."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import os
import pathlib

import loopback

# From the end of the old store until its address is used again: `reuseAfterS`
# is 2 s.
_REUSE_AFTER_S = 2.5
_CALM_S = 4.0
_LAST_S = 10.0
_PAUSE_S = 0.2
_SLOTS = 6
_SERVICE = "pipeline-api"
_STORE = "prompt-keep"
_HOST = "callers.example"
_NO_EVENTS = b'{"bootEpoch":7,"nextPageToken":0,"lost":false,"events":[]}'
# A channel ends when its peer closes it, or when the run ends.
_ENDS = (OSError, asyncio.IncompleteReadError, asyncio.CancelledError)


class Server:
    """A sound server of a plain service; it runs what has an id.

    Attributes:
        name: Its id.
        runs: Ids of what it ran.
    """

    def __init__(self, name: str, record: loopback.Record):
        self.name = name
        self.record = record
        self.runs: list[str] = []

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serves one channel."""
        with contextlib.suppress(*_ENDS):
            while True:
                first, headers = await loopback.read_head(reader)
                await loopback.read_body(reader, headers)
                status, fields = self.answer(first, dict(headers))
                body = b"done" if status == 200 else b""
                fields = [*fields, ("Content-Length", str(len(body)))]
                head = loopback.make_head(f"HTTP/1.1 {status} -", fields)
                writer.write(head + body)
                await writer.drain()
        writer.close()

    def answer(
        self, first: str, headers: dict[str, str]
    ) -> tuple[int, loopback.Headers]:
        """Returns status and headers of the answer; records what is run."""
        request_id = headers.get("x-request-id", "")
        expected = headers.get("x-expect-instance", self.name)
        if not request_id:
            return 400, [("X-Not-Run", "1")]
        if expected != self.name:
            return 421, [("X-Request-Id", request_id), ("X-Not-Run", "1")]
        self.runs.append(request_id)
        self.record("run", server=self.name, id=request_id, request=first)
        return 200, [
            ("X-Request-Id", request_id),
            ("X-Response-Stamp", f"stamp-{self.name}"),
        ]


class CacheStore:
    """A store of KV cache without any events."""

    def __init__(self, record: loopback.Record):
        self.record = record
        self.channels: set[asyncio.StreamWriter] = set()
        self.calls = 0

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serves one channel."""
        self.channels.add(writer)
        with contextlib.suppress(*_ENDS):
            while True:
                _, headers = await loopback.read_head(reader)
                fields = dict(headers)
                self.calls += 1
                wait_ms = min(1_000, int(fields.get("wait-ms", "0")))
                await asyncio.sleep(wait_ms / 1000.0)
                body = _NO_EVENTS
                got = [("Content-Type", "application/json")]
                if "x-request-id" in fields:
                    got.append(("X-Request-Id", fields["x-request-id"]))
                got.append(("Content-Length", str(len(body))))
                writer.write(loopback.make_head("HTTP/1.1 200 OK", got) + body)
                await writer.drain()
        self.channels.discard(writer)
        writer.close()


async def main() -> int:
    """Returns 1 if a server ran what no client sent, else 0."""
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    record = loopback.Record(pathlib.Path(__file__).parent / "record.txt")
    sent: set[str] = set()
    first = Server("i-first", record)
    second = Server("i-second", record)
    cache = CacheStore(record)
    async with loopback.Stage(record) as stage:
        own = await asyncio.start_server(first.serve, loopback.IP, 0)
        own_address = f"{loopback.IP}:{own.sockets[0].getsockname()[1]}"
        old = await asyncio.start_server(cache.serve, loopback.IP, 0)
        port = old.sockets[0].getsockname()[1]
        operator = stage.operator
        await operator.list_server("i-first", _SERVICE, own_address, _SLOTS)
        await operator.configure(
            [
                {
                    "name": "artifact-fetch",
                    "host": _HOST,
                    "pathPrefix": "/fetch/",
                    "type": "idempotent",
                    "service": _SERVICE,
                    "timeoutMs": 1500,
                    "targetLatencyMs": 300,
                    "priority": 2,
                    "maxAttempts": 2,
                }
            ],
            [
                {"name": _SERVICE, "maxConnections": 110},
                {
                    "name": _STORE,
                    "kvStoreAddr": f"{loopback.IP}:{port}",
                    "zone": "zone-a",
                    "kvCapacityTokens": 635_402,
                    "linkMbps": 25_000.0,
                },
            ],
        )
        if not await stage.start_gateways(2):
            return 2
        load = asyncio.create_task(_send(stage, record, sent))
        await asyncio.sleep(_CALM_S)
        if has_trouble:
            old.close()
            for writer in list(cache.channels):
                writer.close()
            record("the store of KV cache is gone", address=port)
            await asyncio.sleep(_REUSE_AFTER_S)
            await asyncio.start_server(second.serve, loopback.IP, port)
            address = f"{loopback.IP}:{port}"
            await operator.list_server("i-second", _SERVICE, address, _SLOTS)
        await asyncio.sleep(_LAST_S)
        load.cancel()
    if not cache.calls or not sent:
        return 2
    unasked = [id_ for id_ in first.runs + second.runs if id_ not in sent]
    record("end", sent=len(sent), unasked=unasked, calls=cache.calls)
    print(f"{len(sent)} requests, {len(unasked)} runs that no client sent")
    return 1 if unasked else 0


async def _send(
    stage: loopback.Stage, record: loopback.Record, sent: set[str]
) -> None:
    """Sends requests to the gateways in turn until cancelled."""
    for number in itertools.count():
        gateway = stage.gateways[number % len(stage.gateways)]
        request_id = f"client-{number}"
        sent.add(request_id)
        record("sent", id=request_id, to=gateway.name)
        answer = await loopback.call(
            gateway.listen,
            "GET",
            "/fetch/a",
            [("Host", _HOST), ("X-Request-Id", request_id)],
        )
        record("answered", id=request_id, status=answer.status)
        await asyncio.sleep(_PAUSE_S)


if __name__ == "__main__":
    loopback.run_case(main)
