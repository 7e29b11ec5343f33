"""Records which software began each stream, for callers that reconnect.

A host records each stream that it begins and sends the record to its replicas
before it relays the first event, so that the caller can reconnect at once, to
any host. The journal in the store has the records that all hosts have lost. A
stream without a record is never continued.
"""

from __future__ import annotations

import logging

import anyio

from hillthread import clock
from hillthread.coordination.gateway import site as site_lib
from hillthread.coordination.gateway.peers import journal_lookup
from hillthread.coordination.gateway.peers import journal_writer
from hillthread.coordination.gateway.peers import origin_lookup
from hillthread.coordination.gateway.peers import stream_lookup
from hillthread.coordination.gateway.peers import work_feed
from hillthread.coordination.gateway.serving import intake
from hillthread.coordination.gateway.serving import stream_refusals
from hillthread.coordination.gateway.store import stream_journal
from hillthread.platform import call_ids
from hillthread.platform import resumption as resumption_lib
from hillthread.protocol import stream_query
from hillthread.state.cluster import feed_source
from hillthread.state.cluster import record_placement
from hillthread.state.cluster import stream_records
from hillthread.state.routing import stream_origin
from hillthread.transport import connection_pool
from hillthread.transport import http1_client

__all__ = ["StreamKeeper"]

# Records take about 7 MB of memory at this number.
_MAX_RECORDS = 20_000
# Callers reconnect within this time after the timeout of the route.
_RETURN_S = 60.0
_EXPIRY_INTERVAL_S = 5.0
_MAX_NOTICES_PER_CALL = 200
_HANDOFF_TIMEOUT_S = 1.0

_logger = logging.getLogger("hillthread.streams")


class StreamKeeper:
    """Records streams, answers other hosts, and checks reconnects.

    Attributes:
        site: The host's view of the site.
        work: Sends notices to other hosts.
        source: Lists the other hosts.
        placement: Selects the hosts that hold a record.
        lookup: Asks other hosts.
        journal: The journal as read by this host.
        origins: Looks up what this host has no record of.
        journal_writer: Writes records to the journal.
        records: The records that this host holds.
    """

    def __init__(
        self,
        site: site_lib.Site,
        work: work_feed.WorkFeed,
        pool: connection_pool.ConnectionPool,
        journal: stream_journal.StreamJournal,
        writer: journal_writer.JournalWriter,
    ):
        self.site = site
        self.work = work
        self.source = work.source
        self.placement = record_placement.RecordPlacement(
            self.source.name, self.source.data_centre
        )
        self.lookup = stream_lookup.StreamLookup(
            self.source, self.placement, pool
        )
        self.journal = journal
        self.origins = origin_lookup.OriginLookup(
            self.lookup,
            journal_lookup.JournalLookup(self.source, self.lookup, journal),
        )
        self.journal_writer = writer
        self.records = stream_records.StreamRecords(_MAX_RECORDS)
        work.apply_stream = self.apply_notice

    def record(self, request: intake.GatewayRequest) -> None:
        """Records a stream that a request of this host has just begun."""
        origin = request.stream_origin
        if origin is None or not origin.release:
            return
        self.site.metrics.streams_bound.inc()
        key = stream_records.make_key(request.tenant_name, request.request_id)
        self._record_and_notify(key, origin, _compute_ttl_s(request))

    async def resolve(self, request: intake.GatewayRequest) -> None:
        """Sets the origin of the stream that a request resumes, if any.

        Raises:
            RefusalError: The origin is not known; the request has not run.
        """
        resumption = request.resumption
        if resumption is None or request.stream_origin is not None:
            return
        if resumption.fault:
            raise stream_refusals.make_invalid_error(resumption.fault)
        if not resumption.stream_id:
            raise stream_refusals.make_unnamed_error()
        key = stream_records.make_key(request.tenant_name, resumption.stream_id)
        record = self.records.get(key, clock.now())
        if record is not None:
            origin = record.origin
            _log_reconnect(request, resumption, origin)
        else:
            origin = await self._look_up(key, request, resumption)
        if not origin.release:
            raise stream_refusals.make_doubtful_error(origin)
        request.stream_origin = origin
        self._record_and_notify(key, origin, _compute_ttl_s(request))

    def apply_notice(self, notice: stream_query.StreamNotice) -> None:
        """Records a stream of which another host has notified this one."""
        key = stream_records.StreamKey(notice.tenant, notice.digest)
        now = clock.now()
        is_new = self.records.get(key, now) is None
        self.records.put(
            key,
            stream_origin.StreamOrigin(notice.pool, notice.release),
            now + notice.ttl_s,
        )
        # The records of a stopping host were handed off before. One that is not
        # new may come from another stopping host that got it from this one.
        if is_new and self.site.is_draining:
            successor = self._successor(key)
            self.work.notify_stream(notice, [successor] if successor else [])

    async def answer_query(self, raw: bytes) -> bytes:
        """Returns the encoded reply to another host's query.

        Raises:
            PeerError: The query is not valid.
            LogError: The journal, which is to be read, cannot be read now.
        """
        query = stream_query.decode_query(raw)
        key = stream_records.StreamKey(query.tenant, query.digest)
        record = self.records.get(key, clock.now())
        if record is None and query.reads_journal:
            record = await self.journal.find(key)
        notice = _make_notice(key, record, clock.now()) if record else None
        return stream_query.encode_reply(notice)

    def apply_handoff(self, raw: bytes) -> None:
        """Records the streams that a stopping host hands off.

        Raises:
            PeerError: The message is not valid.
        """
        for notice in stream_query.decode_notices(raw):
            self.apply_notice(notice)

    async def hand_off(self) -> None:
        """Sends the records of this host to their next replicas."""
        now = clock.now()
        notices: dict[
            feed_source.HostEntry, list[stream_query.StreamNotice]
        ] = {}
        for key, record in self.records.items():
            host = self._successor(key)
            if host is not None and record.expires_at > now:
                notice = _make_notice(key, record, now)
                notices.setdefault(host, []).append(notice)
        async with anyio.create_task_group() as tasks:
            for host, pending in notices.items():
                tasks.start_soon(self._send_records, host, pending)
        _logger.info(
            "records of streams handed off",
            extra={
                "event": "streams_handed_off",
                "records": len(self.records),
                "sent": sum(len(each) for each in notices.values()),
                "hosts": len(notices),
            },
        )

    async def run(self) -> None:
        """Drops expired records until cancelled."""
        while True:
            await anyio.sleep(_EXPIRY_INTERVAL_S)
            self.records.expire(clock.now())
            self.journal.records.expire(clock.now())
            self.site.metrics.stream_records.set(len(self.records))

    async def _look_up(
        self,
        key: stream_records.StreamKey,
        request: intake.GatewayRequest,
        resumption: resumption_lib.Resumption,
    ) -> stream_origin.StreamOrigin:
        """Returns the origin that another host or the journal has recorded.

        Raises:
            RefusalError: None that answers has a record.
        """
        result = await self.origins.find(key)
        self.site.metrics.observe_stream_lookup(
            "found" if result.origin else "unknown", result.seconds
        )
        _log_reconnect(
            request,
            resumption,
            result.origin,
            asked=result.asked,
            unanswered=result.unanswered,
            journal_read=result.is_journal_read,
            seconds=round(result.seconds, 4),
        )
        if result.origin is None:
            raise stream_refusals.make_unknown_error(result)
        return result.origin

    def _record_and_notify(
        self,
        key: stream_records.StreamKey,
        origin: stream_origin.StreamOrigin,
        ttl_s: float,
    ) -> None:
        now = clock.now()
        record = stream_records.StreamRecord(origin, now + ttl_s)
        self.records.put(key, *record)
        replicas = self.placement.replicas(
            key.digest, self.source.hosts.values()
        )
        notice = _make_notice(key, record, now)
        self.work.notify_stream(notice, replicas)
        self.journal_writer.add(notice)

    def _successor(
        self, key: stream_records.StreamKey
    ) -> feed_source.HostEntry | None:
        return self.placement.successor(key.digest, self.source.hosts.values())

    async def _send_records(
        self,
        host: feed_source.HostEntry,
        notices: list[stream_query.StreamNotice],
    ) -> None:
        for start in range(0, len(notices), _MAX_NOTICES_PER_CALL):
            page = notices[start : start + _MAX_NOTICES_PER_CALL]
            request = call_ids.make_host_request(
                host,
                b"PUT",
                stream_query.STREAMS_PATH.encode(),
                stream_query.encode_notices(page),
            )
            try:
                await connection_pool.call(
                    self.lookup.pool,
                    host.feed,
                    request,
                    _HANDOFF_TIMEOUT_S,
                    stream_query.MAX_REPLY_BYTES,
                )
            except http1_client.CallError as error:
                _logger.warning(
                    "records of streams not handed off",
                    extra={
                        "event": "streams_lost",
                        "records": len(notices) - start,
                        "reason": error.reason,
                    },
                )
                return


def _make_notice(
    key: stream_records.StreamKey,
    record: stream_records.StreamRecord,
    now: float,
) -> stream_query.StreamNotice:
    return stream_query.StreamNotice(
        key.tenant,
        key.digest,
        record.origin.pool,
        record.origin.release,
        max(1, round(record.expires_at - now)),
    )


def _log_reconnect(
    request: intake.GatewayRequest,
    resumption: resumption_lib.Resumption,
    origin: stream_origin.StreamOrigin | None,
    **fields: float | None,
) -> None:
    request.log.warn(
        "reconnect",
        stream=resumption.stream_id,
        last_event_id=resumption.last_event_id,
        pool=origin.pool if origin else None,
        release=origin.release if origin else None,
        **fields,
    )


def _compute_ttl_s(request: intake.GatewayRequest) -> float:
    """Returns the time for which the record of a stream is needed."""
    return request.route.timeout_s + _RETURN_S
