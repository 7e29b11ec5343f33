"""A whole site under faults: what scenarios need to ask, change and check."""

from __future__ import annotations

from collections.abc import Awaitable
from collections.abc import Callable
from typing import Any

import anyio
import httpx

from hillthread.bench import caller as caller_lib
from hillthread.bench import deployment
from hillthread.bench import processes
from hillthread.bench import site as site_lib
from hillthread.bench.faults import checker

__all__ = ["SitePath"]

_LONG_TOKENS = 120
_SHORT_TOKENS = 8
_MID_STREAM_S = 0.4
_SETTLE_S = 0.2
_WHOLE = checker.Promise.WHOLE


class SitePath:
    """Two data centres with two hosts and two engines each.

    Attributes:
        site: All processes.
    """

    def __init__(self, group: processes.ProcessGroup):
        self.group = group
        self.host_list = group.start("standin", {}, "hosts")
        self.site = site_lib.Site(
            group, 2, 2, 2, host_list=self.host_list.addresses["standin"]
        )
        self.callers: list[caller_lib.Caller] = []
        self.changes = 0

    async def start(self) -> None:
        """Starts all processes and publishes their objects."""
        await self.site.start()
        answers = await self.site.publish(self.site.objects(["o1"]))
        await self.site.wait_position(answers[-1]["offset"])

    async def close(self) -> None:
        """Closes all connections."""
        await self.site.close()

    async def ask(
        self,
        text: str,
        tokens: int = _SHORT_TOKENS,
        host: int = 0,
        repeatable: bool = True,
        key: str = "",
    ) -> checker.Evidence:
        """Makes a streamed request to a host and returns what was seen."""
        messages = [
            {"role": "system", "content": text * 100},
            {"role": "user", "content": "now"},
        ]
        headers = {} if repeatable else {"x-hillthread-repeatable": "false"}
        if key:
            headers["idempotency-key"] = key
        caller = caller_lib.Caller(
            self.site.hosts[host].callers, deployment.tenant_key("o1")
        )
        answer = await caller.ask(messages, tokens, headers=headers)
        await caller.close()
        await anyio.sleep(_SETTLE_S)
        runs = await self._runs(answer.request_id)
        expected = [
            caller_lib.expected_text(messages, tokens, version)
            for version in ("w1", "w2")
        ]
        text = expected[1] if answer.text == expected[1] else expected[0]
        return checker.Evidence(answer, text, runs, repeatable)

    async def during_stream(
        self,
        fault: Callable[[], Awaitable[None]],
        promise: checker.Promise = _WHOLE,
        repeatable: bool = True,
        text: str = "stream",
    ) -> list[str]:
        """Returns the violations of a stream in whose middle a fault comes."""
        found: list[checker.Evidence] = []

        async def stream() -> None:
            found.append(
                await self.ask(text, _LONG_TOKENS, repeatable=repeatable)
            )

        async with anyio.create_task_group() as group:
            group.start_soon(stream)
            await anyio.sleep(_MID_STREAM_S)
            await fault()
        return checker.judge(found[0], promise)

    async def check(
        self, text: str, promise: checker.Promise = _WHOLE, **fields: Any
    ) -> list[str]:
        """Returns the violations of one request."""
        return checker.judge(await self.ask(text, **fields), promise)

    async def change(self, host: int = 0) -> dict[str, Any]:
        """Makes a change of configuration and returns the answer."""
        self.changes += 1
        value = {
            "kind": "policy",
            "name": f"change{self.changes}",
            "order": 1000,
        }
        answers = await self.site.publish([value], self.site.hosts[host])
        return answers[0]

    async def in_force(self, change: dict[str, Any]) -> list[str]:
        """Returns a violation unless a change comes in force everywhere."""
        if "offset" not in change:
            return [f"change refused: {change['error']['code']}"]
        try:
            await self.site.wait_position(change["offset"])
        except TimeoutError:
            return ["an accepted change is not in force everywhere"]
        return []

    async def log(self, **faults: Any) -> None:
        """Sets the log's faults."""
        await self.site.control_standin(self.site.log, faults)

    async def busy_engine(self) -> processes.Process:
        """Returns the engine of the first data centre that runs a stream."""
        for name, process in self.site.engines.items():
            if not name.startswith("dc1"):
                continue
            for entry in await self._journal(process):
                if entry["end"] == "running":
                    return process
        raise TimeoutError("no engine runs a stream")

    async def restart_engine(self, process: processes.Process) -> None:
        """Starts an engine again at the address of a killed one."""
        for name, each in self.site.engines.items():
            if each is process:
                settings = {"listen": process.addresses["standin"]}
                self.site.engines[name] = self.group.start(
                    "standin", settings, "engine"
                )
                return

    async def _runs(self, request_id: str) -> list[dict[str, Any]]:
        found = []
        for process in self.site.engines.values():
            found += [
                entry
                for entry in await self._journal(process)
                if request_id and entry["attempt_id"].startswith(request_id)
            ]
        return found

    async def _journal(
        self, process: processes.Process
    ) -> list[dict[str, Any]]:
        address = process.addresses["standin"]
        try:
            page = await self.site.client.get(f"http://{address}/journal")
        except httpx.HTTPError:
            return []
        return page.json()
