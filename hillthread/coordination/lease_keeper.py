"""Acquires and renews one lease on the platform's log."""

from __future__ import annotations

import logging

import anyio

from hillthread import clock
from hillthread import errors
from hillthread.state.cluster import lease
from hillthread.transport import log_client

__all__ = ["LeaseKeeper"]

# Interval of checks whether to renew the lease or to contend for it.
_CHECK_INTERVAL_S = 0.1
# The log holds a read open for this time while there is no new record.
_LONG_POLL_S = 5.0
# Pause after a failed read.
_RETRY_PAUSE_S = 1.0

_logger = logging.getLogger(__name__)


class LeaseKeeper:
    """Follows the stream of a lease, renews the lease and contends for it.

    Attributes:
        contender: This host's state as a contender for the lease.
        acquired_at: Monotonic seconds, when this host last acquired the lease;
            None before the first time.
        appends: Number of records sent to the log.
        failures: Number of failed reads and appends.
    """

    def __init__(
        self,
        client: log_client.LogClient,
        stream: str,
        name: str,
        ttl_s: float,
    ):
        self.client = client
        self.stream = stream
        self.contender = lease.Contender(name, ttl_s)
        self.acquired_at: float | None = None
        self.appends = 0
        self.failures = 0
        self._first_offset = 0
        self._has_read_since_gap = False

    @property
    def fencing_token(self) -> int:
        """The fencing token of the current lease."""
        return self.contender.state.fencing

    def may_act(self) -> bool:
        """Returns whether this host holds the lease now and may act on it."""
        return self.contender.may_act(clock.now())

    async def run(self) -> None:
        """Follows the stream and contends for the lease until cancelled."""
        async with anyio.create_task_group() as group:
            group.start_soon(self._follow_stream)
            group.start_soon(self._renew_or_contend)

    async def _follow_stream(self) -> None:
        wait_s = 0.0
        while True:
            position = self.contender.state.position
            start = max(self._first_offset, position + 1)
            try:
                page = await self.client.read(self.stream, start, wait_s=wait_s)
            except log_client.TruncatedError as error:
                self._restart_after_gap(error.first_offset)
                continue
            except errors.LogError:
                self.failures += 1
                await anyio.sleep(_RETRY_PAUSE_S)
                continue
            wait_s = _LONG_POLL_S
            was_holder = self.contender.state.holder == self.contender.name
            now = clock.now()
            for record in page.records:
                self.contender.read(record.offset, record.payload, now)
            self.contender.note_caught_up(now)
            self._has_read_since_gap = True
            if (
                not was_holder
                and self.contender.state.holder == self.contender.name
            ):
                self.acquired_at = now

    def _restart_after_gap(self, first_offset: int) -> None:
        """Discards the lease state, since the records after it are deleted.

        The first record still kept names the holder. An acquisition based on
        the state before the gap would count for this host alone, so that two
        hosts could act on the lease.
        """
        _logger.warning(
            "lease records before offset %d are deleted; last one read: %d",
            first_offset,
            self.contender.state.position,
            extra={"code": "lease_gap"},
        )
        self.contender.restart_at(first_offset)
        self._first_offset = first_offset
        self._has_read_since_gap = False

    async def _renew_or_contend(self) -> None:
        while True:
            await anyio.sleep(_CHECK_INTERVAL_S)
            if not self._has_read_since_gap:
                continue
            now = clock.now()
            contender = self.contender
            if not (contender.should_renew(now) or contender.may_contend(now)):
                continue
            record = contender.begin_append(now)
            self.appends += 1
            try:
                await self.client.append(
                    self.stream, [lease.encode_lease(record)]
                )
            except errors.HillthreadError:
                self.failures += 1
            await anyio.sleep(contender.ttl_s / 8)
