"""What the router adds: time for each request, processor time for tokens."""

from __future__ import annotations

import time
from typing import Any
from typing import NamedTuple

import anyio

from hillthread.bench import caller as caller_lib
from hillthread.bench import deployment
from hillthread.bench import percentiles
from hillthread.bench import processes

__all__ = ["PathCost", "measure_overhead"]

_REQUESTS = 400
_WARM_UP = 40
_STREAMS = 96
_TOKENS = 200
_ENGINES = 2
_ORGANISATION = "o1"


class PathCost(NamedTuple):
    """What one way to the engines costs.

    Attributes:
        p50_s: Median of a short request.
        p99_s: 99th percentile of it.
        added_p50_s: Over the engine spoken to directly.
        added_p99_s: Over the engine spoken to directly.
        tokens_per_processor_s: Tokens relayed for each second of the
            proxy's processor time; 0 for the direct way.
        failed: Answers that were not whole.
    """

    p50_s: float
    p99_s: float
    added_p50_s: float
    added_p99_s: float
    tokens_per_processor_s: float
    failed: int


class _Way(NamedTuple):
    """One way to the engines."""

    name: str
    caller: caller_lib.Caller
    process: processes.Process | None
    streams: int


def measure_overhead() -> dict[str, PathCost]:
    """Returns the cost of each way: `direct`, `bare` and `router`.

    `bare` is a proxy of the same libraries that decides and checks nothing.
    """
    with processes.ProcessGroup() as group:
        return anyio.run(_measure, group)


async def _measure(group: processes.ProcessGroup) -> dict[str, PathCost]:
    engines = [group.start("standin", {}, "engine") for _ in range(_ENGINES)]
    addresses = [each.addresses["standin"] for each in engines]
    objects = deployment.make_objects(addresses, [_ORGANISATION])
    router = group.start("router", deployment.router_settings(group, objects))
    bare = group.start(
        "bare",
        {"upstream": addresses[0]},
        module="hillthread.bench.bare_proxy",
    )
    key = deployment.tenant_key(_ORGANISATION)
    ways = [
        _Way("direct", caller_lib.Caller(addresses[0]), None, 0),
        _Way(
            "bare",
            caller_lib.Caller(bare.addresses["callers"]),
            bare,
            _STREAMS // _ENGINES,
        ),
        _Way(
            "router",
            caller_lib.Caller(router.addresses["callers"], key),
            router,
            _STREAMS,
        ),
    ]
    times = await _take_turns(ways)
    direct = sorted(times["direct"])
    costs = {}
    for way in ways:
        ordered = sorted(times[way.name])
        p50 = percentiles.percentile(ordered, 0.5)
        p99 = percentiles.percentile(ordered, 0.99)
        rate, failed = await _stream(way)
        costs[way.name] = PathCost(
            p50,
            p99,
            p50 - percentiles.percentile(direct, 0.5),
            p99 - percentiles.percentile(direct, 0.99),
            rate,
            failed,
        )
        await way.caller.close()
    return costs


async def _take_turns(ways: list[_Way]) -> dict[str, list[float]]:
    """Returns times of short requests, all ways in turn."""
    times: dict[str, list[float]] = {way.name: [] for way in ways}
    for number in range(_WARM_UP + _REQUESTS):
        for way in ways:
            answer = await way.caller.ask(_messages("short"), 1)
            if number >= _WARM_UP:
                times[way.name].append(answer.total_s)
    return times


async def _stream(way: _Way) -> tuple[float, int]:
    """Returns tokens a processor second, and answers that failed."""
    if way.process is None:
        return 0.0, 0
    before = way.process.processor_s()
    calls: list[Any] = [
        (
            0.0,
            lambda number=number: way.caller.ask(
                _messages(str(number)), _TOKENS
            ),
        )
        for number in range(way.streams)
    ]
    answers = await caller_lib.gather_at(time.monotonic(), calls)
    used = way.process.processor_s() - before
    failed = sum(not answer.complete for answer in answers)
    return (len(answers) - failed) * _TOKENS / used, failed


def _messages(text: str) -> list[dict[str, str]]:
    return [
        {"role": "system", "content": "shared " * 200},
        {"role": "user", "content": text},
    ]
