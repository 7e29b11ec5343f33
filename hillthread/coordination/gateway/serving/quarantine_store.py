"""Stores the suspects of the quarantine, for hosts that start later."""

from __future__ import annotations

from collections.abc import Callable
import logging
import random
import time

import anyio
import anyio.abc
import msgspec

from hillthread import clock
from hillthread import errors
from hillthread.coordination.gateway import site as site_lib
from hillthread.coordination.gateway.store import host_registry
from hillthread.platform import store as store_lib
from hillthread.state.cluster import feed_source
from hillthread.state.cluster import topic_copy
from hillthread.state.config import payloads
from hillthread.state.routing import placement

__all__ = ["QuarantineStore"]

_STORE_RETRY_S = 1.0
_STORE_ATTEMPTS = 5
# Hosts that may rewrite a record which a restored store has lost; the first of
# them may be gone.
_REWRITING_HOST_COUNT = 3
# Assumed time between crashes whose times are unknown, so that they do not
# count as simultaneous.
_UNKNOWN_SPACING_S = 1.0

_logger = logging.getLogger("hillthread.quarantine")


class _StoredSuspect(msgspec.Struct):
    """The record in the store of a request that crashes targets.

    Attributes:
        ended: Keys of the incarnations that crashed.
        last_at: Unix time, in seconds, of the last crash, or of the writing
            when a lost record is written again.
        times: Unix time of each crash, in seconds; empty in records of earlier
            releases.
    """

    ended: list[int]
    last_at: float
    times: list[float] = []


_decoder = msgspec.json.Decoder(_StoredSuspect)


class QuarantineStore:
    """Writes and reads the records of suspects.

    Attributes:
        site: The host's view of the targets, and its quarantine.
        source: Lists the hosts.
        store: Holds the records.
        tasks: Runs the writes.
    """

    def __init__(
        self,
        site: site_lib.Site,
        source: feed_source.FeedSource,
        store: store_lib.StoreClient,
        tasks: anyio.abc.TaskGroup,
    ):
        self.site = site
        self.source = source
        self.store = store
        self.tasks = tasks
        self._stored_keys: set[str] = set()

    def has_record(self, digest: str) -> bool:
        """Returns whether the store has a record of a suspect."""
        return digest in self._stored_keys

    def put(self, digest: str) -> None:
        """Writes the crashes of a suspect."""
        self._stored_keys.add(digest)
        self.tasks.start_soon(self._write_record, digest, self._encode(digest))

    def remove(self, digest: str) -> None:
        """Removes the record of a suspect, if there is one."""
        if digest in self._stored_keys:
            self.tasks.start_soon(self._write_record, digest, b"")

    def _encode(self, digest: str) -> bytes:
        suspects = self.site.quarantine
        ended = sorted(suspects.crashed_incarnations(digest))
        boot_at = time.time() - clock.now()
        times = [boot_at + suspects.crash_seen_at(each) for each in ended]
        return msgspec.json.encode(_StoredSuspect(ended, time.time(), times))

    def apply_record(self, record: topic_copy.TopicRecord) -> None:
        """Applies the record of a request in the store.

        Raises:
            ConfigurationError: The record is unreadable.
        """
        digest = record.key.removeprefix(host_registry.QUARANTINE_PREFIX)
        if not record.value:
            self._stored_keys.discard(digest)
            self.site.quarantine.clear(digest)
            return
        entry = payloads.decode_payload(_decoder, record.value, "quarantine")
        self._stored_keys.add(digest)
        now = clock.now()
        for incarnation, at in zip(
            entry.ended, _list_crash_times(entry), strict=True
        ):
            # The system clock may have been set back since.
            ago_s = max(0.0, time.time() - at)
            self.site.quarantine.record_crash(digest, incarnation, now, ago_s)

    def restore_record(self, key: str, is_lost: Callable[[str], bool]) -> None:
        """Rewrites a record that a restored store has lost.

        All hosts compute the same ranking for a record and delay the write by
        their rank, so that usually only the first one writes it.

        Args:
            key: Key of the record.
            is_lost: Returns whether the store still lacks a record.
        """
        ranked = placement.rank_by_rendezvous(
            key.encode(), list(self.source.hosts)
        )[:_REWRITING_HOST_COUNT]
        name = self.source.name
        if name in ranked:
            rank = ranked.index(name)
            self.tasks.start_soon(self._restore_after_delay, key, rank, is_lost)

    async def _restore_after_delay(
        self, key: str, rank: int, is_lost: Callable[[str], bool]
    ) -> None:
        spread_s = host_registry.compute_rewrite_spread_s(
            self.site.cluster_size
        )
        await anyio.sleep(random.uniform(rank, rank + 1.0) * spread_s)
        digest = key.removeprefix(host_registry.QUARANTINE_PREFIX)
        ended = self.site.quarantine.crashed_incarnations(digest)
        if ended and is_lost(key):
            await self._write_record(digest, self._encode(digest))

    async def _write_record(self, digest: str, value: bytes) -> None:
        """Writes a record, or removes it if the value is empty.

        The write is given up after some attempts, since the hosts that hold
        the request know of it anyway.
        """
        key = host_registry.QUARANTINE_PREFIX + digest
        for _ in range(_STORE_ATTEMPTS):
            try:
                await self.store.put(host_registry.HOSTS_TOPIC, key, value)
            except errors.HillthreadError as error:
                _logger.warning(
                    "quarantine record not stored",
                    extra={
                        "event": "quarantine_unkept",
                        "digest": digest,
                        "reason": error.message,
                    },
                )
                await anyio.sleep(_STORE_RETRY_S)
            else:
                return


def _list_crash_times(entry: _StoredSuspect) -> list[float]:
    """Returns the Unix time of each crash in a record, in seconds."""
    if len(entry.times) == len(entry.ended):
        return entry.times
    count = len(entry.ended)
    return [
        entry.last_at - _UNKNOWN_SPACING_S * (count - 1 - number)
        for number in range(count)
    ]
