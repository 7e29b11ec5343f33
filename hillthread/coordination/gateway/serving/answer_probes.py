"""Finds out whether targets that accept connections also answer.

A proxy in front of the targets may accept connections and then reset them or
fall silent. Only an answer shows that a target is reached. When several
attempts go unanswered and no target answers anything meanwhile, engines are
asked for their reports, which they send at once however busy they are.
"""

from __future__ import annotations

from collections.abc import Iterable
import random
from typing import Protocol

import anyio.abc

from hillthread import clock
from hillthread.coordination.gateway import site as site_lib
from hillthread.coordination.gateway.serving import link_watch
from hillthread.platform import orders
from hillthread.state.config import objects
from hillthread.transport import connection_pool

__all__ = ["AnswerProbes", "WaitingAttempt"]

# Silence of an attempt, and of all targets, after which engines are probed.
# Prompts that queue are silent for as long, but seldom all of a host's.
_PROBE_AFTER_S = 0.8
# Targets that closed connections without an answer, in a row, for the same.
_MIN_CLOSED = 2
_PROBES = 4
_SWEEP_INTERVAL_S = 2.0
# Interval of probes while no target answers.
_LOST_INTERVAL_S = 0.2


class WaitingAttempt(Protocol):
    """An attempt that waits for its target."""

    last_received_at: float


class AnswerProbes:
    """Probes engines with requests that take no slot.

    Attributes:
        site: The host's view of the targets.
        pool: Connections to targets.
        tasks: Runs the probes.
        links: Learns whether any target answers.
    """

    def __init__(
        self,
        site: site_lib.Site,
        pool: connection_pool.ConnectionPool,
        tasks: anyio.abc.TaskGroup,
        links: link_watch.LinkWatch,
    ):
        self.site = site
        self.pool = pool
        self.tasks = tasks
        self.links = links
        self._answered_at = float("-inf")
        self._swept_at = float("-inf")
        self._closed: set[str] = set()
        self._probing: set[str] = set()

    def note_answered(self, now: float) -> None:
        """Records that a target sent a part of an answer at time `now`."""
        self._answered_at = now
        self._closed.clear()
        self.links.record_answer(now)

    def note_closed(self, target: str) -> None:
        """Records that a target closed a connection instead of answering."""
        self._closed.add(target)

    def check(self, attempts: Iterable[WaitingAttempt], now: float) -> None:
        """Starts probes if no target seems to answer.

        Args:
            attempts: The open attempts.
            now: Clock time in seconds.
        """
        interval_s = _SWEEP_INTERVAL_S
        if self.links.is_unanswered:
            interval_s = _LOST_INTERVAL_S
        elif not self._is_suspicious(attempts, now):
            return
        if now - self._swept_at < interval_s:
            return
        self._swept_at = now
        engines = [
            entry.target
            for name, entry in self.site.targets.entries.items()
            if entry.weights
            and name not in self._probing
            and not self.site.targets.is_replaced(name)
        ]
        for engine in random.sample(engines, min(_PROBES, len(engines))):
            self._probing.add(engine.name)
            self.tasks.start_soon(self._probe, engine)

    def _is_suspicious(
        self, attempts: Iterable[WaitingAttempt], now: float
    ) -> bool:
        if len(self._closed) >= _MIN_CLOSED:
            return True
        return any(
            now - attempt.last_received_at >= _PROBE_AFTER_S
            and self._answered_at <= attempt.last_received_at
            for attempt in attempts
        )

    async def _probe(self, engine: objects.Target) -> None:
        try:
            result = await orders.probe_answer(self.pool, engine)
        finally:
            self._probing.discard(engine.name)
        match result:
            case orders.ProbeResult.ANSWERED:
                self.note_answered(clock.now())
            case orders.ProbeResult.CLOSED | orders.ProbeResult.SILENT:
                is_silent = result is orders.ProbeResult.SILENT
                self.links.record_unanswered(engine.name, is_silent)
