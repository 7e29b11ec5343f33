"""Finds out which targets can be reached, and gives up attempts that cannot.

A target that lost power, or lies behind a cut link, says nothing: attempts on
it would hang until the kernel gives up. When an attempt hears nothing for a
while, a connection to its target is tried; if none comes up, the target gets
no new requests until one does, attempts on it that another can follow are given
up, and the other targets are tried too, because cuts seldom come alone.

Connections also do not come up in time when this host's own link is full. So
attempts are given up only if another target can be reached meanwhile: until one
is, nothing tells whose fault it is.

A connection may also fall silent for good while new ones work. What a slow
target never does tells it: the request stays unacknowledged although a new
connection to the target comes up.
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

__all__ = ["OpenAttempt", "ReachMonitor"]

_TICK_S = 0.1
# When nothing waits and all can be reached.
_IDLE_TICK_S = 0.3
# Nine in ten first bytes come sooner; a trial costs one new connection.
_SILENCE_S = 0.4
# A path that works acknowledges within its round trip, a few ms, and a packet
# that was lost when it is sent again, after 0.2 s.
_UNACKNOWLEDGED_S = 0.25
# A connection that came up so lately is as good as a trial.
_FRESH_S = 1.0
# Between two trials for the same attempts.
_AGAIN_S = 1.5
# Between two trials of a target that could not be reached.
_RETRY_S = 0.4
_LONGEST_RETRY_S = 1.6
# Other targets tried after one could not be reached, and how often at most.
_SWEEP_TARGETS = 10
_SWEEP_EVERY_S = 2.0
# Others tried between two sweeps, to find out whether any can be reached.
_PROOF_TARGETS = 3

_logger = logging.getLogger("hillthread.reach")


class OpenAttempt(Protocol):
    """An attempt that waits for its target."""

    target: objects.Target
    heard_at: float
    connected_at: float
    found_silent: bool

    def is_unacknowledged(self) -> bool:
        """Returns whether nothing shows that the request has arrived."""

    def give_up(self, reason: str) -> bool:
        """Ends the attempt as lost if another can follow; returns whether."""


class ReachMonitor:
    """Watches open attempts and targets that cannot be reached.

    Attributes:
        site: The host's beliefs.
        pool: Connections to targets; a trial's is kept there.
        attempts: All that wait.
        reached: Called with the name of a target that a trial reached.
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
        self.reached: Callable[[str], None] = _ignore
        self.refused: Callable[[str], None] = _ignore
        self._trying: set[str] = set()
        self._tried_at: dict[str, float] = {}
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
            self._look_at_attempts(now)
            self._look_at_unreachable(now)

    def note_unreachable(self, target: objects.Target, reason: str) -> None:
        """Notes that no connection to a target came up."""
        state = self.site.state(target.name)
        if state.unreachable:
            return
        state.unreachable = True
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

    def find_out(self, target: objects.Target) -> None:
        """Tries a target now: a connection to it was cut."""
        self._start_trial(target, clock.now())

    def _look_at_attempts(self, now: float) -> None:
        for attempt in self.attempts:
            quiet_s = now - attempt.heard_at
            if quiet_s < _UNACKNOWLEDGED_S or attempt.found_silent:
                continue
            name = attempt.target.name
            tried_s = now - self._tried_at.get(name, float("-inf"))
            if attempt.is_unacknowledged():
                if tried_s >= _UNACKNOWLEDGED_S:
                    self._start_trial(attempt.target, now)
                continue
            if quiet_s < _SILENCE_S or tried_s < _AGAIN_S:
                continue
            if now - attempt.connected_at >= _FRESH_S:
                self._start_trial(attempt.target, now)

    def _look_at_unreachable(self, now: float) -> None:
        for name in list(self._retry_at):
            entry = self.site.targets.entries.get(name)
            if entry is None:
                self._forget(name)
            elif now >= self._retry_at[name]:
                self._start_trial(entry.target, now)

    def _start_trial(self, target: objects.Target, now: float) -> None:
        if target.name in self._trying:
            return
        self._trying.add(target.name)
        self._tried_at[target.name] = now
        self.tasks.start_soon(self._try, target)

    async def _try(self, target: objects.Target) -> None:
        began_at = clock.now()
        try:
            connection = await self.pool.open(target.address, "trial")
        except http1_client.CallError as error:
            self._failed(target, error, began_at)
            return
        finally:
            self._trying.discard(target.name)
        self._note_reached(target)
        self.reached(target.name)
        self._find_silent(target)
        await self.pool.give_back(connection)
        if target.name in self._retry_at:
            self._forget(target.name)
            self.site.state(target.name).unreachable = False
            _logger.info(
                "target can be reached",
                extra={"event": "target_reachable", "target": target.name},
            )

    def _find_silent(self, target: objects.Target) -> None:
        """Acts on attempts whose connection is silent while a new one works."""
        now = clock.now()
        for attempt in list(self.attempts):
            if attempt.target.name != target.name or attempt.found_silent:
                continue
            if now - attempt.heard_at < _UNACKNOWLEDGED_S:
                continue
            if not attempt.is_unacknowledged():
                continue
            attempt.found_silent = True
            self.pool.suspect(attempt.heard_at)
            given_up = attempt.give_up("its connection is silent")
            _logger.warning(
                "connection is silent",
                extra={
                    "event": "connection_silent",
                    "target": target.name,
                    "silent_s": round(now - attempt.heard_at, 3),
                    "given_up": given_up,
                },
            )

    def _note_reached(self, target: objects.Target) -> None:
        """Notes that this host reaches a target; tries the suspects again."""
        now = clock.now()
        self._reached_at = now
        self._suspects.pop(target.name, None)
        for suspect in self._suspects.values():
            self._start_trial(suspect, now)

    def _failed(
        self,
        target: objects.Target,
        error: http1_client.CallError,
        began_at: float,
    ) -> None:
        now = clock.now()
        if error.refused:
            self.refused(target.name)
        self.note_unreachable(target, error.reason)
        pause_s = self._pause_s.get(target.name, _RETRY_S)
        self._retry_at[target.name] = now + pause_s * random.uniform(0.8, 1.2)
        self._pause_s[target.name] = min(_LONGEST_RETRY_S, pause_s * 1.5)
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
        """Returns whether a target was reached at about the time of a trial."""
        return self._reached_at >= began_at - self.pool.connect_timeout_s

    def _sweep(self, now: float, at_least: int = 0) -> None:
        """Tries other targets: a link or a data centre may be cut.

        Args:
            now: Seconds.
            at_least: How many are tried though the last sweep was lately.
        """
        count = at_least
        if now - self._swept_at >= _SWEEP_EVERY_S:
            self._swept_at = now
            count = _SWEEP_TARGETS
        others = [
            entry.target
            for name, entry in self.site.targets.entries.items()
            if name not in self._retry_at
        ]
        for target in random.sample(others, min(count, len(others))):
            self._start_trial(target, now)

    def _forget(self, name: str) -> None:
        self._retry_at.pop(name, None)
        self._pause_s.pop(name, None)
        self._tried_at.pop(name, None)
        self._suspects.pop(name, None)


def _ignore(target: str) -> None:
    """Stands for nobody who wants to know which targets are there."""
    del target
