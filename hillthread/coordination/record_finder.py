"""Queries routers and other hosts for decision records."""

from __future__ import annotations

import itertools
from typing import Any

import anyio
import msgspec

from hillthread.coordination import hub as hub_lib
from hillthread.protocol import messages

__all__ = ["RecordFinder"]

# Replies that arrive later are ignored.
_QUERY_TIMEOUT_S = 1.0


class _PendingQuery:
    """A query in progress and the replies received so far."""

    def __init__(self, expected_replies: int):
        self.expected_replies = expected_replies
        self.replies: list[messages.RecordReply] = []
        self.complete = anyio.Event()


class RecordFinder:
    """Sends queries for decision records and collects the replies.

    Attributes:
        missing_replies: Number of replies that did not arrive in time.
    """

    def __init__(self, hub: hub_lib.Hub):
        self.hub = hub
        self.missing_replies = 0
        self._query_ids = itertools.count()
        self._pending_queries: dict[int, _PendingQuery] = {}

    async def find_on_all_hosts(
        self, query: messages.RecordQuery
    ) -> list[dict[str, Any]]:
        """Returns the records of this and all linked hosts, newest first."""
        recipients = [*self.hub.routers(), *self.hub.peers()]
        found: list[dict[str, Any]] = []
        for reply in await self._send_query(
            recipients, query, _QUERY_TIMEOUT_S
        ):
            found += msgspec.json.decode(reply.documents)
        found.sort(key=lambda record: -record["received_at"])
        return found

    async def answer_query(
        self, link: hub_lib.OpenLink, query: messages.RecordQuery
    ) -> None:
        """Answers another host with the records of this host's router."""
        routers = self.hub.routers()
        replies = await self._send_query(routers, query, _QUERY_TIMEOUT_S / 2)
        documents = replies[0].documents if replies else b"[]"
        self.hub.send(link, messages.RecordReply(query.query_id, documents))

    def apply_reply(self, reply: messages.RecordReply) -> None:
        """Applies a reply; ignores one that arrives late."""
        pending = self._pending_queries.get(reply.query_id)
        if pending is None:
            return
        pending.replies.append(reply)
        if len(pending.replies) >= pending.expected_replies:
            pending.complete.set()

    async def _send_query(
        self,
        recipients: list[hub_lib.OpenLink],
        query: messages.RecordQuery,
        timeout_s: float,
    ) -> list[messages.RecordReply]:
        if not recipients:
            return []
        own_query_id = next(self._query_ids)
        pending = _PendingQuery(len(recipients))
        self._pending_queries[own_query_id] = pending
        query = msgspec.structs.replace(query, query_id=own_query_id)
        self.hub.broadcast(recipients, query)
        try:
            with anyio.move_on_after(timeout_s):
                await pending.complete.wait()
        finally:
            del self._pending_queries[own_query_id]
        self.missing_replies += pending.expected_replies - len(pending.replies)
        return pending.replies
