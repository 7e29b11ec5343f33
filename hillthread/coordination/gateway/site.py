"""What one host believes: configuration, targets, weights, and their age."""

from __future__ import annotations

from collections.abc import Callable
import logging
import math
import time

import anyio

from hillthread import errors
from hillthread.coordination.gateway import metrics as metrics_lib
from hillthread.coordination.gateway import settings as settings_lib
from hillthread.platform import configuration as configuration_lib
from hillthread.platform import targets as targets_lib
from hillthread.protocol import work_notice
from hillthread.state import caller_bounds
from hillthread.state import freshness
from hillthread.state import health
from hillthread.state import retry_budget
from hillthread.state import routing_table
from hillthread.state import site_configuration
from hillthread.state import target_list
from hillthread.state import target_state
from hillthread.state import weights

__all__ = ["Site"]

# After an outage entries of live targets are back within this time (letter).
_RETURN_S = 2.0
# Keyed requests are refused this much before knowledge of keys is too old.
_REVOKE_MARGIN_S = 0.8
# Of its full age; the host then asks the balancer to send callers elsewhere.
_READY_SHARE = 0.6
# A process that has just started knows the configuration within 0.1 s of its
# first call when the store answers; a request that comes before waits for it.
_FIRST_MOMENTS_S = 0.5
# Hosts to share a budget with, until they are counted; rather too many.
DEFAULT_HOSTS = 24

_logger = logging.getLogger("hillthread.site")


class Site:
    """Beliefs of one host.

    Attributes:
        settings: Of this host; replaced when the file changes.
        configuration: The configuration in force, or None before the first.
        table: Its routing table, or None.
        targets: Which targets there are.
        states: What own attempts found, by target.
        weights: Versions of weights.
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
        target_gone: Called with the address of each target that is gone.
    """

    def __init__(
        self,
        settings: settings_lib.GatewaySettings,
        metrics: metrics_lib.GatewayMetrics,
    ):
        self.settings = settings
        self.metrics = metrics
        self.configuration: site_configuration.SiteConfiguration | None = None
        self.table: routing_table.RoutingTable | None = None
        self.targets = target_list.TargetList(_RETURN_S)
        self.targets_known = False
        self.started_at = time.monotonic()
        self.wait_over = anyio.Event()
        self.is_store_lost = False
        self.states: dict[str, target_state.TargetState] = {}
        self.weights = weights.WeightsBoard()
        self.freshness = freshness.Freshness()
        self.budgets: dict[str, retry_budget.RetryBudget] = {}
        self.hosts = DEFAULT_HOSTS
        self.neighbours = 0
        self.draining = False
        self.closing = False
        self.weights_named = anyio.Event()
        self.target_gone: Callable[[str], None] = _ignore
        self.adopt_settings(settings)

    def adopt_settings(self, settings: settings_lib.GatewaySettings) -> None:
        """Puts settings in force, at the start and when they change."""
        self.settings = settings
        self.targets.hold_s = settings.drain_ms / 1000.0 * _READY_SHARE
        self.weights.limit_s = settings.version_ms / 1000.0

    @property
    def bounds(self) -> caller_bounds.CallerBounds:
        """Bounds on callers in force."""
        if self.configuration is None:
            return caller_bounds.CallerBounds()
        return self.configuration.bounds

    def adopt_configuration(self, payload: bytes) -> None:
        """Puts a newer configuration in force; an older one is passed over.

        Raises:
            ConfigurationError: It is unreadable; the one in force stays.
        """
        adopted = configuration_lib.decode_configuration(payload)
        before = self.configuration
        if before is not None and adopted.version <= before.version:
            return
        self.table = adopted.table()
        self.configuration = adopted
        self._note_known()
        self.metrics.position.set(adopted.version)
        _logger.info(
            "configuration in force",
            extra={
                "event": "configuration",
                "version": adopted.version,
                "before": before.version if before else None,
                "objects": len(adopted.decoded),
            },
        )

    def name_weights(self, payload: bytes) -> None:
        """Takes in newly named weights.

        They were named after the last read that proves something: this host
        may learn of them late, or find them when it starts.

        Raises:
            ConfigurationError: The record is unreadable.
        """
        named = configuration_lib.decode_weights(payload)
        now = time.monotonic()
        not_before = self.freshness.proven_at
        if self.weights.name(named.model, named.version, now, not_before):
            self.weights_named.set()
            self.weights_named = anyio.Event()
            _logger.info(
                "weights named",
                extra={
                    "event": "weights_named",
                    "model": named.model,
                    "version": named.version,
                    "store_age_s": self.told_age_s(now),
                },
            )

    def note_targets_known(self) -> None:
        """Notes that the whole list of targets was read."""
        self.targets_known = True
        self._note_known()

    def _note_known(self) -> None:
        if self.knows_enough:
            self.release_waiting()

    def release_waiting(self) -> None:
        """Has requests that wait for the configuration served or refused."""
        self.wait_over.set()
        self.wait_over = anyio.Event()

    @property
    def knows_enough(self) -> bool:
        """Whether requests can be routed at all."""
        return self.table is not None and self.targets_known

    async def wait_known(self, now: float) -> None:
        """Returns when requests can be routed, or soon will not be.

        A host that cannot reach the store must not hold up its callers: only
        a process that has just started lets them wait, until the store fails
        or the first moments are over.
        """
        if self.knows_enough:
            return
        left_s = self.started_at + _FIRST_MOMENTS_S - now
        if left_s <= 0.0 or self.is_store_lost:
            return
        with anyio.move_on_after(left_s):
            await self.wait_over.wait()

    def put_target(self, incarnation: str, payload: bytes) -> None:
        """Takes in an entry of the list of targets.

        Raises:
            ConfigurationError: It is unreadable, or another writer's; it names
                no target, also where one was listed.
        """
        before = self.targets.entries.get(incarnation)
        try:
            entry = targets_lib.decode_entry(incarnation, payload)
            if entry.born_ms == 0 and incarnation in self.targets.born_ms:
                raise errors.ConfigurationError(
                    f"The entry of target {incarnation!r} tells no start.",
                    "Check what wrote the entry; it names no target.",
                )
        except errors.ConfigurationError:
            change = self.targets.withdraw(incarnation)
            self._note_removal(incarnation, change, before)
            raise
        if self.targets.is_earlier(incarnation, entry.born_ms):
            return
        change = self.targets.put(entry)
        if change is target_list.TargetChange.RESTARTED and before is not None:
            self._forget(incarnation, before.target.address)
        for model, version in entry.weights.items():
            self.weights.list_target(incarnation, model, version)
        self._note_target(incarnation, change)

    def remove_target(self, incarnation: str, now: float) -> None:
        """Notes that an entry is missing from the list."""
        entry = self.targets.entries.get(incarnation)
        change = self.targets.remove(incarnation, now)
        self._note_removal(incarnation, change, entry)

    def expire_targets(self, now: float) -> None:
        """Drops targets whose entries stayed missing after an outage."""
        before = dict(self.targets.entries)
        for name in self.targets.expire(now):
            gone = target_list.TargetChange.GONE
            self._note_removal(name, gone, before[name])

    def target_leaves(self, incarnation: str, source: str) -> None:
        """Notes that a target said itself that it leaves."""
        if self.targets.mark_leaving(incarnation):
            self._note_target(
                incarnation, target_list.TargetChange.LEAVING, source
            )

    def observe_weights(
        self, incarnation: str, model: str, version: int
    ) -> None:
        """Takes in the weights version that a target said it holds."""
        if self.weights.observe(incarnation, model, version):
            self.state(incarnation).warm.clear()
            _logger.info(
                "target has weights",
                extra={
                    "event": "target_weights",
                    "target": incarnation,
                    "model": model,
                    "version": version,
                },
            )

    def take_report(
        self, name: str, model: str, report: targets_lib.EngineReport
    ) -> bool:
        """Takes in the weights that an engine reports of itself.

        Returns:
            Whether it is word of the engine's last start; if not, it is passed
            over.
        """
        if self.targets.is_earlier(name, report.born_ms):
            return False
        entry = self.targets.entries.get(name)
        if self.targets.note_start(name, report.born_ms) and entry is not None:
            self._forget(name, entry.target.address)
            self._note_target(
                name, target_list.TargetChange.RESTARTED, "report"
            )
        if model in report.weights:
            self.weights.report(name, model, report.weights[model])
        return True

    def take_notice(self, notice: work_notice.WorkNotice, now: float) -> None:
        """Takes in that another host sends work to an engine."""
        name = self.targets.name_of(notice.engine)
        if name is None:
            return  # not listed here yet, gone, or of an earlier start
        self.state(name).load.add_peer_work(notice.tokens, now)
        self.note_prompt(name, notice)

    def take_weights_notice(
        self, notice: work_notice.WeightsNotice, now: float
    ) -> None:
        """Takes in that an engine loads weights, or holds them now."""
        name = self.targets.name_of(notice.engine)
        if name is None:
            return  # not listed here yet, gone, or of an earlier start
        state = self.state(name)
        if notice.loading:
            state.begin_load(now)
            return
        state.end_load()
        self.observe_weights(name, notice.model, notice.version)

    def note_prompt(self, name: str, notice: work_notice.WorkNotice) -> None:
        """Notes that an engine keeps a prompt that is sent to it."""
        self.state(name).warm.note(
            notice.scope,
            notice.shared,
            notice.own_tokens,
            self._engine_memory(name),
        )

    def _engine_memory(self, target: str) -> int:
        """Returns how many tokens an engine keeps; 0 when not known."""
        entry = self.targets.entries.get(target)
        if self.table is None or entry is None:
            return 0
        service = entry.target.labels.get(configuration_lib.SERVICE_LABEL, "")
        pool = self.table.pool(service)
        return pool.cache_tokens if pool else 0

    def weights_status(self, now: float) -> dict[str, object]:
        """Returns what is known of weights, for a log line."""
        lags = self.weights.lags(now)
        self.metrics.behind.set(len(lags))
        return {
            "weights_named": {
                model: {
                    "version": named.version,
                    "age_s": round(now - named.known_at, 3),
                }
                for model, named in self.weights.named.items()
            },
            "weights_behind": {
                f"{target} {model}": lag.held
                for (target, model), lag in lags.items()
            },
        }

    def state(self, target: str) -> target_state.TargetState:
        """Returns what own attempts found of a target."""
        found = self.states.get(target)
        if found is None:
            found = self.states[target] = target_state.TargetState()
        return found

    def budget(self, pool: str) -> retry_budget.RetryBudget:
        """Returns this host's part of a pool's retry budget."""
        extra = self.settings.retry_extra / self.hosts
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
        if not self.knows_enough:
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

    def told_age_s(self, now: float) -> float | None:
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
        if self.draining:
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

    def _note_target(
        self,
        name: str,
        change: target_list.TargetChange,
        source: str = "list",
    ) -> None:
        if change is target_list.TargetChange.NONE:
            return
        entry = self.targets.entries.get(name)
        self.metrics.targets.set(len(self.targets.entries))
        _logger.info(
            f"target {change}",
            extra={
                "event": f"target_{change}",
                "target": name,
                "source": source,
                "address": entry.target.address if entry else None,
                "labels": dict(entry.target.labels) if entry else None,
            },
        )

    def _note_removal(
        self,
        name: str,
        change: target_list.TargetChange,
        entry: target_list.ListedTarget | None,
    ) -> None:
        """Notes what became of a target that the list names no more."""
        self._note_target(name, change)
        if change is target_list.TargetChange.GONE and entry is not None:
            self._forget(name, entry.target.address)

    def _forget(self, name: str, address: str) -> None:
        self.states.pop(name, None)
        self.weights.forget(name)
        self.target_gone(address)

    def ejected(self, now: float) -> list[str]:
        """Returns the targets that get no requests because they failed."""
        return [
            name
            for name, state in self.states.items()
            if state.breaker.state(now) is health.BreakerState.OPEN
        ]


def _ignore(address: str) -> None:
    """Stands for nobody who wants to know of targets that are gone."""
    del address
