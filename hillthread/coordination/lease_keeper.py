"""Keeps one lease on the platform's log for this host, or waits for it."""

from __future__ import annotations

import logging

import anyio

from hillthread import clock
from hillthread import errors
from hillthread.state.cluster import lease
from hillthread.transport import log_client

__all__ = ["LeaseKeeper"]

# How often this host looks whether it is to renew or to contend.
_CHECK_S = 0.1
# The log holds a read for so long when there is nothing new.
_LONG_POLL_S = 5.0
# Pause after a read that failed.
_RETRY_S = 1.0

_logger = logging.getLogger(__name__)


class LeaseKeeper:
    """Follows a lease's stream, renews it and contends for it.

    Attributes:
        contender: This host's part.
        acquired_at: Monotonic seconds of when this host last came to hold
            it, or None.
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
        self._first_kept = 0
        self._read_since_gap = False

    @property
    def fencing_token(self) -> int:
        """The fencing number of the lease now held."""
        return self.contender.state.fencing

    def may_act(self) -> bool:
        """Returns whether this host holds the lease at this moment."""
        return self.contender.may_act(clock.now())

    async def run(self) -> None:
        """Follows and contends until cancelled."""
        async with anyio.create_task_group() as group:
            group.start_soon(self._follow)
            group.start_soon(self._contend)

    async def _follow(self) -> None:
        wait_s = 0.0
        while True:
            position = self.contender.state.position
            start = max(self._first_kept, position + 1)
            try:
                page = await self.client.read(self.stream, start, wait_s=wait_s)
            except log_client.TruncatedError as error:
                self._start_anew(error.first_offset)
                continue
            except errors.LogError:
                self.failures += 1
                await anyio.sleep(_RETRY_S)
                continue
            wait_s = _LONG_POLL_S
            held = self.contender.state.holder == self.contender.name
            now = clock.now()
            for record in page.records:
                self.contender.read(record.offset, record.payload, now)
            self.contender.note_caught_up(now)
            self._read_since_gap = True
            if not held and self.contender.state.holder == self.contender.name:
                self.acquired_at = now

    def _start_anew(self, first_offset: int) -> None:
        """Forgets the lease as read so far, for records after it are gone.

        The first one kept tells who holds it. On what was known before the gap,
        an acquisition of this host would count for this host alone.
        """
        _logger.warning(
            "lease records before %d are gone; %d was read last",
            first_offset,
            self.contender.state.position,
            extra={"code": "lease_gap"},
        )
        self.contender.restart_at(first_offset)
        self._first_kept = first_offset
        self._read_since_gap = False

    async def _contend(self) -> None:
        while True:
            await anyio.sleep(_CHECK_S)
            if not self._read_since_gap:
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
