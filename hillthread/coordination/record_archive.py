"""Decision records on the log, for requests whose host is unreachable.

Since the log accepts few appends, only some records are kept there: those of
all requests that did not simply succeed, and a sample of the rest. During an
outage of the log, records wait in bounded memory, and those dropped are
counted. A failed batch goes to the end of the queue and the next batches are
smaller, so that a record which the log refuses does not block the others.
"""

from __future__ import annotations

import collections
import logging
from typing import Any

import anyio
import msgspec
import prometheus_client

from hillthread import errors
from hillthread.transport import log_client

__all__ = ["RecordArchive", "record_stream_name"]

# Records of this interval share an append.
_FLUSH_INTERVAL_S = 1.0
# Time limit for appending the waiting records when the process stops.
_STOP_TIMEOUT_S = 2.0
# Records that wait for the log; beyond this, the oldest are dropped and
# counted.
_MAX_WAITING_RECORDS = 2000
# Records in one append, of about 290 KB together.
_MAX_BATCH_RECORDS = 100
# Limit of pages of a stream read for one query.
_MAX_SEARCHED_PAGES = 5000

_logger = logging.getLogger(__name__)


def record_stream_name(data_centre: str) -> str:
    """Returns the name of the stream of a data centre's records."""
    return f"records-{data_centre}"


class RecordArchive:
    """Writes this host's records to the log and searches those of all hosts.

    Attributes:
        waiting: Records not yet appended.
    """

    def __init__(
        self,
        client: log_client.LogClient,
        data_centre: str,
        data_centres: list[str],
        registry: prometheus_client.CollectorRegistry,
    ):
        self.client = client
        self.data_centre = data_centre
        self.data_centres = data_centres
        self.waiting: collections.deque[bytes] = collections.deque()
        self._batch_size = _MAX_BATCH_RECORDS
        self.outcomes = prometheus_client.Counter(
            "hillthread_archived_records",
            "Decision records by outcome.",
            ["outcome"],
            registry=registry,
        )

    def add(self, document: bytes) -> None:
        """Queues a record, as JSON; drops the oldest if the queue is full."""
        self.waiting.append(document)
        if len(self.waiting) > _MAX_WAITING_RECORDS:
            self.waiting.popleft()
            self.outcomes.labels("lost").inc()

    async def run(self) -> None:
        """Appends the waiting records, in batches, until cancelled."""
        while True:
            await anyio.sleep(_FLUSH_INTERVAL_S)
            while self.waiting and await self._flush_batch():
                pass

    async def flush(self) -> None:
        """Appends the waiting records until the log fails or time runs out."""
        with anyio.move_on_after(_STOP_TIMEOUT_S):
            while self.waiting and await self._flush_batch():
                pass

    async def find(self, request_id: str, tenant: str) -> list[dict[str, Any]]:
        """Returns the records of a request on the log; none if it is down.

        Args:
            request_id: The request's identifier.
            tenant: The tenant that sent it; empty for any tenant.
        """
        found: list[dict[str, Any]] = []
        for data_centre in self.data_centres:
            try:
                found += await self._search(data_centre, request_id)
            except errors.LogError:
                continue
        return [record for record in found if tenant in ("", record["tenant"])]

    async def _flush_batch(self) -> bool:
        """Appends one batch; returns whether it succeeded.

        A batch whose reply was lost is appended again, so a record may be on
        the log twice; a search returns it only once.
        """
        batch = [
            self.waiting.popleft()
            for _ in range(min(self._batch_size, len(self.waiting)))
        ]
        payload = b"[" + b",".join(batch) + b"]"
        try:
            await self.client.append(
                record_stream_name(self.data_centre), [payload]
            )
        except errors.HillthreadError as error:
            self._requeue(batch, error)
            return False
        self._batch_size = min(_MAX_BATCH_RECORDS, self._batch_size * 2)
        self.outcomes.labels("kept").inc(len(batch))
        return True

    def _requeue(
        self, batch: list[bytes], error: errors.HillthreadError
    ) -> None:
        self.waiting.extend(batch)
        self._batch_size = max(1, self._batch_size // 2)
        _logger.warning(
            "append of %d records failed, %d records wait: %s",
            len(batch),
            len(self.waiting),
            error,
            extra={"code": "records_put_back"},
        )

    async def _search(
        self, data_centre: str, request_id: str
    ) -> list[dict[str, Any]]:
        """Returns the request's record from a stream, or an empty list."""
        stream = record_stream_name(data_centre)
        id_bytes = request_id.encode()
        start = 0
        for _ in range(_MAX_SEARCHED_PAGES):
            try:
                page = await self.client.read(stream, start)
            except log_client.TruncatedError as error:
                start = error.first_offset
                continue
            for record in page.records:
                if id_bytes not in record.payload:
                    continue
                for document in msgspec.json.decode(record.payload):
                    if document["request_id"] == request_id:
                        return [document]
            start += len(page.records)
            if start >= page.next_offset or not page.records:
                return []
        return []
