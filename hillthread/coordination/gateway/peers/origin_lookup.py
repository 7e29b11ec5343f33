"""Looks up which software began a stream: at other hosts and in the journal."""

from __future__ import annotations

from typing import NamedTuple

import anyio

from hillthread import clock
from hillthread import errors
from hillthread.coordination.gateway.peers import journal_lookup
from hillthread.coordination.gateway.peers import stream_lookup
from hillthread.state.cluster import stream_records
from hillthread.state.routing import stream_origin

__all__ = ["OriginLookup", "OriginResult"]

# Hosts that work answer within this time. After it the journal is read as well,
# so that silent hosts do not delay a refusal.
_JOURNAL_AFTER_S = 0.03


class OriginResult(NamedTuple):
    """The result of a lookup.

    Attributes:
        origin: The software; None if there is no record.
        asked: Number of hosts that were asked.
        unanswered: Those of them that did not answer, and those not asked.
        is_journal_read: Whether the journal was read; None if it was not asked.
        seconds: Duration.
    """

    origin: stream_origin.StreamOrigin | None
    asked: int
    unanswered: int
    is_journal_read: bool | None
    seconds: float

    @property
    def is_final(self) -> bool:
        """Whether another lookup would have the same result."""
        return self.origin is not None or (
            self.unanswered == 0 and self.is_journal_read is True
        )


class OriginLookup:
    """Asks hosts first, and then the journal too.

    Attributes:
        hosts: Asks other hosts.
        journal: Looks up in the journal.
    """

    def __init__(
        self,
        hosts: stream_lookup.StreamLookup,
        journal: journal_lookup.JournalLookup,
    ):
        self.hosts = hosts
        self.journal = journal

    async def find(self, key: stream_records.StreamKey) -> OriginResult:
        """Returns the software that began a stream, if there is a record."""
        return await _Search(self, key).run()


class _Search:
    """One lookup; the first record found ends it."""

    def __init__(self, lookup: OriginLookup, key: stream_records.StreamKey):
        self.lookup = lookup
        self.key = key
        self.origin: stream_origin.StreamOrigin | None = None
        self.asked = 0
        self.unanswered = 0
        self.is_journal_read: bool | None = None
        self.hosts_done = anyio.Event()
        self.scope = anyio.CancelScope()

    async def run(self) -> OriginResult:
        began_at = clock.now()
        with self.scope:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._ask_hosts)
                with anyio.move_on_after(_JOURNAL_AFTER_S):
                    await self.hosts_done.wait()
                await self._read_journal()
        return OriginResult(
            self.origin,
            self.asked,
            self.unanswered,
            self.is_journal_read,
            clock.now() - began_at,
        )

    async def _ask_hosts(self) -> None:
        result = await self.lookup.hosts.find(self.key)
        self.asked = result.asked
        self.unanswered = result.unanswered
        notice = result.notice
        if notice is not None:
            self._end(stream_origin.StreamOrigin(notice.pool, notice.release))
        self.hosts_done.set()

    async def _read_journal(self) -> None:
        try:
            record = await self.lookup.journal.find(self.key)
        except errors.LogError:
            self.is_journal_read = False
            return
        self.is_journal_read = True
        if record is not None:
            self._end(record.origin)

    def _end(self, origin: stream_origin.StreamOrigin) -> None:
        self.origin = origin
        self.scope.cancel()
