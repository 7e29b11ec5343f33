"""Serves other hosts, and the state of this host to operators.

Hosts of the data centre read topics from this host's copies, and hosts without
links to targets forward requests of their callers. Hosts look up here which
software began a stream. Operators list and
clear quarantined requests, and list the status of quotas, limits and targets.
"""

from __future__ import annotations

import anyio
import msgspec

from hillthread import clock
from hillthread import errors
from hillthread.coordination.gateway import site as site_lib
from hillthread.coordination.gateway.peers import forwarding
from hillthread.coordination.gateway.serving import limit_keeper
from hillthread.coordination.gateway.serving import quarantine_keeper
from hillthread.coordination.gateway.serving import quota_keeper
from hillthread.coordination.gateway.serving import stream_keeper
from hillthread.coordination.gateway.store import store_follower
from hillthread.platform import names
from hillthread.protocol import documents
from hillthread.protocol import feed
from hillthread.protocol import stream_query
from hillthread.transport import http1_server

__all__ = ["FeedServer"]

_MAX_HOLD_S = 5.0
_JSON_HEADERS = [(b"content-type", b"application/json")]
_CBOR_HEADERS = [(b"content-type", b"application/cbor")]


class FeedServer:
    """Answers requests of hosts and operators on the feed port.

    Attributes:
        site: State of this host; topics are not served while it is stopping or
            has lost the store.
        followers: Topic followers, by topic name.
        quarantine: Requests under which targets crashed.
        quotas: Quotas of organisations and their usage.
        limits: Limits that targets announced.
        streams: Records of streams.
        handle_forwarded: Serves a request that another host has forwarded.
    """

    def __init__(
        self,
        site: site_lib.Site,
        followers: dict[str, store_follower.TopicFollower],
        quarantine: quarantine_keeper.QuarantineKeeper,
        quotas: quota_keeper.QuotaKeeper,
        limits: limit_keeper.LimitKeeper,
        streams: stream_keeper.StreamKeeper,
        handle_forwarded: http1_server.Handler,
    ):
        self.site = site
        self.followers = followers
        self.quarantine = quarantine
        self.quotas = quotas
        self.limits = limits
        self.streams = streams
        self.handle_forwarded = handle_forwarded

    async def answer(
        self,
        caller: http1_server.CallerRequest,
        answer: http1_server.CallerAnswer,
    ) -> None:
        """Answers one request; its path selects what is asked for."""
        expected = caller.get(names.EXPECT_INCARNATION)
        if expected and expected != self.site.settings.host.encode():
            # The host for which it is meant had this address before.
            await answer.send_whole(421, [(names.NOT_RUN, b"1")], b"")
            return
        if caller.path in (
            forwarding.FORWARD_PATH,
            forwarding.FORWARD_BOUND_PATH,
        ):
            await self.handle_forwarded(caller, answer)
            return
        request_id = caller.get(names.REQUEST_ID)
        if request_id:
            answer.added_headers = [(names.REQUEST_ID, request_id)]
        if caller.path in (
            stream_query.STREAMS_PATH,
            stream_query.JOURNAL_PATH,
        ):
            await self._answer_streams(caller, answer)
        elif caller.path == feed.QUARANTINE_PATH:
            await self._answer_operator(answer, self._handle_quarantine(caller))
        elif caller.path == feed.QUOTAS_PATH:
            await self._answer_operator(answer, self.quotas.statuses())
        elif caller.path == feed.LIMITS_PATH:
            await self._answer_operator(answer, self.limits.statuses())
        elif caller.path == feed.TARGETS_PATH:
            statuses = self.site.target_statuses(clock.now())
            await self._answer_operator(answer, statuses)
        elif caller.path == feed.RELEASES_PATH:
            await self._answer_operator(answer, self.site.release_statuses())
        else:
            await self._answer_host(caller, answer)

    async def _answer_streams(
        self,
        caller: http1_server.CallerRequest,
        answer: http1_server.CallerAnswer,
    ) -> None:
        """Answers a lookup of a stream, or accepts records of streams."""
        reply = b""
        try:
            if caller.path == stream_query.JOURNAL_PATH:
                self.streams.journal_writer.apply_batch(caller.body)
            elif caller.method == b"PUT":
                self.streams.apply_handoff(caller.body)
            else:
                reply = await self.streams.answer_query(caller.body)
        except errors.PeerError:
            await answer.send_whole(400, [], b"")
            return
        except errors.LogError:
            await answer.send_whole(503, [], b"")
            return
        await answer.send_whole(200, _CBOR_HEADERS, reply)

    def _handle_quarantine(self, caller: http1_server.CallerRequest) -> object:
        """Lists quarantined requests, or clears the one in the body."""
        if caller.method == b"GET":
            return self.quarantine.suspects()
        digest = caller.body.decode("latin-1")
        return {"cleared": self.quarantine.clear(digest)}

    async def _answer_operator(
        self, answer: http1_server.CallerAnswer, value: object
    ) -> None:
        body = msgspec.json.encode(documents.as_document(value))
        await answer.send_whole(200, _JSON_HEADERS, body)

    async def _answer_host(
        self,
        caller: http1_server.CallerRequest,
        answer: http1_server.CallerAnswer,
    ) -> None:
        """Holds a query until there are new records or its hold time ends."""
        try:
            query = feed.parse_query(caller.target)
        except errors.PeerError:
            await answer.send_whole(400, [], b"")
            return
        follower = self.followers.get(query.topic)
        if follower is None or follower.copy.position is None:
            await answer.send_whole(503, [], b"")
            return
        if query.is_confirmation:
            # The asking host takes only what is newer than the store's, so that
            # knowledge from before an outage counts as well.
            await answer.send_whole(
                200, _CBOR_HEADERS, follower.build_page(query.start)
            )
            return
        with anyio.move_on_after(min(query.wait_s, _MAX_HOLD_S)):
            while self._can_serve_topic(follower) and not _has_new_records(
                follower, query
            ):
                await follower.changed.wait()
        if not self._can_serve_topic(follower) or follower.needs_full_read:
            await answer.send_whole(503, [], b"")
            return
        await answer.send_whole(
            200, _CBOR_HEADERS, follower.build_page(query.start)
        )

    def _can_serve_topic(self, follower: store_follower.TopicFollower) -> bool:
        """Returns whether this host receives changes and is not stopping.

        Other hosts must not wait for a host that receives none. A single lost
        read counts: where a configuration must apply within 2 s, that read is
        found lost at most 1.7 s after the change (held for 1.1 s, lost after a
        further 0.6 s). A second lost read would be found a second later.
        """
        return not (
            self.site.is_draining
            or self.site.is_store_lost
            or follower.has_lost_read
        )


def _has_new_records(
    follower: store_follower.TopicFollower, query: feed.FeedQuery
) -> bool:
    """Returns whether the copy has records that a query lacks.

    A topic that needs a full read has none until that read is done. Its readers
    keep waiting here, so that they don't all read the store at once.
    """
    position = follower.copy.position
    if position is None or follower.needs_full_read:
        return False
    return position > query.start
