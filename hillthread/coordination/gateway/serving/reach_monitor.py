"""Probes targets, and gives up attempts on those that cannot be reached.

Attempts on a target that lost power, or lies behind a cut link, would hang
until the kernel gives up. After some silence a new connection to the target is
opened. If it fails, the target gets no new requests until one succeeds,
attempts that can be retried are given up, and other targets are probed too,
because a cut link often affects several targets.

Connections also fail when this host's own link is full or its links to targets
are cut. Attempts are given up, and targets that refuse connections count as
crashed, only if another target can be reached, which rules that out.

An established connection may fall silent for good. Its requests then stay
unacknowledged although a new connection to the target succeeds; with a target
that is only slow, they are acknowledged.
"""

from __future__ import annotations

from collections.abc import Awaitable
from collections.abc import Callable
import logging
import random
from typing import Protocol

import anyio
import anyio.abc

from hillthread import clock
from hillthread.coordination.gateway import site as site_lib
from hillthread.coordination.gateway.serving import answer_probes
from hillthread.coordination.gateway.serving import link_watch
from hillthread.state.config import objects
from hillthread.transport import connection_pool
from hillthread.transport import http1_client

__all__ = ["OpenAttempt", "ReachabilityMonitor"]

_TICK_S = 0.1
# Interval while nothing waits and all targets can be reached.
_IDLE_TICK_S = 0.3
# Silence after which a target is probed.
_PROBE_AFTER_S = 0.4
# Time without an acknowledgement after which a target is probed. A working path
# acknowledges within its round trip, and a lost packet after its
# retransmission.
_UNACKNOWLEDGED_S = 0.25
# A connection younger than this shows that the target can be reached.
_FRESH_CONNECTION_S = 1.0
# Interval of probes for the same attempts.
_PROBE_INTERVAL_S = 1.5
# Intervals of probes of an unreachable target: the first, and the longest.
_FIRST_RETRY_S = 0.4
_MAX_RETRY_S = 1.6
# The same while no target can be reached.
_LOST_RETRY_S = 0.2
# Open connections break this long before the first new one fails, at most.
_BREAK_BEFORE_LOSS_S = 0.5
# Probes of unreachable targets that begin at the same time.
_MAX_PROBES_AT_ONCE = 32
# Other targets probed after one could not be reached, and the minimum interval.
_SWEEP_PROBES = 10
_SWEEP_INTERVAL_S = 2.0
# A refusal is the fault of its target if another target was reached no longer
# than this before. Both probes may belong to the same turn of the event loop.
_REFUSAL_MARGIN_S = 0.05
# Other targets probed between two sweeps, to find one that can be reached.
_EXTRA_PROBES = 3

_logger = logging.getLogger("hillthread.reach")


class OpenAttempt(Protocol):
    """An attempt that waits for its target."""

    target: objects.Target
    last_received_at: float
    connected_at: float
    found_silent: bool

    def is_unacknowledged(self) -> bool:
        """Returns whether nothing shows that the request has arrived."""

    def give_up(self, reason: str) -> bool:
        """Ends the attempt as lost if it can be retried.

        Returns whether it was ended.
        """


class ReachabilityMonitor:
    """Watches open attempts and targets that cannot be reached.

    Attributes:
        site: The host's view of the targets.
        pool: Connections to targets; it keeps those that probes open.
        tasks: Runs the probes.
        attempts: Attempts that wait for their targets.
        links: Whether this host reaches any target.
        answers: Probes whether targets that accept connections answer.
        reaches_other_host: Returns whether a connection to some other host can
            be opened.
        on_reached: Called with the name of a target that a probe reached.
        on_refused: Called with the name of a target that refused a connection.
    """

    def __init__(
        self,
        site: site_lib.Site,
        pool: connection_pool.ConnectionPool,
        tasks: anyio.abc.TaskGroup,
    ):
        self.site = site
        self.pool = pool
        self.tasks = tasks
        self.attempts: set[OpenAttempt] = set()
        self.reaches_other_host: Callable[[], Awaitable[bool]] = _never
        self.on_reached: Callable[[str], None] = _ignore
        self.on_refused: Callable[[str], None] = _ignore
        self.links = link_watch.LinkWatch(site)
        self.links.on_lost = self._check_own_link
        self.links.on_restored = self._resume_use
        self.answers = answer_probes.AnswerProbes(site, pool, tasks, self.links)
        self._probing: set[str] = set()
        self._probed_at: dict[str, float] = {}
        self._retry_at: dict[str, float] = {}
        self._retry_pause_s: dict[str, float] = {}
        self._swept_at = float("-inf")
        self._reached_at = float("-inf")
        self._restored_at = float("-inf")
        self._inconclusive_targets: dict[str, objects.Target] = {}

    async def run(self) -> None:
        """Watches until cancelled."""
        while True:
            is_busy = (
                self.attempts or self._retry_at or self.links.is_unanswered
            )
            await anyio.sleep(_TICK_S if is_busy else _IDLE_TICK_S)
            now = clock.now()
            self._check_attempts(now)
            self._probe_unreachable(now)
            self.answers.check(self.attempts, now)
            self.links.update(now)
            if self.site.are_links_lost and self.links.is_silent_loss:
                self._give_up_quiet(now)

    def mark_unreachable(self, target: objects.Target, reason: str) -> None:
        """Excludes a target to which no connection succeeds."""
        self.links.record_failure(target.name)
        state = self.site.state(target.name)
        if state.is_unreachable:
            return
        state.is_unreachable = True
        self._retry_pause_s[target.name] = _FIRST_RETRY_S
        # The first probe is due at once, since a packet may have been lost.
        self._retry_at[target.name] = 0.0
        _logger.warning(
            "target cannot be reached",
            extra={
                "event": "target_unreachable",
                "target": target.name,
                "data_centre": target.data_centre,
                "reason": reason,
            },
        )

    def note_connected(self) -> None:
        """Records that an attempt has opened a connection to its target."""
        self.links.record_success()

    def probe_now(self, target: objects.Target) -> None:
        """Probes a target now, because a connection to it was cut."""
        self.answers.note_closed(target.name)
        self._start_probe(target, clock.now())

    def _check_attempts(self, now: float) -> None:
        for attempt in self.attempts:
            quiet_s = now - attempt.last_received_at
            if quiet_s < _UNACKNOWLEDGED_S or attempt.found_silent:
                continue
            name = attempt.target.name
            probed_s = now - self._probed_at.get(name, float("-inf"))
            if attempt.is_unacknowledged():
                if probed_s >= _UNACKNOWLEDGED_S:
                    self._start_probe(attempt.target, now)
                continue
            if quiet_s < _PROBE_AFTER_S or probed_s < _PROBE_INTERVAL_S:
                continue
            if now - attempt.connected_at >= _FRESH_CONNECTION_S:
                self._start_probe(attempt.target, now)

    def _probe_unreachable(self, now: float) -> None:
        for name in list(self._retry_at):
            if len(self._probing) >= _MAX_PROBES_AT_ONCE:
                return
            entry = self.site.targets.entries.get(name)
            if entry is None or self.site.targets.is_replaced(name):
                self._forget_target(name)
            elif now >= self._retry_at[name]:
                self._start_probe(entry.target, now)

    def _start_probe(self, target: objects.Target, now: float) -> None:
        if target.name in self._probing:
            return
        self._probing.add(target.name)
        self._probed_at[target.name] = now
        self.tasks.start_soon(self._probe, target)

    async def _probe(self, target: objects.Target) -> None:
        began_at = clock.now()
        try:
            connection = await self.pool.open(target.address, "trial")
        except http1_client.CallError as error:
            self._handle_failure(target, error, began_at)
            return
        finally:
            self._probing.discard(target.name)
        self._note_reached(target)
        self.on_reached(target.name)
        self._give_up_silent(target)
        await self.pool.release(connection)
        if target.name in self._retry_at:
            self._forget_target(target.name)
            self.site.state(target.name).is_unreachable = False
            _logger.info(
                "target can be reached",
                extra={"event": "target_reachable", "target": target.name},
            )

    def _give_up_silent(self, target: objects.Target) -> None:
        """Gives up attempts on silent connections while a new one works."""
        now = clock.now()
        for attempt in list(self.attempts):
            if attempt.target.name != target.name or attempt.found_silent:
                continue
            if now - attempt.last_received_at < _UNACKNOWLEDGED_S:
                continue
            if not attempt.is_unacknowledged():
                continue
            attempt.found_silent = True
            self.pool.mark_suspect(attempt.last_received_at)
            given_up = attempt.give_up("its connection is silent")
            _logger.warning(
                "connection is silent",
                extra={
                    "event": "connection_silent",
                    "target": target.name,
                    "silent_s": round(now - attempt.last_received_at, 3),
                    "given_up": given_up,
                },
            )

    def _note_reached(self, target: objects.Target) -> None:
        """Records that a target was reached; repeats inconclusive probes."""
        now = clock.now()
        self._reached_at = now
        self.links.record_success()
        self._inconclusive_targets.pop(target.name, None)
        for inconclusive in self._inconclusive_targets.values():
            self._start_probe(inconclusive, now)

    def _handle_failure(
        self,
        target: objects.Target,
        error: http1_client.CallError,
        began_at: float,
    ) -> None:
        now = clock.now()
        self.links.note_reason(error.connect_timed_out)
        self.mark_unreachable(target, error.reason)
        pause_s = self._retry_pause_s.get(target.name, _FIRST_RETRY_S)
        if self.site.are_links_lost:
            pause_s = _LOST_RETRY_S  # any target shows that they are back
        elif began_at < self._restored_at:
            pause_s = 0.0  # the probe began while the links were lost
        self._retry_at[target.name] = now + pause_s * random.uniform(0.8, 1.2)
        self._retry_pause_s[target.name] = min(
            _MAX_RETRY_S, max(_FIRST_RETRY_S, pause_s * 1.5)
        )
        if not self._is_conclusive(error, began_at):
            self._inconclusive_targets[target.name] = target
            self._sweep(now, _EXTRA_PROBES)
            return
        self._inconclusive_targets.pop(target.name, None)
        if error.connection_refused:
            self.on_refused(target.name)
        for attempt in list(self.attempts):
            if attempt.target.name == target.name:
                attempt.give_up("target cannot be reached")
        self._sweep(now)

    def _is_conclusive(
        self, error: http1_client.CallError, began_at: float
    ) -> bool:
        """Returns whether a failed probe is the fault of its target.

        If no target can be reached, the fault may be this host's own.

        Args:
            error: The failure.
            began_at: Seconds, when the probe began.
        """
        if error.connection_refused:
            if len(self.site.targets.entries) < 2:
                return True  # there is no other target to compare with
            return self._reached_at >= began_at - _REFUSAL_MARGIN_S
        if error.connect_timed_out:
            return self._reached_at >= began_at - self.pool.connect_timeout_s
        return True

    def _sweep(self, now: float, at_least: int = 0) -> None:
        """Probes other targets, since a link or a data centre may be cut.

        Args:
            now: Seconds.
            at_least: Number of targets to probe if no sweep is due.
        """
        count = at_least
        if now - self._swept_at >= _SWEEP_INTERVAL_S:
            self._swept_at = now
            count = _SWEEP_PROBES
        others = [
            entry.target
            for name, entry in self.site.targets.entries.items()
            if name not in self._retry_at
            and not self.site.targets.is_replaced(name)
        ]
        for target in random.sample(others, min(count, len(others))):
            self._start_probe(target, now)

    def _check_own_link(self) -> None:
        self.tasks.start_soon(self._find_own_link_state)

    async def _find_own_link_state(self) -> None:
        """Finds out whether the host's own link works apart from targets."""
        self.links.is_own_link_working = await self.reaches_other_host()

    def _give_up_quiet(self, now: float) -> None:
        """Gives up attempts on connections that fell silent with the links."""
        for attempt in list(self.attempts):
            if now - attempt.last_received_at >= _PROBE_AFTER_S:
                attempt.give_up("links to targets lost")

    def _resume_use(self, lost_since: float) -> None:
        """Probes all unreachable targets now that the links are back.

        Failures from when the links were lost are not the targets' own.

        Args:
            lost_since: Seconds, when the links were lost.
        """
        for state in self.site.states.values():
            state.forgive_failures(lost_since - _BREAK_BEFORE_LOSS_S)
        now = self._restored_at = clock.now()
        for name in self._retry_at:
            self._retry_at[name] = now
            self._retry_pause_s[name] = _FIRST_RETRY_S

    def _forget_target(self, name: str) -> None:
        self._retry_at.pop(name, None)
        self._retry_pause_s.pop(name, None)
        self._probed_at.pop(name, None)
        self._inconclusive_targets.pop(name, None)


def _ignore(target: str) -> None:
    """Does nothing; the default of `on_reached` and `on_refused`."""
    del target


async def _never() -> bool:
    """Default of `reaches_other_host`."""
    return False
