"""What control costs a host of a running site that is idle."""

from __future__ import annotations

from typing import NamedTuple

import anyio

from hillthread.bench import processes
from hillthread.bench import site as site_lib

__all__ = ["ControlCost", "measure_control"]

_LINK_BYTES = "hillthread_link_bytes_total"


class ControlCost(NamedTuple):
    """What control costs one host of a running site.

    Attributes:
        hosts: Hosts of the site.
        processor_share: Of a core, by the control process.
        resident_bytes: Memory of the control process.
        sent_bytes_per_s: Messages sent over its links.
        received_bytes_per_s: Messages received over its links.
    """

    hosts: int
    processor_share: float
    resident_bytes: float
    sent_bytes_per_s: float
    received_bytes_per_s: float


def measure_control(hosts_each: int, seconds: float) -> ControlCost:
    """Returns the mean cost of control on a host of an idle site.

    Args:
        hosts_each: Hosts in each of two data centres.
        seconds: How long to measure.
    """
    with processes.ProcessGroup() as group:
        return anyio.run(_measure_control, group, hosts_each, seconds)


async def _measure_control(
    group: processes.ProcessGroup, hosts_each: int, seconds: float
) -> ControlCost:
    site = site_lib.Site(group, 2, hosts_each, 2)
    await site.start(routers=False)
    await site.publish(site.objects(["o1"]))
    await anyio.sleep(2.0)
    controls = [host.control for host in site.hosts if host.control]
    before = sum(each.processor_s() for each in controls)
    bytes_before = [await _link_bytes(site, host) for host in site.hosts]
    await anyio.sleep(seconds)
    used = sum(each.processor_s() for each in controls) - before
    bytes_after = [await _link_bytes(site, host) for host in site.hosts]
    await site.close()
    count = len(controls)
    moved = [
        _sum_of(bytes_after, way) - _sum_of(bytes_before, way) for way in (0, 1)
    ]
    resident = sum(each.resident_bytes() for each in controls) / count
    sent, received = (total / count / seconds for total in moved)
    return ControlCost(count, used / count / seconds, resident, sent, received)


def _sum_of(pairs: list[tuple[float, float]], way: int) -> float:
    return sum(pair[way] for pair in pairs)


async def _link_bytes(
    site: site_lib.Site, host: site_lib.Host
) -> tuple[float, float]:
    page = await site.client.get(f"http://{host.admin}/metrics")
    found = {"sent": 0.0, "received": 0.0}
    for line in page.text.splitlines():
        for way in found:
            if line.startswith(f'{_LINK_BYTES}{{direction="{way}"'):
                found[way] = float(line.split()[1])
    return found["sent"], found["received"]
