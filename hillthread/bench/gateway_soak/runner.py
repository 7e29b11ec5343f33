"""Runs a soak: load, faults, calm, and the verdict."""

from __future__ import annotations

import collections
import pathlib
import random
import shutil
import time
from typing import NamedTuple

import anyio
import anyio.abc
import httpx

from hillthread.bench import processes
from hillthread.bench.gateway_soak import callers as callers_lib
from hillthread.bench.gateway_soak import disturbances
from hillthread.bench.gateway_soak import evidence as evidence_lib
from hillthread.bench.gateway_soak import stage as stage_lib
from hillthread.bench.gateway_soak import verdict

__all__ = ["SoakPlan", "SoakReport", "run_soak"]

_CHECK_S = 0.5
_TICK_S = 0.05
# So late a timer shows that the soak's own process had no processor.
_STANDSTILL_S = 0.1
# Faults go on for at most this multiple of the planned time.
_MAX_EXTENSION = 3
_LAST_ROUNDS = 5
_LAST_WAIT_S = 15.0


class SoakPlan(NamedTuple):
    """What to run.

    Attributes:
        seed: Of load and faults.
        seconds: How long faults begin.
        hosts: Gateways.
        engines: Engines; three plain targets come with them.
        callers: Callers at the same time.
        faults: Kinds of faults; empty for all.
        without: Kinds of faults that do not come.
        strict_time: Whether bounds in seconds are judged.
        module: The program run as gateway; empty for the shipped one.
        calm_s: Load goes on so long after the last fault has ended: hosts
            read the store anew, and engines load.
        keep: Folder for the logs of a run that broke promises; empty for
            none.
        version_s: How long after newer weights were named requests may start
            on older ones.
        until_broken: Faults end as soon as this promise is broken; empty to
            go on for all seconds. Time in which hosts are excused, as the
            soak's own process stands still, does not count.
        start_s: Within this time gateways are to listen after a start.
        quota_per_s: Tokens a second of the tenant with a quota, at first.
    """

    seed: int
    seconds: float = 20.0
    hosts: int = 3
    engines: int = 3
    callers: int = 8
    faults: tuple[str, ...] = ()
    strict_time: bool = True
    module: str = ""
    calm_s: float = 4.0
    keep: str = ""
    version_s: float = 10.0
    until_broken: str = ""
    start_s: float = stage_lib.START_S
    without: tuple[str, ...] = ()
    quota_per_s: float = 20_000.0


class SoakReport(NamedTuple):
    """What a soak has shown.

    Attributes:
        seed: Of the run.
        requests: Made by callers.
        whole: Of these, answered whole.
        statuses: Answers by status; 0 for none.
        faults: How many of each kind began.
        violations: Promises broken.
        excused: Starts on weights that were too old, at hosts out of touch.
    """

    seed: int
    requests: int
    whole: int
    statuses: dict[int, int]
    faults: dict[str, int]
    violations: list[evidence_lib.Violation]
    excused: int


def run_soak(plan: SoakPlan) -> SoakReport:
    """Runs a soak and returns its report."""
    with processes.ProcessGroup() as group:
        report = anyio.run(_Soak(group, plan).run)
        if report.violations and plan.keep:
            target = pathlib.Path(plan.keep) / f"seed-{plan.seed}"
            shutil.copytree(group.folder, target, dirs_exist_ok=True)
        return report


class _Soak:
    """One run."""

    def __init__(self, group: processes.ProcessGroup, plan: SoakPlan):
        self.group = group
        self.plan = plan
        self.violations: list[evidence_lib.Violation] = []

    async def run(self) -> SoakReport:
        """Returns the report."""
        async with anyio.create_task_group() as tasks:
            stage = stage_lib.Stage(
                self.group,
                tasks,
                evidence_lib.Bounds(version_s=self.plan.version_s),
                self.plan.hosts,
                self.plan.module,
                self.plan.start_s,
                self.plan.quota_per_s,
            )
            await stage.start(self.plan.engines)
            tasks.start_soon(self._watch_itself, stage.evidence)
            counts = await self._disturb(stage)
            tasks.cancel_scope.cancel()
        await stage.balancer.close()
        stage.read_logs()
        judge = verdict.Judge(stage.evidence, self.plan.strict_time)
        self.violations += stage.trouble + judge.violations()
        exchanges = stage.evidence.exchanges
        statuses = collections.Counter(each.status for each in exchanges)
        return SoakReport(
            self.plan.seed,
            len(exchanges),
            sum(each.whole for each in exchanges),
            dict(statuses),
            counts,
            self.violations,
            judge.weights.excused,
        )

    async def _disturb(self, stage: stage_lib.Stage) -> dict[str, int]:
        callers = callers_lib.Callers(stage, random.Random(self.plan.seed))
        async with anyio.create_task_group() as load:
            load.start_soon(callers.run, self.plan.callers)
            async with anyio.create_task_group() as faults:
                disturber = disturbances.Disturber(
                    stage,
                    random.Random(self.plan.seed + 1),
                    faults,
                    self.plan.faults,
                    self.plan.without,
                )
                async with anyio.create_task_group() as span:
                    if self.plan.until_broken:
                        span.start_soon(self._watch_promise, stage, span)
                    await self._start_faults(disturber, stage.evidence)
                    span.cancel_scope.cancel()
            stage.check_alive()
            await anyio.sleep(self.plan.calm_s)
            stage.check_alive()
            callers.stopped = True
        await self._check_calm(stage, callers)
        return disturber.counts

    async def _start_faults(
        self, disturber: disturbances.Disturber, evidence: evidence_lib.Evidence
    ) -> None:
        """Starts faults for the time of the plan.

        While a promise is to be broken, time in which hosts are excused is made
        up for: on a busy machine it may be most of the time.
        """
        began_at = time.monotonic()
        await disturber.run(self.plan.seconds)
        while self.plan.until_broken:
            now = time.monotonic()
            left_s = self.plan.seconds - evidence.observed_s(began_at, now)
            lasted_s = now - began_at
            if left_s <= 0 or lasted_s > _MAX_EXTENSION * self.plan.seconds:
                return
            await disturber.run(left_s)

    async def _watch_promise(
        self, stage: stage_lib.Stage, span: anyio.abc.TaskGroup
    ) -> None:
        """Begins no more faults once the promise asked for is broken."""
        while True:
            await anyio.sleep(_CHECK_S)
            judge = verdict.Judge(stage.evidence, self.plan.strict_time)
            broken = {each.promise for each in judge.violations()}
            if self.plan.until_broken in broken:
                span.cancel_scope.cancel()
                return

    async def _watch_itself(self, evidence: evidence_lib.Evidence) -> None:
        """Notes when this process itself stood still and saw nothing in time.

        It carries all callers, targets and links: with many of them, or beside
        other work, its own lateness must not be taken for a gateway's.
        """
        while True:
            began_at = time.monotonic()
            await anyio.sleep(_TICK_S)
            now = time.monotonic()
            if now - began_at > _TICK_S + _STANDSTILL_S:
                evidence.disturbances.append(
                    evidence_lib.Disturbance(
                        "standstill", evidence_lib.OBSERVER, began_at, now
                    )
                )

    async def _check_calm(
        self, stage: stage_lib.Stage, callers: callers_lib.Callers
    ) -> None:
        """After the calm every host serves all, on the newest weights."""
        try:
            await stage.balancer.wait_all_ready()
        except TimeoutError as error:
            self._note("recover", "hosts", f"not ready: {error}")
            return
        await self._wait_weights(stage)
        for host in stage.hosts:
            async with callers_lib.open_client(host, 4.0) as client:
                for route in ("stream", "resume", "once", "again"):
                    await self._expect_served(callers, client, host, route)

    async def _wait_weights(self, stage: stage_lib.Stage) -> None:
        until = time.monotonic() + _LAST_WAIT_S
        while time.monotonic() < until:
            behind = [
                target.name
                for target in stage.targets.values()
                if target.model and target.weights < stage.operator.weights
            ]
            if not behind:
                return
            await anyio.sleep(_CHECK_S)
        self._note("version", ",".join(behind), "old weights after the calm")

    async def _expect_served(
        self,
        callers: callers_lib.Callers,
        client: httpx.AsyncClient,
        host: stage_lib.SoakHost,
        route: str,
    ) -> None:
        """One of a few requests is served.

        A target may still misbehave, and a late answer of the store may have
        let the host's knowledge of keys age.
        """
        for _ in range(_LAST_ROUNDS):
            exchange = await callers.ask(client, host, host.lives, route)
            if exchange.status == 200 and exchange.whole:
                return
            await anyio.sleep(_CHECK_S)
        detail = f"{route}: {exchange.status} {exchange.error}"
        self._note("recover", host.name, detail)

    def _note(self, promise: str, subject: str, detail: str) -> None:
        self.violations.append(evidence_lib.Violation(promise, subject, detail))
