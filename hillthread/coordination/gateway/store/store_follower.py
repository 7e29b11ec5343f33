"""Follows the keyed topics of the store: the newest of each key, then changes.

Reads are held by the store until something changes, so that a change is known
at once and a quiet topic costs few calls. In a data centre with many hosts most
of them read from one that reads for all.
"""

from __future__ import annotations

import logging
import random
from typing import NamedTuple

import anyio

from hillthread import clock
from hillthread import errors
from hillthread.coordination.gateway.store import topic_plan
from hillthread.platform import log_pages
from hillthread.platform import store
from hillthread.protocol import feed
from hillthread.state.cluster import feed_source
from hillthread.state.cluster import freshness
from hillthread.state.cluster import held_read
from hillthread.state.cluster import position as position_lib
from hillthread.state.cluster import topic_copy
from hillthread.transport import http1_client

__all__ = ["TopicFollower"]

_FIRST_PAUSE_S = 0.1
_LONGEST_PAUSE_S = 0.5
# The same where a data centre has many hosts, which share the store's rate.
_LONGEST_SHARED_PAUSE_S = 1.0
# A follower that waits for another one's success reads after this time.
_LONGEST_WAIT_S = 3.0
_JITTER = 0.3
# How old another host's knowledge may be before the store is read instead.
_PEER_AGE_S = 1.0
# A store that answers lists the hosts within this time.
_FIRST_HOSTS_S = 0.3
_MAX_PAGE_BYTES = 16_777_216
# Timeout of a peer that confirms what was read at a start.
_CONFIRM_S = 0.2
# Before the first read.
_START = position_lib.Position(0, 0)

_logger = logging.getLogger("hillthread.store")


class _PackedPage(NamedTuple):
    """Records that were packed for one host, for others that want the same.

    Attributes:
        position: Of the next record after them.
        since: Of the first of them; None for the newest of all keys.
        records: Packed.
    """

    position: position_lib.Position
    since: position_lib.Position | None
    records: bytes


class TopicFollower:
    """Follows one keyed topic.

    Attributes:
        plan: How.
        readers: What all followers share.
        copy: What is known of the topic.
        freshness: How old that is.
        changed: Set, and replaced, when a record came or reading fails.
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
        self._brought = False
        self._held: anyio.CancelScope | None = None
        self._held_since = 0.0
        self._lost_at: float | None = None
        self._is_truncated = False
        self._packed: _PackedPage | None = None

    def interrupt(self, before: float = float("inf")) -> None:
        """Sends a held read again that was sent before a time."""
        if self._held is not None and self._held_since < before:
            self._held.cancel()

    async def run(self) -> None:
        """Follows until cancelled."""
        failures = 0
        if not self.plan.lists_hosts:
            with anyio.move_on_after(_FIRST_HOSTS_S):
                await self.context.hosts_read.wait()
        while True:
            if self._brought:
                await anyio.sleep(self._gather_s())
            self._brought = False
            if not failures and not self.plan.lists_hosts:
                await self._wait_settled()
            peer = self._peer(failures)
            if peer is not None and await self._read_peer(peer):
                failures = 0
                continue
            failures = await self._read_store(failures)

    def _gather_s(self) -> float:
        """Returns how long to wait for more after a read that brought some.

        Where few hosts read, knowing early is worth more than the calls.
        """
        if self.context.source.has_shared_reader():
            return self.plan.batch_delay_s()
        return self.plan.lone_batch_delay_s

    async def _wait_settled(self) -> None:
        """Returns when it is known whom to read from.

        Hosts that start together list themselves one after the other. What was
        read at the start is new enough meanwhile, as behind a held read.
        """
        is_lost = self.context.watch.lost_at is not None
        if self.copy.position is None or is_lost:
            return
        with anyio.move_on_after(self.plan.store_hold_s()):
            await self.context.hosts_settled.wait()

    @property
    def has_lost_read(self) -> bool:
        """Whether a read was lost, and none was answered since."""
        return self._lost_at is not None

    @property
    def needs_full_read(self) -> bool:
        """Whether the topic has to be read whole again.

        The store was restored since, or does not keep what follows.
        """
        position = self.copy.position
        if position is None:
            return False
        return (
            self._is_truncated or position.era < self.context.client.current_era
        )

    def build_page(self, start: position_lib.Position) -> bytes:
        """Returns what another host wants to know now.

        Hosts that ask together get the same bytes, which are packed once.
        """
        position = self.copy.position or _START
        age_s = self.freshness.age(clock.now())
        records = self.copy.list_since(start)
        whole = records is None
        if records is None:
            records = list(self.copy.newest.values())
        since = None if whole else start
        packed = self._packed
        if packed is None or (packed.position, packed.since) != (
            position,
            since,
        ):
            packed = _PackedPage(position, since, feed.pack_records(records))
            self._packed = packed
        return feed.encode_page(position, whole, age_s, packed.records)

    def _peer(self, failures: int) -> feed_source.HostEntry | None:
        if failures or (self.copy.position is None and self.plan.lists_hosts):
            return None
        return self.context.source.pick(clock.now())

    async def _read_peer(self, peer: feed_source.HostEntry) -> bool:
        """Reads from another host; returns whether that helped."""
        started = clock.now()
        peer_hold_s = self.plan.peer_hold_s()
        page = None
        self._held_since = started
        try:
            with anyio.CancelScope() as self._held:
                page = await self._call_peer(peer, peer_hold_s)
            if self._held.cancelled_caught:
                return True  # it says nothing of the peer
        except http1_client.CallError as error:
            if error.sent:
                self._note_lost_read(error.reason)
        except errors.PeerError:
            pass  # it was answered, and is counted below
        now = clock.now()
        outcome = "peer_failed"
        if page is not None and self._is_current(page):
            is_first = self.copy.position is None
            self._take_page(page)
            if is_first:
                self.plan.on_caught_up()
            waited_s = min(peer_hold_s, now - started)
            held_s = 0.0 if page.records else waited_s
            self.freshness.note_read(started - page.age_s, held_s)
            self.context.watch.record_success()
            self._note_answer()
            outcome = "peer_answered"
        else:
            self.context.source.avoid(peer.name, now)
        self._count(outcome, started)
        return outcome == "peer_answered"

    def _is_current(self, page: feed.FeedPage) -> bool:
        """Returns whether another host knows enough to be followed."""
        if page.position.era < self.context.client.current_era:
            return False
        oldest_s = _PEER_AGE_S + self.plan.reader_hold_s()
        return page.age_s <= oldest_s

    async def _call_peer(
        self, peer: feed_source.HostEntry, wait_s: float
    ) -> feed.FeedPage:
        start = self.copy.position or _START
        query = feed.FeedQuery(self.plan.topic, start, wait_s)
        request = http1_client.ClientRequest(
            b"GET", feed.encode_query(query), [(b"host", peer.feed.encode())]
        )
        answer = await http1_client.call(
            self.context.peer_pool,
            peer.feed,
            request,
            wait_s + held_read.PEER_READ_LOST_AFTER_S,
            _MAX_PAGE_BYTES,
        )
        if answer.head.status != 200:
            raise errors.PeerError(
                f"Host {peer.name} answered with {answer.head.status}.",
                "It stops or has just started; the store is read instead.",
            )
        return feed.decode_page(answer.body)

    def _take_page(self, page: feed.FeedPage) -> None:
        self._is_truncated = False
        # A peer may know of a restoration before the store has answered.
        self.context.client.apply_era(page.position.era)
        if page.is_snapshot:
            if page.position < (self.copy.position or _START):
                return  # it knows less than this host
            self._take_whole(page.records, page.position)
            return
        for record in page.records:
            if self.copy.add(record):
                self._take_all([record])
        # Records that the other host could not read are not among them.
        self.copy.advance(page.position)

    async def _read_store(self, failures: int) -> int:
        """Reads from the store; returns failures in a row so far."""
        started = clock.now()
        try:
            if self.copy.position is None or self.needs_full_read:
                await self._read_newest(started)
            elif not await self._read_changes(self._wait_s(failures)):
                return 0  # interrupted: it says nothing of the store
        except store.TruncatedError:
            self._is_truncated = True
            self._count("truncated", started)
            return 0
        except store.RestoredError:
            self._count("restored", started)
            return 0
        except store.LostReadError as error:
            if not failures and self.context.watch.lost_at is None:
                self._note_lost_read(error.message)
                self._count("lost", started)
                return 1
            return await self._note_failure(failures, error, started)
        except errors.LogError as error:
            return await self._note_failure(failures, error, started)
        self.context.watch.record_success()
        self._count("answered", started)
        self._note_answer()
        return 0

    def _note_lost_read(self, reason: str) -> None:
        """Notes a read that was not answered; the next one shows more.

        It goes over a new connection at once: an open one may have died, or
        have fallen silent for good, while the store or the peer is well.
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

    def _note_answer(self) -> None:
        """Makes other reads suspect if this one follows one that was lost."""
        if self._lost_at is None:
            return
        lost_at, self._lost_at = self._lost_at, None
        self.context.watch.on_suspect(lost_at)

    async def _note_failure(
        self, failures: int, error: errors.LogError, started: float
    ) -> int:
        """Notes that the store fails and waits; returns failures so far."""
        self._lost_at = None
        self.context.watch.record_failure(error.message)
        self._count("failed", started)
        await self._pause(failures + 1)
        return failures + 1

    async def _pause(self, failures: int) -> None:
        """Returns when a store that failed may be read again.

        Each call has its price: one follower of the host finds out for all
        when the store answers again.
        """
        longest_s = _LONGEST_PAUSE_S
        if self.context.source.has_shared_reader():
            longest_s = _LONGEST_SHARED_PAUSE_S
        await anyio.sleep(_pause_s(failures, longest_s))
        is_lost = self.context.watch.lost_at is not None
        if is_lost and not self.plan.probes_store:
            with anyio.move_on_after(_LONGEST_WAIT_S):
                await self.context.watch.reachable.wait()

    def _wait_s(self, failures: int) -> float:
        """Returns how long the store is to hold the next read, seconds.

        After a failure or a lost read, also of another follower, an answer at
        once is wanted.
        """
        is_lost = self.context.watch.lost_at is not None
        if failures or is_lost or self._lost_at is not None:
            return 0.0
        wait_s = self.plan.store_hold_s()
        if self.context.source.is_shared_reader():
            return min(wait_s, self.plan.reader_hold_s())
        return wait_s

    async def _read_newest(self, started: float) -> None:
        page = await self.context.client.newest(self.plan.topic)
        records = page.records
        if self.plan.confirms_first_read and not self.copy.newest:
            records = await self._confirm(records)
        self._take_whole(records, page.end)
        self.freshness.note_read(started)
        self.plan.on_caught_up()
        if self.plan.lists_hosts:
            self._brought = True  # others that start now are about to come

    async def _confirm(
        self, records: list[topic_copy.TopicRecord]
    ) -> list[topic_copy.TopicRecord]:
        """Returns records of the store, or newer ones that other hosts have."""
        newest = {each.key: each for each in records}
        pages: list[feed.FeedPage] = []

        async def ask(peer: feed_source.HostEntry) -> None:
            try:
                pages.append(await self._call_peer(peer, 0.0))
            except (http1_client.CallError, errors.PeerError) as error:
                # It has just started, too, or is gone.
                _logger.debug("host %s confirms nothing: %s", peer.name, error)

        with anyio.move_on_after(_CONFIRM_S):
            async with anyio.create_task_group() as tasks:
                for peer in self.context.source.pick_confirming_hosts(
                    random.choice
                ):
                    tasks.start_soon(ask, peer)
        for record in (each for page in pages for each in page.records):
            known = newest.get(record.key)
            if known is not None and self.plan.is_older(known, record):
                unwritten = known.position._replace(offset=-1)
                newest[record.key] = record._replace(position=unwritten)
        return list(newest.values())

    async def _read_changes(self, wait_s: float) -> bool:
        """Reads what came since; returns false if that was interrupted."""
        started = clock.now()
        page = None
        self._held_since = started
        with anyio.CancelScope() as self._held:
            page = await self.context.client.read(
                self.plan.topic, self.copy.position or _START, wait_s
            )
        self._held = None
        if page is None:
            return False
        for record in page.records:
            self._take_raw(record)
        if (self.copy.position or _START) < page.end:
            return True  # the rest, which may be anything, comes with the next
        took_s = clock.now() - started
        held_s = 0.0 if page.records else min(wait_s, took_s)
        self.freshness.note_read(started, held_s)
        return True

    def _take_whole(
        self,
        records: list[topic_copy.TopicRecord],
        end: position_lib.Position,
    ) -> None:
        """Takes over the newest record of every key."""
        self._is_truncated = False
        if not self.copy.is_restored_by(end.era):
            self._take_all(self.copy.replace(records, end))
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
        self._take_all(restored.changes)
        self.plan.on_lost(restored.lost)
        self.wake()

    def _take_raw(self, raw: log_pages.LogRecord) -> None:
        try:
            record = log_pages.parse_keyed_record(raw)
        except errors.LogError as error:
            offset = raw.position.offset
            self.copy.advance(raw.position._replace(offset=offset + 1))
            self._note_bad(str(offset), error)
            return
        if self.copy.add(record):
            self._take_all([record])

    def _take_all(self, changes: list[topic_copy.TopicRecord]) -> None:
        for record in changes:
            try:
                self.plan.apply_record(record)
            except errors.ConfigurationError as error:
                self._note_bad(record.key, error)
        if changes:
            self._brought = True
            self.wake()

    def wake(self) -> None:
        """Wakes those who wait for a change."""
        self.changed.set()
        self.changed = anyio.Event()

    def _count(self, outcome: str, started: float) -> None:
        metrics = self.context.metrics
        metrics.store_calls.labels(self.plan.topic, outcome).inc()
        metrics.store_seconds.labels(self.plan.topic).observe(
            clock.now() - started
        )

    def _note_bad(self, key: str, error: errors.HillthreadError) -> None:
        self.context.metrics.bad_records.labels(self.plan.topic).inc()
        _logger.error(
            "record passed over",
            extra={
                "event": "bad_record",
                "topic": self.plan.topic,
                "key": key,
                "reason": str(error),
            },
        )


def _pause_s(failures: int, longest_s: float) -> float:
    pause = min(longest_s, _FIRST_PAUSE_S * 2 ** (failures - 1))
    return pause * (1.0 + random.uniform(-_JITTER, _JITTER))
