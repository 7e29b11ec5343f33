"""A host's view of its targets: the list, and what each has reported."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Mapping
from collections.abc import Sequence
import logging
from typing import NamedTuple

from hillthread import clock
from hillthread import errors
from hillthread.coordination.gateway import metrics as metrics_lib
from hillthread.platform import configuration as configuration_lib
from hillthread.platform import targets as targets_lib
from hillthread.protocol import work_notice
from hillthread.state.config import routing_table
from hillthread.state.routing import engine_speed
from hillthread.state.scheduling import urgency as urgency_lib
from hillthread.state.targets import backoffs
from hillthread.state.targets import brittleness
from hillthread.state.targets import health
from hillthread.state.targets import target_list
from hillthread.state.targets import target_state
from hillthread.state.targets import weights

__all__ = ["TargetBeliefs", "TargetStatus"]

# The platform guarantees that entries of live targets are back within this time
# after an outage.
_ENTRY_RETURN_S = 2.0
# Samples of other hosts that are this many times later or earlier than expected
# are not plausible.
_MAX_SPEED_RATIO = 16.0
# Engines with a slowdown within this range count as average to operators: most
# estimates are accurate to 15%.
_AVERAGE_SLOWDOWNS = (0.8, 1.25)

_logger = logging.getLogger("hillthread.site")


class TargetStatus(NamedTuple):
    """State of a listed target that is not normal, as shown to operators.

    Attributes:
        target: Name of the target.
        is_leaving: It announced its departure.
        backoff_s: Seconds for which it still wants no request from this host.
        slowdown: How many times longer than other engines of its pool it takes
            for a prompt.
        is_unreachable: This host cannot open a connection to it.
        is_brittle: It crashes if it refuses too many requests.
    """

    target: str
    is_leaving: bool
    backoff_s: float
    slowdown: float = 1.0
    is_unreachable: bool = False
    is_brittle: bool = False


class ReleaseStatus(NamedTuple):
    """The targets of a pool that run one release of its software.

    Attributes:
        pool: Name of the pool.
        release: The release.
        targets: Number of listed targets that get new work.
        leaving: Number of listed targets that leave. If no others are left,
            streams of the release cannot go on.
    """

    pool: str
    release: str
    targets: int
    leaving: int


class TargetBeliefs:
    """The targets, and what is known of each since its last start.

    Attributes:
        metrics: The gateway's metrics.
        table: The routing table in force, or None before the first.
        targets: The listed targets.
        unnamed: Entries of services that the configuration does not name, by
            the target's name. Another program may have written them, or a
            later configuration names their service.
        states: What this host's own attempts found and other hosts' notices
            reported, by target.
        pool_speeds: Speed of the engines of each pool, by the pool's name.
        are_links_lost: Whether this host can reach no target at all.
        backoffs: Targets that shed load and request a pause.
        brittle: Targets that crash if they refuse too many requests.
        weights: Versions of weights: announced, and held by targets.
        last_load_notice_at: Seconds, when this host or another last sent a
            notice of a load of weights.
        on_target_withdrawn: Called with the address of each target that gets
            no more new work.
        on_target_forgotten: Called with the name of each target whose state is
            discarded.
        on_target_terminated: Called with the name of each target that was
            removed, has restarted under this name, or whose address another
            target has; the second argument is the evidence.
    """

    def __init__(self, metrics: metrics_lib.GatewayMetrics):
        self.metrics = metrics
        self.table: routing_table.RoutingTable | None = None
        self.targets = target_list.TargetList(_ENTRY_RETURN_S)
        self.unnamed: dict[str, target_list.ListedTarget] = {}
        self.states: dict[str, target_state.TargetState] = {}
        self.pool_speeds: dict[str, engine_speed.PoolSpeed] = {}
        self.are_links_lost = False
        self.backoffs = backoffs.Backoffs()
        self.brittle = brittleness.BrittleTargets()
        self.weights = weights.WeightsTracker()
        self.last_load_notice_at = float("-inf")
        self.on_target_withdrawn: Callable[[str], None] = _ignore_target
        self.on_target_forgotten: Callable[[str], None] = _ignore_target
        self.on_target_terminated: Callable[[str, str], None] = (
            _ignore_termination
        )

    def put_target(self, incarnation: str, payload: bytes) -> None:
        """Applies an entry of the list of targets.

        Raises:
            ConfigurationError: The entry is unreadable or was written by
                another program. A target that was listed under its name is
                withdrawn.
        """
        before = self.targets.entries.get(incarnation)
        self.unnamed.pop(incarnation, None)
        try:
            entry = targets_lib.decode_entry(incarnation, payload)
            if entry.born_ms == 0 and incarnation in self.targets.born_ms:
                raise errors.ConfigurationError(
                    f"The entry of target {incarnation!r} has no start time.",
                    "Check what wrote the entry; its target is not used.",
                )
        except errors.ConfigurationError:
            change = self.targets.withdraw(incarnation)
            self._record_removal(incarnation, change, before)
            raise
        if self._is_named(entry) or _is_same_service(before, entry):
            self._put_entry(entry)
            return
        change = self.targets.withdraw(incarnation)
        self._record_removal(incarnation, change, before)
        self._set_aside(entry)

    def apply_services(self, is_first: bool) -> None:
        """Applies entries of services that the configuration names now.

        Args:
            is_first: Whether it is the first configuration. Entries were
                accepted without one.
        """
        for name, entry in list(self.unnamed.items()):
            if self._is_named(entry):
                del self.unnamed[name]
                self._put_entry(entry, is_written_now=False)
        if not is_first:
            return
        replaced_before = dict(self.targets.replaced)
        for name, entry in list(self.targets.entries.items()):
            if not self._is_named(entry):
                self.targets.undo_replacements(name)
                change = self.targets.withdraw(name)
                self._record_removal(name, change, entry)
                self._set_aside(entry)
        self._record_replacements(replaced_before)

    def _set_aside(self, entry: target_list.ListedTarget) -> None:
        """Keeps an entry until the configuration names its service."""
        name = entry.target.name
        self.unnamed[name] = entry
        _logger.info(
            "target of an unnamed service",
            extra={
                "event": "target_unnamed",
                "target": name,
                "service": _service_of(entry),
            },
        )

    def _is_named(self, entry: target_list.ListedTarget) -> bool:
        """Returns whether the configuration names the service of an entry."""
        return self.table is None or self.table.has_pool(_service_of(entry))

    def _put_entry(
        self, entry: target_list.ListedTarget, is_written_now: bool = True
    ) -> None:
        """Adds or updates a target."""
        incarnation = entry.target.name
        if self.targets.is_earlier_incarnation(incarnation, entry.born_ms):
            return
        before = self.targets.entries.get(incarnation)
        replaced_before = dict(self.targets.replaced)
        change = self.targets.put(entry, clock.now(), is_written_now)
        if change is target_list.TargetChange.RESTARTED and before is not None:
            self._forget_incarnation(incarnation, before.target.address)
        if change is target_list.TargetChange.ADDED:
            self._record_address_reuse(entry)
        self._record_replacements(replaced_before)
        self._apply_listed_weights(entry)
        self._record_change(incarnation, change)

    def confirm_live(self, name: str, address: str) -> None:
        """Records that a target named itself in an answer from an address."""
        replaced_before = dict(self.targets.replaced)
        self.targets.confirm_live(name, address)
        self._record_replacements(replaced_before)

    def remove_target(self, incarnation: str, now: float) -> None:
        """Records that an entry is missing from the list."""
        self.unnamed.pop(incarnation, None)
        entry = self.targets.entries.get(incarnation)
        change = self.targets.remove(incarnation, now)
        self._record_removal(incarnation, change, entry)

    def expire_targets(self, now: float) -> None:
        """Removes targets whose entries stayed missing after an outage."""
        before = dict(self.targets.entries)
        for name in self.targets.expire(now):
            gone = target_list.TargetChange.GONE
            self._record_removal(name, gone, before[name])

    def mark_leaving(self, name: str, source: str) -> bool:
        """Excludes a target that announced its departure from new work.

        Args:
            name: Name of the target.
            source: Where the announcement came from, for the log.

        Returns:
            Whether the departure was not known before.
        """
        if not self.targets.mark_leaving(name):
            return False
        self._record_change(name, target_list.TargetChange.LEAVING, source)
        entry = self.targets.entries.get(name)
        if entry is not None:
            # Closes idle connections only.
            self.on_target_withdrawn(entry.target.address)
        return True

    def request_backoff(self, name: str, seconds: float, now: float) -> None:
        """Excludes a target from work for the time for which it sheds load."""
        if not self.backoffs.apply(name, seconds, now):
            return
        _logger.info(
            "target backs off",
            extra={
                "event": "target_backoff",
                "target": name,
                "backoff_s": seconds,
            },
        )

    def unavailable_targets(self, now: float) -> list[TargetStatus]:
        """Returns the listed targets that leave or back off, by name."""
        active = self.backoffs.remaining_s(now)
        leaving = self.targets.leaving
        names = self.targets.entries.keys() & (leaving | active.keys())
        return [
            TargetStatus(name, name in leaving, round(active.get(name, 0.0), 3))
            for name in sorted(names)
        ]

    def target_statuses(self, now: float) -> list[TargetStatus]:
        """Returns targets that this host cannot use, and slow or fast ones."""
        statuses = {each.target: each for each in self.unavailable_targets(now)}
        low, high = _AVERAGE_SLOWDOWNS
        for name in self.states.keys() & self.targets.entries.keys():
            state = self.states[name]
            slowdown = state.speed.slowdown(now)
            is_brittle = name in self.brittle
            is_average = (
                low <= slowdown <= high
                and not state.is_unreachable
                and not is_brittle
            )
            if name in statuses or not is_average:
                status = statuses.get(name, TargetStatus(name, False, 0.0))
                statuses[name] = status._replace(
                    slowdown=round(slowdown, 2),
                    is_unreachable=state.is_unreachable,
                    is_brittle=is_brittle,
                )
        return [statuses[name] for name in sorted(statuses)]

    def release_statuses(self) -> list[ReleaseStatus]:
        """Returns which releases the listed targets run, by pool."""
        counts: dict[tuple[str, str], list[int]] = {}
        for name, entry in self.targets.entries.items():
            key = (self.service_of(name), entry.release)
            counts.setdefault(key, [0, 0])[entry.leaving] += 1
        return [ReleaseStatus(*key, *counts[key]) for key in sorted(counts)]

    def observe_weights(
        self, incarnation: str, model: str, version: int
    ) -> None:
        """Applies the version of weights that a target says it holds."""
        if self.weights.update_from_answer(incarnation, model, version):
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

    def apply_report(
        self, name: str, model: str, report: targets_lib.EngineReport
    ) -> bool:
        """Applies the weights that an engine reports of itself.

        Returns:
            Whether the report is of the engine's last start; a report of an
            earlier one is ignored.
        """
        if self.targets.is_earlier_incarnation(name, report.born_ms):
            return False
        entry = self.targets.entries.get(name)
        if (
            self.targets.record_start(name, report.born_ms)
            and entry is not None
        ):
            self._forget_incarnation(name, entry.target.address)
            self._record_change(
                name, target_list.TargetChange.RESTARTED, "report"
            )
        if report.is_leaving:
            self.mark_leaving(name, "report")
        if model in report.weights:
            self.weights.update_from_report(name, model, report.weights[model])
        return True

    def apply_work_notice(
        self, notice: work_notice.WorkNotice, now: float
    ) -> None:
        """Applies a notice that another host sends work to an engine."""
        name = self.targets.name_of(notice.engine)
        if name is None:
            return  # not listed yet, removed, or of an earlier start
        self.refresh_speed(name, now)
        urgency = min(max(0, notice.urgency), urgency_lib.LEAST_URGENT)
        self.state(name).load.add_peer_prefill(notice.tokens, now, urgency)
        if notice.shared or notice.own_tokens:
            self.record_prompt(name, notice)

    def pool_speed(self, name: str) -> engine_speed.PoolSpeed:
        """Returns the speed of the pool that a target belongs to."""
        pool = self.service_of(name)
        found = self.pool_speeds.get(pool)
        if found is None:
            found = self.pool_speeds[pool] = engine_speed.PoolSpeed()
        return found

    def refresh_speed(self, name: str, now: float) -> float:
        """Updates an engine's prefill rate and returns its base time.

        The rate and the base time are those of the pool, changed by the
        engine's slowdown.
        """
        state = self.state(name)
        pool = self.pool_speed(name)
        slowdown = state.speed.slowdown(now)
        state.load.prefill_tokens_per_s = pool.prefill_tokens_per_s / slowdown
        return pool.base_s * slowdown

    def add_speed_sample(
        self, name: str, sample: engine_speed.SpeedSample, now: float
    ) -> work_notice.SpeedNotice | None:
        """Learns from a prompt that this host sent to an idle engine.

        Returns:
            A notice for other hosts, if they benefit from the sample.
        """
        if not sample.is_plausible():
            return None
        pool = self.pool_speed(name)
        speed = self.state(name).speed
        expected_s = pool.expected_s(sample.prefill_tokens)
        is_due = speed.is_sample_due(now, self._count_engines())
        speed.add_sample(sample.seconds / expected_s, now)
        pool.add_sample(sample, now)
        if not is_due or not self.has_urgency_classes:
            return None
        return work_notice.SpeedNotice(
            self.targets.key_of(name),
            round(sample.prefill_tokens),
            max(1, round(sample.seconds * 1000.0)),
            max(1, round(expected_s * 1000.0)),
        )

    def apply_speed_notice(
        self, notice: work_notice.SpeedNotice, now: float
    ) -> None:
        """Applies another host's sample of the speed of an engine."""
        name = self.targets.name_of(notice.engine)
        if name is None or not self.has_urgency_classes:
            return
        max_millis = engine_speed.MAX_FIRST_BYTE_S * 1000.0
        if not 0 < notice.millis <= max_millis:
            return
        if not 0 < notice.pool_millis <= max_millis:
            return
        sample = engine_speed.SpeedSample(
            notice.prefill_tokens, notice.millis / 1000.0
        )
        if not sample.is_plausible():
            return
        pool = self.pool_speed(name)
        # A host that has just started does not know the pool yet.
        expected_s = notice.pool_millis / 1000.0
        if pool.is_learned:
            expected_s = pool.expected_s(sample.prefill_tokens)
        ratio = sample.seconds / expected_s
        if not 1.0 / _MAX_SPEED_RATIO <= ratio <= _MAX_SPEED_RATIO:
            return
        self.state(name).speed.add_sample(ratio, now)
        pool.add_sample(sample, now)

    def are_unreachable(
        self, members: Sequence[target_list.ListedTarget]
    ) -> bool:
        """Returns whether this host can reach none of some targets."""
        if not members or self.are_links_lost:
            return bool(members)
        return all(
            each.target.name in self.states
            and self.states[each.target.name].is_unreachable
            for each in members
        )

    def _count_engines(self) -> int:
        """Returns the number of listed targets that hold weights."""
        return sum(bool(each.weights) for each in self.targets.entries.values())

    @property
    def has_urgency_classes(self) -> bool:
        """Whether prompts differ in urgency in the configuration in force."""
        return self.table is not None and self.table.has_urgency_classes

    def effective_urgency(self, urgency: int) -> int:
        """Returns the urgency by which a prompt is ordered in queues."""
        if self.has_urgency_classes:
            return urgency
        return urgency_lib.LEAST_URGENT

    def apply_weights_notice(
        self, notice: work_notice.WeightsNotice, now: float
    ) -> None:
        """Applies a notice that an engine loads weights, or now holds them."""
        self.last_load_notice_at = now
        name = self.targets.name_of(notice.engine)
        if name is None:
            return  # not listed yet, removed, or of an earlier start
        state = self.state(name)
        if notice.loading:
            state.begin_load(now)
            return
        state.end_load()
        self.observe_weights(name, notice.model, notice.version)

    def expected_queue_s(self, name: str, now: float) -> float:
        """Returns when an engine is expected to have read its queue, seconds.

        It counts the prompts of all hosts, as far as this host knows them.
        """
        load = self.state(name).load
        return load.queued_tokens(now) / load.prefill_tokens_per_s

    def record_prompt(self, name: str, notice: work_notice.WorkNotice) -> None:
        """Records that an engine caches a prompt that is sent to it."""
        self.state(name).warm.add_prompt(
            notice.scope,
            notice.shared,
            notice.own_tokens,
            self._get_cache_tokens(name),
        )

    def _get_cache_tokens(self, target: str) -> int:
        """Returns how many tokens an engine can cache; 0 when not known."""
        if self.table is None or target not in self.targets.entries:
            return 0
        pool = self.table.pool(self.service_of(target))
        return pool.cache_tokens if pool else 0

    def service_of(self, target: str) -> str:
        """Returns the pool of a target; empty if it is not listed."""
        entry = self.targets.entries.get(target)
        if entry is None:
            return ""
        return _service_of(entry)

    def weights_status(self, now: float) -> dict[str, object]:
        """Returns announced and outdated weights, for a log line."""
        lags = self.weights.lags(now)
        self.metrics.outdated_targets.set(len(lags))
        return {
            "weights_named": {
                model: {
                    "version": named.version,
                    "age_s": round(now - named.learned_at, 3),
                }
                for model, named in self.weights.newest.items()
            },
            "weights_behind": {
                f"{target} {model}": lag.held
                for (target, model), lag in lags.items()
            },
        }

    def state(self, target: str) -> target_state.TargetState:
        """Returns what is known of a target by attempts and notices."""
        found = self.states.get(target)
        if found is None:
            found = self.states[target] = target_state.TargetState()
        return found

    def _record_change(
        self,
        name: str,
        change: target_list.TargetChange,
        source: str = "list",
    ) -> None:
        if change is target_list.TargetChange.UNCHANGED:
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

    def _record_removal(
        self,
        name: str,
        change: target_list.TargetChange,
        entry: target_list.ListedTarget | None,
    ) -> None:
        """Records the removal of a target from the list."""
        self._record_change(name, change)
        if change is target_list.TargetChange.GONE and entry is not None:
            self._forget(name, entry.target.address)
            self.on_target_terminated(name, "it is not listed any more")

    def _record_address_reuse(self, entry: target_list.ListedTarget) -> None:
        """Records that targets whose address a new one has are terminated."""
        for name, other in self.targets.entries.items():
            is_other = name != entry.target.name
            if is_other and other.target.address == entry.target.address:
                self.on_target_terminated(name, "another has its address")

    def _apply_listed_weights(self, entry: target_list.ListedTarget) -> None:
        for model, version in entry.weights.items():
            self.weights.update_from_list(entry.target.name, model, version)

    def _record_replacements(
        self, before: Mapping[str, target_list.Replacement]
    ) -> None:
        """Records targets that are replaced now, or no longer.

        What is known of such a target may have been found at the other one,
        and connections to their address may lead to the one that ended.
        """
        replaced = self.targets.replaced
        for name in replaced.keys() ^ before.keys():
            entry = self.targets.entries.get(name)
            if entry is None:
                continue  # it was withdrawn
            address = entry.target.address
            self._forget(name, address)
            is_replaced = name in replaced
            if not is_replaced:
                self._apply_listed_weights(entry)
            event = "target_replaced" if is_replaced else "target_live_again"
            _logger.info(
                event.replace("_", " "),
                extra={
                    "event": event,
                    "target": name,
                    "by": replaced[name].by if is_replaced else None,
                    "address": address,
                },
            )

    def _forget_incarnation(self, name: str, address: str) -> None:
        """Discards the state of a target's earlier start."""
        self.backoffs.forget(name)
        self._forget(name, address)
        self.on_target_terminated(name, "it started again")

    def _forget(self, name: str, address: str) -> None:
        self.states.pop(name, None)
        self.brittle.forget(name)
        self.weights.forget(name)
        self.on_target_forgotten(name)
        self.on_target_withdrawn(address)

    def ejected_targets(self, now: float) -> list[str]:
        """Returns the targets that get no requests because they failed."""
        return [
            name
            for name, state in self.states.items()
            if state.breaker.state(now) is health.BreakerState.OPEN
        ]


def _service_of(entry: target_list.ListedTarget) -> str:
    """Returns the service that an entry names."""
    return entry.target.labels.get(configuration_lib.SERVICE_LABEL, "")


def _is_same_service(
    before: target_list.ListedTarget | None, entry: target_list.ListedTarget
) -> bool:
    """Returns whether a target was accepted with the service of its entry."""
    return before is not None and _service_of(before) == _service_of(entry)


def _ignore_target(target: str) -> None:
    """Default of the callbacks that take the name or address of a target."""
    del target


def _ignore_termination(target: str, evidence: str) -> None:
    """Default of `on_target_terminated`."""
    del target, evidence
