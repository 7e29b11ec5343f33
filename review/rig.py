"""A small deployment on loopback for the cases of the review.

The gateways run as processes with the command of the deploy file. The store and
the targets are the project's stand-ins, which run in the process of the case.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import itertools
import os
import pathlib
import signal
import socket
import subprocess
import sys
import tempfile
import time
from typing import Any
from typing import NamedTuple

import anyio
import anyio.abc
import msgspec

from hillthread.platform import targets as targets_lib
from hillthread.standin import platform_operator
from hillthread.standin import platform_store
from hillthread.standin import platform_target

__all__ = [
    "CALLER_HOST",
    "ENGINES",
    "EXIT_BROKEN",
    "EXIT_HELD",
    "EXIT_NOT_RUN",
    "MODEL",
    "Answer",
    "Deployment",
    "Host",
    "Record",
    "call",
    "has_trouble",
    "request_headers",
    "run_case",
]

CALLER_HOST = "callers.example"
ENGINES = "engines"
MODEL = "m"
EXIT_HELD = 0
EXIT_BROKEN = 1
EXIT_NOT_RUN = 2
ROOT = pathlib.Path(__file__).resolve().parent.parent
# The command of `deploy/system.toml`.
_COMMAND = ["python3", "-m", "hillthread.programs.gateway"]
# Variables of the caller that the platform passes on.
_PASSED_VARIABLES = ("PATH", "HOME", "LANG")
_RESTART_DELAY_S = 0.5
_START_TIMEOUT_S = 20.0
_POLL_S = 0.02
# A script may run for 120 s.
_MAX_CASE_S = 112.0
# Time after which hosts have read the targets that were listed at the start.
_SETTLE_S = 3.0
# Bounds and limits of the deployment `ppbs-ci`, by the names of the template
# `deploy/gateway.json`.
_SETTINGS: dict[str, Any] = {
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
    "memory_mb": 150,
    "link_mbps": 1000.0,
}


def has_trouble() -> bool:
    """Returns whether the disruption is to be played."""
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """What was sent, answered and run, written to a file line by line."""

    def __init__(self, path: pathlib.Path):
        self.began_at = time.monotonic()
        self._file = path.open("w", encoding="utf-8")

    def write(self, text: str) -> None:
        """Writes a line with the time since the start."""
        elapsed_s = time.monotonic() - self.began_at
        self._file.write(f"{elapsed_s:8.3f} s  {text}\n")
        self._file.flush()

    def close(self) -> None:
        """Closes the file."""
        self._file.close()


class Answer(NamedTuple):
    """What a caller received for a request.

    Attributes:
        status: HTTP status; 0 if the connection ended without an answer.
        headers: Names in lower case and values.
        body: The body, without its framing.
        is_complete: Whether the body ended as its framing requires.
    """

    status: int
    headers: dict[str, str]
    body: bytes
    is_complete: bool


class Host:
    """One gateway, restarted when its process ends, as the platform does.

    Attributes:
        name: Name of the machine.
        address: Address for callers, as IP and port.
        ready_address: Address of the readiness check.
        process: The running process.
        exits: Exit codes of processes that ended by themselves.
        log_path: Log of all its processes.
    """

    def __init__(self, name: str, ip: str, zone: str, folder: pathlib.Path):
        self.name = name
        ports = _free_ports(ip, 4)
        self.address = (ip, ports[0])
        self.ready_address = (ip, ports[1])
        self.settings = {
            "host": name,
            "data_centre": zone,
            "listen": f"{ip}:{ports[0]}",
            "ready_listen": f"{ip}:{ports[1]}",
            "feed_port": ports[2],
            "metrics_port": ports[3],
            **_SETTINGS,
        }
        self.path = folder / f"{name}.json"
        self.log_path = folder / f"{name}.log"
        self.process: subprocess.Popen[bytes] | None = None
        self.exits: list[int] = []

    def start(self) -> None:
        """Starts a process."""
        self.path.write_bytes(msgspec.json.encode(self.settings))
        variables = {
            name: os.environ[name]
            for name in _PASSED_VARIABLES
            if name in os.environ
        }
        variables["PYTHONPATH"] = str(ROOT / "target" / "deps")
        variables["HILLTHREAD_NODE_FILE"] = str(self.path)
        with self.log_path.open("ab") as log:
            self.process = subprocess.Popen(
                _COMMAND, cwd=ROOT, env=variables, stdout=log, stderr=log
            )

    def has_ended(self) -> bool:
        """Returns whether its process has ended."""
        return self.process is None or self.process.poll() is not None

    def signal(self, number: signal.Signals) -> None:
        """Sends a signal to its process."""
        if self.process is not None:
            self.process.send_signal(number)

    def resident_bytes(self) -> int:
        """Returns the memory that its process holds."""
        if self.process is None:
            return 0
        path = pathlib.Path(f"/proc/{self.process.pid}/statm")
        try:
            return int(path.read_text().split()[1]) * os.sysconf("SC_PAGE_SIZE")
        except (OSError, IndexError):
            return 0

    def end(self) -> None:
        """Ends its process at once."""
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()


class Deployment:
    """A store, targets and hosts.

    Attributes:
        record: What happens.
        tasks: Runs the stand-ins.
        store: The platform's store.
        operator: Writes to the store.
        hosts: The gateways.
        targets: The targets.
    """

    def __init__(
        self,
        record: Record,
        tasks: anyio.abc.TaskGroup,
        folder: pathlib.Path,
        hosts: int,
        routes: list[platform_operator.OperatorRoute],
        tenants: list[platform_operator.OperatorTenant],
    ):
        self.record = record
        self.tasks = tasks
        self.store = platform_store.PlatformStoreStandin()
        self.operator = platform_operator.PlatformOperatorStandin(
            self.store, CALLER_HOST, routes, tenants, {ENGINES: MODEL}
        )
        self.hosts = [
            Host(f"front-{n}", f"127.0.0.{n + 11}", f"zone-{n % 2}", folder)
            for n in range(hosts)
        ]
        for host in self.hosts:
            host.settings["store"] = self.store.address
        self.targets: list[platform_target.PlatformTargetStandin] = []
        self.restarts = True

    def add_target(
        self, target: platform_target.PlatformTargetStandin
    ) -> platform_target.PlatformTargetStandin:
        """Starts a target and lists it."""
        self.targets.append(target)
        self.tasks.start_soon(target.server.serve)
        self.operator.list_target(target, "ready")
        return target

    def list_entry(self, name: str, entry: dict[str, Any]) -> None:
        """Writes an entry to the list of runners."""
        self.store.put(targets_lib.TARGET_TOPIC, name, entry)

    async def start(self) -> None:
        """Starts the store and all hosts, and waits until they are ready.

        Targets that are to serve at once are added before.
        """
        self.tasks.start_soon(self.store.server.serve)
        self.operator.configure()
        for host in self.hosts:
            host.start()
        self.tasks.start_soon(self._restart_ended)
        with anyio.fail_after(_START_TIMEOUT_S):
            for host in self.hosts:
                while not await self.is_ready(host):  # noqa: ASYNC110
                    await anyio.sleep(_POLL_S)
        await anyio.sleep(_SETTLE_S)
        self.record.write(f"{len(self.hosts)} hosts are ready")

    async def is_ready(self, host: Host) -> bool:
        """Returns whether a host answers the readiness check with 200."""
        answer = await call(host.ready_address, "GET", "/api/ready", {}, 1.0)
        return answer.status == 200

    async def _restart_ended(self) -> None:
        """Restarts processes that have ended, after a short delay."""
        while True:
            await anyio.sleep(_POLL_S)
            for host in self.hosts:
                if not self.restarts or not host.has_ended():
                    continue
                if host.process is not None:
                    code = host.process.returncode
                    host.exits.append(code)
                    self.record.write(f"{host.name} has ended with {code}")
                    host.process = None
                    self.tasks.start_soon(self._restart, host)

    async def _restart(self, host: Host) -> None:
        await anyio.sleep(_RESTART_DELAY_S)
        host.start()
        self.record.write(f"{host.name} is started again")


async def call(
    address: tuple[str, int],
    method: str,
    path: str,
    headers: dict[str, str],
    timeout_s: float,
    body: bytes = b"",
) -> Answer:
    """Sends a request over a new connection and returns its answer."""
    try:
        with anyio.fail_after(timeout_s):
            return await _call(address, method, path, headers, body)
    except (OSError, TimeoutError, EOFError, ValueError):
        return Answer(0, {}, b"", False)


async def _call(
    address: tuple[str, int],
    method: str,
    path: str,
    headers: dict[str, str],
    body: bytes,
) -> Answer:
    reader, writer = await asyncio.open_connection(*address)
    try:
        lines = [f"{method} {path} HTTP/1.1", f"Host: {CALLER_HOST}"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        lines += [f"Content-Length: {len(body)}", "Connection: close", "", ""]
        writer.write("\r\n".join(lines).encode() + body)
        await writer.drain()
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        status_line, *pairs = head.rstrip().split("\r\n")
        received = {
            name.lower(): value.strip()
            for name, _, value in (pair.partition(":") for pair in pairs)
        }
        status = int(status_line.split()[1])
        content, is_complete = await _read_body(reader, received)
        return Answer(status, received, content, is_complete)
    finally:
        writer.close()


async def _read_body(
    reader: asyncio.StreamReader, headers: dict[str, str]
) -> tuple[bytes, bool]:
    """Returns the body, and whether it ended as its framing requires."""
    parts: list[bytes] = []
    try:
        if "content-length" in headers:
            parts.append(
                await reader.readexactly(int(headers["content-length"]))
            )
            return b"".join(parts), True
        while True:
            size = int((await reader.readline()).strip() or b"x", 16)
            part = await reader.readexactly(size + 2)
            if not size:
                return b"".join(parts), True
            parts.append(part[:-2])
    except (OSError, EOFError, ValueError):
        return b"".join(parts), False


def _free_ports(ip: str, count: int) -> list[int]:
    """Returns ports of an address on which nobody listens."""
    sockets = [socket.socket() for _ in range(count)]
    try:
        for each in sockets:
            each.bind((ip, 0))
        return [each.getsockname()[1] for each in sockets]
    finally:
        for each in sockets:
            each.close()


def request_headers(
    request_id: str, key: str, parts: list[tuple[str, int]], deadline_ms: int
) -> dict[str, str]:
    """Returns the headers of a caller's request with a prompt.

    Args:
        request_id: Id of the request.
        key: Key of the tenant.
        parts: ID and tokens of the parts of the prompt.
        deadline_ms: Time for which the caller waits.
    """
    prompt = ",".join(f"{digest}:{tokens}" for digest, tokens in parts)
    total = sum(tokens for _, tokens in parts)
    return {
        "X-Request-Id": request_id,
        "X-Model": MODEL,
        "X-Token-Count": f"{total},10",
        "X-Prompt-Prefix": prompt,
        "X-Deadline-Ms": str(deadline_ms),
        "Authorization": f"Bearer {key}",
    }


def _exit_on_signal(number: int, frame: object) -> None:
    """Ends the script with all processes that it started."""
    del number, frame
    sys.exit(EXIT_NOT_RUN)


def run_case(
    case_file: str,
    hosts: int,
    routes: list[platform_operator.OperatorRoute],
    tenants: list[platform_operator.OperatorTenant],
    add_targets: Callable[[Deployment], None],
    play: Callable[[Deployment], Awaitable[bool]],
) -> int:
    """Plays a case and returns the exit code of its script.

    Args:
        case_file: Path of the case's program; the record stands beside it.
        hosts: Number of gateways.
        routes: Routes of the configuration.
        tenants: Tenants of the configuration.
        add_targets: Adds the targets that serve from the start.
        play: Plays the case; returns whether the rule held.
    """
    record = Record(pathlib.Path(case_file).resolve().parent / "record.txt")
    code = EXIT_NOT_RUN

    async def main() -> None:
        nonlocal code
        async with anyio.create_task_group() as tasks:
            deployment = Deployment(
                record, tasks, pathlib.Path(folder), hosts, routes, tenants
            )
            try:
                with anyio.fail_after(_MAX_CASE_S):
                    add_targets(deployment)
                    await deployment.start()
                    held = await play(deployment)
                code = EXIT_HELD if held else EXIT_BROKEN
            except TimeoutError:
                record.write("the case did not run in time")
            finally:
                deployment.restarts = False
                for host in deployment.hosts:
                    host.end()
                tasks.cancel_scope.cancel()

    signal.signal(signal.SIGTERM, _exit_on_signal)
    with tempfile.TemporaryDirectory(prefix="review-") as folder:
        try:
            anyio.run(main)
        except Exception as error:
            code = EXIT_NOT_RUN
            record.write(f"the case could not run: {error!r}")
    record.write(f"exit code {code}")
    record.close()
    return code


request_ids = (f"{number:016x}" for number in itertools.count(1))
