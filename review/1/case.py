"""A late second answer to a refusal makes a request run twice.

Versions of the weights are named, and each time the host that gives orders is
stopped and started again, both as planned. The other hosts then do not learn
from it which runners have loaded. Their first request to such a runner is
answered with 421, is sent again to the same runner over the same channel, and
meets the second answer to the first try.
"""

from __future__ import annotations

import collections
import random
import signal
import sys
import time

import anyio
import rig

from hillthread.standin import platform_operator
from hillthread.standin import platform_target
from hillthread.transport import http1_server

_HOSTS = 3
_ENGINES = 5
# Runners that send second answers: a share of 0.6.
_GARBLING = 3
# Second answers of each such runner, as a share of the answers that it gives
# while the disruption lasts. It lasts for `_ROUND_S` in each round.
_MAX_SECOND_SHARE = 0.03
_SECOND_ANSWER_DELAY_S = 0.02
_LOAD_S = 0.76
_HEARTBEAT_S = 1.2
# From the rewriting of an entry until it can be read.
_LIST_LAG_S = 0.8
_EVENT_INTERVAL_S = 0.01
_REQUESTS_PER_S = 80.0
_PROMPTS = 40
_DEADLINE_MS = 4_000
_ROUNDS = 15
# From the stop of a host until a version is named. The process ends about 3 s
# after the stop, when a part of the runners has loaded the version.
_STOP_BEFORE_S = 2.1
_ROUND_S = 4.3


class _Engine(platform_target.PlatformTargetStandin):
    """A runner that adds a late second answer to some of its refusals.

    Attributes:
        record: What happens.
        answers: Answers so far while the disruption lasted.
        second_answers: Second answers so far.
        is_faulty: Whether the disruption strikes it.
        is_garbling: Whether the disruption lasts.
    """

    def __init__(self, name: str, record: rig.Record, is_faulty: bool):
        super().__init__(name, rig.ENGINES, rig.MODEL)
        self.record = record
        self.answers = 0
        self.second_answers = 0
        self.is_faulty = is_faulty
        self.is_garbling = False
        self.load_s = _LOAD_S
        self.default_behaviour = platform_target.Serve(_EVENT_INTERVAL_S)

    async def _load_weights(
        self, order: platform_target.Order, born_ms: int
    ) -> None:
        await super()._load_weights(order, born_ms)
        self.record.write(f"{self.name} has loaded version {self.weights}")

    async def _serve(
        self,
        request: http1_server.CallerRequest,
        answer: http1_server.CallerAnswer,
    ) -> None:
        request_id = request.get(b"x-request-id").decode()
        self.answers += self.is_garbling
        self.record.write(f"{request_id} is run by {self.name}")
        await super()._serve(request, answer)

    async def _refuse(
        self,
        request: http1_server.CallerRequest,
        answer: http1_server.CallerAnswer,
        status: int,
        cut: bool = False,
    ) -> None:
        request_id = request.get(b"x-request-id").decode()
        self.answers += self.is_garbling
        self.record.write(f"{request_id} is refused by {self.name}: {status}")
        await super()._refuse(request, answer, status, cut)
        allowed = self.answers * _MAX_SECOND_SHARE
        if not (self.is_faulty and self.is_garbling and status == 421):
            return
        if self.second_answers + 1 > allowed:
            return
        self.second_answers += 1
        await anyio.sleep(_SECOND_ANSWER_DELAY_S)
        self.record.write(f"{request_id}: second 421 of {self.name}")
        await answer.connection.stream.send(
            b"HTTP/1.1 421 Misdirected Request\r\n"
            b"X-Request-Id: %b\r\nX-Instance-Id: %b\r\n"
            b"X-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
            % (request_id.encode(), self.name.encode())
        )


async def _play(deployment: rig.Deployment) -> bool:
    """Names versions and stops hosts; returns whether all ran once."""
    record = deployment.record
    for number, each in enumerate(deployment.targets):
        deployment.tasks.start_soon(_rewrite_entry, deployment, each, number)
    answers: dict[str, int] = {}
    async with anyio.create_task_group() as traffic:
        traffic.start_soon(_send_requests, deployment, answers)
        for _ in range(_ROUNDS):
            host = _find_order_giver(deployment)
            record.write(f"{host.name} gets SIGTERM")
            host.signal(signal.SIGTERM)
            await anyio.sleep(_STOP_BEFORE_S)
            deployment.operator.announce_weights(rig.MODEL)
            record.write(f"version {deployment.operator.weights} is named")
            _set_garbling(deployment, True)
            await anyio.sleep(_ROUND_S)
            _set_garbling(deployment, False)
        traffic.cancel_scope.cancel()
    await anyio.sleep(_DEADLINE_MS / 1000.0)
    return _judge(deployment, answers)


def _set_garbling(deployment: rig.Deployment, is_garbling: bool) -> None:
    """Begins or ends the disruption at all runners that it strikes."""
    for each in deployment.targets:
        if isinstance(each, _Engine):
            each.is_garbling = is_garbling


def _judge(deployment: rig.Deployment, answers: dict[str, int]) -> bool:
    """Returns whether no request ran twice, and none after a refusal."""
    record = deployment.record
    runs: dict[str, list[str]] = {}
    for each in deployment.targets:
        for run in each.runs:
            runs.setdefault(run.request_id, []).append(each.name)
    twice = {name: where for name, where in runs.items() if len(where) > 1}
    refused = [name for name in runs if answers.get(name) in (429, 503)]
    for name, where in twice.items():
        status = answers.get(name, 0)
        record.write(f"TWICE: {name} was run by {where}, and got {status}")
    for name in refused:
        record.write(f"REFUSED: {name} got {answers[name]} and has run")
    for each in deployment.targets:
        record.write(
            f"{each.name}: {each.answers} answers, "
            f"{each.second_answers} second answers"
        )
    statuses = collections.Counter(answers.values())
    record.write(f"answers by status, 0 for none: {dict(statuses)}")
    if not statuses[200]:
        raise TimeoutError  # nothing was served, so nothing was tested
    return not twice and not refused


def _find_order_giver(deployment: rig.Deployment) -> rig.Host:
    """Returns the host that gave the last order; the first one before that."""
    orders = [
        order for each in deployment.targets for order in each.timed_orders
    ]
    last = max(orders, key=lambda order: order.at, default=None)
    name = last.fields["holder"] if last else deployment.hosts[0].name
    return next(host for host in deployment.hosts if host.name == name)


async def _rewrite_entry(
    deployment: rig.Deployment,
    target: platform_target.PlatformTargetStandin,
    number: int,
) -> None:
    """Has a runner rewrite its entry when its weights have changed."""
    await anyio.sleep(_HEARTBEAT_S * number / _ENGINES)
    listed = target.weights
    while True:
        await anyio.sleep(_HEARTBEAT_S - _LIST_LAG_S)
        entry, weights = target.entry(), target.weights
        await anyio.sleep(_LIST_LAG_S)
        if listed != weights:
            listed = weights
            deployment.list_entry(target.name, entry)


async def _send_requests(
    deployment: rig.Deployment, answers: dict[str, int]
) -> None:
    """Sends requests to random hosts until cancelled."""
    draw = random.Random(time.time_ns())
    async with anyio.create_task_group() as tasks:
        while True:
            host = draw.choice(deployment.hosts)
            shared = f"{draw.randrange(_PROMPTS):08x}"
            tasks.start_soon(_send, deployment, host, shared, answers)
            await anyio.sleep(1.0 / _REQUESTS_PER_S)


async def _send(
    deployment: rig.Deployment,
    host: rig.Host,
    shared: str,
    answers: dict[str, int],
) -> None:
    request_id = next(rig.request_ids)
    parts = [(shared, 6_300), (request_id, 2_890)]
    headers = rig.request_headers(request_id, "key-1", parts, _DEADLINE_MS)
    deployment.record.write(f"{request_id} is sent to {host.name}")
    answer = await rig.call(
        host.address, "POST", "/verdict/a", headers, _DEADLINE_MS / 1000.0
    )
    answers[request_id] = answer.status
    deployment.record.write(f"{request_id} gets {answer.status}")


def _add_engines(deployment: rig.Deployment) -> None:
    for number in range(_ENGINES):
        is_faulty = rig.has_trouble() and number < _GARBLING
        deployment.add_target(
            _Engine(f"i-{number}", deployment.record, is_faulty)
        )


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
            [platform_operator.OperatorTenant("tenant-1", keys=["key-1"])],
            _add_engines,
            _play,
        )
    )
