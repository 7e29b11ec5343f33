"""How long changes and restarts take on a site of real processes."""

from __future__ import annotations

import time
from typing import NamedTuple

import anyio

from hillthread.bench import caller as caller_lib
from hillthread.bench import deployment
from hillthread.bench import percentiles
from hillthread.bench import processes
from hillthread.bench import site as site_lib

__all__ = ["ControlTimes", "measure_control_times"]

_CHANGES = 20
_DATA_CENTRES = 4
_HOSTS_EACH = 2
_SLOW_S = 0.3
_LOSS = 0.3


class ControlTimes(NamedTuple):
    """Seconds, on 8 hosts in 4 data centres.

    Attributes:
        change_p50_s: From asking for a change to in force on all routers.
        change_max_s: The longest of them.
        slow_change_p50_s: The same while each answer of the log takes 0.3 s.
        slow_change_max_s: The longest of them.
        lossy_change_p50_s: With 30% of the log's calls and answers lost.
        lossy_change_max_s: The longest of them.
        lossy_unknown: Of 20 changes, those whose outcome was unknown.
        restart_s: From starting one host's processes to its first answer.
        restart_platform_down_s: The same with the log down.
        herd_s: All hosts at once, to the last one's first answer.
        herd_platform_down_s: All hosts of one data centre, the log down.
        bare_start_s: Of those, what one process needs to listen.
    """

    change_p50_s: float
    change_max_s: float
    slow_change_p50_s: float
    slow_change_max_s: float
    lossy_change_p50_s: float
    lossy_change_max_s: float
    lossy_unknown: int
    restart_s: float
    restart_platform_down_s: float
    herd_s: float
    herd_platform_down_s: float
    bare_start_s: float


def measure_control_times() -> ControlTimes:
    """Returns the times, measured once with real processes."""
    with processes.ProcessGroup() as group:
        return anyio.run(_measure, group)


async def _measure(group: processes.ProcessGroup) -> ControlTimes:
    site = site_lib.Site(group, _DATA_CENTRES, _HOSTS_EACH, 1)
    await site.start()
    answers = await site.publish(site.objects(["o1"]))
    await site.wait_position(answers[-1]["offset"])
    calm = await _changes(site, _CHANGES)
    await site.control_standin(site.log, {"slow_s": _SLOW_S})
    slow = await _changes(site, _CHANGES // 2)
    await site.control_standin(site.log, {"slow_s": 0, "loss": _LOSS})
    lossy = await _changes(site, _CHANGES)
    await site.control_standin(site.log, {"loss": 0})
    started = time.monotonic()
    group.start("standin", {}, "log")
    bare = time.monotonic() - started
    restart = await _restart(site, site.hosts[:1])
    herd = await _restart(site, site.hosts)
    await site.control_standin(site.log, {"down": True})
    down = await _restart(site, site.hosts[:1])
    herd_down = await _restart(site, site.hosts[:_HOSTS_EACH])
    await site.close()
    return ControlTimes(
        percentiles.percentile(calm, 0.5),
        calm[-1],
        percentiles.percentile(slow, 0.5),
        slow[-1],
        percentiles.percentile(lossy, 0.5),
        lossy[-1],
        _CHANGES - len(lossy),
        restart,
        down,
        herd,
        herd_down,
        bare,
    )


async def _changes(site: site_lib.Site, count: int) -> list[float]:
    """Returns the seconds of the changes that were accepted, in order."""
    times = [await _change(site, number) for number in range(count)]
    return sorted(seconds for seconds in times if seconds is not None)


async def _change(site: site_lib.Site, number: int) -> float | None:
    """Returns seconds until a change is in force; None if unknown."""
    value = {"kind": "policy", "name": f"p{number}", "order": 1000}
    host = site.hosts[number % len(site.hosts)]
    started = time.monotonic()
    answers = await site.publish([value], host)
    if "offset" not in answers[0]:
        return None
    await site.wait_position(answers[0]["offset"])
    return time.monotonic() - started


async def _restart(site: site_lib.Site, hosts: list[site_lib.Host]) -> float:
    """Returns seconds from starting hosts to the last one's first answer."""
    for host in hosts:
        host.kill()
    started = time.monotonic()
    for host in hosts:
        site.start_control_later(host)
        site.start_router_later(host)
    for host in hosts:
        assert host.router is not None and host.control is not None
        host.control.wait_listening()
        host.router.wait_listening()
    for host in hosts:
        await _wait_answer(host)
    return time.monotonic() - started


async def _wait_answer(host: site_lib.Host) -> None:
    caller = caller_lib.Caller(host.callers, deployment.tenant_key("o1"))
    messages = [{"role": "user", "content": "first"}]

    async def answered() -> bool:
        return (await caller.ask(messages, 1)).complete

    await site_lib.wait_until(answered)
    await caller.close()
