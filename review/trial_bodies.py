"""A server reads slowly; the bodies held for it exceed the memory limit.

A trial without a case of its own; see REPORT-2.md. Exits with 1 if the rule was
broken, 0 if it held, 2 if it could not be run.
"""

from __future__ import annotations

import asyncio
import collections
import contextlib
import itertools
import os
import pathlib
import time

import loopback

# The platform kills a process that exceeds `limits.memoryMb`.
_MEMORY_BYTES = loopback.MEMORY_MB * 1024 * 1024
_RESTART_S = 0.5
_WATCH_S = 0.02
# Below `maxBodyBytes`, which is 4,194,304.
_BODY = b"x" * 4_000_000
# Requests a second to each gateway.
_RATE_PER_S = 8.0
_LOAD_S = 30.0
# How fast a slow server reads each of its channels: a body takes 5 s, well
# below the time limit of the requests.
_SLOW_BYTES_PER_S = 800_000
_PIECE_BYTES = 65_536
_SERVERS = 2
_SLOTS = 64
_GATEWAYS = 2
# From RULES.md, "Faults".
_MAX_ENDS = 3
_TIMEOUT_MS = 12_000
_SERVICE = "triage"
_HOST = "callers.example"
_ENDS = (OSError, asyncio.IncompleteReadError, asyncio.CancelledError)


class Server:
    """A sound server, which may be slow to read.

    Attributes:
        name: Its id.
        is_slow: Whether it reads slowly.
        open_requests: Requests being read or run.
        runs: Ids of what it ran.
    """

    def __init__(self, name: str, record: loopback.Record):
        self.name = name
        self.record = record
        self.is_slow = False
        self.open_requests = 0
        self.runs: list[str] = []

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serves one channel."""
        with contextlib.suppress(*_ENDS):
            while True:
                _, headers = await loopback.read_head(reader)
                self.open_requests += 1
                try:
                    await self._answer(dict(headers), reader, writer)
                finally:
                    self.open_requests -= 1
        writer.close()

    async def _answer(
        self,
        headers: dict[str, str],
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        request_id = headers.get("x-request-id", "")
        is_full = self.open_requests > _SLOTS
        expected = headers.get("x-expect-instance", self.name)
        left = int(headers.get("content-length", "0"))
        is_slow = self.is_slow and not is_full
        while left:
            left -= len(await reader.readexactly(min(left, _PIECE_BYTES)))
            if is_slow:
                await asyncio.sleep(_PIECE_BYTES / _SLOW_BYTES_PER_S)
        fields = [("X-Request-Id", request_id)]
        status = 200
        if expected != self.name:
            status = 421
        elif is_full:
            status = 503
        if status == 200:
            self.runs.append(request_id)
            self.record("run", server=self.name, id=request_id)
            fields.append(("X-Response-Stamp", f"stamp-{self.name}"))
        else:
            fields.append(("X-Not-Run", "1"))
        fields.append(("Content-Length", "2"))
        head = loopback.make_head(f"HTTP/1.1 {status} -", fields)
        writer.write(head + b"ok")
        await writer.drain()


class Platform:
    """Kills and restarts processes that exceed their memory.

    Attributes:
        ends: Processes that exceeded it, by machine.
        peaks: Most memory seen, in bytes, by machine.
    """

    def __init__(self, record: loopback.Record):
        self.record = record
        self.ends: collections.Counter[str] = collections.Counter()
        self.peaks: collections.Counter[str] = collections.Counter()

    async def watch(self, gateway: loopback.Gateway) -> None:
        """Watches one machine until cancelled."""
        while True:
            await asyncio.sleep(_WATCH_S)
            used = gateway.memory_bytes()
            name = gateway.name
            self.peaks[name] = max(self.peaks[name], used)
            if used <= _MEMORY_BYTES and gateway.is_running():
                continue
            self.ends[name] += 1
            self.record("process ended", machine=name, memory_bytes=used)
            await gateway.kill()
            await asyncio.sleep(_RESTART_S)
            await gateway.start()
            await gateway.wait_ready()


async def main() -> int:
    """Returns 1 if machines ended by themselves too often, else 0."""
    record = loopback.Record(pathlib.Path(__file__).parent / "record.txt")
    answers: collections.Counter[str] = collections.Counter()
    platform = Platform(record)
    servers = [Server(f"i-{number}", record) for number in range(_SERVERS)]
    async with loopback.Stage(record) as stage:
        for server in servers:
            listener = await asyncio.start_server(
                server.serve, loopback.IP, 0, limit=_PIECE_BYTES
            )
            port = listener.sockets[0].getsockname()[1]
            address = f"{loopback.IP}:{port}"
            await stage.operator.list_server(
                server.name, _SERVICE, address, _SLOTS
            )
        await stage.operator.configure(
            [
                {
                    "name": "post",
                    "host": _HOST,
                    "pathPrefix": "/post/",
                    "type": "non_idempotent",
                    "service": _SERVICE,
                    "timeoutMs": _TIMEOUT_MS,
                    "targetLatencyMs": 500,
                    "priority": 1,
                    "maxAttempts": 1,
                }
            ],
            [{"name": _SERVICE, "maxConnections": 370}],
        )
        if not await stage.start_gateways(_GATEWAYS):
            return 2
        for server in servers:
            server.is_slow = os.environ.get("TROUBLE", "1") != "0"
        async with asyncio.TaskGroup() as tasks:
            watches = [
                tasks.create_task(platform.watch(each))
                for each in stage.gateways
            ]
            await _load(stage, record, answers)
            for watch in watches:
                watch.cancel()
    ends = {each.name: platform.ends[each.name] for each in stage.gateways}
    runs = sum(len(server.runs) for server in servers)
    record("end", ends=ends, peaks=platform.peaks, answers=answers, runs=runs)
    print(f"ends {ends}, peaks {dict(platform.peaks)}, {dict(answers)}")
    if not runs and not any(ends.values()):
        return 2
    return int(all(count >= _MAX_ENDS for count in ends.values()))


async def _load(
    stage: loopback.Stage,
    record: loopback.Record,
    answers: collections.Counter[str],
) -> None:
    """Sends requests to all gateways at an even rate."""
    until = time.monotonic() + _LOAD_S
    numbers = itertools.count()
    async with asyncio.TaskGroup() as tasks:
        while time.monotonic() < until:
            for gateway in stage.gateways:
                request_id = f"client-{next(numbers)}"
                tasks.create_task(_ask(gateway, request_id, record, answers))
            await asyncio.sleep(1.0 / _RATE_PER_S)


async def _ask(
    gateway: loopback.Gateway,
    request_id: str,
    record: loopback.Record,
    answers: collections.Counter[str],
) -> None:
    record("sent", id=request_id, to=gateway.name)
    headers = [
        ("Host", _HOST),
        ("X-Request-Id", request_id),
        ("X-Deadline-Ms", str(_TIMEOUT_MS)),
    ]
    answer = await loopback.call(
        gateway.listen,
        "POST",
        "/post/a",
        headers,
        _BODY,
        timeout=_TIMEOUT_MS / 1000.0,
    )
    record("answered", id=request_id, status=answer.status, error=answer.error)
    answers[answer.error or str(answer.status)] += 1


if __name__ == "__main__":
    loopback.run_case(main)
