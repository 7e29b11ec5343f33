"""Ends all gateways at once and judges how soon callers are served again.

Gateways may be confined to a few processor cores, as where many processes share
a machine. Callers, targets and the store keep the other cores.
"""

from __future__ import annotations

from collections.abc import Iterator
import contextlib
import os
import random
import time
from typing import NamedTuple

import anyio
import anyio.abc

from hillthread.bench import processes
from hillthread.bench.gateway_soak import callers as callers_lib
from hillthread.bench.gateway_soak import evidence as evidence_lib
from hillthread.bench.gateway_soak import stage as stage_lib

__all__ = [
    "ReturnPlan",
    "ReturnReport",
    "keep_addresses",
    "kill_all",
    "run_return",
]

_MIN_SERVED_SHARE = 0.25
_CALLER_TIMEOUT_S = 3.0
_CHECK_S = 0.05
_START_TIMEOUT_S = 120.0


class ReturnPlan(NamedTuple):
    """What to run.

    Attributes:
        seed: Of the load.
        hosts: Gateways.
        engines: Engines; three plain targets come with them.
        cores: Processor cores that all gateways share; 0 for all cores of the
            machine.
        requests_per_s: Rate at which callers send requests, answered or not.
        rounds: How many times all gateways end, one after the other.
        down_s: From the end of the processes until they start again.
        recover_s: From then on until callers must be served.
        calm_s: Undisturbed time before each end.
        judged_s: How long requests are judged after `recover_s`.
        module: The program run as gateway; empty for the shipped one.
    """

    seed: int = 1
    hosts: int = 24
    engines: int = 6
    cores: int = 0
    requests_per_s: float = 60.0
    rounds: int = 1
    down_s: float = 0.7
    recover_s: float = 15.0
    calm_s: float = 4.0
    judged_s: float = 6.0
    module: str = ""


class ReturnReport(NamedTuple):
    """How one return went; times count from the start of the processes.

    Attributes:
        listening_s: When each gateway listened, in order.
        ready_s: When the balancer first used each gateway, in order.
        missing: Gateways that the balancer did not use.
        served_shares: Share of the requests sent in each second that were
            served.
        judged_share: The same of all requests sent after `recover_s`.
    """

    listening_s: list[float]
    ready_s: list[float]
    missing: int
    served_shares: list[float]
    judged_share: float

    @property
    def is_late(self) -> bool:
        """Whether too few requests were served after the recovery time."""
        return self.judged_share < _MIN_SERVED_SHARE


def run_return(plan: ReturnPlan) -> list[ReturnReport]:
    """Runs all rounds and returns their reports."""
    with processes.ProcessGroup() as group:
        return anyio.run(_FleetReturn(group, plan).run)


def keep_addresses(stage: stage_lib.Stage) -> None:
    """Makes each gateway return at the addresses that it has now."""
    for host in stage.hosts:
        assert host.process is not None
        start = next(
            event
            for event in host.process.events()
            if event.get("event") == "start"
        )
        host.settings["listen"] = start["listen"]
        host.settings["ready_listen"] = start["ready_listen"]
        for name in ("feed", "metrics"):
            port = start[f"{name}_listen"].rpartition(":")[2]
            host.settings[f"{name}_port"] = int(port)


def kill_all(stage: stage_lib.Stage) -> None:
    """Kills all gateways at one moment."""
    for host in stage.hosts:
        assert host.process is not None
        host.process.popen.kill()
    for host in stage.hosts:
        stage.kill(host)


class _FleetReturn:
    """One run."""

    def __init__(self, group: processes.ProcessGroup, plan: ReturnPlan):
        self.group = group
        self.plan = plan
        self.random = random.Random(plan.seed)
        self.own_cores = os.sched_getaffinity(0)
        self.gateway_cores = set(sorted(self.own_cores)[: plan.cores])

    async def run(self) -> list[ReturnReport]:
        """Returns the report of each round."""
        reports = []
        async with anyio.create_task_group() as tasks:
            stage = stage_lib.Stage(
                self.group,
                tasks,
                evidence_lib.Bounds(revoke_s=5.0),
                self.plan.hosts,
                self.plan.module,
                _START_TIMEOUT_S,
            )
            with self._on_gateway_cores():
                await stage.start(self.plan.engines)
            keep_addresses(stage)
            tasks.start_soon(self._send_requests, stage)
            for _ in range(self.plan.rounds):
                await anyio.sleep(self.plan.calm_s)
                reports.append(await self._end_and_return(stage))
            tasks.cancel_scope.cancel()
        await stage.balancer.close()
        return reports

    @contextlib.contextmanager
    def _on_gateway_cores(self) -> Iterator[None]:
        """Confines processes that are started meanwhile to their cores."""
        if not self.gateway_cores:
            yield
            return
        os.sched_setaffinity(0, self.gateway_cores)
        try:
            yield
        finally:
            os.sched_setaffinity(0, self.own_cores - self.gateway_cores)

    async def _end_and_return(self, stage: stage_lib.Stage) -> ReturnReport:
        kill_all(stage)
        await anyio.sleep(self.plan.down_s)
        with self._on_gateway_cores():
            for host in stage.hosts:
                stage.start_process(host)
        began_at = time.monotonic()
        listening: list[float] = []
        ready: list[float] = []
        async with anyio.create_task_group() as tasks:
            for host in stage.hosts:
                tasks.start_soon(
                    self._watch, stage, host, began_at, listening, ready
                )
            await anyio.sleep(self.plan.recover_s + self.plan.judged_s)
            judged_until = time.monotonic()
            await anyio.sleep(_CALLER_TIMEOUT_S)
            tasks.cancel_scope.cancel()
        return self._judge(stage, began_at, judged_until, listening, ready)

    async def _watch(
        self,
        stage: stage_lib.Stage,
        host: stage_lib.SoakHost,
        began_at: float,
        listening: list[float],
        ready: list[float],
    ) -> None:
        """Notes when a gateway listens, and when it is used."""
        await stage.wait_started(host)
        listening.append(round(time.monotonic() - began_at, 2))
        while not host.routable:  # noqa: ASYNC110
            await anyio.sleep(_CHECK_S)
        ready.append(round(time.monotonic() - began_at, 2))

    async def _send_requests(self, stage: stage_lib.Stage) -> None:
        """Sends requests at a fixed rate, whatever becomes of them."""
        callers = callers_lib.Callers(stage, self.random)
        async with anyio.create_task_group() as tasks:
            while True:
                tasks.start_soon(self._send_request, stage, callers)
                await anyio.sleep(1.0 / self.plan.requests_per_s)

    async def _send_request(
        self, stage: stage_lib.Stage, callers: callers_lib.Callers
    ) -> None:
        ready = [host for host in stage.hosts if host.routable]
        host = self.random.choice(ready or stage.hosts)
        async with callers_lib.open_client(host, _CALLER_TIMEOUT_S) as client:
            await callers.ask(client, host, host.lives, callers.choose_route())

    def _judge(
        self,
        stage: stage_lib.Stage,
        began_at: float,
        judged_until: float,
        listening: list[float],
        ready: list[float],
    ) -> ReturnReport:
        sent: dict[int, list[bool]] = {}
        judged = []
        for exchange in stage.evidence.exchanges:
            after_s = exchange.sent_at - began_at
            if after_s < 0.0 or exchange.sent_at > judged_until:
                continue
            is_served = exchange.status == 200 and exchange.whole
            sent.setdefault(int(after_s), []).append(is_served)
            if after_s >= self.plan.recover_s:
                judged.append(is_served)
        return ReturnReport(
            sorted(listening),
            sorted(ready),
            self.plan.hosts - len(ready),
            [round(_share(sent[second]), 2) for second in sorted(sent)],
            _share(judged),
        )


def _share(served: list[bool]) -> float:
    return sum(served) / len(served) if served else 0.0
