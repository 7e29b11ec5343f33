"""Scenarios in which processes of hosts are killed, paused and restarted."""

from __future__ import annotations

import signal

import anyio

from hillthread.bench.faults import checker
from hillthread.bench.faults import site_path

__all__ = [
    "claim_everywhere",
    "kill_control_in_stream",
    "kill_holder_of_claim",
    "pause_control_in_change",
    "pause_router_in_stream",
    "restart_all_hosts",
    "stop_router_in_stream",
]

_PAUSE_S = 3.0
_WHOLE = checker.Promise.WHOLE
_TRUTHFUL = checker.Promise.TRUTHFUL


async def kill_control_in_stream(path: site_path.SitePath) -> list[str]:
    """A control process dies in a stream, and a change is made meanwhile."""
    host = path.site.hosts[0]

    async def kill() -> None:
        assert host.control is not None
        host.control.kill()

    violations = await path.during_stream(kill, text="control killed")
    violations += await path.check("control is away")
    change = await path.change(host=1)
    path.site.start_control(host)
    return violations + await path.in_force(change)


async def pause_control_in_change(path: site_path.SitePath) -> list[str]:
    """A change is made while a control process is frozen."""
    control = path.site.hosts[1].control
    assert control is not None
    control.send_signal(signal.SIGSTOP)
    change = await path.change(host=0)
    violations = await path.check("control paused", host=1)
    await anyio.sleep(_PAUSE_S)
    control.send_signal(signal.SIGCONT)
    return violations + await path.in_force(change)


async def pause_router_in_stream(path: site_path.SitePath) -> list[str]:
    """The router itself freezes in the middle of a stream."""
    router = path.site.hosts[0].router
    assert router is not None

    async def pause() -> None:
        router.send_signal(signal.SIGSTOP)
        await anyio.sleep(_PAUSE_S)
        router.send_signal(signal.SIGCONT)

    return await path.during_stream(pause, text="router paused")


async def stop_router_in_stream(path: site_path.SitePath) -> list[str]:
    """A planned stop of the router lets its stream end."""
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


async def kill_holder_of_claim(path: site_path.SitePath) -> list[str]:
    """The host that saw a key is replaced; the balancer sends it again."""
    first = await path.ask("held", repeatable=False, key="held")
    path.site.hosts[0].kill()
    second = await path.ask("held", host=1, repeatable=False, key="held")
    path.site.start_hosts(path.site.hosts[:1])
    position = await path.site.position(path.site.hosts[1])
    violations = await path.in_force({"offset": position})
    violations += checker.judge(first, _WHOLE)
    violations += checker.judge(second, _TRUTHFUL)
    if len(first.runs) + len(second.runs) != 1:
        violations.append("a key ran twice after its host died")
    return violations


async def restart_all_hosts(path: site_path.SitePath) -> list[str]:
    """All hosts restart together."""
    position = await path.site.position(path.site.hosts[0])
    for host in path.site.hosts:
        host.kill()
    path.site.start_hosts(path.site.hosts)
    violations = await path.in_force({"offset": position})
    return violations + await path.check("herd", host=3)


async def claim_everywhere(path: site_path.SitePath) -> list[str]:
    """One key is sent to all hosts at once and runs once."""
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
