"""Scenarios in which the log is down, slow, or written by several at once."""

from __future__ import annotations

from typing import Any

import anyio

from hillthread.bench.faults import checker
from hillthread.bench.faults import site_path

__all__ = [
    "down_at_change",
    "down_at_claim",
    "down_at_request",
    "down_at_restart",
    "down_at_restart_of_data_centre",
    "lose_answer_of_append",
    "race_operators",
    "slow_at_change",
]

_PAUSE_S = 3.0
_TRUTHFUL = checker.Promise.TRUTHFUL


async def down_at_request(path: site_path.SitePath) -> list[str]:
    """The log is down while a request is made."""
    await path.log(down=True)
    violations = await path.check("platform down")
    await path.log(down=False)
    return violations


async def down_at_change(path: site_path.SitePath) -> list[str]:
    """A change is not accepted while the log is down."""
    await path.log(down=True)
    change = await path.change()
    violations = []
    if "offset" in change:
        violations.append("accepted while the log was down")
    await path.log(down=False)
    return violations + await path.in_force(await path.change())


async def down_at_claim(path: site_path.SitePath) -> list[str]:
    """No request runs under a key while no claim can be written."""
    await path.log(down=True)
    await anyio.sleep(_PAUSE_S)
    evidence = await path.ask("claim", repeatable=False, key="down")
    violations = checker.judge(evidence, _TRUTHFUL)
    if evidence.runs:
        violations.append("ran without a claim")
    await path.log(down=False)
    return violations


async def down_at_restart(path: site_path.SitePath) -> list[str]:
    """A host restarts while the log is down; others have the position."""
    await path.log(down=True)
    host = path.site.hosts[0]
    position = await path.site.position(host)
    host.kill()
    path.site.start_hosts([host])
    violations = await path.in_force({"offset": position})
    violations += await path.check("restarted")
    await path.log(down=False)
    return violations


async def down_at_restart_of_data_centre(path: site_path.SitePath) -> list[str]:
    """All hosts of one data centre restart; the other has the position."""
    await path.log(down=True)
    position = await path.site.position(path.site.hosts[2])
    hosts = path.site.hosts[:2]
    for host in hosts:
        host.kill()
    path.site.start_hosts(hosts)
    violations = await path.in_force({"offset": position})
    violations += await path.check("restarted together")
    await path.log(down=False)
    return violations


async def lose_answer_of_append(path: site_path.SitePath) -> list[str]:
    """A change is appended to the log, but the answer is lost."""
    await path.log(lose_answers=1)
    return await path.in_force(await path.change())


async def slow_at_change(path: site_path.SitePath) -> list[str]:
    """A change is made while the log is slow."""
    await path.log(slow_s=0.5)
    violations = await path.in_force(await path.change())
    await path.log(slow_s=0)
    return violations


async def race_operators(path: site_path.SitePath) -> list[str]:
    """Four operators put the same object; one of them is accepted."""
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
