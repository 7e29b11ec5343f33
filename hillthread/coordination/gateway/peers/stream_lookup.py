"""Looks up at other hosts which software began a stream."""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

import anyio
import anyio.abc

from hillthread import clock
from hillthread import errors
from hillthread.platform import call_ids
from hillthread.protocol import stream_query
from hillthread.state.cluster import feed_source
from hillthread.state.cluster import record_placement
from hillthread.state.cluster import stream_records
from hillthread.state.quotas import limits
from hillthread.transport import connection_pool
from hillthread.transport import http1_client

__all__ = ["LookupResult", "StreamLookup"]

# This host and another one.
_MIN_HOSTS = 2
# Longest time for a lookup. Hosts that work answer within milliseconds.
_TIMEOUT_S = 0.15
# Silence of a replica after which further hosts are asked.
_FALLBACK_AFTER_S = 0.02
# Lookups a second that may ask hosts beyond the replicas.
_MAX_FALLBACKS_PER_S = 40.0
# Time for which a host that has not answered is not asked again.
_AVOID_S = 1.0


class LookupResult(NamedTuple):
    """The result of a lookup.

    Attributes:
        notice: The record; None if no host has one.
        asked: Number of hosts that were asked.
        unanswered: Those of them that did not answer, and those not asked.
        seconds: Duration.
    """

    notice: stream_query.StreamNotice | None
    asked: int
    unanswered: int
    seconds: float


class StreamLookup:
    """Asks other hosts for records of streams.

    Attributes:
        source: Lists the other hosts.
        placement: Selects the hosts to ask.
        pool: Connections to them.
    """

    def __init__(
        self,
        source: feed_source.FeedSource,
        placement: record_placement.RecordPlacement,
        pool: connection_pool.ConnectionPool,
    ):
        self.source = source
        self.placement = placement
        self.pool = pool
        self._fallback_bucket = limits.TokenBucket(
            _MAX_FALLBACKS_PER_S, clock.now()
        )
        self._avoided_until: dict[str, float] = {}

    async def find(self, key: stream_records.StreamKey) -> LookupResult:
        """Returns the record of a stream that some other host has.

        The replicas are asked first. Unless one of them has the record, more
        hosts are asked: lists of members differ while hosts join, and a
        replica that has restarted has lost its records.
        """
        search = _Search(self, key)
        return await search.run()

    def may_ask_more(self) -> bool:
        """Counts a lookup that asks hosts beyond the replicas, if it may."""
        if self._fallback_bucket.wait_s(clock.now()) > 0.0:
            return False
        self._fallback_bucket.spend(1.0)
        return True

    def is_avoided(self, host: str) -> bool:
        """Returns whether a host has just failed to answer."""
        return clock.now() < self._avoided_until.get(host, 0.0)

    async def ask(
        self, host: feed_source.HostEntry, key: stream_records.StreamKey
    ) -> stream_query.StreamNotice | None:
        """Returns the record that a host has, or None.

        Raises:
            CallError: The host does not answer.
        """
        query = stream_query.StreamQuery(key.tenant, key.digest)
        answer = await self.call(host, query)
        # Earlier releases have no records and answer with an error.
        if answer.head.status != 200:
            return None
        try:
            return stream_query.decode_reply(answer.body)
        except errors.PeerError:
            return None

    async def call(
        self, host: feed_source.HostEntry, query: stream_query.StreamQuery
    ) -> http1_client.WholeAnswer:
        """Returns the answer of a host to a query.

        Raises:
            CallError: The host does not answer.
        """
        request = call_ids.make_host_request(
            host,
            b"POST",
            stream_query.STREAMS_PATH.encode(),
            stream_query.encode_query(query),
        )
        try:
            return await connection_pool.call(
                self.pool,
                host.feed,
                request,
                _TIMEOUT_S,
                stream_query.MAX_REPLY_BYTES,
            )
        except http1_client.CallError:
            self._avoided_until[host.name] = clock.now() + _AVOID_S
            raise


class _Search:
    """One lookup, which asks several hosts at the same time."""

    def __init__(self, lookup: StreamLookup, key: stream_records.StreamKey):
        self.lookup = lookup
        self.key = key
        self.notice: stream_query.StreamNotice | None = None
        self.asked = 0
        self.unanswered = 0
        self.pending = 0
        self.idle = anyio.Event()
        self.scope = anyio.CancelScope()

    async def run(self) -> LookupResult:
        began_at = clock.now()
        self.scope.deadline = began_at + _TIMEOUT_S
        hosts = list(self.lookup.source.hosts.values())
        digest = self.key.digest
        with self.scope:
            async with anyio.create_task_group() as tasks:
                replicas = self.lookup.placement.replicas(digest, hosts)
                self._ask_all(tasks, replicas)
                with anyio.move_on_after(_FALLBACK_AFTER_S):
                    await self._wait_until_idle()
                more = self.lookup.placement.fallback_hosts(digest, hosts)
                if more and self.lookup.may_ask_more():
                    self._ask_all(tasks, more)
                else:
                    self.unanswered += len(more)
        if self.notice is None:
            self.unanswered += self.pending
        if len(hosts) < _MIN_HOSTS:
            self.unanswered += 1  # the list of hosts is not read yet
        return LookupResult(
            self.notice, self.asked, self.unanswered, clock.now() - began_at
        )

    def _ask_all(
        self,
        tasks: anyio.abc.TaskGroup,
        hosts: Iterable[feed_source.HostEntry],
    ) -> None:
        for host in hosts:
            if self.lookup.is_avoided(host.name):
                self.unanswered += 1
                continue
            self.asked += 1
            self.pending += 1
            tasks.start_soon(self._ask, host)

    async def _wait_until_idle(self) -> None:
        if self.pending:
            await self.idle.wait()

    async def _ask(self, host: feed_source.HostEntry) -> None:
        try:
            found = await self.lookup.ask(host, self.key)
        except http1_client.CallError:
            self.unanswered += 1
            found = None
        self.pending -= 1
        if found is not None:
            self.notice = found
            self.scope.cancel()
        elif not self.pending:
            self.idle.set()
