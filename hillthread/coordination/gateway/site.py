"""A host's view of the configuration, targets and weights, and its age."""

from __future__ import annotations

import logging
import math

import anyio

from hillthread import clock
from hillthread.coordination.gateway import metrics as metrics_lib
from hillthread.coordination.gateway import settings as settings_lib
from hillthread.coordination.gateway import startup as startup_lib
from hillthread.coordination.gateway import target_beliefs
from hillthread.platform import configuration as configuration_lib
from hillthread.state.cluster import freshness
from hillthread.state.config import caller_bounds
from hillthread.state.config import site_configuration
from hillthread.state.quotas import retry_share
from hillthread.state.targets import part_blame
from hillthread.state.targets import quarantine

__all__ = ["Site"]

# Requests with keys are refused this long before the knowledge of keys exceeds
# its permitted age.
_REVOKE_MARGIN_S = 0.8
# Share of the permitted age above which the host reports that it is not ready,
# so that the balancer sends callers elsewhere.
_READY_SHARE = 0.6
# When the store answers, a process receives the configuration within 0.1 s of
# its first call. Requests that arrive earlier wait for it up to this time.
_STARTUP_WAIT_S = 0.5
# Number of hosts that share a budget, until they are counted. It is rather too
# high, so that each host's share is not too large.
DEFAULT_CLUSTER_SIZE = 24

_logger = logging.getLogger("hillthread.site")


class Site(target_beliefs.TargetBeliefs):
    """A host's view of its targets and of what the operator wrote.

    Attributes:
        settings: Settings of this host; replaced when their file changes.
        configuration: The configuration in force, or None before the first.
        freshness: Age of the data from the operator.
        targets_known: Whether the whole list of targets was read.
        started_at: Seconds, when this process began to serve.
        startup: When this process reached the stages of its start.
        wait_over: Set, and replaced, when requests need not wait any longer
            for the first configuration and targets.
        is_store_lost: No read of the store succeeded since one failed.
        cluster_size: Number of hosts that share the budgets, this one
            included.
        neighbour_count: Number of other hosts in this host's data centre.
        is_draining: The process is stopping.
        is_closing: The process is about to exit, so that a new request could
            not be finished.
        weights_announced: Set, and replaced, when new weights are announced.
        quarantine: Requests under which targets crashed.
        part_blame: Finds the parts of prompts that crash targets.
        retry_shares: This host's shares of the retry budgets, by pool.
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
        self.startup = startup_lib.StartupProgress(metrics)
        self.wait_over = anyio.Event()
        self.is_store_lost = False
        self.freshness = freshness.Freshness()
        self.quarantine = quarantine.Quarantine()
        self.part_blame = part_blame.PartBlame(self.quarantine)
        self.retry_shares: dict[str, retry_share.RetryShare] = {}
        self.cluster_size = DEFAULT_CLUSTER_SIZE
        self.neighbour_count = 0
        self.is_draining = False
        self.is_closing = False
        self.weights_announced = anyio.Event()
        self.apply_settings(settings)

    def apply_settings(self, settings: settings_lib.GatewaySettings) -> None:
        """Applies settings at the start and when they change."""
        self.settings = settings
        self.targets.max_missing_s = settings.drain_ms / 1000.0 * _READY_SHARE
        self.weights.limit_s = settings.version_ms / 1000.0

    @property
    def bounds(self) -> caller_bounds.CallerBounds:
        """The bounds on callers that are in force."""
        if self.configuration is None:
            return caller_bounds.CallerBounds()
        return self.configuration.bounds

    @property
    def configuration_version(self) -> int:
        """The version in force; 0 before the first."""
        return self.configuration.version if self.configuration else 0

    def apply_configuration(self, payload: bytes) -> None:
        """Applies a newer configuration; an older one is ignored.

        Raises:
            ConfigurationError: It is unreadable; the current one stays in
                force.
        """
        received = configuration_lib.decode_configuration(payload)
        before = self.configuration
        if before is not None and received.version <= before.version:
            return
        self.table = received.build_routing_table()
        self.configuration = received
        self.apply_services(is_first=before is None)
        self._release_if_routable()
        self.startup.reach(startup_lib.CONFIGURATION)
        self.metrics.configuration_version.set(received.version)
        _logger.info(
            "configuration applied",
            extra={
                "event": "configuration",
                "version": received.version,
                "before": before.version if before else None,
                "objects": len(received.decoded),
            },
        )

    def apply_weights_announcement(self, payload: bytes) -> None:
        """Applies an announcement of new weights.

        It was made after the last confirmed read: this host may learn of it
        late, or find it when it starts.

        Raises:
            ConfigurationError: The record is unreadable.
        """
        announced = configuration_lib.decode_weights(payload)
        now = clock.now()
        not_before = self.freshness.known_until
        if self.weights.record_announcement(
            announced.model, announced.version, now, not_before
        ):
            self.weights_announced.set()
            self.weights_announced = anyio.Event()
            _logger.info(
                "weights announced",
                extra={
                    "event": "weights_named",
                    "model": announced.model,
                    "version": announced.version,
                    "store_age_s": self.rounded_age_s(now),
                },
            )

    def mark_targets_known(self) -> None:
        """Records that the whole list of targets was read."""
        self.targets_known = True
        self.startup.reach(startup_lib.TARGETS)
        self.targets.is_read = True
        self._release_if_routable()

    def _release_if_routable(self) -> None:
        if self.can_route:
            self.release_waiting()

    def release_waiting(self) -> None:
        """Releases requests that wait for the configuration and targets."""
        self.wait_over.set()
        self.wait_over = anyio.Event()

    @property
    def can_route(self) -> bool:
        """Whether the host has the data that routing requires."""
        return self.table is not None and self.targets_known

    async def wait_until_routable(self, now: float) -> None:
        """Waits for the data that routing requires, for a short time.

        A host that cannot reach the store must not delay its callers: only a
        process that has just started lets them wait, until the store fails or
        the time for starting is over.
        """
        if self.can_route:
            return
        remaining_s = self.started_at + _STARTUP_WAIT_S - now
        if remaining_s <= 0.0 or self.is_store_lost:
            return
        with anyio.move_on_after(remaining_s):
            await self.wait_over.wait()

    def retry_share(self, pool: str, now: float) -> retry_share.RetryShare:
        """Returns this host's share of a pool's retry budget."""
        bounds = retry_share.RetryBounds(
            self.settings.retry_ratio,
            self.settings.retry_extra,
            self.settings.retry_window_s,
        )
        share = self.retry_shares.get(pool)
        if share is None:
            share = self.retry_shares[pool] = retry_share.RetryShare(
                bounds, self.cluster_size, self.started_at
            )
        share.update(bounds, self.cluster_size, now)
        return share

    def store_lost(self, reason: str) -> None:
        """Records that the store cannot be read."""
        self.is_store_lost = True
        self.targets.store_lost()
        if not self.can_route:
            self.release_waiting()
        _logger.warning(
            "store lost", extra={"event": "store_lost", "reason": reason}
        )

    def store_back(self, now: float, lost_s: float) -> None:
        """Records that the store can be read again."""
        self.is_store_lost = False
        self.targets.store_back(now)
        _logger.info(
            "store reachable again",
            extra={"event": "store_back", "lost_s": round(lost_s, 3)},
        )

    @property
    def greatest_age_s(self) -> float:
        """The age up to which the knowledge of keys is used, seconds."""
        return self.settings.revoke_ms / 1000.0 - _REVOKE_MARGIN_S

    @property
    def ready_age_s(self) -> float:
        """The age of that knowledge up to which the host is ready, seconds."""
        return self.settings.revoke_ms / 1000.0 * _READY_SHARE

    def rounded_age_s(self, now: float) -> float | None:
        """Returns the age of the operator's data; None before the first read.

        It is for log lines: they are JSON, which cannot express infinity.
        """
        age_s = self.freshness.age(now)
        return round(age_s, 3) if math.isfinite(age_s) else None

    def may_serve_keys(self, now: float) -> bool:
        """Returns whether the knowledge of keys is recent enough to serve."""
        if not self.settings.fail_closed:
            return self.table is not None
        return self.freshness.age(now) <= self.greatest_age_s

    def not_ready_reason(self, now: float) -> str:
        """Returns why the host is not ready; empty when it is ready."""
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
        """Returns by how long the operator's data exceeds its ready age."""
        if not self.settings.fail_closed:
            return 0.0
        return max(0.0, self.freshness.age(now) - self.ready_age_s)
