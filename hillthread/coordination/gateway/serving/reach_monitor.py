"""Probes targets, and gives up attempts on those that cannot be reached.

Attempts on a target that lost power, or lies behind a cut link, would hang
until the kernel gives up. After some silence a new connection to the target is
opened. If it fails, the target gets no new requests until one succeeds,
attempts that can be retried are given up, and other targets are probed too,
because cuts seldom come alone.

Connections also fail when this host's own link is full. Attempts are given up
only while another target can be reached, which shows that the link is not.

An established connection may fall silent for good. Unlike with a slow target,
the request then stays unacknowledged although a new connection succeeds.
"""

from __future__ import annotations

from collections.abc import Callable
import logging
import random
from typing import Protocol

import anyio
import anyio.abc

from hillthread import clock
from hillthread.coordination.gateway import site as site_lib
from hillthread.state.config import objects
from hillthread.transport import http1_client

__all__ = ["OpenAttempt", "ReachabilityMonitor"]

_TICK_S = 0.1
# Interval while nothing waits and all targets can be reached.
_IDLE_TICK_S = 0.3
# Silence after which a target is probed.
_PROBE_AFTER_S = 0.4
# A working path acknowledges within its round trip, and a lost packet after its
# retransmission.
_UNACKNOWLEDGED_S = 0.25
# A connection that is younger counts as a probe.
_FRESH_S = 1.0
# Interval of probes for the same attempts.
_PROBE_INTERVAL_S = 1.5
# Intervals of probes of an unreachable target: the first, and the longest.
_RETRY_S = 0.4
_MAX_RETRY_S = 1.6
# Other targets probed after one could not be reached, and the least interval.
_SWEEP_TARGETS = 10
_SWEEP_INTERVAL_S = 2.0
# Others probed between two sweeps, to find one that can be reached.
_PROOF_TARGETS = 3

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
        """Ends the attempt as lost if another can follow; returns whether."""


class ReachabilityMonitor:
    """Watches open attempts and targets that cannot be reached.

    Attributes:
        site: The host's beliefs.
        pool: Connections to targets; those of probes are kept there.
        attempts: All that wait.
        reached: Called with the name of a target that a probe reached.
        refused: Called with the name of one where nobody listens any more.
    """

    def __init__(
        self,
        site: site_lib.Site,
        pool: http1_client.ConnectionPool,
        tasks: anyio.abc.TaskGroup,
    ):
        self.site = site
        self.pool = pool
        self.tasks = tasks
        self.attempts: set[OpenAttempt] = set()
        self.on_reached: Callable[[str], None] = _ignore
        self.on_refused: Callable[[str], None] = _ignore
        self._probing: set[str] = set()
        self._probed_at: dict[str, float] = {}
        self._retry_at: dict[str, float] = {}
        self._pause_s: dict[str, float] = {}
        self._swept_at = float("-inf")
        self._reached_at = float("-inf")
        self._suspects: dict[str, objects.Target] = {}

    async def run(self) -> None:
        """Watches until cancelled."""
        while True:
            busy = self.attempts or self._retry_at
            await anyio.sleep(_TICK_S if busy else _IDLE_TICK_S)
            now = clock.now()
            self._check_attempts(now)
            self._probe_unreachable(now)

    def mark_unreachable(self, target: objects.Target, reason: str) -> None:
        """Excludes a target to which no connection succeeds."""
        state = self.site.state(target.name)
        if state.is_unreachable:
            return
        state.is_unreachable = True
        self._pause_s[target.name] = _RETRY_S
        self._retry_at[target.name] = 0.0  # at once: a packet may be lost
        _logger.warning(
            "target cannot be reached",
            extra={
                "event": "target_unreachable",
                "target": target.name,
                "data_centre": target.data_centre,
                "reason": reason,
            },
        )

    def probe_now(self, target: objects.Target) -> None:
        """Probes a target now: a connection to it was cut."""
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
            if now - attempt.connected_at >= _FRESH_S:
                self._start_probe(attempt.target, now)

    def _probe_unreachable(self, now: float) -> None:
        for name in list(self._retry_at):
            entry = self.site.targets.entries.get(name)
            if entry is None:
                self._forget(name)
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
            self._failed(target, error, began_at)
            return
        finally:
            self._probing.discard(target.name)
        self._note_reached(target)
        self.on_reached(target.name)
        self._find_silent(target)
        await self.pool.give_back(connection)
        if target.name in self._retry_at:
            self._forget(target.name)
            self.site.state(target.name).is_unreachable = False
            _logger.info(
                "target can be reached",
                extra={"event": "target_reachable", "target": target.name},
            )

    def _find_silent(self, target: objects.Target) -> None:
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
            self.pool.suspect(attempt.last_received_at)
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
        """Notes that this host reaches a target; probes the suspects again."""
        now = clock.now()
        self._reached_at = now
        self._suspects.pop(target.name, None)
        for suspect in self._suspects.values():
            self._start_probe(suspect, now)

    def _failed(
        self,
        target: objects.Target,
        error: http1_client.CallError,
        began_at: float,
    ) -> None:
        now = clock.now()
        if error.refused:
            self.on_refused(target.name)
        self.mark_unreachable(target, error.reason)
        pause_s = self._pause_s.get(target.name, _RETRY_S)
        self._retry_at[target.name] = now + pause_s * random.uniform(0.8, 1.2)
        self._pause_s[target.name] = min(_MAX_RETRY_S, pause_s * 1.5)
        if error.unheard and not self._reached_another(began_at):
            self._suspects[target.name] = target
            self._sweep(now, _PROOF_TARGETS)
            return
        self._suspects.pop(target.name, None)
        for attempt in list(self.attempts):
            if attempt.target.name == target.name:
                attempt.give_up("target cannot be reached")
        self._sweep(now)

    def _reached_another(self, began_at: float) -> bool:
        """Returns whether a target was reached at about the time of a probe."""
        return self._reached_at >= began_at - self.pool.connect_timeout_s

    def _sweep(self, now: float, at_least: int = 0) -> None:
        """Probes other targets: a link or a data centre may be cut.

        Args:
            now: Seconds.
            at_least: How many are probed although a sweep is not due.
        """
        count = at_least
        if now - self._swept_at >= _SWEEP_INTERVAL_S:
            self._swept_at = now
            count = _SWEEP_TARGETS
        others = [
            entry.target
            for name, entry in self.site.targets.entries.items()
            if name not in self._retry_at
        ]
        for target in random.sample(others, min(count, len(others))):
            self._start_probe(target, now)

    def _forget(self, name: str) -> None:
        self._retry_at.pop(name, None)
        self._pause_s.pop(name, None)
        self._probed_at.pop(name, None)
        self._suspects.pop(name, None)


def _ignore(target: str) -> None:
    """Default of `reached` and `refused`."""
    del target
