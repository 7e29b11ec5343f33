"""Runs gateways as processes on loopback, beside stand-ins, for the cases.

The gateways are started with the command of the deploy file. The platform's
store is this project's stand-in, in a process of its own (`loopback_store.py`);
the operator, who also stands for the servers' entries, writes to it over HTTP.
"""

from __future__ import annotations

import asyncio
import collections
from collections.abc import Callable
from collections.abc import Iterable
import contextlib
import json
import os
import pathlib
import shlex
import signal
import socket
import struct
import sys
import tempfile
import time
import tomllib
from typing import Any
from typing import NamedTuple

__all__ = [
    "Answer",
    "Gateway",
    "Operator",
    "Record",
    "Stage",
    "call",
    "free_port",
    "make_head",
    "read_body",
    "read_head",
]

ROOT = pathlib.Path(__file__).resolve().parents[1]
IP = "127.0.0.1"
# The memory that the settings file of a small deployment grants.
MEMORY_MB = 150
_START_S = 20.0
_LIMITS = {
    "maxHeaderBytes": 16_384,
    "maxBodyBytes": 4_194_304,
    "headerTimeoutMs": 3_000,
    "idleTimeoutMs": 15_000,
}

Headers = list[tuple[str, str]]


def free_port() -> int:
    """Returns a port that is free now."""
    with socket.socket() as probe:
        probe.bind((IP, 0))
        return probe.getsockname()[1]


class Record:
    """Writes what was sent, answered and run as lines of JSON."""

    def __init__(self, path: pathlib.Path):
        self.file = path.open("w", encoding="utf-8")
        self.began_at = time.monotonic()

    def __call__(self, event: str, **fields: Any) -> None:
        """Writes one line."""
        at = round(time.monotonic() - self.began_at, 3)
        line = json.dumps({"at": at, "event": event, **fields})
        self.file.write(line + "\n")
        self.file.flush()


class Answer(NamedTuple):
    """An answer as a client sees it.

    Attributes:
        status: HTTP status; 0 if none came.
        headers: Headers, names in lower case.
        body: What came of the body.
        is_whole: Whether all of it came.
        error: Why not.
    """

    status: int
    headers: dict[str, str]
    body: bytes
    is_whole: bool
    error: str = ""


def make_head(first: str, headers: Iterable[tuple[str, str]]) -> bytes:
    """Returns the bytes of a head."""
    lines = [first, *(f"{name}: {value}" for name, value in headers)]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")


async def read_head(reader: asyncio.StreamReader) -> tuple[str, Headers]:
    """Returns the first line and the headers of a message."""
    raw = await reader.readuntil(b"\r\n\r\n")
    first, *lines = raw.decode("latin-1").split("\r\n")
    headers = []
    for line in filter(None, lines):
        name, _, value = line.partition(":")
        headers.append((name.strip().lower(), value.strip()))
    return first, headers


async def read_body(
    reader: asyncio.StreamReader,
    headers: Headers,
    chunks: bytearray | None = None,
) -> bytes:
    """Returns the body of a message with a length or in chunks.

    Args:
        reader: Where the message comes from.
        headers: Its headers.
        chunks: Gets the chunks as they come; what it has is not returned.
    """
    fields = dict(headers)
    if "chunked" not in fields.get("transfer-encoding", ""):
        return await reader.readexactly(int(fields.get("content-length", "0")))
    body = bytearray() if chunks is None else chunks
    while True:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        chunk = await reader.readexactly(size + 2)
        if not size:
            return bytes(body) if chunks is None else b""
        body += chunk[:-2]


async def _exchange(
    address: tuple[str, int], head: bytes, body: bytes
) -> Answer:
    writer = None
    status = 0
    got = bytearray()
    try:
        reader, writer = await asyncio.open_connection(*address)
        writer.write(head + body)
        await writer.drain()
        first, headers = await read_head(reader)
        status = int(first.split()[1])
        got += await read_body(reader, headers, got)
        return Answer(status, dict(headers), bytes(got), True)
    except (asyncio.IncompleteReadError, OSError) as error:
        return Answer(status, {}, bytes(got), False, type(error).__name__)
    finally:
        if writer is not None:
            writer.close()


async def call(
    address: tuple[str, int],
    method: str,
    path: str,
    headers: Headers,
    body: bytes = b"",
    timeout: float = 5.0,
) -> Answer:
    """Sends a request over a new channel and returns the answer."""
    if body or method == "POST":
        headers = [*headers, ("Content-Length", str(len(body)))]
    head = make_head(f"{method} {path} HTTP/1.1", headers)
    try:
        return await asyncio.wait_for(_exchange(address, head, body), timeout)
    except TimeoutError:
        return Answer(0, {}, b"", False, "timed out")


class Operator:
    """Writes configurations, and the entries of servers, into the store."""

    def __init__(self, store: tuple[str, int], record: Record):
        self.store = store
        self.record = record
        self.version = 0
        self.sequences: collections.Counter[str] = collections.Counter()

    async def _put(self, topic: str, key: str, value: Any) -> None:
        name = key.encode()
        payload = bytes([len(name)]) + name + json.dumps(value).encode()
        answer = await call(
            self.store,
            "POST",
            f"/api/log-append?topic={topic}&part=0",
            [("Host", "store")],
            struct.pack(">I", len(payload)) + payload,
        )
        if answer.status != 200:
            raise RuntimeError(f"the store answered {answer}")

    async def configure(
        self, routes: list[dict[str, Any]], services: list[dict[str, Any]]
    ) -> None:
        """Writes the next configuration."""
        self.version += 1
        value = {
            "version": self.version,
            "routes": routes,
            "services": services,
            "limits": _LIMITS,
        }
        await self._put("keyed.op", "config", value)
        self.record("configuration acknowledged", version=self.version)

    async def list_server(
        self,
        name: str,
        service: str,
        address: str,
        slots: int,
        more: dict[str, Any] | None = None,
    ) -> None:
        """Writes a server's entry as the server would.

        Args:
            name: Its id.
            service: The service that it belongs to.
            address: Where it listens.
            slots: Requests that it works on at once.
            more: Further fields, or other values of these.
        """
        self.sequences[name] += 1
        entry = {
            "service": service,
            "address": address,
            "zone": "zone-a",
            "version": "1",
            "slots": slots,
            "state": "ready",
            "coldRemainingMs": 0,
            "sequence": self.sequences[name],
            **(more or {}),
        }
        await self._put("keyed.servers", name, entry)
        self.record("server listed", server=name, address=address)


class Gateway:
    """One machine of the system, with its process.

    Attributes:
        name: Name of the machine.
        listen: Where it serves requesters.
        ready: Where the platform asks whether it is ready.
        process: The running process.
        lives: Processes started so far.
    """

    def __init__(self, name: str, store: str, folder: pathlib.Path):
        self.name = name
        self.folder = folder
        self.listen = (IP, free_port())
        self.ready = (IP, free_port())
        self.path = folder / f"{name}.json"
        self.process: asyncio.subprocess.Process | None = None
        self.lives = 0
        settings = {
            "host": name,
            "data_centre": "zone-a",
            "listen": f"{IP}:{self.listen[1]}",
            "ready_listen": f"{IP}:{self.ready[1]}",
            "store": store,
            "drain_ms": 2000,
            "grace_s": 8,
            "revoke_ms": 5000,
            "fail_closed": True,
            "config_ms": 2000,
            "lease_ms": 3000,
            "version_ms": 10000,
            "retry_ratio": 0.2,
            "retry_extra": 56,
            "retry_window_s": 10,
            "memory_mb": MEMORY_MB,
            "link_mbps": 1000.0,
            "feed_port": free_port(),
            "metrics_port": free_port(),
        }
        self.path.write_text(json.dumps(settings))

    async def start(self) -> None:
        """Starts the next process."""
        self.lives += 1
        with _open_log(self.folder / f"{self.name}.{self.lives}.log") as log:
            self.process = await asyncio.create_subprocess_exec(
                *_deploy_command(),
                cwd=ROOT,
                env=_environment(HILLTHREAD_NODE_FILE=str(self.path)),
                stdout=log,
                stderr=log,
            )

    async def wait_ready(self) -> bool:
        """Returns whether it has become ready in time."""
        until = time.monotonic() + _START_S
        while time.monotonic() < until:
            answer = await call(
                self.ready, "GET", "/api/ready", [("Host", "x")], timeout=1.0
            )
            if answer.status == 200:
                return True
            await asyncio.sleep(0.1)
        return False

    def is_running(self) -> bool:
        """Returns whether its process runs."""
        return self.process is not None and self.process.returncode is None

    def memory_bytes(self) -> int:
        """Returns the resident memory of the process; 0 if it is gone."""
        if self.process is None or self.process.returncode is not None:
            return 0
        with contextlib.suppress(OSError):
            path = pathlib.Path(f"/proc/{self.process.pid}/statm")
            pages = int(path.read_text().split()[1])
            return pages * os.sysconf("SC_PAGE_SIZE")
        return 0

    async def kill(self) -> None:
        """Ends the process as the platform does, if it runs."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(signal.SIGKILL)
            await self.process.wait()


class Stage:
    """The store and the gateways of one run; ends all of them at its end.

    Attributes:
        record: What was sent, answered and run.
        operator: Writes into the store.
        gateways: The machines.
    """

    def __init__(self, record: Record):
        self.record = record
        self.gateways: list[Gateway] = []
        self.operator: Operator
        self._folder = tempfile.TemporaryDirectory(prefix="review-")
        self._store: asyncio.subprocess.Process | None = None
        self._address = (IP, free_port())

    async def __aenter__(self) -> Stage:
        """Starts the store."""
        folder = pathlib.Path(self._folder.name)
        with _open_log(folder / "store.log") as log:
            self._store = await asyncio.create_subprocess_exec(
                sys.executable,
                str(ROOT / "review" / "loopback_store.py"),
                str(self._address[1]),
                cwd=ROOT,
                env=_environment(),
                stdout=log,
                stderr=log,
            )
        self.operator = Operator(self._address, self.record)
        until = time.monotonic() + _START_S
        while not (
            await call(
                self._address,
                "GET",
                "/api/log-newest?topic=keyed.op&part=0",
                [("Host", "store")],
            )
        ).status:
            if time.monotonic() > until:
                raise RuntimeError("the store did not start")
            await asyncio.sleep(0.1)
        return self

    async def __aexit__(self, *_: object) -> None:
        """Ends all processes."""
        for gateway in self.gateways:
            await gateway.kill()
        if self._store is not None and self._store.returncode is None:
            self._store.send_signal(signal.SIGKILL)
            await self._store.wait()
        self._folder.cleanup()

    @property
    def store_address(self) -> tuple[str, int]:
        """Where the store listens."""
        return self._address

    async def start_gateways(
        self, count: int, other_stores: dict[int, tuple[str, int]] | None = None
    ) -> bool:
        """Starts gateways; returns whether all are ready.

        Args:
            count: Number of gateways.
            other_stores: Where some gateways, by number from 1 on, find the
                store instead.
        """
        folder = pathlib.Path(self._folder.name)
        stores = other_stores or {}
        for number in range(1, count + 1):
            ip, port = stores.get(number, self._address)
            name = f"front-zone-a-{number}"
            self.gateways.append(Gateway(name, f"{ip}:{port}", folder))
        for gateway in self.gateways:
            await gateway.start()
        ready = [await gateway.wait_ready() for gateway in self.gateways]
        self.record("gateways started", ready=ready)
        return all(ready)


def run_case(
    main: Callable[[], Any], run: Callable[..., int] = asyncio.run
) -> None:
    """Runs a case and exits with its result; 2 if it could not run.

    Args:
        main: Plays the case and returns the exit code.
        run: Runs `main` or what it returns.
    """
    # A case that is ended early still ends its processes.
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    try:
        code = run(main()) if run is asyncio.run else run(main)
    except Exception as error:  # an error of the case is no broken rule
        print(f"the case could not run: {error!r}")
        code = 2
    sys.exit(code)


def _deploy_command() -> list[str]:
    deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
    return shlex.split(deploy["roles"]["gateway"]["run"])


def _environment(**variables: str) -> dict[str, str]:
    """Returns what the platform passes on, and the settings file."""
    kept = {n: os.environ[n] for n in ("PATH", "HOME") if n in os.environ}
    deps = os.pathsep.join([str(ROOT / "target" / "deps"), str(ROOT)])
    return {**kept, "PYTHONPATH": deps, **variables}


def _open_log(path: pathlib.Path) -> Any:
    return path.open("wb")
