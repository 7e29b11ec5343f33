"""A tenant that becomes isolated goes on sharing what it had sent before.

Two tenants send prompts that begin with the same part. A configuration makes
the first one isolated. Later the second one sends such prompts again, and its
requests use memory that requests of the first one have produced.
"""

from __future__ import annotations

import sys
import time
from typing import NamedTuple

import anyio
import rig

from hillthread.platform import attempts
from hillthread.standin import platform_operator
from hillthread.standin import platform_target
from hillthread.transport import http1_server

_HOSTS = 2
_ENGINES = 3
_PROMPTS = 6
_DEADLINE_MS = 4_000
# configMs, and a second for the requests that are on the way.
_JUDGED_AFTER_S = 3.0
_EVENT_INTERVAL_S = 0.005
_ISOLATED = "tenant-a"
_OTHER = "tenant-b"


class _Use(NamedTuple):
    """A use of memory that an earlier request produced.

    Attributes:
        at: Monotonic time in seconds.
        request_id: The request that uses it.
        tenant: Tenant of that request.
        producer: Tenant of the request that produced the memory.
        part: ID of the part.
    """

    at: float
    request_id: str
    tenant: str
    producer: str
    part: str


class _Engine(platform_target.PlatformTargetStandin):
    """A runner that keeps the parts of prompts under their salts.

    Attributes:
        record: What happens.
        kept: The tenant whose request produced a part, by salt and by the IDs
            of all parts up to this one.
        uses: Uses of kept parts.
    """

    def __init__(self, name: str, record: rig.Record):
        super().__init__(name, rig.ENGINES, rig.MODEL)
        self.record = record
        self.kept: dict[tuple[str, tuple[str, ...]], str] = {}
        self.uses: list[_Use] = []
        self.default_behaviour = platform_target.Serve(_EVENT_INTERVAL_S)

    async def _serve(
        self,
        request: http1_server.CallerRequest,
        answer: http1_server.CallerAnswer,
    ) -> None:
        salt = request.get(b"x-cache-salt").decode()
        tenant = request.get(b"x-tenant").decode()
        request_id = request.get(b"x-request-id").decode()
        self.record.write(
            f"{request_id} of {tenant} is run by {self.name}, salt {salt}"
        )
        parts = attempts.decode_prompt(request.headers).parts
        prefix: tuple[str, ...] = ()
        is_prefix_kept = True
        for part in parts:
            prefix = (*prefix, part.digest)
            producer = self.kept.get((salt, prefix))
            is_prefix_kept = is_prefix_kept and producer is not None
            if is_prefix_kept and producer is not None:
                self.uses.append(
                    _Use(
                        time.monotonic(),
                        request_id,
                        tenant,
                        producer,
                        part.digest,
                    )
                )
                self.record.write(
                    f"{request_id} uses part {part.digest}, made by {producer}"
                )
            else:
                self.kept[salt, prefix] = tenant
        await super()._serve(request, answer)


async def _play(deployment: rig.Deployment) -> bool:
    """Isolates a tenant and returns whether its memory stays apart."""
    record = deployment.record
    statuses = [
        await _ask(deployment, _ISOLATED, number) for number in range(_PROMPTS)
    ]
    if rig.has_trouble():
        deployment.operator.tenants[0].isolated = True
    deployment.operator.configure()
    record.write(
        f"configuration {deployment.operator.version} is acknowledged; "
        f"isolated: {deployment.operator.tenants[0].isolated}"
    )
    await anyio.sleep(_JUDGED_AFTER_S)
    judged_from = time.monotonic()
    for tenant in (_OTHER, _ISOLATED):
        statuses += [
            await _ask(deployment, tenant, number) for number in range(_PROMPTS)
        ]
    if any(status != 200 for status in statuses):
        raise TimeoutError  # not served, so nothing was tested
    isolated = {
        each.name for each in deployment.operator.tenants if each.isolated
    }
    foreign = [
        use
        for engine in deployment.targets
        for use in engine.uses
        if use.at >= judged_from
        and use.tenant != use.producer
        and isolated & {use.tenant, use.producer}
    ]
    for use in foreign:
        record.write(
            f"WALL: {use.request_id} of {use.tenant} used part {use.part} "
            f"that a request of {use.producer} had produced"
        )
    return not foreign


async def _ask(deployment: rig.Deployment, tenant: str, number: int) -> int:
    """Sends a prompt and returns the status of its answer."""
    request_id = next(rig.request_ids)
    host = deployment.hosts[number % _HOSTS]
    parts = [(f"{number:08x}", 6_300), (request_id, 2_890)]
    headers = rig.request_headers(
        request_id, f"key-{tenant}", parts, _DEADLINE_MS
    )
    deployment.record.write(f"{request_id} of {tenant} is sent to {host.name}")
    answer = await rig.call(
        host.address, "POST", "/verdict/a", headers, _DEADLINE_MS / 1000.0
    )
    deployment.record.write(f"{request_id} gets {answer.status}")
    return answer.status


def _add_engines(deployment: rig.Deployment) -> None:
    for number in range(_ENGINES):
        deployment.add_target(_Engine(f"i-{number}", deployment.record))


if __name__ == "__main__":
    sys.exit(
        rig.run_case(
            __file__,
            _HOSTS,
            [
                platform_operator.OperatorRoute(
                    "verdict", rig.ENGINES, streaming=True, repeatable=False
                )
            ],
            [
                platform_operator.OperatorTenant(name, keys=[f"key-{name}"])
                for name in (_ISOLATED, _OTHER)
            ],
            _add_engines,
            _play,
        )
    )
