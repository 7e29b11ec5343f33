"""Follows the configuration stream of the platform's log.

The log may be down, slow or truncated, or come back with an older or different
content. The configuration in force stays. A log whose history differs from the
records applied is refused and reported until it matches again.
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

# Interval at which the log is compared with the record applied last.
_VERIFY_INTERVAL_S = 5.0
# Limit of the pause, which doubles after each failure.
_MAX_PAUSE_S = 5.0
# Before it appends a snapshot, a host waits its rank times this.
_SNAPSHOT_STAGGER_S = 2.0
# The log holds a read open for this time while there is no new record.
_LONG_POLL_S = 5.0

_logger = logging.getLogger(__name__)


class LogState(enum.StrEnum):
    """State of the log when it was last read."""

    STARTING = "starting"
    FOLLOWING = "following"
    DOWN = "down"
    OLDER = "older"
    DIFFERENT = "different"
    GAP = "gap"


class LogFollower:
    """Applies the log's records to the keeper.

    Attributes:
        state: State of the log when it was last read.
        snapshot_rank: Returns this host's rank among the hosts that may write a
            snapshot, 0 for the first.
        failures: Number of failed reads and snapshot appends.
        snapshots: Number of snapshots appended by this host.
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
                await self._read_next()
                self._pause_s = self.poll_s
            except log_client.TruncatedError as error:
                await self._start_from_snapshot(error.first_offset)
            except errors.LogError:
                self.failures += 1
                self._set_state(LogState.DOWN)
                await self._pause()

    async def run_snapshots(self) -> None:
        """Appends snapshots before the log drops records, until cancelled.

        There is no leader. Hosts wait in an order that all of them compute
        alike, and a host that reads another's snapshot appends none. Two
        snapshots are harmless.
        """
        while True:
            await anyio.sleep(self.poll_s)
            if not self._is_snapshot_due():
                continue
            await anyio.sleep(self.snapshot_rank() * _SNAPSHOT_STAGGER_S)
            if not self._is_snapshot_due():
                continue
            try:
                await self._append_snapshot()
            except errors.HillthreadError:
                self.failures += 1
            await anyio.sleep(_SNAPSHOT_STAGGER_S)

    async def _append_snapshot(self) -> None:
        """Appends a snapshot, unless the log came back older or different."""
        if not await self._verify_log():
            return
        payload = self.keeper.snapshot_payload()
        await self.client.append(self.stream, [payload])
        self.snapshots += 1

    async def _read_next(self) -> None:
        if clock.now() - self._verified_at > _VERIFY_INTERVAL_S:
            if not await self._verify_log():
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
            self._set_state(LogState.OLDER)
            self._verified_at = float("-inf")
            await self._pause()
            return
        self.keeper.apply_records(
            start, [each.payload for each in page.records]
        )
        self._set_state(LogState.FOLLOWING)
        if self.keeper.position + 1 >= page.next_offset:
            self.keeper.has_read_log = True

    async def _verify_log(self) -> bool:
        """Returns whether the log still holds the record last applied."""
        position = self.keeper.position
        last = self.keeper.last_payload()
        if position == configuration.START_POSITION:
            return True
        page = await self.client.read(self.stream, position, limit=1)
        if page.next_offset <= position:
            self._set_state(LogState.OLDER)
            return False
        if last is not None and page.records[0].payload != last:
            self._set_state(LogState.DIFFERENT)
            return False
        return True

    async def _start_from_snapshot(self, first_offset: int) -> None:
        """Skips a gap by applying the newest snapshot on the log."""
        try:
            records = await self._read_all(first_offset)
        except errors.LogError:
            self.failures += 1
            self._set_state(LogState.DOWN)
            await self._pause()
            return
        for record in reversed(records):
            if self._restore_snapshot(record, first_offset):
                newer = [
                    each.payload
                    for each in records
                    if each.offset > self.keeper.position
                ]
                self.keeper.apply_records(self.keeper.position + 1, newer)
                return
        self._set_state(LogState.GAP)
        await self._pause()

    async def _read_all(self, start: int) -> list[log_client.LogRecord]:
        records: list[log_client.LogRecord] = []
        while True:
            page = await self.client.read(self.stream, start + len(records))
            records += page.records
            if start + len(records) >= page.next_offset:
                return records

    def _restore_snapshot(
        self, record: log_client.LogRecord, first_offset: int
    ) -> bool:
        try:
            change = configuration.decode_change(record.payload)
        except errors.ConfigurationError:
            return False
        if not isinstance(change, configuration.Snapshot):
            return False
        if change.position < first_offset - 1:
            return False
        return self.keeper.apply_snapshot(record.payload)

    def _is_snapshot_due(self) -> bool:
        state = self.keeper.configuration
        records_since = state.position - state.snapshot_position
        return (
            self.state is LogState.FOLLOWING
            and records_since >= self.snapshot_every
        )

    async def _pause(self) -> None:
        await anyio.sleep(self.random.uniform(0.5, 1.0) * self._pause_s)
        self._pause_s = min(_MAX_PAUSE_S, self._pause_s * 2)

    def _set_state(self, state: LogState) -> None:
        if state is self.state:
            return
        _logger.info(
            "state of the log: %s", state.value, extra={"code": "log_state"}
        )
        if state is not LogState.FOLLOWING:
            self._verified_at = float("-inf")
        self.state = state
