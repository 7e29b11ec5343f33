"""Scenarios on a whole site: processes killed and paused, the platform down.

Each brings about one fault at one step, heals it, and returns what was
violated.
"""

from __future__ import annotations

from collections.abc import Awaitable
from collections.abc import Callable
import signal
from typing import Any
from typing import NamedTuple

import anyio

from hillthread.bench import site as site_lib
from hillthread.bench.faults import checker
from hillthread.bench.faults import site_path

__all__ = ["SCENARIOS", "Scenario"]

_PAUSE_S = 3.0
_LEAVING_BOUND_S = 4.0
_SETTLE_S = 0.2
_WHOLE = checker.Promise.WHOLE
_TRUTHFUL = checker.Promise.TRUTHFUL


async def _engine_killed(path: site_path.SitePath) -> list[str]:
    async def kill() -> None:
        engine = await path.busy_engine()
        engine.kill()
        await path.restart_engine(engine)

    return await path.during_stream(kill, text="killed")


async def _engine_killed_once(path: site_path.SitePath) -> list[str]:
    async def kill() -> None:
        engine = await path.busy_engine()
        engine.kill()
        await path.restart_engine(engine)

    return await path.during_stream(
        kill, _TRUTHFUL, repeatable=False, text="killed once"
    )


async def _engine_returns_empty(path: site_path.SitePath) -> list[str]:
    async def crash() -> None:
        engine = await path.busy_engine()
        await path.site.control_standin(engine, {"crash": True})

    return await path.during_stream(crash, text="empty")


async def _engine_paused(path: site_path.SitePath) -> list[str]:
    async def pause() -> None:
        engine = await path.busy_engine()
        engine.send_signal(signal.SIGSTOP)
        await anyio.sleep(_PAUSE_S)
        engine.send_signal(signal.SIGCONT)

    return await path.during_stream(pause, text="paused")


async def _new_weights_request(path: site_path.SitePath) -> list[str]:
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


async def _new_weights_stream(path: site_path.SitePath) -> list[str]:
    async def load() -> None:
        engine = await path.busy_engine()
        await path.site.control_standin(engine, {"weights_version": "w2"})
        await anyio.sleep(_SETTLE_S)
        await path.site.control_standin(engine, {"weights_version": "w1"})

    return await path.during_stream(load, text="weights in stream")


async def _control_killed_stream(path: site_path.SitePath) -> list[str]:
    host = path.site.hosts[0]

    async def kill() -> None:
        assert host.control is not None
        host.control.kill()

    violations = await path.during_stream(kill, text="control killed")
    violations += await path.check("control is away")
    change = await path.change(host=1)
    path.site.start_control(host)
    return violations + await path.in_force(change)


async def _control_paused_change(path: site_path.SitePath) -> list[str]:
    control = path.site.hosts[1].control
    assert control is not None
    control.send_signal(signal.SIGSTOP)
    change = await path.change(host=0)
    violations = await path.check("control paused", host=1)
    await anyio.sleep(_PAUSE_S)
    control.send_signal(signal.SIGCONT)
    return violations + await path.in_force(change)


async def _platform_down_request(path: site_path.SitePath) -> list[str]:
    await path.log(down=True)
    violations = await path.check("platform down")
    await path.log(down=False)
    return violations


async def _platform_down_change(path: site_path.SitePath) -> list[str]:
    await path.log(down=True)
    change = await path.change()
    violations = []
    if "offset" in change:
        violations.append("accepted while the log was down")
    await path.log(down=False)
    return violations + await path.in_force(await path.change())


async def _platform_down_claim(path: site_path.SitePath) -> list[str]:
    await path.log(down=True)
    await anyio.sleep(_PAUSE_S)
    evidence = await path.ask("claim", repeatable=False, key="down")
    violations = checker.judge(evidence, _TRUTHFUL)
    if evidence.runs:
        violations.append("ran without a claim")
    await path.log(down=False)
    return violations


async def _platform_down_restart(path: site_path.SitePath) -> list[str]:
    await path.log(down=True)
    host = path.site.hosts[0]
    position = await path.site.position(host)
    _kill_host(host)
    path.site.start_control(host)
    path.site.start_router(host)
    violations = await path.in_force({"offset": position})
    violations += await path.check("restarted")
    await path.log(down=False)
    return violations


async def _data_centre_restart(path: site_path.SitePath) -> list[str]:
    """All hosts of one data centre restart; the other has the position."""
    await path.log(down=True)
    position = await path.site.position(path.site.hosts[2])
    hosts = path.site.hosts[:2]
    for host in hosts:
        _kill_host(host)
    for host in hosts:
        path.site.start_control_later(host)
    for host in hosts:
        assert host.control is not None
        host.control.wait_listening()
        path.site.start_router(host)
    violations = await path.in_force({"offset": position})
    violations += await path.check("restarted together")
    await path.log(down=False)
    return violations


async def _herd_restart(path: site_path.SitePath) -> list[str]:
    position = await path.site.position(path.site.hosts[0])
    for host in path.site.hosts:
        _kill_host(host)
    for host in path.site.hosts:
        path.site.start_control_later(host)
    for host in path.site.hosts:
        assert host.control is not None
        host.control.wait_listening()
        path.site.start_router(host)
    violations = await path.in_force({"offset": position})
    return violations + await path.check("herd", host=3)


async def _lost_append_change(path: site_path.SitePath) -> list[str]:
    await path.log(lose_answers=1)
    return await path.in_force(await path.change())


async def _slow_log_change(path: site_path.SitePath) -> list[str]:
    await path.log(slow_s=0.5)
    violations = await path.in_force(await path.change())
    await path.log(slow_s=0)
    return violations


async def _racing_operators(path: site_path.SitePath) -> list[str]:
    path.changes += 1
    answers: list[dict[str, Any]] = []

    async def race(number: int) -> None:
        body = {
            "object": {
                "kind": "policy",
                "name": f"change{path.changes}",
                "order": 1000 + number,
            },
            "expected_version": 0,
        }
        admin = path.site.hosts[number].admin
        answers.append(await path.site.call(admin, "PUT", "/v1/objects", body))

    async with anyio.create_task_group() as group:
        for number in range(4):
            group.start_soon(race, number)
    accepted = [answer for answer in answers if "offset" in answer]
    if len(accepted) != 1:
        return [f"{len(accepted)} of 4 racing operators were accepted"]
    return await path.in_force(accepted[0])


async def _claimed_twice(path: site_path.SitePath) -> list[str]:
    found: list[checker.Evidence] = []

    async def ask(host: int) -> None:
        found.append(
            await path.ask("claimed", host=host, repeatable=False, key="twice")
        )

    async with anyio.create_task_group() as group:
        for host in range(4):
            group.start_soon(ask, host)
    violations = [
        text
        for evidence in found
        for text in checker.judge(evidence, _TRUTHFUL)
    ]
    runs = sum(len(evidence.runs) for evidence in found)
    if runs != 1:
        violations.append(f"one key ran {runs} times")
    return violations


async def _claim_holder_dies(path: site_path.SitePath) -> list[str]:
    """The host that saw a key is replaced; the balancer sends it again."""
    first = await path.ask("held", repeatable=False, key="held")
    _kill_host(path.site.hosts[0])
    second = await path.ask("held", host=1, repeatable=False, key="held")
    path.site.start_control(path.site.hosts[0])
    path.site.start_router(path.site.hosts[0])
    position = await path.site.position(path.site.hosts[1])
    violations = await path.in_force({"offset": position})
    violations += checker.judge(first, _WHOLE)
    violations += checker.judge(second, _TRUTHFUL)
    if len(first.runs) + len(second.runs) != 1:
        violations.append("a key ran twice after its host died")
    return violations


async def _listed_leaving(path: site_path.SitePath) -> list[str]:
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


async def _engine_says_leaving(path: site_path.SitePath) -> list[str]:
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


async def _order_answer_lost(path: site_path.SitePath) -> list[str]:
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
                lambda version=version: path.runs_weights(names, version), 30.0
            )
        except TimeoutError:
            violations.append(f"weights {version} were not loaded")
        violations += await path.check(f"after the order of {version}")
    return violations


async def _planned_stop_stream(path: site_path.SitePath) -> list[str]:
    host = path.site.hosts[0]
    router = host.router
    assert router is not None

    async def stop() -> None:
        router.popen.terminate()

    violations = await path.during_stream(stop, text="stopped")
    if router.stop() != 0:
        violations.append("a planned stop did not exit with 0")
    path.site.start_router(host)
    position = await path.site.position(path.site.hosts[1])
    return violations + await path.in_force({"offset": position})


async def _router_paused_stream(path: site_path.SitePath) -> list[str]:
    router = path.site.hosts[0].router
    assert router is not None

    async def pause() -> None:
        router.send_signal(signal.SIGSTOP)
        await anyio.sleep(_PAUSE_S)
        router.send_signal(signal.SIGCONT)

    return await path.during_stream(pause, text="router paused")


def _kill_host(host: site_lib.Host) -> None:
    assert host.router is not None and host.control is not None
    host.router.kill()
    host.control.kill()


class Scenario(NamedTuple):
    """One cell of the site's matrix.

    Attributes:
        fault: What is brought about.
        step: In the middle of what.
        run: Returns the violations.
    """

    fault: str
    step: str
    run: Callable[[site_path.SitePath], Awaitable[list[str]]]

    @property
    def name(self) -> str:
        """As reports name it."""
        return f"{self.fault}/{self.step}"


SCENARIOS = (
    Scenario("engine_killed", "stream", _engine_killed),
    Scenario("engine_killed", "stream_once", _engine_killed_once),
    Scenario("engine_returns_empty", "stream", _engine_returns_empty),
    Scenario("engine_paused", "stream", _engine_paused),
    Scenario("new_weights", "request", _new_weights_request),
    Scenario("new_weights", "stream", _new_weights_stream),
    Scenario("control_killed", "stream_and_change", _control_killed_stream),
    Scenario("control_paused", "change", _control_paused_change),
    Scenario("router_paused", "stream", _router_paused_stream),
    Scenario("platform_down", "request", _platform_down_request),
    Scenario("platform_down", "change", _platform_down_change),
    Scenario("platform_down", "claim", _platform_down_claim),
    Scenario("platform_down", "restart", _platform_down_restart),
    Scenario(
        "platform_down",
        "data_centre_restart",
        _data_centre_restart,
    ),
    Scenario("herd_restart", "restart", _herd_restart),
    Scenario("answer_lost", "change", _lost_append_change),
    Scenario("slow_log", "change", _slow_log_change),
    Scenario("racing_operators", "change", _racing_operators),
    Scenario("sent_to_all_hosts", "claim", _claimed_twice),
    Scenario("host_dies", "claim", _claim_holder_dies),
    Scenario("answer_lost", "order", _order_answer_lost),
    Scenario("list_goes_backwards", "leaving_target", _listed_leaving),
    Scenario("target_refuses", "leaving_target", _engine_says_leaving),
    Scenario("planned_stop", "stream", _planned_stop_stream),
)
