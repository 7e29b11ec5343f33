"""Asks routers and other hosts for decision records and gathers answers."""

from __future__ import annotations

import itertools
from typing import Any

import anyio
import msgspec

from hillthread.coordination import hub as hub_lib
from hillthread.protocol import messages

__all__ = ["RecordFinder"]

# Replies that come later are left out.
_QUERY_S = 1.0


class _Gathering:
    """Replies to one query."""

    def __init__(self, wanted: int):
        self.wanted = wanted
        self.replies: list[messages.RecordReply] = []
        self.complete = anyio.Event()


class RecordFinder:
    """Questions under way.

    Attributes:
        unanswered: Replies that did not come in time.
    """

    def __init__(self, hub: hub_lib.Hub):
        self.hub = hub
        self.missing_replies = 0
        self._ids = itertools.count()
        self._gatherings: dict[int, _Gathering] = {}

    async def find_on_all_hosts(
        self, query: messages.RecordQuery
    ) -> list[dict[str, Any]]:
        """Returns what this and all linked hosts keep, the newest first."""
        asked = [*self.hub.routers(), *self.hub.peers()]
        found: list[dict[str, Any]] = []
        for reply in await self._ask(asked, query, _QUERY_S):
            found += msgspec.json.decode(reply.documents)
        found.sort(key=lambda record: -record["received_at"])
        return found

    async def answer_query(
        self, link: hub_lib.OpenLink, query: messages.RecordQuery
    ) -> None:
        """Answers another host with what the own router keeps."""
        routers = self.hub.routers()
        replies = await self._ask(routers, query, _QUERY_S / 2)
        documents = replies[0].documents if replies else b"[]"
        self.hub.send(link, messages.RecordReply(query.query_id, documents))

    def apply_reply(self, reply: messages.RecordReply) -> None:
        """Takes in a reply; one that comes late is passed over."""
        gathering = self._gatherings.get(reply.query_id)
        if gathering is None:
            return
        gathering.replies.append(reply)
        if len(gathering.replies) >= gathering.wanted:
            gathering.complete.set()

    async def _ask(
        self,
        asked: list[hub_lib.OpenLink],
        query: messages.RecordQuery,
        timeout_s: float,
    ) -> list[messages.RecordReply]:
        if not asked:
            return []
        own_id = next(self._ids)
        gathering = _Gathering(len(asked))
        self._gatherings[own_id] = gathering
        query = msgspec.structs.replace(query, query_id=own_id)
        self.hub.broadcast(asked, query)
        try:
            with anyio.move_on_after(timeout_s):
                await gathering.complete.wait()
        finally:
            del self._gatherings[own_id]
        self.missing_replies += gathering.wanted - len(gathering.replies)
        return gathering.replies
