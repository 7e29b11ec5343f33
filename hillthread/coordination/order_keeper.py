"""Orders engines to load the weights that the configuration names.

One host of a data centre holds the lease and sends orders. An order is sent
again until the engine reports the wanted weights, so that a lost answer is
harmless. It carries the lease's fencing token, for engines that check it, and a
deadline. A new lease holder waits for that deadline before it sends orders to
engines that do not check the token.

An engine whose order failed delays no other: it is retried after a pause that
doubles, and after the engines whose orders have not failed.
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

# Interval at which wanted weights are compared with those that run.
_CHECK_INTERVAL_S = 0.2
# Engines of a data centre that load weights concurrently; see docs/DESIGN.md,
# "Orders".
_MAX_CONCURRENT_LOADS = 2
# Deadline of an order. A new lease holder waits this long before it sends
# orders to engines that ignore the fencing token.
_ORDER_DEADLINE_S = 3.0
# Engines of the same data centre accept a connection within milliseconds.
_CONNECT_TIMEOUT_S = 1.0
# Pause after a failed order, which doubles up to 8 s. A target that recovers
# waits no longer than that, and one that does not takes one of the concurrent
# loads for at most 3 s in 11 s.
_FIRST_RETRY_PAUSE_S = 0.5
_MAX_PAUSE_DOUBLINGS = 4

_logger = logging.getLogger(__name__)


class Order(NamedTuple):
    """An order as sent to an engine, as JSON.

    Attributes:
        order_id: Unique identifier.
        fencing: Fencing token of the lease.
        weights_version: Version to load.
        deadline_s: Seconds after its arrival at which the order expires.
    """

    order_id: str
    fencing: int
    weights_version: str
    deadline_s: float


class Retry(NamedTuple):
    """When to retry a target whose last order failed.

    Attributes:
        failures: Number of consecutive failures.
        due_at: Monotonic seconds; the target gets no order before.
    """

    failures: int
    due_at: float


_NO_FAILURE = Retry(0, float("-inf"))


class OrderKeeper:
    """Orders the data centre's engines to load the wanted weights.

    Attributes:
        loading: Targets with an order in progress.
        retries: Targets whose last order failed. Newer weights do not reset
            them, since the target failed and not the version.
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
            timeout=httpx.Timeout(
                _ORDER_DEADLINE_S, connect=_CONNECT_TIMEOUT_S
            ),
        )
        self.orders = prometheus_client.Counter(
            "hillthread_orders",
            "Orders to engines by outcome.",
            ["outcome"],
            registry=registry,
        )

    async def run(self) -> None:
        """Sends orders while this host holds the lease."""
        async with anyio.create_task_group() as group:
            while True:
                await anyio.sleep(_CHECK_INTERVAL_S)
                if self.lease.may_act():
                    self._reconcile(group)

    def _may_order(self, target: objects.Target) -> bool:
        """Returns whether orders of a former holder can no longer take effect.

        An engine that checks the fencing token refuses them by itself.
        """
        acquired_at = self.lease.acquired_at
        if acquired_at is None:
            return False
        if target.honours_fencing:
            return True
        return clock.now() - acquired_at >= _ORDER_DEADLINE_S

    def _reconcile(self, group: anyio.abc.TaskGroup) -> None:
        engines = self.node.engines.list_all()
        outdated = self._list_outdated(engines)
        self._drop_retries(outdated)
        for target in self._sort_due(outdated):
            if len(self.loading) >= self._compute_load_limit(target, engines):
                continue
            self.loading.add(target.name)
            group.start_soon(self._run_order, target)

    def _list_outdated(
        self, engines: list[objects.Target]
    ) -> list[objects.Target]:
        """Returns the targets to order: those that run outdated weights."""
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

    def _drop_retries(self, outdated: list[objects.Target]) -> None:
        """Drops the retries of targets that now run the wanted weights."""
        kept = {target.name for target in outdated} | self.loading
        for name in self.retries.keys() - kept:
            del self.retries[name]

    def _sort_due(self, outdated: list[objects.Target]) -> list[objects.Target]:
        """Returns the targets that are due, the most likely to answer first.

        Those with the fewest failures come first, and of these the ones seen
        most recently.
        """
        now = clock.now()
        due = [
            target
            for target in outdated
            if self._get_retry(target).due_at <= now
        ]
        return sorted(
            due,
            key=lambda target: (
                self._get_retry(target).failures,
                -self.node.engines.seen_at.get(target.name, float("-inf")),
            ),
        )

    def _get_retry(self, target: objects.Target) -> Retry:
        return self.retries.get(target.name, _NO_FAILURE)

    def _compute_load_limit(
        self, target: objects.Target, engines: list[objects.Target]
    ) -> int:
        """Returns how many targets may load concurrently.

        At most half of the targets that share a model with this one, so that
        never all of them load at once, but at least one.
        """
        serving = [
            each for each in engines if set(each.models) & set(target.models)
        ]
        return max(1, min(_MAX_CONCURRENT_LOADS, len(serving) // 2))

    async def _run_order(self, target: objects.Target) -> None:
        order = Order(
            secrets.token_hex(8),
            self.lease.fencing_token,
            target.weights_version,
            _ORDER_DEADLINE_S,
        )
        try:
            outcome = await self._send_order(target, order)
            self.orders.labels(outcome).inc()
            self._record_outcome(target, outcome)
        finally:
            self.loading.discard(target.name)

    def _record_outcome(self, target: objects.Target, outcome: str) -> None:
        """Schedules a retry if the order failed; each pause is longer."""
        match outcome:
            case "done":
                self.retries.pop(target.name, None)
            case "refused" | "unknown" | "unheeded":
                failures = self._get_retry(target).failures + 1
                doublings = min(failures - 1, _MAX_PAUSE_DOUBLINGS)
                pause_s = _FIRST_RETRY_PAUSE_S * 2**doublings
                due_at = clock.now() + pause_s
                self.retries[target.name] = Retry(failures, due_at)
                _logger.warning(
                    "order to %s to load %s failed: %s; "
                    "consecutive failures: %d; retry in %.1f s",
                    target.name,
                    target.weights_version,
                    outcome,
                    failures,
                    pause_s,
                    extra={"code": "order_failed"},
                )

    async def _send_order(self, target: objects.Target, order: Order) -> str:
        if not self.lease.may_act():
            return "lease_lost"
        try:
            with anyio.fail_after(_ORDER_DEADLINE_S):
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
