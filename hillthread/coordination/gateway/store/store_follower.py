"""Follows the keyed topics of the store.

A follower first reads the newest record of each key, then the changes. The
store holds reads until something changes, so that changes arrive at once and an
unchanged topic costs few calls. In a data centre with many hosts most of them
read from one host, which reads the store for all.
"""

from __future__ import annotations

import logging
import random
from typing import NamedTuple

import anyio

from hillthread import clock
from hillthread import errors
from hillthread.coordination.gateway.store import topic_plan
from hillthread.platform import call_ids
from hillthread.platform import log_pages
from hillthread.platform import store
from hillthread.protocol import feed
from hillthread.state.cluster import feed_source
from hillthread.state.cluster import freshness
from hillthread.state.cluster import held_read
from hillthread.state.cluster import position as position_lib
from hillthread.state.cluster import topic_copy
from hillthread.transport import connection_pool
from hillthread.transport import http1_client

__all__ = ["TopicFollower"]

_MIN_PAUSE_S = 0.1
_MAX_PAUSE_S = 0.5
# Maximum pause in a data centre with many hosts, which share the call rate of
# the store.
_MAX_SHARED_PAUSE_S = 1.0
# Time after which a follower that waits for the probing follower reads itself.
_MAX_PROBE_WAIT_S = 3.0
_PAUSE_JITTER_SHARE = 0.3
# Maximum age of the data of another host; if it is older, the store is read.
_MAX_PEER_AGE_S = 1.0
# Timeout of the wait for the list of hosts; a store that answers delivers it
# within this time.
_HOST_LIST_TIMEOUT_S = 0.3
_MAX_PAGE_BYTES = 16_777_216
# Timeout of the requests to other hosts that confirm the first read.
_CONFIRM_TIMEOUT_S = 0.2
# Position of a follower before its first read.
_START_POSITION = position_lib.Position(0, 0)

_logger = logging.getLogger("hillthread.store")


class _PackedPage(NamedTuple):
    """Packed records, cached for other hosts that request the same ones.

    Attributes:
        position: Position of the record after the last one.
        since: Position from which changes were requested; None for the newest
            records of all keys.
        records: The records as packed bytes.
    """

    position: position_lib.Position
    since: position_lib.Position | None
    records: bytes


class TopicFollower:
    """Follows one keyed topic.

    Attributes:
        plan: Options of the topic.
        context: Objects that all followers of the host share.
        copy: This host's copy of the topic.
        freshness: Age of the copy.
        changed: Set and replaced when a record arrives or reading fails.
    """

    def __init__(
        self,
        plan: topic_plan.TopicPlan,
        context: topic_plan.FollowerContext,
        shared_freshness: freshness.Freshness | None = None,
    ):
        self.plan = plan
        self.context = context
        self.copy = topic_copy.TopicCopy()
        self.freshness = shared_freshness or freshness.Freshness()
        self.changed = anyio.Event()
        self._had_records = False
        self._held_scope: anyio.CancelScope | None = None
        self._held_since = 0.0
        self._lost_at: float | None = None
        self._is_truncated = False
        self._packed_page: _PackedPage | None = None

    def interrupt(self, before: float = float("inf")) -> None:
        """Cancels a held read sent before a time, so that it is sent again."""
        if self._held_scope is not None and self._held_since < before:
            self._held_scope.cancel()

    async def run(self) -> None:
        """Reads the topic until cancelled."""
        failures = 0
        if not self.plan.lists_hosts:
            with anyio.move_on_after(_HOST_LIST_TIMEOUT_S):
                await self.context.hosts_read.wait()
        while True:
            if self._had_records:
                await anyio.sleep(self._get_batch_delay_s())
            self._had_records = False
            if not failures and not self.plan.lists_hosts:
                await self._wait_for_settled_hosts()
            peer = self._choose_peer(failures)
            if peer is not None and await self._read_peer(peer):
                failures = 0
                continue
            failures = await self._read_store(failures)

    def _get_batch_delay_s(self) -> float:
        """Returns the delay of the next read after one that returned records.

        Where few hosts read the store, the delay is short: learning of changes
        early matters more there than saving calls.
        """
        if self.context.source.has_shared_reader():
            return self.plan.batch_delay_s()
        return self.plan.lone_batch_delay_s

    async def _wait_for_settled_hosts(self) -> None:
        """Waits until it is settled which host to read from.

        Hosts that start together register one after the other. The first read
        is recent enough meanwhile, as it would be during a held read.
        """
        is_lost = self.context.watch.lost_at is not None
        if self.copy.position is None or is_lost:
            return
        with anyio.move_on_after(self.plan.store_hold_s()):
            await self.context.hosts_settled.wait()

    @property
    def has_lost_read(self) -> bool:
        """Whether a read was lost and none has been answered since."""
        return self._lost_at is not None

    @property
    def needs_full_read(self) -> bool:
        """Whether the newest records of all keys must be read again.

        This is so when the store was restored after the last read, or no
        longer keeps the changes that follow it.
        """
        position = self.copy.position
        if position is None:
            return False
        return (
            self._is_truncated or position.era < self.context.client.current_era
        )

    def build_page(self, start: position_lib.Position) -> bytes:
        """Returns the encoded page of records from a position on.

        Records are packed once for all hosts that request the same ones.
        """
        position = self.copy.position or _START_POSITION
        age_s = self.freshness.age(clock.now())
        records = self.copy.list_since(start)
        whole = records is None
        if records is None:
            records = list(self.copy.newest.values())
        since = None if whole else start
        packed = self._packed_page
        if packed is None or (packed.position, packed.since) != (
            position,
            since,
        ):
            packed = _PackedPage(position, since, feed.pack_records(records))
            self._packed_page = packed
        return feed.encode_page(position, whole, age_s, packed.records)

    def _choose_peer(self, failures: int) -> feed_source.HostEntry | None:
        if failures or (self.copy.position is None and self.plan.lists_hosts):
            return None
        return self.context.source.pick(clock.now())

    async def _read_peer(self, peer: feed_source.HostEntry) -> bool:
        """Reads from another host; returns whether that succeeded."""
        started = clock.now()
        peer_hold_s = self.plan.peer_hold_s()
        page = None
        self._held_since = started
        try:
            with anyio.CancelScope() as self._held_scope:
                page = await self._call_peer(peer, peer_hold_s)
            if self._held_scope.cancelled_caught:
                return True  # interrupted: this is no failure of the peer
        except http1_client.CallError as error:
            if error.sent:
                self._record_lost_read(error.reason)
        except errors.PeerError:
            pass  # the peer answered; the failure is counted below
        now = clock.now()
        outcome = "peer_failed"
        if page is not None and self._is_current(page):
            is_first_read = self.copy.position is None
            self._apply_page(page)
            if is_first_read:
                self.plan.on_caught_up()
            waited_s = min(peer_hold_s, now - started)
            held_s = 0.0 if page.records else waited_s
            self.freshness.note_read(started - page.age_s, held_s)
            self.context.watch.record_success()
            self._record_answer()
            outcome = "peer_answered"
        else:
            self.context.source.avoid(peer.name, now)
        self._count_read(outcome, started)
        return outcome == "peer_answered"

    def _is_current(self, page: feed.FeedPage) -> bool:
        """Returns whether the data of another host is recent enough."""
        if page.position.era < self.context.client.current_era:
            return False
        max_age_s = _MAX_PEER_AGE_S + self.plan.reader_hold_s()
        return page.age_s <= max_age_s

    async def _call_peer(
        self,
        peer: feed_source.HostEntry,
        hold_s: float,
        is_confirmation: bool = False,
    ) -> feed.FeedPage:
        start = self.copy.position or _START_POSITION
        query = feed.FeedQuery(self.plan.topic, start, hold_s, is_confirmation)
        request = call_ids.make_host_request(
            peer, b"GET", feed.encode_query(query)
        )
        answer = await connection_pool.call(
            self.context.peer_pool,
            peer.feed,
            request,
            hold_s + held_read.PEER_READ_LOST_AFTER_S,
            _MAX_PAGE_BYTES,
        )
        if answer.head.status != 200:
            raise errors.PeerError(
                f"Host {peer.name} answered with {answer.head.status}.",
                "It stops or has just started; the store is read instead.",
            )
        return feed.decode_page(answer.body)

    def _apply_page(self, page: feed.FeedPage) -> None:
        self._is_truncated = False
        # A peer may know of a restoration before the store answers this host.
        self.context.client.apply_era(page.position.era)
        if page.is_snapshot:
            if page.position < (self.copy.position or _START_POSITION):
                return  # the copy of this host is newer
            self._apply_full_read(page.records, page.position)
            return
        for record in page.records:
            if self.copy.add(record):
                self._apply_changes([record])
        # The page has no records that the other host could not decode, so the
        # copy may still be behind its position.
        self.copy.advance(page.position)

    async def _read_store(self, failures: int) -> int:
        """Reads from the store; returns the number of failures in a row."""
        started = clock.now()
        try:
            if self.copy.position is None or self.needs_full_read:
                await self._read_newest(started)
            elif not await self._read_changes(self._get_hold_s(failures)):
                return 0  # interrupted: this is no failure of the store
        except store.TruncatedError:
            self._is_truncated = True
            self._count_read("truncated", started)
            return 0
        except store.RestoredError:
            self._count_read("restored", started)
            return 0
        except store.LostReadError as error:
            if not failures and self.context.watch.lost_at is None:
                self._record_lost_read(error.message)
                self._count_read("lost", started)
                return 1
            return await self._record_failure(failures, error, started)
        except errors.LogError as error:
            return await self._record_failure(failures, error, started)
        self.context.watch.record_success()
        self._count_read("answered", started)
        self._record_answer()
        return 0

    def _record_lost_read(self, reason: str) -> None:
        """Records a read that was not answered.

        The next read is sent at once over a new connection and shows whether
        only the connection failed: an open connection may be dead or silent
        for good while the store or the peer works.
        """
        self._lost_at = clock.now()
        self.wake()
        _logger.info(
            "read lost",
            extra={
                "event": "read_lost",
                "topic": self.plan.topic,
                "reason": reason,
            },
        )

    def _record_answer(self) -> None:
        """Reports the time of a lost read once a later read is answered.

        Other reads over connections from before that time may be lost as well.
        """
        if self._lost_at is None:
            return
        lost_at, self._lost_at = self._lost_at, None
        self.context.watch.on_suspect(lost_at)

    async def _record_failure(
        self, failures: int, error: errors.LogError, started: float
    ) -> int:
        """Records a failure of the store and pauses; returns the new count."""
        self._lost_at = None
        self.context.watch.record_failure(error.message)
        self._count_read("failed", started)
        await self._pause_after_failure(failures + 1)
        return failures + 1

    async def _pause_after_failure(self, failures: int) -> None:
        """Waits until a store that failed may be read again.

        Each call has a cost, so one follower of the host probes the store for
        all others.
        """
        max_pause_s = _MAX_PAUSE_S
        if self.context.source.has_shared_reader():
            max_pause_s = _MAX_SHARED_PAUSE_S
        await anyio.sleep(_compute_pause_s(failures, max_pause_s))
        is_lost = self.context.watch.lost_at is not None
        if is_lost and not self.plan.probes_store:
            with anyio.move_on_after(_MAX_PROBE_WAIT_S):
                await self.context.watch.reachable.wait()

    def _get_hold_s(self, failures: int) -> float:
        """Returns how long the store is to hold the next read, in seconds.

        The store is to answer at once after a failure or a lost read of this
        follower, and while it counts as lost because of any follower.
        """
        is_lost = self.context.watch.lost_at is not None
        if failures or is_lost or self._lost_at is not None:
            return 0.0
        hold_s = self.plan.store_hold_s()
        if self.context.source.is_shared_reader():
            return min(hold_s, self.plan.reader_hold_s())
        return hold_s

    async def _read_newest(self, started: float) -> None:
        page = await self.context.client.read_newest(self.plan.topic)
        records = page.records
        if self.plan.confirms_first_read and not self.copy.newest:
            records = await self._confirm_records(records)
        self._apply_full_read(records, page.end)
        self.freshness.note_read(started)
        self.plan.on_caught_up()
        if self.plan.lists_hosts:
            # Entries of hosts that start now are about to follow.
            self._had_records = True

    async def _confirm_records(
        self, records: list[topic_copy.TopicRecord]
    ) -> list[topic_copy.TopicRecord]:
        """Replaces records by newer ones of other hosts, and returns all."""
        # After an outage of the store, the follower of the list of hosts waits
        # for this read and has not read the list yet.
        self.context.watch.record_success()
        with anyio.move_on_after(_HOST_LIST_TIMEOUT_S):
            await self.context.hosts_read.wait()
        newest = {each.key: each for each in records}
        pages: list[feed.FeedPage] = []

        async def read_records(peer: feed_source.HostEntry) -> None:
            try:
                pages.append(await self._call_peer(peer, 0.0, True))
            except (http1_client.CallError, errors.PeerError) as error:
                # The host has just started as well, or is gone.
                _logger.debug("host %s sent no records: %s", peer.name, error)

        with anyio.move_on_after(_CONFIRM_TIMEOUT_S):
            async with anyio.create_task_group() as tasks:
                for peer in self.context.source.pick_confirming_hosts(
                    random.choice
                ):
                    tasks.start_soon(read_records, peer)
        for record in (each for page in pages for each in page.records):
            known = newest.get(record.key)
            if known is not None and self.plan.is_older(known, record):
                # The offset -1 marks records that the store does not have.
                unwritten = known.position._replace(offset=-1)
                newest[record.key] = record._replace(position=unwritten)
        return list(newest.values())

    async def _read_changes(self, hold_s: float) -> bool:
        """Reads the next changes; returns false if that was interrupted."""
        started = clock.now()
        page = None
        self._held_since = started
        with anyio.CancelScope() as self._held_scope:
            page = await self.context.client.read(
                self.plan.topic, self.copy.position or _START_POSITION, hold_s
            )
        self._held_scope = None
        if page is None:
            return False
        for record in page.records:
            self._apply_raw_record(record)
        if (self.copy.position or _START_POSITION) < page.end:
            return True  # incomplete: it proves nothing about later records
        elapsed_s = clock.now() - started
        held_s = 0.0 if page.records else min(hold_s, elapsed_s)
        self.freshness.note_read(started, held_s)
        return True

    def _apply_full_read(
        self,
        records: list[topic_copy.TopicRecord],
        end: position_lib.Position,
    ) -> None:
        """Replaces the copy by the newest records of all keys."""
        self._is_truncated = False
        if not self.copy.is_restored_by(end.era):
            self._apply_changes(self.copy.replace(records, end))
            return
        restored = self.copy.restore(
            records, end, self.plan.is_older, self.plan.keeps_missing
        )
        _logger.warning(
            "restored topic read",
            extra={
                "event": "topic_restored",
                "topic": self.plan.topic,
                "era": end.era,
                "end": end.offset,
                "changes": len(restored.changes),
                "lost": len(restored.lost),
            },
        )
        self._apply_changes(restored.changes)
        self.plan.on_lost(restored.lost)
        self.wake()

    def _apply_raw_record(self, raw: log_pages.LogRecord) -> None:
        try:
            record = log_pages.parse_keyed_record(raw)
        except errors.LogError as error:
            offset = raw.position.offset
            self.copy.advance(raw.position._replace(offset=offset + 1))
            self._report_bad_record(str(offset), error)
            return
        if self.copy.add(record):
            self._apply_changes([record])

    def _apply_changes(self, changes: list[topic_copy.TopicRecord]) -> None:
        for record in changes:
            try:
                self.plan.apply_record(record)
            except errors.ConfigurationError as error:
                self._report_bad_record(record.key, error)
        if changes:
            self._had_records = True
            self.wake()

    def wake(self) -> None:
        """Wakes all tasks that wait for `changed`."""
        self.changed.set()
        self.changed = anyio.Event()

    def _count_read(self, outcome: str, started: float) -> None:
        metrics = self.context.metrics
        metrics.store_calls.labels(self.plan.topic, outcome).inc()
        metrics.store_seconds.labels(self.plan.topic).observe(
            clock.now() - started
        )

    def _report_bad_record(
        self, key: str, error: errors.HillthreadError
    ) -> None:
        self.context.metrics.bad_records.labels(self.plan.topic).inc()
        _logger.error(
            "unreadable record ignored",
            extra={
                "event": "bad_record",
                "topic": self.plan.topic,
                "key": key,
                "reason": str(error),
            },
        )


def _compute_pause_s(failures: int, max_pause_s: float) -> float:
    pause_s = min(max_pause_s, _MIN_PAUSE_S * 2 ** (failures - 1))
    return pause_s * (
        1.0 + random.uniform(-_PAUSE_JITTER_SHARE, _PAUSE_JITTER_SHARE)
    )
