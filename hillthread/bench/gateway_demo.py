"""The demonstration of the gateway: real processes and stand-ins on loopback.

Three hosts place the same prefixes alike without talk; an engine breaks off a
stream in its middle, and the answer goes on elsewhere; a withdrawn key ends;
the logs tell the story of the stream.
"""

from __future__ import annotations

import collections
import random

import anyio
import httpx

from hillthread import errors
from hillthread.bench import processes
from hillthread.bench.gateway_soak import callers as callers_lib
from hillthread.bench.gateway_soak import evidence as evidence_lib
from hillthread.bench.gateway_soak import stage as stage_lib
from hillthread.bench.gateway_soak import verdict
from hillthread.platform import names
from hillthread.protocol import log_story
from hillthread.standin import platform_target

__all__ = ["run_gateway_demo"]

_HOSTS = 3
_ENGINES = 4
# Far above what the scenes use: they show other things.
_QUOTA_PER_S = 1_000_000.0
_RETRY_EXTRA = 1_000.0
_REQUESTS_EACH = 20
_SEED = 7
_LOG_S = 0.5


def run_gateway_demo() -> None:
    """Runs the demonstration and prints what it shows.

    Raises:
        HillthreadError: Something was not as it should be.
    """
    with processes.ProcessGroup() as group:
        anyio.run(_Demo(group).run)


class _Demo:
    """One run."""

    def __init__(self, group: processes.ProcessGroup):
        self.group = group

    async def run(self) -> None:
        """Plays all scenes."""
        async with anyio.create_task_group() as tasks:
            stage = stage_lib.Stage(
                self.group,
                tasks,
                evidence_lib.Bounds(retry_extra=_RETRY_EXTRA),
                _HOSTS,
                quota_per_s=_QUOTA_PER_S,
            )
            await stage.start(_ENGINES)
            print(f"{_HOSTS} gateways, {_ENGINES} engines on loopback")
            callers = callers_lib.Callers(stage, random.Random(_SEED))
            await self._show_placement(stage, callers)
            await self._show_resume(stage, callers)
            await self._show_withdrawn_key(stage, callers)
            await anyio.sleep(_LOG_S)
            tasks.cancel_scope.cancel()
        await stage.balancer.close()
        stage.read_logs()
        violations = verdict.Judge(stage.evidence).violations()
        if violations:
            raise errors.HillthreadError(
                f"Promises were broken: {violations[0]}.",
                "Report it with the output of this run.",
            )
        count = len(stage.evidence.exchanges)
        print(f"{count} requests, no promise broken")

    async def _show_placement(
        self, stage: stage_lib.Stage, callers: callers_lib.Callers
    ) -> None:
        """Each prefix is served by one engine, whichever host is asked."""
        for host in stage.hosts:
            async with _client(host) as client:
                for _ in range(_REQUESTS_EACH):
                    await callers.ask(client, host, host.lives, "stream")
        engines = collections.defaultdict(set)
        for target in stage.targets.values():
            for run in target.runs:
                if target.model:
                    engines[_prefix(run)].add(target.name)
        alone = sum(len(names) == 1 for names in engines.values())
        print(
            f"{alone} of {len(engines)} prefixes, apart by organisation, were "
            "each served by one engine"
        )

    async def _show_resume(
        self, stage: stage_lib.Stage, callers: callers_lib.Callers
    ) -> None:
        """A stream goes on where another engine broke it off."""
        cuts = collections.deque([platform_target.TruncateStream(2)])
        for target in stage.targets.values():
            if target.model:
                target.behaviours = cuts  # whoever is first breaks off
        host = stage.hosts[0]
        async with _client(host) as client:
            exchange = await callers.ask(client, host, host.lives, "resume")
        await anyio.sleep(_LOG_S)
        assert host.process is not None
        lines = log_story.parse_lines(
            host.name, host.process.log_path.read_text().splitlines()
        )
        story = log_story.find_history(exchange.request_id, lines)
        if story is not None:
            print(log_story.format_history(story))

    async def _show_withdrawn_key(
        self, stage: stage_lib.Stage, callers: callers_lib.Callers
    ) -> None:
        """A key that the operator takes away is refused."""
        tenant = stage.operator.tenants[1]
        old = tenant.keys[0]
        stage.issue_key(tenant)
        stage.withdraw_key(tenant)
        stage.operator.configure()
        await anyio.sleep(stage.evidence.bounds.configuration_s)
        host = stage.hosts[1]
        async with _client(host) as client:
            exchange = await callers.ask(
                client, host, host.lives, "again", key=old
            )
        print(f"a withdrawn key is answered with {exchange.status}")


def _prefix(run: platform_target.Run) -> tuple[bytes, bytes]:
    """Returns the scope of a prompt's cached prefix, and the prefix."""
    request = run.request
    return request.get(names.CACHE_SALT), request.get(names.PROMPT_PARTS)


def _client(host: stage_lib.SoakHost) -> httpx.AsyncClient:
    return httpx.AsyncClient(
        base_url=f"http://{host.address}", trust_env=False, timeout=4.0
    )
