"""Orders to engines: the configuration is what is wanted, orders follow it.

One host of a data centre holds the lease and gives orders. An order is given
again until the engine is seen to run what is wanted, which makes a lost answer
harmless. It carries the lease's fencing number for engines that honour it, and
a deadline; for engines that do not, a new holder first waits that deadline.

An engine that fails to take an order holds up no other: it is ordered again
after a pause that doubles, and comes after those that have not failed.
"""

from __future__ import annotations

import logging
import secrets
from typing import NamedTuple

import anyio
import anyio.abc
import httpx
import prometheus_client

from hillthread import clock
from hillthread.coordination import control_node
from hillthread.coordination import lease_keeper
from hillthread.protocol import engine
from hillthread.state.config import objects

__all__ = ["OrderKeeper"]

# How often wanted weights are compared with those that run.
_CHECK_S = 0.2
# Engines of a data centre that load at once; docs/DESIGN.md, "Orders".
_MAX_LOADS = 2
# Orders carry this deadline, and a new holder waits it out before engines that
# ignore fencing numbers.
_DEADLINE_S = 3.0
# An engine of the own data centre takes a connection within milliseconds.
_CONNECT_S = 1.0
# Pauses after orders that failed, up to 8 s: a target that is back waits no
# longer, and one that is not takes a place for 3 s in 11 at most.
_FIRST_PAUSE_S = 0.5
_MAX_DOUBLINGS = 4

_logger = logging.getLogger(__name__)


class Order(NamedTuple):
    """What an engine is told, as JSON.

    Attributes:
        order_id: Unique.
        fencing: Of the lease.
        weights_version: To be loaded.
        deadline_s: Seconds after its arrival when it is void.
    """

    order_id: str
    fencing: int
    weights_version: str
    deadline_s: float


class Retry(NamedTuple):
    """What follows from orders to one target that failed.

    Attributes:
        failures: In a row.
        due_at: Monotonic seconds before which it gets no order.
    """

    failures: int
    due_at: float


_NO_FAILURE = Retry(0, float("-inf"))


class OrderKeeper:
    """Has the data centre's engines load the weights that are wanted.

    Attributes:
        loading: Targets with an order under way.
        retries: Targets whose last order failed. Newer weights change nothing
            here: what failed is the target, not the version.
    """

    def __init__(
        self,
        node: control_node.ControlNode,
        lease: lease_keeper.LeaseKeeper,
        registry: prometheus_client.CollectorRegistry,
    ):
        self.node = node
        self.lease = lease
        self.loading: set[str] = set()
        self.retries: dict[str, Retry] = {}
        self.client = httpx.AsyncClient(
            trust_env=False,
            timeout=httpx.Timeout(_DEADLINE_S, connect=_CONNECT_S),
        )
        self.orders = prometheus_client.Counter(
            "hillthread_orders",
            "Orders to engines by outcome.",
            ["outcome"],
            registry=registry,
        )

    async def run(self) -> None:
        """Gives orders while this host holds the lease."""
        async with anyio.create_task_group() as group:
            while True:
                await anyio.sleep(_CHECK_S)
                if self.lease.may_act():
                    self._reconcile(group)

    def _may_order(self, target: objects.Target) -> bool:
        """Returns whether orders of a former holder can no longer act.

        An engine that honours fencing numbers refuses them by itself.
        """
        acquired_at = self.lease.acquired_at
        if acquired_at is None:
            return False
        if target.honours_fencing:
            return True
        return clock.now() - acquired_at >= _DEADLINE_S

    def _reconcile(self, group: anyio.abc.TaskGroup) -> None:
        engines = self.node.engines.list_all()
        wanting = self._wanting(engines)
        self._forget_retries(wanting)
        for target in self._in_order(wanting):
            if len(self.loading) >= self._most_loads(target, engines):
                continue
            self.loading.add(target.name)
            group.start_soon(self._give, target)

    def _wanting(self, engines: list[objects.Target]) -> list[objects.Target]:
        """Returns the targets that run other weights than wanted."""
        return [
            target
            for target in engines
            if target.weights_version
            and self._may_order(target)
            and target.name not in self.loading
            and target.name in self.node.engines.epochs
            and self.node.engines.epochs[target.name].weights_version
            != target.weights_version
        ]

    def _forget_retries(self, wanting: list[objects.Target]) -> None:
        """Forgets the failures of targets that have what is wanted."""
        kept = {target.name for target in wanting} | self.loading
        for name in self.retries.keys() - kept:
            del self.retries[name]

    def _in_order(self, wanting: list[objects.Target]) -> list[objects.Target]:
        """Returns the targets that are due, the likeliest to answer first."""
        now = clock.now()
        due = [
            target for target in wanting if self._retry_of(target).due_at <= now
        ]
        return sorted(
            due,
            key=lambda target: (
                self._retry_of(target).failures,
                -self.node.engines.seen_at.get(target.name, float("-inf")),
            ),
        )

    def _retry_of(self, target: objects.Target) -> Retry:
        return self.retries.get(target.name, _NO_FAILURE)

    def _most_loads(
        self, target: objects.Target, engines: list[objects.Target]
    ) -> int:
        """Returns loads allowed at once: never all targets of a model."""
        serving = [
            each for each in engines if set(each.models) & set(target.models)
        ]
        return max(1, min(_MAX_LOADS, len(serving) // 2))

    async def _give(self, target: objects.Target) -> None:
        order = Order(
            secrets.token_hex(8),
            self.lease.fencing_token,
            target.weights_version,
            _DEADLINE_S,
        )
        try:
            outcome = await self._send(target, order)
            self.orders.labels(outcome).inc()
            self._note_outcome(target, outcome)
        finally:
            self.loading.discard(target.name)

    def _note_outcome(self, target: objects.Target, outcome: str) -> None:
        """Lets a target that failed wait, the longer the more often it did."""
        match outcome:
            case "done":
                self.retries.pop(target.name, None)
            case "refused" | "unknown" | "unheeded":
                failures = self._retry_of(target).failures + 1
                doublings = min(failures - 1, _MAX_DOUBLINGS)
                pause_s = _FIRST_PAUSE_S * 2**doublings
                due_at = clock.now() + pause_s
                self.retries[target.name] = Retry(failures, due_at)
                _logger.warning(
                    "order to %s to load %s: %s, %d in a row; again in %.1f s",
                    target.name,
                    target.weights_version,
                    outcome,
                    failures,
                    pause_s,
                    extra={"code": "order_failed"},
                )

    async def _send(self, target: objects.Target, order: Order) -> str:
        if not self.lease.may_act():
            return "lease_lost"
        try:
            with anyio.fail_after(_DEADLINE_S):
                response = await self.client.post(
                    f"http://{target.address}{engine.ORDERS_PATH}",
                    json=order._asdict(),
                )
        except (httpx.HTTPError, TimeoutError):
            return "unknown"
        if response.status_code != 200:
            return "refused"
        epoch = engine.parse_epoch(response.headers)
        self.node.engines.epochs[target.name] = epoch
        if epoch.weights_version != order.weights_version:
            return "unheeded"
        return "done"
