"""Scenarios in which engines fail, leave, or get new weights."""

from __future__ import annotations

import functools
import signal

import anyio

from hillthread.bench import site as site_lib
from hillthread.bench.faults import checker
from hillthread.bench.faults import site_path

__all__ = [
    "kill_in_single_run",
    "kill_in_stream",
    "listed_as_leaving",
    "lose_answer_of_order",
    "new_weights_between_requests",
    "new_weights_in_stream",
    "pause_in_stream",
    "return_empty",
    "says_leaving",
]

_PAUSE_S = 3.0
_LEAVING_BOUND_S = 4.0
_SETTLE_S = 0.2
_WHOLE = checker.Promise.WHOLE
_TRUTHFUL = checker.Promise.TRUTHFUL


async def kill_in_stream(path: site_path.SitePath) -> list[str]:
    """An engine dies in the middle of a stream that may be repeated."""
    kill = functools.partial(_kill_busy_engine, path)
    return await path.during_stream(kill, text="killed")


async def kill_in_single_run(path: site_path.SitePath) -> list[str]:
    """An engine dies in the middle of a stream that may run once only."""
    kill = functools.partial(_kill_busy_engine, path)
    return await path.during_stream(
        kill, _TRUTHFUL, repeatable=False, text="killed once"
    )


async def return_empty(path: site_path.SitePath) -> list[str]:
    """An engine crashes in a stream and is back at once, without its cache."""

    async def crash() -> None:
        engine = await path.busy_engine()
        await path.site.control_standin(engine, {"crash": True})

    return await path.during_stream(crash, text="empty")


async def pause_in_stream(path: site_path.SitePath) -> list[str]:
    """An engine freezes in the middle of a stream."""

    async def pause() -> None:
        engine = await path.busy_engine()
        engine.send_signal(signal.SIGSTOP)
        await anyio.sleep(_PAUSE_S)
        engine.send_signal(signal.SIGCONT)

    return await path.during_stream(pause, text="paused")


async def new_weights_between_requests(path: site_path.SitePath) -> list[str]:
    """New weights between two requests: the old cache is not used."""
    violations = await path.check("weights")
    engines = [
        process
        for name, process in path.site.engines.items()
        if name.startswith("dc1")
    ]
    for engine in engines:
        await path.site.control_standin(engine, {"weights_version": "w2"})
    evidence = await path.ask("weights")
    violations += checker.judge(evidence, _WHOLE)
    if evidence.answer.cached_tokens:
        violations.append("cache of older weights was used")
    for engine in engines:
        await path.site.control_standin(engine, {"weights_version": "w1"})
    return violations


async def new_weights_in_stream(path: site_path.SitePath) -> list[str]:
    """An engine has other weights for a moment, in the middle of a stream."""

    async def load() -> None:
        engine = await path.busy_engine()
        await path.site.control_standin(engine, {"weights_version": "w2"})
        await anyio.sleep(_SETTLE_S)
        await path.site.control_standin(engine, {"weights_version": "w1"})

    return await path.during_stream(load, text="weights in stream")


async def listed_as_leaving(path: site_path.SitePath) -> list[str]:
    """A listed target gets no new work, its streams end, a stale list too."""
    name = "dc1-runner0"
    engine = path.site.engines[name]
    incarnation = (await path.site.control_standin(engine, {}))["incarnation"]
    line = {"name": name, "state": "leaving", "incarnation": incarnation}
    live = {**line, "state": "live"}
    await path.site.control_standin(path.host_list, {"targets": [line]})
    await anyio.sleep(_LEAVING_BOUND_S)
    await path.site.control_standin(path.host_list, {"targets": [live]})
    await anyio.sleep(_LEAVING_BOUND_S / 2)
    violations = []
    for number in range(6):
        evidence = await path.ask(f"leaving {number}")
        violations += checker.judge(evidence, _WHOLE)
        if any(run["incarnation"] == incarnation for run in evidence.runs):
            violations.append("a leaving target got new work")
    crashed = await path.site.control_standin(engine, {"crash": True})
    live["incarnation"] = crashed["incarnation"]
    await path.site.control_standin(path.host_list, {"targets": [live]})
    await anyio.sleep(_LEAVING_BOUND_S / 2)
    return violations


async def says_leaving(path: site_path.SitePath) -> list[str]:
    """The target itself refuses: truthfully not run, so it goes elsewhere."""
    engine = path.site.engines["dc1-runner1"]
    await path.site.control_standin(engine, {"leaving": True})
    violations = []
    for number in range(4):
        violations += await path.check(f"says leaving {number}")
    await path.site.control_standin(engine, {"leaving": False, "crash": True})
    told = await path.site.control_standin(engine, {})
    line = {
        "name": "dc1-runner1",
        "state": "live",
        "incarnation": told["incarnation"],
    }
    await path.site.control_standin(path.host_list, {"targets": [line]})
    await anyio.sleep(_LEAVING_BOUND_S / 2)
    return violations


async def lose_answer_of_order(path: site_path.SitePath) -> list[str]:
    """An order takes effect, its answer is lost, it is given again."""
    names = ["dc1-runner0", "dc1-runner1"]
    engine = path.site.engines[names[0]]
    await path.site.control_standin(engine, {"lose_orders": 1})
    violations = []
    for version in ("w2", "w1"):
        values = [
            {**value, "weights_version": version}
            for value in path.site.objects([])
            if value["name"] in names
        ]
        await path.site.publish(values)
        try:
            await site_lib.wait_until(
                lambda version=version: path.site.runs_weights(version, names),
                30.0,
            )
        except TimeoutError:
            violations.append(f"weights {version} were not loaded")
        violations += await path.check(f"after the order of {version}")
    return violations


async def _kill_busy_engine(path: site_path.SitePath) -> None:
    engine = await path.busy_engine()
    engine.kill()
    await path.restart_engine(engine)
