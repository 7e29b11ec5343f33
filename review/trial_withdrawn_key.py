"""A withdrawn key is served by a host that starts after a store's restoration.

A trial without a case of its own; see REPORT-2.md. Exits with 1 if the rule was
broken, 0 if it held, 2 if it could not be run.
"""

from __future__ import annotations

import asyncio
import contextlib
import importlib.util
import itertools
import os
import pathlib
import tempfile
import time
from types import ModuleType
from typing import Any

import anyio
import loopback

from hillthread.standin import platform_store

_HOST = "callers.example"
_SERVICE = "pipeline-api"
_OLD_KEY = "key-old"
_NEW_KEY = "key-new"
# `revokeMs`.
_REVOKE_S = 5.0
_CALM_S = 3.0
# From the copy of the store until the key is withdrawn, and from then until the
# store is away.
_COPY_S = 0.3
_KEPT_S = 4.0
# How long the store is away, and from its return until the operator writes the
# lost configuration again.
_AWAY_S = 1.8
_REWRITE_S = 1.0
# From when the store is away until a process is killed, and from then until it
# is started again.
_KILL_S = 0.9
_RESTART_S = 0.3
_LOAD_S = 4.0
_PAUSE_S = 0.03


def _load_case() -> ModuleType:
    """Returns the module of case 5, which has the stand-ins."""
    path = pathlib.Path(__file__).parent / "5" / "case.py"
    spec = importlib.util.spec_from_file_location("case_5", path)
    assert spec is not None
    assert spec.loader is not None
    module = importlib.util.module_from_spec(spec)
    spec.loader.exec_module(module)
    return module


class _Operator:
    """Writes into the store within this process."""

    def __init__(self, store: platform_store.PlatformStoreStandin):
        self.store = store
        self.numbers = itertools.count(1)

    def list_server(self, address: str) -> None:
        """Writes the server's entry."""
        entry = {
            "service": _SERVICE,
            "address": address,
            "zone": "zone-a",
            "version": "1",
            "slots": 6,
            "state": "ready",
            "coldRemainingMs": 0,
            "sequence": next(self.numbers),
        }
        self.store.put("keyed.servers", "i-1", entry)

    def configure(self, version: int, keys: list[str]) -> None:
        """Writes a configuration with some keys of the one tenant."""
        route = {
            "name": "status-post",
            "host": _HOST,
            "pathPrefix": "/status/",
            "type": "non_idempotent",
            "service": _SERVICE,
            "timeoutMs": 1500,
            "targetLatencyMs": 300,
            "priority": 2,
            "maxAttempts": 1,
        }
        value: dict[str, Any] = {
            "version": version,
            "routes": [route],
            "services": [{"name": _SERVICE, "maxConnections": 110}],
            "tenants": [{"name": "tenant", "apiKeys": keys}],
        }
        self.store.put("keyed.op", "config", value)


async def main() -> int:
    """Returns 1 if requests with the withdrawn key ran too late, else 0."""
    record = loopback.Record(pathlib.Path(__file__).parent / "record.txt")
    with tempfile.TemporaryDirectory(prefix="review-") as folder:
        async with anyio.create_task_group() as tasks:
            store = platform_store.PlatformStoreStandin()
            store.era = 1
            tasks.start_soon(store.server.serve)
            code = await _play(store, pathlib.Path(folder), record)
            tasks.cancel_scope.cancel()
    return code


async def _play(
    store: platform_store.PlatformStoreStandin,
    folder: pathlib.Path,
    record: loopback.Record,
) -> int:
    case = _load_case()
    ip, _, port = store.address.rpartition(":")
    link = case.StoreLink((ip, int(port)))
    ip, port = await link.start()
    server = case.Server("i-1", record)
    operator = _Operator(store)
    address = await server.start()
    operator.list_server(address)
    operator.configure(1, [_OLD_KEY, _NEW_KEY])
    gateways = [
        loopback.Gateway(f"front-zone-a-{number}", f"{ip}:{port}", folder)
        for number in range(1, 4)
    ]
    try:
        for gateway in gateways:
            await gateway.start()
        if not all([await each.wait_ready() for each in gateways]):
            return 2
        await asyncio.sleep(_CALM_S)
        backup = store.backup()
        await asyncio.sleep(_COPY_S)
        operator.configure(2, [_NEW_KEY])
        withdrawn_at = time.monotonic()
        record("key withdrawn")
        await asyncio.sleep(_KEPT_S)
        if os.environ.get("TROUBLE", "1") != "0":
            link.cut()
            record("the store is away")
            await asyncio.sleep(_KILL_S)
            await gateways[2].kill()
            await asyncio.sleep(_RESTART_S)
            await gateways[2].start()
            await asyncio.sleep(_AWAY_S - _KILL_S - _RESTART_S)
            store.restore(backup)
            link.is_cut = False
            record("the store is back from a copy")
            rewrite = asyncio.create_task(_rewrite(operator, address))
        else:
            rewrite = asyncio.create_task(asyncio.sleep(_AWAY_S))
        await _send(gateways[2], record, withdrawn_at)
        await rewrite
    finally:
        for gateway in gateways:
            with contextlib.suppress(OSError):
                await gateway.kill()
    late = [each for each in server.runs if each.startswith("late")]
    record("end", late=len(late))
    print(f"{len(late)} requests ran with the withdrawn key")
    return 1 if late else 0


async def _rewrite(operator: _Operator, address: str) -> None:
    """Writes again what the store has lost."""
    await asyncio.sleep(_REWRITE_S)
    operator.configure(2, [_NEW_KEY])
    operator.list_server(address)


async def _send(
    gateway: loopback.Gateway, record: loopback.Record, withdrawn_at: float
) -> None:
    """Sends requests with the withdrawn key for some time."""
    until = time.monotonic() + _LOAD_S
    for number in itertools.count():
        sent_at = time.monotonic()
        if sent_at > until:
            return
        is_late = sent_at - withdrawn_at > _REVOKE_S
        request_id = f"{'late' if is_late else 'early'}-{number}"
        headers = [
            ("Host", _HOST),
            ("X-Request-Id", request_id),
            ("Authorization", f"Bearer {_OLD_KEY}"),
        ]
        answer = await loopback.call(
            gateway.listen, "POST", "/status/a", headers, b"status", 2.0
        )
        record("answered", id=request_id, status=answer.status)
        await asyncio.sleep(_PAUSE_S)


if __name__ == "__main__":
    loopback.run_case(main, anyio.run)
