"""Looks up in the journal which software began a stream.

In a data centre with several hosts one of them reads the journal for all.
"""

from __future__ import annotations

import anyio

from hillthread import clock
from hillthread import errors
from hillthread.coordination.gateway.peers import stream_lookup
from hillthread.coordination.gateway.store import stream_journal
from hillthread.protocol import stream_query
from hillthread.state.cluster import feed_source
from hillthread.state.cluster import stream_records
from hillthread.state.routing import stream_origin
from hillthread.transport import http1_client

__all__ = ["JournalLookup"]

# Silence of the host that reads the journal after which it is read here.
_READER_TIMEOUT_S = 0.05
# Longest time for a lookup, so that refusals come at once.
_TIMEOUT_S = 0.15


class JournalLookup:
    """Asks the host that reads the journal, or reads it here.

    Attributes:
        source: Selects that host.
        lookup: Calls other hosts.
        journal: The journal as read by this host.
    """

    def __init__(
        self,
        source: feed_source.FeedSource,
        lookup: stream_lookup.StreamLookup,
        journal: stream_journal.StreamJournal,
    ):
        self.source = source
        self.lookup = lookup
        self.journal = journal

    async def find(
        self, key: stream_records.StreamKey
    ) -> stream_records.StreamRecord | None:
        """Returns the record of a stream, or None if the journal has none.

        Raises:
            LogError: The journal cannot be read now.
        """
        with anyio.move_on_after(_TIMEOUT_S):
            return await self._find(key)
        raise errors.LogError(
            "The journal of streams was not read in time.",
            "Streams that no host knows are refused meanwhile.",
        )

    async def _find(
        self, key: stream_records.StreamKey
    ) -> stream_records.StreamRecord | None:
        reader = self.source.pick(clock.now())
        if reader is not None and not self.lookup.is_avoided(reader.name):
            try:
                with anyio.move_on_after(_READER_TIMEOUT_S):
                    return await self._ask(reader, key)
            except (http1_client.CallError, errors.PeerError):
                pass  # it has just started or is gone: read here instead
        return await self.journal.find(key)

    async def _ask(
        self, reader: feed_source.HostEntry, key: stream_records.StreamKey
    ) -> stream_records.StreamRecord | None:
        """Returns the record that another host finds in the journal.

        Raises:
            CallError: The host does not answer.
            PeerError: The host cannot read the journal.
        """
        query = stream_query.StreamQuery(key.tenant, key.digest, True)
        answer = await self.lookup.call(reader, query)
        if answer.head.status != 200:
            raise errors.PeerError(
                f"Host {reader.name} answered with {answer.head.status}.",
                "The journal is read from the store instead.",
            )
        notice = stream_query.decode_reply(answer.body)
        if notice is None:
            return None
        return stream_records.StreamRecord(
            stream_origin.StreamOrigin(notice.pool, notice.release),
            clock.now() + notice.ttl_s,
        )
