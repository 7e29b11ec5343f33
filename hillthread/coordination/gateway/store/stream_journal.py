"""Reads the journal of streams in the platform's store.

Hosts keep the records of streams in memory. The journal has those that all
hosts together have lost, as after a failure of all of them. It is read when a
record is asked for, and then only what was added since the last read.
"""

from __future__ import annotations

import logging

import anyio
import anyio.abc

from hillthread import clock
from hillthread import errors
from hillthread.coordination.gateway import site as site_lib
from hillthread.platform import log_pages
from hillthread.platform import store as store_lib
from hillthread.protocol import stream_batch
from hillthread.state.cluster import position as position_lib
from hillthread.state.cluster import stream_records
from hillthread.state.routing import stream_origin

__all__ = ["JOURNAL_TOPIC", "StreamJournal"]

JOURNAL_TOPIC = "streams"
# Records take about 14 MB of memory at this number.
_MAX_RECORDS = 40_000
# Longest wait for a read. A store that works answers within milliseconds.
_READ_TIMEOUT_S = 0.1
# Lookups within this time of a read use its result: ids that were never used
# must not cause a call each.
_MIN_READ_INTERVAL_S = 0.1
# Times that a read starts over because the topic was trimmed or restored.
_MAX_RESTARTS = 3

_logger = logging.getLogger("hillthread.streams")


class StreamJournal:
    """The records of the journal that this host has read.

    Attributes:
        site: The host's view of the site.
        store: Client of the platform's store.
        tasks: Runs the reads.
        records: The records that were read.
    """

    def __init__(
        self,
        site: site_lib.Site,
        store: store_lib.StoreClient,
        tasks: anyio.abc.TaskGroup,
    ):
        self.site = site
        self.store = store
        self.tasks = tasks
        self.records = stream_records.StreamRecords(_MAX_RECORDS)
        self._position: position_lib.Position | None = None
        self._read_at = float("-inf")
        self._read_done: anyio.Event | None = None

    async def find(
        self, key: stream_records.StreamKey
    ) -> stream_records.StreamRecord | None:
        """Returns the record of a stream, or None if the journal has none.

        Raises:
            LogError: The journal cannot be read now.
        """
        asked_at = clock.now()
        record = self.records.get(key, asked_at)
        if record is not None:
            return record
        if self.site.is_store_lost:
            raise _make_unread_error()
        if self._read_at < asked_at - _MIN_READ_INTERVAL_S:
            await self._wait_for_read()
            if self._read_at < asked_at - _MIN_READ_INTERVAL_S:
                raise _make_unread_error()
        return self.records.get(key, clock.now())

    async def _wait_for_read(self) -> None:
        """Waits for a read, which goes on if it takes too long."""
        if self._read_done is None:
            self._read_done = anyio.Event()
            self.tasks.start_soon(self._read)
        with anyio.move_on_after(_READ_TIMEOUT_S):
            await self._read_done.wait()

    async def _read(self) -> None:
        """Reads what was added since the last read."""
        began_at = clock.now()
        known = len(self.records)
        try:
            await self._read_pages()
        except errors.LogError as error:
            self.site.metrics.journal_reads.labels("failed").inc()
            _logger.warning(
                "journal of streams not read",
                extra={"event": "journal_unread", "reason": error.message},
            )
        else:
            self._read_at = began_at
            self.site.metrics.journal_reads.labels("read").inc()
            _logger.info(
                "journal of streams read",
                extra={
                    "event": "journal_read",
                    "records": len(self.records),
                    "before": known,
                    "seconds": round(clock.now() - began_at, 4),
                },
            )
        finally:
            assert self._read_done is not None
            self._read_done.set()
            self._read_done = None

    async def _read_pages(self) -> None:
        """Reads from the known position to the end of the topic.

        Raises:
            LogError: The topic cannot be read to its end.
        """
        restarts = 0
        while True:
            start = self._position or position_lib.Position(
                self.store.current_era, 0
            )
            try:
                page = await self.store.read(JOURNAL_TOPIC, start, 0.0)
            except store_lib.TruncatedError as error:
                self._position = start._replace(offset=error.first)
            except store_lib.RestoredError:
                # Records of the former era stay true.
                self._position = None
            else:
                self._apply_page(page)
                if not page.records or self._position == page.end:
                    return
                continue
            restarts += 1
            if restarts > _MAX_RESTARTS:
                raise _make_unread_error()

    def _apply_page(self, page: log_pages.LogPage) -> None:
        now = clock.now()
        for record in page.records:
            offset = record.position.offset
            self._position = record.position._replace(offset=offset + 1)
            try:
                notices = stream_batch.decode_batch(record.payload)
            except errors.PeerError as error:
                self.site.metrics.bad_records.labels(JOURNAL_TOPIC).inc()
                _logger.error(
                    "unreadable record ignored",
                    extra={
                        "event": "bad_record",
                        "topic": JOURNAL_TOPIC,
                        "key": str(offset),
                        "reason": error.message,
                    },
                )
                continue
            for notice in notices:
                self.records.put(
                    stream_records.StreamKey(notice.tenant, notice.digest),
                    stream_origin.StreamOrigin(notice.pool, notice.release),
                    now + notice.ttl_s,
                )


def _make_unread_error() -> errors.LogError:
    return errors.LogError(
        "The journal of streams cannot be read now.",
        "Check the platform; streams that no host knows are refused meanwhile.",
    )
