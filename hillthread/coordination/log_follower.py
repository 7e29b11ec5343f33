"""Follows the configuration stream of the platform's log.

The log may be down, slow, truncated, or come back older or different. What is
in force stays; a log whose history is another than the one applied is refused
and reported until it agrees again.
"""

from __future__ import annotations

from collections.abc import Callable
import enum
import logging
import random

import anyio

from hillthread import clock
from hillthread import errors
from hillthread import settings as settings_lib
from hillthread.coordination import configuration_keeper
from hillthread.state.config import configuration
from hillthread.transport import log_client

__all__ = ["LogFollower", "LogState"]

# How often the log is compared with what was applied.
_VERIFY_EVERY_S = 5.0
# The pause after failures doubles up to this.
_MAX_PAUSE_S = 5.0
# Each host waits this time for each rank before it appends a snapshot.
_SNAPSHOT_STAGGER_S = 2.0
# The log holds a read for so long when there is nothing new.
_LONG_POLL_S = 5.0

_logger = logging.getLogger(__name__)


class LogState(enum.StrEnum):
    """What the follower last saw of the log."""

    STARTING = "starting"
    FOLLOWING = "following"
    DOWN = "down"
    OLDER = "older"
    DIFFERENT = "different"
    GAP = "gap"


class LogFollower:
    """Applies the log's records to the keeper.

    Attributes:
        state: What was last seen.
        rank: Returns this host's turn to write a snapshot, 0 for the first.
        failures: Reads that failed.
        snapshots: Snapshots appended by this host.
    """

    def __init__(
        self,
        client: log_client.LogClient,
        keeper: configuration_keeper.ConfigurationKeeper,
        settings: settings_lib.ControlSettings,
        snapshot_rank: Callable[[], int],
    ):
        self.client = client
        self.stream = settings.stream
        self.keeper = keeper
        self.poll_s = settings.poll_s
        self.snapshot_every = settings.snapshot_every
        self.snapshot_rank = snapshot_rank
        self.state = LogState.STARTING
        self.failures = 0
        self.snapshots = 0
        self.random = random.Random()
        self._verified_at = float("-inf")
        self._pause_s = settings.poll_s

    async def run(self) -> None:
        """Follows the log until cancelled."""
        while True:
            try:
                await self._step()
                self._pause_s = self.poll_s
            except log_client.TruncatedError as error:
                await self._start_from_snapshot(error.first_offset)
            except errors.LogError:
                self.failures += 1
                self._enter(LogState.DOWN)
                await self._pause()

    async def run_snapshots(self) -> None:
        """Appends snapshots before retention ends, until cancelled.

        There is no leader: hosts wait in an order all compute alike, and one
        that sees another's snapshot has nothing to do. Two are harmless.
        """
        while True:
            await anyio.sleep(self.poll_s)
            if not self._snapshot_due():
                continue
            await anyio.sleep(self.snapshot_rank() * _SNAPSHOT_STAGGER_S)
            if not self._snapshot_due():
                continue
            try:
                await self._append_snapshot()
            except errors.HillthreadError:
                self.failures += 1
            await anyio.sleep(_SNAPSHOT_STAGGER_S)

    async def _append_snapshot(self) -> None:
        """Appends one, unless the log has come back older or different."""
        if not await self._verify():
            return
        payload = self.keeper.snapshot_payload()
        await self.client.append(self.stream, [payload])
        self.snapshots += 1

    async def _step(self) -> None:
        if clock.now() - self._verified_at > _VERIFY_EVERY_S:
            if not await self._verify():
                await self._pause()
                return
            self._verified_at = clock.now()
        start = self.keeper.position + 1
        page = await self.client.read(
            self.stream,
            start,
            wait_s=_LONG_POLL_S if self.keeper.has_read_log else 0.0,
        )
        if page.next_offset < start:
            self._enter(LogState.OLDER)
            self._verified_at = float("-inf")
            await self._pause()
            return
        self.keeper.apply_records(
            start, [each.payload for each in page.records]
        )
        self._enter(LogState.FOLLOWING)
        if self.keeper.position + 1 >= page.next_offset:
            self.keeper.has_read_log = True

    async def _verify(self) -> bool:
        """Returns whether the log still holds the record last applied."""
        position = self.keeper.position
        last = self.keeper.last_payload()
        if position == configuration.START_POSITION:
            return True
        page = await self.client.read(self.stream, position, limit=1)
        if page.next_offset <= position:
            self._enter(LogState.OLDER)
            return False
        if last is not None and page.records[0].payload != last:
            self._enter(LogState.DIFFERENT)
            return False
        return True

    async def _start_from_snapshot(self, first_offset: int) -> None:
        """Catches up over a gap with the newest snapshot on the log."""
        try:
            records = await self._read_all(first_offset)
        except errors.LogError:
            self.failures += 1
            self._enter(LogState.DOWN)
            await self._pause()
            return
        for record in reversed(records):
            if self._restore(record, first_offset):
                rest = [
                    each.payload
                    for each in records
                    if each.offset > self.keeper.position
                ]
                self.keeper.apply_records(self.keeper.position + 1, rest)
                return
        self._enter(LogState.GAP)
        await self._pause()

    async def _read_all(self, start: int) -> list[log_client.LogRecord]:
        records: list[log_client.LogRecord] = []
        while True:
            page = await self.client.read(self.stream, start + len(records))
            records += page.records
            if start + len(records) >= page.next_offset:
                return records

    def _restore(self, record: log_client.LogRecord, first_offset: int) -> bool:
        try:
            change = configuration.decode_change(record.payload)
        except errors.ConfigurationError:
            return False
        if not isinstance(change, configuration.Snapshot):
            return False
        if change.position < first_offset - 1:
            return False
        return self.keeper.apply_snapshot(record.payload)

    def _snapshot_due(self) -> bool:
        state = self.keeper.configuration
        since = state.position - state.snapshot_position
        return self.state is LogState.FOLLOWING and since >= self.snapshot_every

    async def _pause(self) -> None:
        await anyio.sleep(self.random.uniform(0.5, 1.0) * self._pause_s)
        self._pause_s = min(_MAX_PAUSE_S, self._pause_s * 2)

    def _enter(self, state: LogState) -> None:
        if state is self.state:
            return
        _logger.info("log is %s", state.value, extra={"code": "log_state"})
        if state is not LogState.FOLLOWING:
            self._verified_at = float("-inf")
        self.state = state
