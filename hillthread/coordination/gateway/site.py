"""What one host believes: configuration, targets, weights, and their age."""

from __future__ import annotations

import logging
import math

import anyio

from hillthread import clock
from hillthread.coordination.gateway import metrics as metrics_lib
from hillthread.coordination.gateway import settings as settings_lib
from hillthread.coordination.gateway import target_beliefs
from hillthread.platform import configuration as configuration_lib
from hillthread.state.cluster import freshness
from hillthread.state.config import caller_bounds
from hillthread.state.config import site_configuration
from hillthread.state.quotas import retry_budget
from hillthread.state.targets import quarantine

__all__ = ["Site"]

# Keyed requests are refused this much before knowledge of keys is too old.
_REVOKE_MARGIN_S = 0.8
# Of its full age; the host then asks the balancer to send callers elsewhere.
_READY_SHARE = 0.6
# A process that has just started knows the configuration within 0.1 s of its
# first call when the store answers; a request that comes before waits for it.
_FIRST_MOMENTS_S = 0.5
# Hosts to share a budget with, until they are counted; rather too many.
DEFAULT_CLUSTER_SIZE = 24

_logger = logging.getLogger("hillthread.site")


class Site(target_beliefs.TargetBeliefs):
    """Beliefs of one host: of targets, what the operator wrote, and its age.

    Attributes:
        settings: Of this host; replaced when the file changes.
        configuration: The configuration in force, or None before the first.
        freshness: Age of what is known from the operator.
        started_at: Seconds, when this process began to serve.
        wait_over: Set, and replaced, when requests need not wait any longer
            for the first configuration and targets.
        is_store_lost: The store was not read since a read failed.
        hosts: Hosts that share the budgets, this one included.
        neighbours: Other hosts in this host's data centre.
        draining: The process is stopping.
        closing: It is about to end: a new request could not be finished.
        weights_named: Set, and replaced, when new weights are named.
        quarantine: Requests under which targets ended.
    """

    def __init__(
        self,
        settings: settings_lib.GatewaySettings,
        metrics: metrics_lib.GatewayMetrics,
    ):
        super().__init__(metrics)
        self.settings = settings
        self.configuration: site_configuration.SiteConfiguration | None = None
        self.targets_known = False
        self.started_at = clock.now()
        self.wait_over = anyio.Event()
        self.is_store_lost = False
        self.freshness = freshness.Freshness()
        self.quarantine = quarantine.Quarantine()
        self.budgets: dict[str, retry_budget.RetryBudget] = {}
        self.cluster_size = DEFAULT_CLUSTER_SIZE
        self.neighbour_count = 0
        self.is_draining = False
        self.is_closing = False
        self.weights_announced = anyio.Event()
        self.apply_settings(settings)

    def apply_settings(self, settings: settings_lib.GatewaySettings) -> None:
        """Puts settings in force, at the start and when they change."""
        self.settings = settings
        self.targets.max_missing_s = settings.drain_ms / 1000.0 * _READY_SHARE
        self.weights.limit_s = settings.version_ms / 1000.0

    @property
    def bounds(self) -> caller_bounds.CallerBounds:
        """Bounds on callers in force."""
        if self.configuration is None:
            return caller_bounds.CallerBounds()
        return self.configuration.bounds

    def apply_configuration(self, payload: bytes) -> None:
        """Puts a newer configuration in force; an older one is passed over.

        Raises:
            ConfigurationError: It is unreadable; the one in force stays.
        """
        adopted = configuration_lib.decode_configuration(payload)
        before = self.configuration
        if before is not None and adopted.version <= before.version:
            return
        self.table = adopted.build_routing_table()
        self.configuration = adopted
        self._note_known()
        self.metrics.configuration_version.set(adopted.version)
        _logger.info(
            "configuration in force",
            extra={
                "event": "configuration",
                "version": adopted.version,
                "before": before.version if before else None,
                "objects": len(adopted.decoded),
            },
        )

    def apply_weights_announcement(self, payload: bytes) -> None:
        """Takes in newly named weights.

        They were named after the last read that proves something: this host
        may learn of them late, or find them when it starts.

        Raises:
            ConfigurationError: The record is unreadable.
        """
        named = configuration_lib.decode_weights(payload)
        now = clock.now()
        not_before = self.freshness.known_until
        if self.weights.record_announcement(
            named.model, named.version, now, not_before
        ):
            self.weights_announced.set()
            self.weights_announced = anyio.Event()
            _logger.info(
                "weights named",
                extra={
                    "event": "weights_named",
                    "model": named.model,
                    "version": named.version,
                    "store_age_s": self.rounded_age_s(now),
                },
            )

    def mark_targets_known(self) -> None:
        """Notes that the whole list of targets was read."""
        self.targets_known = True
        self._note_known()

    def _note_known(self) -> None:
        if self.can_route:
            self.release_waiting()

    def release_waiting(self) -> None:
        """Has requests that wait for the configuration served or refused."""
        self.wait_over.set()
        self.wait_over = anyio.Event()

    @property
    def can_route(self) -> bool:
        """Whether requests can be routed at all."""
        return self.table is not None and self.targets_known

    async def wait_until_routable(self, now: float) -> None:
        """Returns when requests can be routed, or soon will not be.

        A host that cannot reach the store must not hold up its callers: only
        a process that has just started lets them wait, until the store fails
        or the first moments are over.
        """
        if self.can_route:
            return
        left_s = self.started_at + _FIRST_MOMENTS_S - now
        if left_s <= 0.0 or self.is_store_lost:
            return
        with anyio.move_on_after(left_s):
            await self.wait_over.wait()

    def budget(self, pool: str) -> retry_budget.RetryBudget:
        """Returns this host's part of a pool's retry budget."""
        extra = self.settings.retry_extra / self.cluster_size
        budget = self.budgets.get(pool)
        if budget is None:
            budget = self.budgets[pool] = retry_budget.RetryBudget(
                self.settings.retry_ratio,
                extra,
                self.settings.retry_window_s,
            )
        budget.extra = extra
        return budget

    def store_lost(self, reason: str) -> None:
        """Notes that the store cannot be read."""
        self.is_store_lost = True
        self.targets.store_lost()
        if not self.can_route:
            self.release_waiting()
        _logger.warning(
            "store lost", extra={"event": "store_lost", "reason": reason}
        )

    def store_back(self, now: float, lost_s: float) -> None:
        """Notes that the store can be read again."""
        self.is_store_lost = False
        self.targets.store_back(now)
        _logger.info(
            "store back",
            extra={"event": "store_back", "lost_s": round(lost_s, 3)},
        )

    @property
    def greatest_age_s(self) -> float:
        """The age up to which knowledge of keys is used, seconds."""
        return self.settings.revoke_ms / 1000.0 - _REVOKE_MARGIN_S

    @property
    def ready_age_s(self) -> float:
        """The age of that knowledge up to which the host is ready, seconds."""
        return self.settings.revoke_ms / 1000.0 * _READY_SHARE

    def rounded_age_s(self, now: float) -> float | None:
        """Returns the age of what is known, for a log line; None before.

        Logs are JSON, which has no number for what was never read.
        """
        age_s = self.freshness.age(now)
        return round(age_s, 3) if math.isfinite(age_s) else None

    def may_serve_keys(self, now: float) -> bool:
        """Returns whether what is known of keys is recent enough."""
        if not self.settings.fail_closed:
            return self.table is not None
        return self.freshness.age(now) <= self.greatest_age_s

    def not_ready_reason(self, now: float) -> str:
        """Returns why callers should be sent elsewhere; empty when ready."""
        if self.is_draining:
            return "stopping"
        if self.table is None:
            return "no configuration known"
        if not self.targets_known:
            return "targets not known"
        if self.unready_s(now) > 0.0:
            return "store not reached"
        return ""

    def unready_s(self, now: float) -> float:
        """Returns for how long the store has been away for too long."""
        if not self.settings.fail_closed:
            return 0.0
        return max(0.0, self.freshness.age(now) - self.ready_age_s)
