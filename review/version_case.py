"""Plays a day on which another writer adds to the list of runners.

Later a version of the weights is named, and the rule VERSION is judged.
"""

from __future__ import annotations

import collections
from collections.abc import Callable
import time

import anyio
import rig

from hillthread.standin import platform_operator
from hillthread.standin import platform_target

__all__ = ["run"]

_HOSTS = 3
_ENGINES = 5
_LOAD_S = 0.76
_HEARTBEAT_S = 1.2
# Time from the entries of the other writer until the version is named.
_ENTRY_BEFORE_S = 3.0
# 1.5 x versionMs, and a second for the requests that are on the way.
_JUDGED_AFTER_S = 16.0
_REQUEST_INTERVAL_S = 0.25
_DEADLINE_MS = 4_000


def run(case_file: str, disturb: Callable[[rig.Deployment], None]) -> int:
    """Plays the case and returns the exit code of its script.

    Args:
        case_file: Path of the case's program.
        disturb: Writes the entries of the other writer.
    """

    async def play(deployment: rig.Deployment) -> bool:
        return await _play(deployment, disturb)

    return rig.run_case(
        case_file,
        _HOSTS,
        [
            platform_operator.OperatorRoute(
                "verdict", rig.ENGINES, streaming=True, repeatable=False
            )
        ],
        [platform_operator.OperatorTenant("tenant-1", keys=["key-1"])],
        _add_engines,
        play,
    )


def _add_engines(deployment: rig.Deployment) -> None:
    for number in range(_ENGINES):
        engine = platform_target.PlatformTargetStandin(
            f"i-{number}", rig.ENGINES, rig.MODEL
        )
        engine.load_s = _LOAD_S
        deployment.add_target(engine)


async def _play(
    deployment: rig.Deployment, disturb: Callable[[rig.Deployment], None]
) -> bool:
    """Names a version and returns whether the runners moved to it."""
    record = deployment.record
    deployment.tasks.start_soon(_rewrite_entries, deployment)
    statuses: collections.Counter[int] = collections.Counter()
    deployment.tasks.start_soon(_send_requests, deployment, statuses)
    await anyio.sleep(1.0)
    if not statuses[200]:
        raise TimeoutError  # nothing is served, so nothing can be tested
    if rig.has_trouble():
        disturb(deployment)
    await anyio.sleep(_ENTRY_BEFORE_S)
    record.write(f"answers before the version is named: {dict(statuses)}")
    deployment.operator.announce_weights(rig.MODEL)
    named_at = time.monotonic()
    record.write("version 2 is named and acknowledged")
    await anyio.sleep(_JUDGED_AFTER_S)
    held = {each.name: each.weights for each in deployment.targets}
    behind = [name for name, version in held.items() if version < 2]
    record.write(f"{time.monotonic() - named_at:.1f} s later: runners {held}")
    record.write(f"all answers by status, 0 for none: {dict(statuses)}")
    for host in deployment.hosts:
        record.write(f"{host.name}: processes that ended {len(host.exits)}")
    is_broken = len(behind) > 1 and len(behind) > len(held) / 10
    if is_broken:
        record.write(f"VERSION: {len(behind)} runners hold the older version")
    return not is_broken


async def _rewrite_entries(deployment: rig.Deployment) -> None:
    """Has runners rewrite their entries when something has changed."""
    listed = {each.name: each.weights for each in deployment.targets}
    while True:
        await anyio.sleep(_HEARTBEAT_S)
        for each in deployment.targets:
            if listed[each.name] != each.weights:
                listed[each.name] = each.weights
                deployment.operator.list_target(each, "ready")


async def _send_requests(
    deployment: rig.Deployment, statuses: collections.Counter[int]
) -> None:
    """Sends requests to all hosts in turn."""
    while True:
        for host in deployment.hosts:
            deployment.tasks.start_soon(_send, deployment, host, statuses)
            await anyio.sleep(_REQUEST_INTERVAL_S)


async def _send(
    deployment: rig.Deployment,
    host: rig.Host,
    statuses: collections.Counter[int],
) -> None:
    request_id = next(rig.request_ids)
    parts = [("5c1e07a2", 6_300), (request_id, 2_890)]
    headers = rig.request_headers(request_id, "key-1", parts, _DEADLINE_MS)
    deployment.record.write(f"{request_id} is sent to {host.name}")
    answer = await rig.call(
        host.address, "POST", "/verdict/a", headers, _DEADLINE_MS / 1000.0
    )
    statuses[answer.status] += 1
    runs = [
        f"{each.name} with version {run.weights}"
        for each in deployment.targets
        for run in each.runs
        if run.request_id == request_id
    ]
    deployment.record.write(f"{request_id} gets {answer.status}, run by {runs}")
