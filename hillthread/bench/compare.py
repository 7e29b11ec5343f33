"""Compares policies on one trace: real decisions, engine models, no sockets.

Time is virtual, so that a run is the same for the same seed and takes seconds.
The engines are the models behind the engine stand-in.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import Any
from typing import NamedTuple

from hillthread.bench import percentiles
from hillthread.bench import policies
from hillthread.bench import router_talk
from hillthread.bench import virtual_clock
from hillthread.bench import workload as workload_lib
from hillthread.coordination import fleet as fleet_lib
from hillthread.standin import engine_model
from hillthread.state.config import objects
from hillthread.state.routing import decision as decision_lib
from hillthread.state.routing import load
from hillthread.state.routing import prompt
from hillthread.state.routing import warmth

__all__ = ["POLICIES", "PolicyResult", "Setup", "compare", "run_policy"]

POLICIES = (
    "hillthread",
    "round_robin",
    "least_loaded",
    "prefix_hash",
    "oracle",
)
_BLOCK = 16
_REPORT_EVERY_S = 0.5
_REPORT_LAG_S = 0.3
_MEMORY_SHARE = 1.0 / 3.0
_TAIL_S = 120.0


class Setup(NamedTuple):
    """One comparison.

    Attributes:
        workload: `prairie` or `wetterwerk`.
        seed: Of the trace.
        runners: Engines.
        routers: Routers that do not talk to each other.
        duration_s: Length of the trace.
        crashes: Engines that crash and return empty, spread over the trace.
        talk_s: Time between two messages of a router to the others; 0 for
            routers that do not talk.
    """

    workload: str
    seed: int
    runners: int = 5
    routers: int = 1
    duration_s: float = 120.0
    crashes: int = 0
    talk_s: float = 0.0


class PolicyResult(NamedTuple):
    """What one policy achieved.

    Attributes:
        hit_rate: Cached prompt tokens of all prompt tokens.
        ttft_p50_s: Median time to first token.
        ttft_p99_s: 99th percentile of it.
        recomputed_tokens: Computed though another engine held them.
        computed_tokens: All prompt tokens computed.
        failed: Requests without an answer.
        requests: All requests.
    """

    hit_rate: float
    ttft_p50_s: float
    ttft_p99_s: float
    recomputed_tokens: int
    computed_tokens: int
    failed: int
    requests: int


class _Request:
    """One request under way."""

    __slots__ = (
        "arrival",
        "blocks",
        "first_token_at",
        "job",
        "number",
        "router",
        "target",
    )

    def __init__(self, number: int, arrival: workload_lib.Arrival):
        self.number = number
        self.arrival = arrival
        text = "".join(arrival.messages)
        self.blocks = engine_model.block_hashes(
            text, arrival.organisation, _BLOCK
        )
        self.job: engine_model.Job | None = None
        self.first_token_at: float | None = None
        self.router = 0
        self.target = ""

    @property
    def prompt_tokens(self) -> int:
        """Length of the prompt."""
        characters = sum(len(part) for part in self.arrival.messages)
        return characters // workload_lib.CHARACTERS_PER_TOKEN


class Driver:
    """Runs one policy over one trace in virtual time.

    Attributes:
        engines: The engine models by target name.
        recomputed: Tokens computed though another engine held them.
    """

    def __init__(self, setup: Setup, policy: str):
        shape = workload_lib.get_shape(setup.workload)
        self.setup = setup
        self.shape = shape
        memory = workload_lib.prefix_tokens(shape) * _MEMORY_SHARE
        blocks = int(memory / setup.runners / _BLOCK)
        self.engine_shape = engine_model.EngineShape(cache_blocks=blocks)
        self.engines = {
            f"runner{number}": engine_model.EngineModel(self.engine_shape)
            for number in range(setup.runners)
        }
        self.incarnations = dict.fromkeys(self.engines, 0)
        self.targets = [
            objects.Target(
                name=name,
                address="127.0.0.1:1",
                data_centre="dc",
                models=["m"],
                prefill_tokens_per_s=15000.0,
                cache_tokens=blocks * _BLOCK,
                max_running=self.engine_shape.max_running,
            )
            for name in self.engines
        ]
        self.pool = objects.Pool(
            name="pool", target_selector="", max_inflight=100_000
        )
        self.oracle = policies.Oracle(self.engines)
        self.fleets = [
            fleet_lib.Fleet("dc", self._decide(policy))
            for _ in range(setup.routers)
        ]
        self.clock = virtual_clock.VirtualClock()
        if setup.talk_s > 0:
            router_talk.connect(self.fleets, self.clock, setup.talk_s)
        else:
            for fleet in self.fleets:
                fleet.unreachable_router_count = setup.routers - 1
        self.requests: dict[str, _Request] = {}
        self.recomputed = 0
        self.stepping: set[str] = set()

    def run(self) -> PolicyResult:
        """Returns the result of the whole trace."""
        trace = workload_lib.make_trace(
            self.shape, self.setup.seed, self.setup.duration_s
        )
        for number, arrival in enumerate(trace):
            request = _Request(number, arrival)
            self.requests[str(number)] = request
            self.clock.at(arrival.at_s, lambda each=request: self._arrive(each))
        self.clock.at(0.0, self._report)
        for number in range(self.setup.crashes):
            share = (number + 1) / (self.setup.crashes + 1)
            at_s = share * self.setup.duration_s
            self.clock.at(at_s, lambda each=number: self._crash(each))
        end = self.setup.duration_s + _TAIL_S
        self.clock.run(end)
        return self._result()

    def _arrive(self, request: _Request) -> None:
        request.router = request.number % len(self.fleets)
        fleet = self.fleets[request.router]
        levels = prompt.prefix_levels(
            request.arrival.organisation, "m", request.arrival.messages, 0.25
        )
        query = fleet_lib.make_query(
            levels, self.shape.recompute_weight, b"none"
        )
        self.oracle.blocks = request.blocks
        decision = fleet.choose(
            query,
            fleet_lib.PlacementConstraints(self.targets, self.pool, "m"),
            self.clock.now,
        )
        assert decision.target is not None
        request.target = decision.target
        attempt_id = str(request.number)
        fleet.start(attempt_id, query, decision, self.clock.now)
        self._submit(request)

    def _submit(self, request: _Request) -> None:
        request.job = engine_model.Job(
            str(request.number),
            request.blocks,
            request.prompt_tokens,
            request.arrival.answer_tokens,
        )
        self.engines[request.target].submit(request.job)
        self._wake(request.target)

    def _wake(self, name: str) -> None:
        if name in self.stepping or not self.engines[name].busy():
            return
        self.stepping.add(name)
        engine = self.engines[name]
        duration = engine.begin_step()
        for job in engine.admitted:
            self._count_recomputed(name, job)
        self.clock.at(
            self.clock.now + duration, lambda: self._end_step(name, engine)
        )

    def _count_recomputed(self, name: str, job: engine_model.Job) -> None:
        best = max(
            (
                engine.cached_prefix(job.blocks)
                for other, engine in self.engines.items()
                if other != name
            ),
            default=0,
        )
        self.recomputed += max(0, best * _BLOCK - job.cached_tokens)

    def _end_step(self, name: str, engine: engine_model.EngineModel) -> None:
        if self.engines[name] is not engine:
            return
        self.stepping.discard(name)
        result = engine.end_step()
        for job in result.emitted:
            self._emitted(name, job)
        for job in result.finished:
            self._finished(job)
        self._wake(name)

    def _emitted(self, name: str, job: engine_model.Job) -> None:
        request = self.requests[job.job_id]
        if job.generated != 1:
            return
        if request.first_token_at is None:
            request.first_token_at = self.clock.now
        fleet = self.fleets[request.router]
        epoch = warmth.CacheEpoch(str(self.incarnations[name]), "w")
        fleet.observe_epoch(name, epoch)
        fleet.record_first_token(job.job_id, self.clock.now)

    def _finished(self, job: engine_model.Job) -> None:
        fleet = self.fleets[self.requests[job.job_id].router]
        usage = fleet_lib.Usage(
            job.prompt_tokens, job.cached_tokens, job.generated
        )
        fleet.record_usage(job.job_id, usage, self.clock.now)
        fleet.finish(job.job_id)

    def _report(self) -> None:
        """Reads each engine's load now; routers get it after a lag."""
        for name, engine in self.engines.items():
            report = load.LoadReport(
                self.clock.now,
                len(engine.running),
                len(engine.waiting),
                engine.prompt_tokens
                - engine.hit_tokens
                + engine.generated_tokens,
                self.engine_shape.cache_blocks * _BLOCK,
            )
            self.clock.at(
                self.clock.now + _REPORT_LAG_S,
                lambda name=name, report=report: self._deliver(name, report),
            )
        if self.clock.now < self.setup.duration_s + _TAIL_S / 2:
            self.clock.at(self.clock.now + _REPORT_EVERY_S, self._report)

    def _deliver(self, name: str, report: load.LoadReport) -> None:
        for fleet in self.fleets:
            fleet.apply_load_report(name, report)

    def _crash(self, number: int) -> None:
        """An engine returns empty; what it ran is sent anew elsewhere."""
        name = sorted(self.engines)[number % len(self.engines)]
        lost = self.engines[name]
        self.engines[name] = engine_model.EngineModel(self.engine_shape)
        self.incarnations[name] += 1
        self.stepping.discard(name)
        for job in lost.running + lost.waiting:
            request = self.requests[job.job_id]
            self.fleets[request.router].finish(job.job_id)
            self._arrive(request)

    def _decide(self, policy: str) -> decision_lib.DecideFunction:
        match policy:
            case "hillthread":
                return decision_lib.decide
            case "round_robin":
                return policies.RoundRobin()
            case "least_loaded":
                return policies.LeastLoaded()
            case "prefix_hash":
                return policies.PrefixHash()
            case _:
                return self.oracle

    def _result(self) -> PolicyResult:
        times = sorted(
            request.first_token_at - request.arrival.at_s
            for request in self.requests.values()
            if request.first_token_at is not None
        )
        jobs = [
            request.job
            for request in self.requests.values()
            if request.job is not None and request.first_token_at is not None
        ]
        total = sum(job.prompt_tokens for job in jobs)
        hits = sum(job.cached_tokens for job in jobs)
        return PolicyResult(
            hits / total,
            percentiles.percentile(times, 0.5),
            percentiles.percentile(times, 0.99),
            self.recomputed,
            total - hits,
            len(self.requests) - len(times),
            len(self.requests),
        )


def compare(setup: Setup, names: Sequence[str] = POLICIES) -> dict[str, Any]:
    """Returns the result of each policy as a JSON document."""
    results = {name: Driver(setup, name).run()._asdict() for name in names}
    return {"setup": setup._asdict(), "policies": results}


def run_policy(setup: Setup, policy: str) -> PolicyResult:
    """Returns the result of one policy."""
    return Driver(setup, policy).run()
