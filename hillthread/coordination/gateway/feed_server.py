"""Answers other hosts of the data centre from this host's copies of topics."""

from __future__ import annotations

import anyio

from hillthread import errors
from hillthread.coordination.gateway import site as site_lib
from hillthread.coordination.gateway import store_follower
from hillthread.protocol import feed
from hillthread.transport import http1_server

__all__ = ["FeedServer"]

_LONGEST_WAIT_S = 5.0
_CBOR = [(b"content-type", b"application/cbor")]


class FeedServer:
    """Holds the questions of other hosts until there is something to tell.

    Attributes:
        site: The host's beliefs: a host that stops answers no more.
        followers: By the name of their topic.
    """

    def __init__(
        self,
        site: site_lib.Site,
        followers: dict[str, store_follower.TopicFollower],
    ):
        self.site = site
        self.followers = followers

    async def answer(
        self,
        caller: http1_server.CallerRequest,
        answer: http1_server.CallerAnswer,
    ) -> None:
        """Answers one question."""
        try:
            query = feed.parse_query(caller.target)
        except errors.PeerError:
            await answer.send_whole(400, [], b"")
            return
        follower = self.followers.get(query.topic)
        if follower is None or follower.copy.position is None:
            await answer.send_whole(503, [], b"")
            return
        with anyio.move_on_after(min(query.wait_s, _LONGEST_WAIT_S)):
            while self._learns() and follower.copy.position <= query.start:
                await follower.changed.wait()
        if not self._learns():
            await answer.send_whole(503, [], b"")
            return
        page = feed.encode_page(follower.page(query.start))
        await answer.send_whole(200, _CBOR, page)

    def _learns(self) -> bool:
        """Returns whether this host hears of changes, and goes on doing so.

        Others must not wait for one that does not.
        """
        return not (self.site.draining or self.site.is_store_lost)
