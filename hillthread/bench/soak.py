"""Both users' shapes over a whole site, with random faults all the time."""

from __future__ import annotations

import collections
import random
import signal
import time
from typing import Any
from typing import NamedTuple

import anyio
import httpx

from hillthread.bench import caller as caller_lib
from hillthread.bench import deployment
from hillthread.bench import processes
from hillthread.bench import site as site_lib
from hillthread.bench import workload as workload_lib
from hillthread.bench.faults import checker

__all__ = ["SoakReport", "run_soak"]

_DATA_CENTRES = 4
_HOSTS_EACH = 2
_ENGINES_EACH = 2
_RATE = 8.0
_MAX_TOKENS = 24
_FAULT_EVERY_S = 5.0
_PAUSE_S = 1.5
_DOWN_S = 4.0
_ORGANISATIONS = 8
_NOT_REPEATABLE = 0.2
_MEMORY_EVERY_S = 5.0
_WARM_UP_S = 30.0
_NOTICE_S = 1.5


class SoakReport(NamedTuple):
    """What a soak has shown.

    Attributes:
        requests: Made by callers.
        outcomes: How many ended how.
        faults: How many of each kind.
        violations: Promises broken, in words.
        router_growth_bytes: Most memory a router has grown by since it was
            half a minute old; None when none lived that long.
        control_growth_bytes: The same of a control process.
    """

    requests: int
    outcomes: dict[str, int]
    faults: dict[str, int]
    violations: list[str]
    router_growth_bytes: int | None
    control_growth_bytes: int | None


def run_soak(seconds: float, seed: int) -> SoakReport:
    """Runs a soak and returns its report."""
    with processes.ProcessGroup() as group:
        return anyio.run(_Soak(group, seconds, seed).run)


class _Soak:
    """One run."""

    def __init__(
        self, group: processes.ProcessGroup, seconds: float, seed: int
    ):
        self.seconds = seconds
        self.random = random.Random(seed)
        self.seed = seed
        self.site = site_lib.Site(
            group, _DATA_CENTRES, _HOSTS_EACH, _ENGINES_EACH
        )
        self.outcomes: collections.Counter[str] = collections.Counter()
        self.faults: collections.Counter[str] = collections.Counter()
        self.violations: list[str] = []
        self.asked: list[tuple[caller_lib.Answer, bool]] = []
        self.stopped: set[str] = set()
        self.started: dict[str, float] = {}
        self.baseline: dict[str, int] = {}
        self.growth: dict[str, int] = {}

    async def run(self) -> SoakReport:
        """Returns the report."""
        self.site.router_fields = {"notice_s": _NOTICE_S}
        await self.site.start()
        names = [f"org{number}" for number in range(_ORGANISATIONS)]
        answers = await self.site.publish(self.site.objects(names))
        await self.site.wait_position(answers[-1]["offset"])
        async with anyio.create_task_group() as group:
            group.start_soon(self._load)
            group.start_soon(self._break_things)
            group.start_soon(self._note_memory)
        await self._check_runs()
        await self.site.close()
        return SoakReport(
            sum(self.outcomes.values()),
            dict(self.outcomes),
            dict(self.faults),
            self.violations,
            self.growth.get("router"),
            self.growth.get("control"),
        )

    async def _load(self) -> None:
        shapes = list(workload_lib.SHAPES.values())
        arrivals = [
            arrival
            for shape in shapes
            for arrival in workload_lib.make_trace(
                shape._replace(
                    rate=_RATE / 2, burst_every_s=20.0, burst_size=6,
                    context_tokens=500, preamble_tokens=200,
                ),
                self.seed,
                self.seconds,
            )
        ]  # fmt: skip
        arrivals.sort(key=lambda arrival: arrival.at_s)
        started = time.monotonic()
        async with anyio.create_task_group() as group:
            for arrival in arrivals:
                late = started + arrival.at_s - time.monotonic()
                await anyio.sleep(max(0.0, late))
                group.start_soon(self._ask, arrival)

    async def _ask(self, arrival: workload_lib.Arrival) -> None:
        host = self._balance()
        if host is None:
            return
        repeatable = self.random.random() >= _NOT_REPEATABLE
        headers = {} if repeatable else {"x-hillthread-repeatable": "false"}
        messages = [
            {"role": role, "content": text}
            for role, text in zip(
                ("system", "system", "user"), arrival.messages, strict=True
            )
        ]
        tokens = min(arrival.answer_tokens, _MAX_TOKENS)
        key = deployment.tenant_key(arrival.organisation)
        caller = caller_lib.Caller(host.callers, key)
        answer = await caller.ask(messages, tokens, headers=headers)
        await caller.close()
        expected = caller_lib.expected_text(messages, tokens, "w1")
        runs = [{}] if answer.complete else []
        evidence = checker.Evidence(answer, expected, runs, True)
        found = checker.judge(evidence, checker.Promise.TRUTHFUL)
        self.violations += [f"{answer.request_id}: {each}" for each in found]
        self.asked.append((answer, repeatable))
        code = (answer.error or {}).get("code", "")
        self.outcomes["whole" if answer.complete else code or "none"] += 1

    def _balance(self) -> site_lib.Host | None:
        """Returns a host that the balancer would send a caller to."""
        ready = [h for h in self.site.hosts if h.name not in self.stopped]
        return self.random.choice(ready) if ready else None

    async def _break_things(self) -> None:
        started = time.monotonic()
        kinds = (
            self._engine_returns_empty,
            self._engine_paused,
            self._control_restarts,
            self._router_stops,
            self._platform_down,
        )
        while time.monotonic() - started < self.seconds - 2 * _FAULT_EVERY_S:
            await anyio.sleep(self.random.uniform(0.5, 1.0) * _FAULT_EVERY_S)
            kind = self.random.choice(kinds)
            self.faults[kind.__name__.strip("_")] += 1
            await kind()

    def _engine(self) -> processes.Process:
        return self.random.choice(list(self.site.engines.values()))

    async def _engine_returns_empty(self) -> None:
        await self.site.control_standin(self._engine(), {"crash": True})

    async def _engine_paused(self) -> None:
        engine = self._engine()
        engine.send_signal(signal.SIGSTOP)
        await anyio.sleep(_PAUSE_S)
        engine.send_signal(signal.SIGCONT)

    async def _control_restarts(self) -> None:
        host = self.random.choice(self.site.hosts)
        assert host.control is not None
        host.control.kill()
        await anyio.sleep(_PAUSE_S)
        self.site.start_control_later(host)
        await anyio.to_thread.run_sync(host.control.wait_listening)

    async def _router_stops(self) -> None:
        """A planned stop: the balancer looks away, streams end, it restarts."""
        host = self.random.choice(self.site.hosts)
        router = host.router
        assert router is not None
        self.stopped.add(host.name)
        router.popen.terminate()
        code = await anyio.to_thread.run_sync(router.popen.wait)
        if code != 0:
            self.violations.append(f"{host.name}: planned stop ended {code}")
        await anyio.to_thread.run_sync(self.site.start_router, host)
        position = max(
            [
                await self.site.position(other)
                for other in self.site.hosts
                if other.name not in self.stopped
            ]
        )
        await self.site.wait_position(position, [host])
        self.stopped.discard(host.name)

    async def _platform_down(self) -> None:
        await self.site.control_standin(self.site.log, {"down": True})
        await anyio.sleep(_DOWN_S)
        await self.site.control_standin(self.site.log, {"down": False})

    async def _note_memory(self) -> None:
        """Follows the memory of all processes, restarted ones too."""
        started = time.monotonic()
        while time.monotonic() - started < self.seconds:
            await anyio.sleep(_MEMORY_EVERY_S)
            now = time.monotonic()
            for process in self._programs():
                self._note_process(process, now)

    def _note_process(self, process: processes.Process, now: float) -> None:
        age_s = now - self.started.setdefault(process.name, now)
        if age_s < _WARM_UP_S:
            return
        resident = process.resident_bytes()
        grown = resident - self.baseline.setdefault(process.name, resident)
        kind = process.name.partition("-")[2]
        self.growth[kind] = max(grown, self.growth.get(kind, 0))

    def _programs(self) -> list[processes.Process]:
        return [
            process
            for host in self.site.hosts
            for process in (host.router, host.control)
            if process is not None and process.popen.poll() is None
        ]

    async def _check_runs(self) -> None:
        """Compares what was said of runs with the engines' journals."""
        runs: collections.Counter[str] = collections.Counter()
        for process in self.site.engines.values():
            address = process.addresses["standin"]
            try:
                page = await self.site.client.get(f"http://{address}/journal")
            except httpx.HTTPError as error:
                self.violations.append(f"no journal: {error}")
                continue
            for entry in page.json():
                runs[entry["attempt_id"].rpartition("-")[0]] += 1
        for answer, repeatable in self.asked:
            count = runs[answer.request_id]
            self.violations += _judge_runs(answer, repeatable, count)


def _judge_runs(
    answer: caller_lib.Answer, repeatable: bool, count: int
) -> list[str]:
    found: list[Any] = []
    if not repeatable and count > 1:
        found.append(f"{answer.request_id}: ran {count} times, may run once")
    if answer.run == "not_run" and count:
        found.append(f"{answer.request_id}: said not run, ran {count} times")
    if answer.complete and not count:
        found.append(f"{answer.request_id}: answered without a run")
    return found
