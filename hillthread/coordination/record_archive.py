"""Decision records on the log: for requests whose host is gone.

Only records worth asking about are kept there: all that were not plainly
answered, and a sample of the rest, as the log takes few appends. During an
outage they wait in bounded memory; what could not be kept is counted. A batch
that fails goes to the end of the line, and the next ones are smaller, so that a
record which the log does not take holds up no other.
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

# Records of this time share an append.
_FLUSH_S = 1.0
# Bound on appending what waits at a stop.
_STOP_S = 2.0
# Records that wait for the log; the oldest are dropped and counted.
_MAX_WAITING = 2000
# Records in one append: about 290 KB.
_MAX_BATCH = 100
# Pages of a stream that one question reads at most.
_MAX_SEARCHED = 5000

_logger = logging.getLogger(__name__)


def record_stream_name(data_centre: str) -> str:
    """Returns the stream of a data centre's records."""
    return f"records-{data_centre}"


class RecordArchive:
    """Writes this host's records to the log and searches all of them.

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
        self._batch_size = _MAX_BATCH
        self.outcomes = prometheus_client.Counter(
            "hillthread_archived_records",
            "Decision records by what became of them.",
            ["outcome"],
            registry=registry,
        )

    def add(self, document: bytes) -> None:
        """Takes a record, as JSON; drops the oldest when there is no room."""
        self.waiting.append(document)
        if len(self.waiting) > _MAX_WAITING:
            self.waiting.popleft()
            self.outcomes.labels("lost").inc()

    async def run(self) -> None:
        """Appends what waits, in batches, until cancelled."""
        while True:
            await anyio.sleep(_FLUSH_S)
            while self.waiting and await self._flush():
                pass

    async def flush(self) -> None:
        """Appends all that waits, as far as the log takes it at once."""
        with anyio.move_on_after(_STOP_S):
            while self.waiting and await self._flush():
                pass

    async def find(self, request_id: str, tenant: str) -> list[dict[str, Any]]:
        """Returns the records of a request on the log; none when it is down.

        Args:
            request_id: Which request.
            tenant: Whose it must be; empty for anyone's.
        """
        found: list[dict[str, Any]] = []
        for data_centre in self.data_centres:
            try:
                found += await self._search(data_centre, request_id)
            except errors.LogError:
                continue
        return [record for record in found if tenant in ("", record["tenant"])]

    async def _flush(self) -> bool:
        """Appends one batch; returns whether it was.

        A batch whose answer was lost is appended again: a record that stands
        twice is found once.
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
            self._put_back(batch, error)
            return False
        self._batch_size = min(_MAX_BATCH, self._batch_size * 2)
        self.outcomes.labels("kept").inc(len(batch))
        return True

    def _put_back(
        self, batch: list[bytes], error: errors.HillthreadError
    ) -> None:
        self.waiting.extend(batch)
        self._batch_size = max(1, self._batch_size // 2)
        _logger.warning(
            "%d records were not kept yet, %d wait: %s",
            len(batch),
            len(self.waiting),
            error,
            extra={"code": "records_put_back"},
        )

    async def _search(
        self, data_centre: str, request_id: str
    ) -> list[dict[str, Any]]:
        """Returns the request's record among the newest of a stream."""
        stream = record_stream_name(data_centre)
        needle = request_id.encode()
        start = 0
        for _ in range(_MAX_SEARCHED):
            try:
                page = await self.client.read(stream, start)
            except log_client.TruncatedError as error:
                start = error.first_offset
                continue
            for record in page.records:
                if needle not in record.payload:
                    continue
                for document in msgspec.json.decode(record.payload):
                    if document["request_id"] == request_id:
                        return [document]
            start += len(page.records)
            if start >= page.next_offset or not page.records:
                return []
        return []
