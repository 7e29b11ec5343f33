"""Writes the records of streams to the journal in the platform's store.

A host sends its records, batched, to the host that writes for its group, which
appends those of all its senders. Neither step delays an answer. Records that
are lost on the way cost refusals after a failure of all hosts, nothing else.
"""

from __future__ import annotations

import collections
import logging

import anyio

from hillthread import clock
from hillthread import errors
from hillthread.coordination.gateway import site as site_lib
from hillthread.coordination.gateway.store import stream_journal
from hillthread.platform import call_ids
from hillthread.platform import store as store_lib
from hillthread.protocol import stream_batch
from hillthread.protocol import stream_query
from hillthread.state.cluster import feed_source
from hillthread.state.cluster import journal_writers
from hillthread.state.cluster import position as position_lib
from hillthread.transport import connection_pool
from hillthread.transport import http1_client

__all__ = ["JournalWriter"]

# Batch delays of a sender and of a writer. Together they bound the age of the
# streams that are lost when all hosts fail.
_SEND_DELAY_S = 0.2
_APPEND_DELAY_S = 0.3
# Records kept while they cannot be written; about 5 MB.
_MAX_PENDING = 20_000
# Well below the largest record and the largest call of the store.
_MAX_BATCH_NOTICES = 2_000
_MAX_BATCHES = 10
_SEND_TIMEOUT_S = 0.3
# Ranks that a sender tries; then it writes its records itself.
_MAX_WRITERS = 2
# Time for which a writer that has not answered is not used.
_AVOID_S = 2.0
_MIN_RETRY_S = 0.5
_MAX_RETRY_S = 4.0
# Records older than this are removed, once in each such time.
_TRIM_AGE_S = 120.0

_logger = logging.getLogger("hillthread.streams")


class JournalWriter:
    """Sends or writes the records of this host, and writes those of others.

    Attributes:
        site: The host's view of the site.
        source: Lists the hosts.
        store: Client of the platform's store.
        pool: Connections to other hosts.
        outbox: Records of this host to be sent to the writer, oldest first.
        unwritten: Records to be appended by this host, oldest first.
    """

    def __init__(
        self,
        site: site_lib.Site,
        source: feed_source.FeedSource,
        store: store_lib.StoreClient,
        pool: connection_pool.ConnectionPool,
    ):
        self.site = site
        self.source = source
        self.store = store
        self.pool = pool
        self.outbox: collections.deque[stream_query.StreamNotice] = (
            collections.deque(maxlen=_MAX_PENDING)
        )
        self.unwritten: collections.deque[stream_query.StreamNotice] = (
            collections.deque(maxlen=_MAX_PENDING)
        )
        self._send_due = anyio.Event()
        self._append_due = anyio.Event()
        self._avoided_until: dict[str, float] = {}
        self._ranked: list[feed_source.HostEntry] = []
        self._ranked_revision = -1
        # When this host has appended, and where.
        self._appends: collections.deque[
            tuple[float, position_lib.Position]
        ] = collections.deque()

    def add(self, notice: stream_query.StreamNotice) -> None:
        """Adds a record of this host."""
        if self._choose_writer() is None:
            self._add_unwritten([notice])
            return
        self.outbox.append(notice)
        self._send_due.set()

    def apply_batch(self, raw: bytes) -> None:
        """Adds the records of another host.

        Raises:
            PeerError: The batch is not valid, or this host cannot write it.
        """
        if self.site.is_draining or self.site.is_store_lost:
            raise errors.PeerError(
                "This host is stopping or has lost the store.",
                "Another host writes the records.",
            )
        self._add_unwritten(stream_batch.decode_batch(raw))

    def _add_unwritten(self, notices: list[stream_query.StreamNotice]) -> None:
        self.unwritten.extend(notices)
        self._append_due.set()

    async def run(self) -> None:
        """Sends and writes records until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._run_sending)
            tasks.start_soon(self._run_appending)

    async def _run_sending(self) -> None:
        while True:
            await self._send_due.wait()
            await anyio.sleep(_SEND_DELAY_S)
            self._send_due = anyio.Event()
            while self.outbox:
                await self._send(_take(self.outbox))

    async def _send(self, notices: list[stream_query.StreamNotice]) -> None:
        """Sends records to the writer; writes them here if there is none."""
        raw = stream_batch.encode_batch(notices)
        while (writer := self._choose_writer()) is not None:
            if await self._call_writer(writer, raw):
                return
            self._avoided_until[writer.name] = clock.now() + _AVOID_S
        self._add_unwritten(notices)

    async def _call_writer(
        self, writer: feed_source.HostEntry, raw: bytes
    ) -> bool:
        """Sends a batch; returns whether the writer has accepted it."""
        request = call_ids.make_host_request(
            writer, b"PUT", stream_query.JOURNAL_PATH.encode(), raw
        )
        try:
            answer = await connection_pool.call(
                self.pool,
                writer.feed,
                request,
                _SEND_TIMEOUT_S,
                stream_query.MAX_REPLY_BYTES,
            )
        except http1_client.CallError as error:
            _logger.debug("host %s writes no records: %s", writer.name, error)
            return False
        return answer.head.status == 200

    def _choose_writer(self) -> feed_source.HostEntry | None:
        """Returns the host that writes this host's records; None for itself."""
        now = clock.now()
        if self._ranked_revision != self.source.revision:
            self._ranked_revision = self.source.revision
            self._ranked = journal_writers.rank_writers(
                self.source.data_centre, self.source.hosts
            )
        for host in self._ranked[:_MAX_WRITERS]:
            if host.name == self.source.name:
                if not self.site.is_store_lost:
                    return None
            elif now >= self._avoided_until.get(host.name, 0.0):
                return host
        return None

    async def _run_appending(self) -> None:
        retry_s = _MIN_RETRY_S
        while True:
            await self._append_due.wait()
            await anyio.sleep(_APPEND_DELAY_S)
            while self.site.is_store_lost:  # noqa: ASYNC110
                await anyio.sleep(_MIN_RETRY_S)
            self._append_due = anyio.Event()
            if await self._append():
                retry_s = _MIN_RETRY_S
                continue
            self._append_due.set()
            await anyio.sleep(retry_s)
            retry_s = min(2.0 * retry_s, _MAX_RETRY_S)

    async def _append(self) -> bool:
        """Appends what is unwritten; returns whether that succeeded.

        A batch whose answer is lost is appended again: readers accept a record
        more than once.
        """
        while self.unwritten:
            batches: list[list[stream_query.StreamNotice]] = []
            while self.unwritten and len(batches) < _MAX_BATCHES:
                batches.append(_take(self.unwritten))
            payloads = [stream_batch.encode_batch(each) for each in batches]
            try:
                position = await self.store.append_all(
                    stream_journal.JOURNAL_TOPIC, payloads
                )
            except errors.HillthreadError as error:
                self._return_unwritten(batches, error)
                return False
            count = sum(len(each) for each in batches)
            self.site.metrics.journal_records.labels("written").inc(count)
            await self._trim(position)
        return True

    def _return_unwritten(
        self,
        batches: list[list[stream_query.StreamNotice]],
        error: errors.HillthreadError,
    ) -> None:
        """Puts records back that were not written; drops the oldest ones."""
        notices = [notice for batch in batches for notice in batch]
        kept = notices[
            max(0, len(notices) + len(self.unwritten) - _MAX_PENDING) :
        ]
        dropped = len(notices) - len(kept)
        self.unwritten.extendleft(reversed(kept))
        self.site.metrics.journal_records.labels("dropped").inc(dropped)
        _logger.warning(
            "records of streams not written to the journal",
            extra={
                "event": "journal_unwritten",
                "records": len(notices),
                "dropped": dropped,
                "reason": error.message,
            },
        )

    async def _trim(self, position: position_lib.Position) -> None:
        """Removes old records from time to time.

        Stores may keep records for much longer than callers reconnect, and a
        host that starts reads all of them.
        """
        now = clock.now()
        self._appends.append((now, position))
        appended_at, oldest = self._appends[0]
        if now - appended_at < 2.0 * _TRIM_AGE_S:
            return
        while now - appended_at > _TRIM_AGE_S:
            oldest = self._appends.popleft()[1]
            appended_at = self._appends[0][0]
        try:
            await self.store.trim(stream_journal.JOURNAL_TOPIC, oldest)
        except errors.HillthreadError as error:
            _logger.debug("journal of streams not trimmed: %s", error)


def _take(
    notices: collections.deque[stream_query.StreamNotice],
) -> list[stream_query.StreamNotice]:
    """Removes and returns the oldest records, as many as a batch may have."""
    count = min(len(notices), _MAX_BATCH_NOTICES)
    return [notices.popleft() for _ in range(count)]
