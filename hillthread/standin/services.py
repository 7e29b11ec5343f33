"""Stand-ins of the platform: a log, a target list and a plain service."""

from __future__ import annotations

import random
import time
from typing import Any

import anyio
import msgspec

from hillthread import settings as settings_lib
from hillthread.transport import http_server

__all__ = ["HostListStandin", "LogStandin", "PlainStandin", "StandinSettings"]

_MAX_BODY_BYTES = 67_108_864
_DEFAULT_PAGE_RECORDS = 500


class StandinSettings(settings_lib.SettingsStruct, frozen=True, kw_only=True):
    """Settings of a platform stand-in.

    Attributes:
        listen: Address that it listens on.
        lag_s: Age of the target list that it reports.
    """

    listen: settings_lib.Address = "127.0.0.1:0"
    lag_s: float = 0.0


class _Standin:
    """Base of the stand-ins: a server and a control page for tests."""

    def __init__(self, settings: StandinSettings):
        self.settings = settings
        self.server = http_server.Server(settings.listen, self.handle)
        self.faults: dict[str, Any] = {}

    async def run(self, stop: anyio.Event) -> None:
        """Serves until `stop`."""
        await self.server.serve(stop)

    async def handle(
        self, request: http_server.Request, send: http_server.Send
    ) -> None:
        """Serves one request."""
        body = await request.body(_MAX_BODY_BYTES)
        if request.path == "/control":
            self.faults.update(msgspec.json.decode(body))
            self.apply_control()
            await http_server.send_json(send, 200, {})
            return
        if self.faults.get("down"):
            await http_server.send_json(send, 503, {"error": "down"})
            return
        await self.answer(request, body, send)

    def apply_control(self) -> None:
        """Applies the requested faults that take effect once."""

    async def answer(
        self, request: http_server.Request, body: bytes, send
    ) -> None:
        """Answers one request."""
        raise NotImplementedError


class LogStandin(_Standin):
    """An append-only log with offsets, truncation and injected faults.

    Attributes:
        streams: Retained records of each stream.
        first_offsets: Offset of the first retained record of each stream.
    """

    def __init__(self, settings: StandinSettings):
        super().__init__(settings)
        self.streams: dict[str, list[str]] = {}
        self.first_offsets: dict[str, int] = {}
        self.changed = anyio.Event()
        self.appends = 0
        self.random = random.Random(1)

    def apply_control(self) -> None:
        """Applies `truncate` and `rollback`, which map streams to offsets."""
        for stream, offset in self.faults.pop("truncate", {}).items():
            first = self.first_offsets.get(stream, 0)
            self.streams[stream] = self.streams[stream][offset - first :]
            self.first_offsets[stream] = offset
        for stream, offset in self.faults.pop("rollback", {}).items():
            first = self.first_offsets.get(stream, 0)
            self.streams[stream] = self.streams[stream][: offset - first]

    async def answer(
        self, request: http_server.Request, body: bytes, send
    ) -> None:
        """Serves `/streams/NAME/records`."""
        if self.random.random() < self.faults.get("loss", 0.0):
            await http_server.send_json(send, 500, {"error": "lost"})
            return
        await anyio.sleep(self.faults.get("slow_s", 0.0))
        stream = request.path.removeprefix("/streams/").removesuffix("/records")
        if request.method == "POST":
            await self._append(stream, body, send)
        else:
            await self._read(stream, request, send)

    async def _append(self, stream: str, body: bytes, send) -> None:
        wanted = msgspec.json.decode(body)["records"]
        records = self.streams.setdefault(stream, [])
        offset = self.first_offsets.get(stream, 0) + len(records)
        records.extend(wanted)
        self.appends += 1
        self.changed.set()
        self.changed = anyio.Event()
        if self.faults.get("lose_answers", 0) > 0:
            self.faults["lose_answers"] -= 1
            return
        if self.random.random() < self.faults.get("loss", 0.0):
            await http_server.send_json(send, 500, {"error": "lost"})
            return
        await http_server.send_json(send, 200, {"first_offset": offset})

    async def _read(
        self, stream: str, request: http_server.Request, send
    ) -> None:
        start = int(request.parameter("from", "0"))
        limit = int(request.parameter("max", str(_DEFAULT_PAGE_RECORDS)))
        with anyio.move_on_after(float(request.parameter("wait_s", "0"))):
            while start >= self._next(stream):
                await self.changed.wait()
        first = self.first_offsets.get(stream, 0)
        if start < first:
            await http_server.send_json(send, 410, {"first_offset": first})
            return
        found = self.streams.get(stream, [])[start - first :][:limit]
        await http_server.send_json(
            send,
            200,
            {
                "first_offset": first,
                "next_offset": self._next(stream),
                "records": [
                    {"offset": start + number, "payload": payload}
                    for number, payload in enumerate(found)
                ],
            },
        )

    def _next(self, stream: str) -> int:
        return self.first_offsets.get(stream, 0) + len(
            self.streams.get(stream, [])
        )


class HostListStandin(_Standin):
    """A list of live and leaving targets that is reported with a delay.

    Attributes:
        versions: Monotonic time and targets of each version of the list.
    """

    def __init__(self, settings: StandinSettings):
        super().__init__(settings)
        self.versions: list[tuple[float, list[Any]]] = [(0.0, [])]

    def apply_control(self) -> None:
        """Applies `targets`, which holds a new list."""
        if "targets" in self.faults:
            listed = self.faults.pop("targets")
            self.versions.append((time.monotonic(), listed))

    async def answer(
        self, request: http_server.Request, body: bytes, send
    ) -> None:
        """Serves `/targets`."""
        lag = self.faults.get("lag_s", self.settings.lag_s)
        due = time.monotonic() - lag
        listed = [each for at, each in self.versions if at <= due][-1]
        await http_server.send_json(send, 200, {"targets": listed})


class PlainStandin(_Standin):
    """A plain service that records each call and echoes it.

    Attributes:
        journal: Method, path, attempt ID and body of each call.
    """

    def __init__(self, settings: StandinSettings):
        super().__init__(settings)
        self.journal: list[dict[str, Any]] = []

    async def answer(
        self, request: http_server.Request, body: bytes, send
    ) -> None:
        """Echoes the request."""
        if request.path == "/journal":
            await http_server.send_json(send, 200, self.journal)
            return
        await anyio.sleep(self.faults.get("slow_s", 0.0))
        attempt_id = request.headers.get("x-request-id", "")
        entry = {
            "method": request.method,
            "path": request.path,
            "attempt_id": attempt_id,
            "body": body.decode("utf-8", "replace"),
        }
        self.journal.append(entry)
        await http_server.send_json(send, 200, {"echo": entry})
