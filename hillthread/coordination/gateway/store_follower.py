"""Follows the keyed topics of the store: the newest of each key, then changes.

Reads are held by the store until something changes, so that a change is known
at once and a quiet topic costs few calls.
"""

from __future__ import annotations

from collections.abc import Callable
import logging
import random
import time

import anyio

from hillthread import errors
from hillthread.coordination.gateway import metrics as metrics_lib
from hillthread.platform import store

__all__ = ["StoreWatch", "TopicFollower"]

_FIRST_PAUSE_S = 0.1
_LONGEST_PAUSE_S = 0.5
_JITTER = 0.3

_logger = logging.getLogger("hillthread.store")


class StoreWatch:
    """Whether the store answers this host, as all its callers find.

    Attributes:
        lost: Called with a reason when it stops answering.
        back: Called with the time now and the seconds it was lost.
    """

    def __init__(
        self,
        lost: Callable[[str], None],
        back: Callable[[float, float], None],
    ):
        self.lost = lost
        self.back = back
        self.lost_at: float | None = None

    def note_failure(self, reason: str) -> None:
        """Notes a call that was not answered."""
        if self.lost_at is None:
            self.lost_at = time.monotonic()
            self.lost(reason)

    def note_success(self) -> None:
        """Notes a call that was answered."""
        if self.lost_at is not None:
            now = time.monotonic()
            self.back(now, now - self.lost_at)
            self.lost_at = None


class TopicFollower:
    """Follows one keyed topic.

    Attributes:
        topic: Its name.
        wait_s: Returns how long the store is to hold the next read, seconds.
        gather_s: After a read that brought something the next one is sent so
            much later: changes often come in numbers, and each read costs.
        position: Offset of the next record; None before the first read.
    """

    def __init__(
        self,
        client: store.StoreClient,
        topic: str,
        wait_s: Callable[[], float],
        gather_s: float,
        watch: StoreWatch,
        metrics: metrics_lib.GatewayMetrics,
        take: Callable[[store.KeyedRecord], None],
        proven: Callable[[float, float], None],
    ):
        self.client = client
        self.topic = topic
        self.wait_s = wait_s
        self.gather_s = gather_s
        self.watch = watch
        self.metrics = metrics
        self.take = take
        self.proven = proven
        self.position: int | None = None
        self.offsets: dict[str, int] = {}
        self._brought = False
        self._held: anyio.CancelScope | None = None

    def interrupt(self) -> None:
        """Has a read that is held by the store sent anew."""
        if self._held is not None:
            self._held.cancel()

    async def run(self) -> None:
        """Follows until cancelled."""
        failures = 0
        while True:
            started = time.monotonic()
            try:
                if self.position is None:
                    await self._read_newest(started)
                else:
                    await self._read_changes(failures)
            except store.TruncatedError:
                self.position = None
                outcome = "truncated"
            except errors.LogError as error:
                outcome = "failed"
                failures += 1
                self.watch.note_failure(error.message)
                await anyio.sleep(_pause_s(failures))
            else:
                outcome = "answered"
                failures = 0
                self.watch.note_success()
            self.metrics.store_calls.labels(self.topic, outcome).inc()
            self.metrics.store_seconds.labels(self.topic).observe(
                time.monotonic() - started
            )

    async def _read_newest(self, started: float) -> None:
        page = await self.client.newest(self.topic)
        listed = {record.key for record in page.records}
        for key in [key for key in self.offsets if key not in listed]:
            self._apply(store.KeyedRecord(key, b"", page.end - 1))
        for record in page.records:
            self._apply(record)
        self.position = page.end
        self.proven(started, 0.0)

    async def _read_changes(self, failures: int) -> None:
        # After a failure an answer at once is wanted, to know where we are.
        if self._brought:
            await anyio.sleep(self.gather_s)
        started = time.monotonic()
        wait_s = 0.0 if failures else self.wait_s()
        page = None
        with anyio.CancelScope() as self._held:
            page = await self.client.read(self.topic, self.position, wait_s)
        self._held = None
        if page is None:
            return
        self._brought = bool(page.records)
        for record in page.records:
            self.position = record.offset + 1
            self._apply_raw(record)
        took_s = time.monotonic() - started
        held_s = 0.0 if page.records else min(wait_s, took_s)
        self.proven(started, held_s)

    def _apply_raw(self, record: store.LogRecord) -> None:
        try:
            self._apply(store.parse_keyed(record))
        except errors.LogError as error:
            self._note_bad(str(record.offset), error)

    def _apply(self, record: store.KeyedRecord) -> None:
        if record.offset < self.offsets.get(record.key, -1):
            return
        if record.value:
            self.offsets[record.key] = record.offset
        else:
            self.offsets.pop(record.key, None)
        try:
            self.take(record)
        except errors.ConfigurationError as error:
            self._note_bad(record.key, error)

    def _note_bad(self, key: str, error: errors.HillthreadError) -> None:
        self.metrics.bad_records.labels(self.topic).inc()
        _logger.error(
            "record passed over",
            extra={
                "event": "bad_record",
                "topic": self.topic,
                "key": key,
                "reason": str(error),
            },
        )


def _pause_s(failures: int) -> float:
    pause = min(_LONGEST_PAUSE_S, _FIRST_PAUSE_S * 2 ** (failures - 1))
    return pause * (1.0 + random.uniform(-_JITTER, _JITTER))
