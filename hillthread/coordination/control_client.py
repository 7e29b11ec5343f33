"""The router's link to its host's control process."""

from __future__ import annotations

import collections
import hashlib
import itertools
import logging

import anyio

from hillthread import clock
from hillthread import errors
from hillthread.coordination import claims
from hillthread.coordination import configuration_keeper
from hillthread.coordination import record_pages
from hillthread.coordination import router as router_lib
from hillthread.coordination import share_outbox
from hillthread.protocol import documents
from hillthread.protocol import messages
from hillthread.state.config import routing_table
from hillthread.state.routing import load
from hillthread.state.routing import prompt
from hillthread.state.routing import records
from hillthread.state.routing import warmth
from hillthread.transport import link as link_lib

__all__ = ["ControlClient"]

# Interval at which demand and finished records are sent.
_DEMAND_INTERVAL_S = 1.0
# One record is sent to the log for this many requests that were answered at the
# first attempt.
_SAMPLE_INTERVAL_RECORDS = 100
# Bound on sending queued records when the process stops.
_FLUSH_TIMEOUT_S = 2.0
# Records queued for the link; beyond this, the oldest are dropped and counted.
_MAX_QUEUED_RECORDS = 500
# Pause before reconnecting to the control process.
_RECONNECT_PAUSE_S = 0.2
# Bound on waiting for the result of a claim.
_CLAIM_TIMEOUT_S = 4.0

_logger = logging.getLogger(__name__)


class ControlClient(claims.ClaimStore):
    """Exchanges state with the control process and makes claims through it.

    It receives the configuration and notices of targets and peers, and sends
    placement notices, demand and finished records. The router continues to
    serve with its last state while the link is down.

    Attributes:
        keeper: The configuration that the control process forwarded.
        link: The open link, or None.
    """

    def __init__(
        self,
        router: router_lib.Router,
        address: str,
        identity: link_lib.Identity,
        secret: str,
    ):
        self.router = router
        self.address = address
        self.identity = identity
        self.secret = secret
        self.keeper = configuration_keeper.ConfigurationKeeper()
        self.link: link_lib.Link | None = None
        self._claim_ids = itertools.count()
        self._claims: dict[int, _PendingClaim] = {}
        self._plain_count = 0
        self._queued_records: collections.deque[bytes] = collections.deque()
        router.on_finished = self.enqueue_record

    async def run(self) -> None:
        """Keeps the link open until cancelled."""
        while True:
            try:
                link = await link_lib.connect(
                    self.address, self.identity, self.secret
                )
            except errors.PeerError:
                self.router.metrics.links.labels("failed").inc()
                await anyio.sleep(_RECONNECT_PAUSE_S)
                continue
            self.router.metrics.links.labels("opened").inc()
            await self._serve(link)
            self.router.metrics.links.labels("closed").inc()

    async def claim(
        self, tenant: str, key: str, holder: str
    ) -> claims.ClaimResult:
        """See the base class."""
        if self.link is None:
            return claims.ClaimResult.UNAVAILABLE
        claim_id = next(self._claim_ids)
        digest = _claim_digest(tenant, key)
        pending = _PendingClaim()
        self._claims[claim_id] = pending
        try:
            await self.link.send(
                messages.ClaimRequest(claim_id, digest, holder)
            )
            with anyio.move_on_after(_CLAIM_TIMEOUT_S):
                await pending.answered.wait()
        except errors.PeerError:
            return claims.ClaimResult.UNAVAILABLE
        finally:
            del self._claims[claim_id]
        return pending.result

    async def release(self, tenant: str, key: str, holder: str) -> None:
        """See the base class."""
        if self.link is None:
            return
        digest = _claim_digest(tenant, key)
        try:
            await self.link.send(messages.ClaimRelease(digest, holder))
        except errors.PeerError:
            return

    def enqueue_record(self, record: records.RequestRecord) -> None:
        """Queues a finished record for the log, unless sampling drops it.

        Requests that were answered at the first attempt are sampled; the
        records of all others are queued.
        """
        is_plain = record.outcome == "answered" and len(record.attempts) == 1
        self._plain_count = (
            self._plain_count + is_plain
        ) % _SAMPLE_INTERVAL_RECORDS
        if is_plain and self._plain_count:
            return
        self._queued_records.append(documents.encode_document(record))
        if len(self._queued_records) > _MAX_QUEUED_RECORDS:
            self._queued_records.popleft()
            self.router.metrics.records_lost.inc()

    async def flush(self) -> None:
        """Sends the queued records before the process stops."""
        if self.link is None:
            return
        with anyio.move_on_after(_FLUSH_TIMEOUT_S):
            try:
                await self._send_queued_records(self.link)
            except errors.PeerError:
                return

    async def _send_queued_records(self, link: link_lib.Link) -> None:
        while self._queued_records:
            document = self._queued_records[0]
            await link.send(messages.FinishedRecord(document))
            self._queued_records.popleft()

    async def _serve(self, link: link_lib.Link) -> None:
        self.link = link
        try:
            async with anyio.create_task_group() as group:
                group.start_soon(self._send_placements, link)
                group.start_soon(self._send_demand_and_records, link)
                async for message in link.receive():
                    await self._handle(link, message)
                group.cancel_scope.cancel()
        except errors.PeerError as error:
            _logger.warning("%s", error, extra={"code": error.code})
        finally:
            self.link = None
            self.router.fleet.unreachable_router_count += (
                self.router.fleet.reachable_router_count
            )
            self.router.fleet.reachable_router_count = 0
            self.router.demand_shares.router_count = (
                1 + self.router.fleet.unreachable_router_count
            )

    async def _send_placements(self, link: link_lib.Link) -> None:
        """Sends placement notices.

        A notice is sent at once if none was sent recently; others are
        collected until the pause after the last message is over.
        """
        fleet = self.router.fleet
        while True:
            ready = anyio.Event()
            fleet.outbox.on_ready = ready.set
            if not fleet.outbox.notices:
                await ready.wait()
            notices = fleet.outbox.drain()
            placements = [_as_placement(notice) for notice in notices]
            try:
                await link.send(messages.Shares(placements))
            except errors.PeerError:
                return
            await anyio.sleep(self.router.settings.share_every_s)

    async def _send_demand_and_records(self, link: link_lib.Link) -> None:
        """Sends demand and finished records at fixed intervals."""
        while True:
            await anyio.sleep(_DEMAND_INTERVAL_S)
            rates = self.router.demand_shares.end_interval(clock.now())
            try:
                await link.send(messages.Demand(self.identity.host, rates))
                await self._send_queued_records(link)
            except errors.PeerError:
                return

    async def _handle(
        self, link: link_lib.Link, message: messages.Message
    ) -> None:
        fleet = self.router.fleet
        match message:
            case messages.SnapshotMessage():
                self._apply_snapshot(message)
            case messages.Records():
                self.keeper.apply_records(
                    message.first_offset, message.payloads, message.chain
                )
                self._apply_configuration()
            case messages.TargetState(target, incarnation, True):
                fleet.departures.mark_leaving(target, incarnation)
            case messages.TargetState(target, incarnation, False):
                fleet.departures.mark_live(target, incarnation)
            case messages.Loads():
                for each in message.loads:
                    self._apply_load(each)
            case messages.Shares():
                now = clock.now()
                for each in message.placements:
                    fleet.apply_placement_notice(_as_notice(each), now)
            case messages.Members():
                fleet.reachable_router_count = message.reachable
                fleet.unreachable_router_count = message.unreachable
                self.router.demand_shares.router_count = 1 + message.reachable
            case messages.Demand():
                self.router.demand_shares.update_peer(
                    message.host, message.rates, clock.now()
                )
            case messages.RecordQuery():
                await self._answer_query(link, message)
            case messages.ClaimReply():
                self._complete_claim(message)

    def _apply_snapshot(self, message: messages.SnapshotMessage) -> None:
        try:
            self.keeper.apply_snapshot(message.payload)
        except errors.ConfigurationError as error:
            _logger.warning("%s", error, extra={"code": error.code})
            return
        self._apply_configuration()

    def _apply_configuration(self) -> None:
        state = self.keeper.configuration
        table = routing_table.RoutingTable(state.position, state.decoded)
        self.router.apply_table(table)

    def _apply_load(self, message: messages.TargetLoad) -> None:
        fleet = self.router.fleet
        if message.incarnation:
            epoch = warmth.CacheEpoch(
                message.incarnation, message.weights_version
            )
            fleet.observe_epoch(message.target, epoch)
        fleet.apply_load_report(
            message.target,
            load.LoadReport(
                clock.now(),
                message.running,
                message.waiting,
                float(message.inserted_tokens),
                message.cache_tokens,
            ),
        )

    async def _answer_query(
        self, link: link_lib.Link, query: messages.RecordQuery
    ) -> None:
        wanted = record_pages.RecordFilter(
            query.request_id,
            query.tenant,
            query.target,
            query.reason,
            query.limit,
        )
        found = record_pages.select_records(self.router.records, wanted)
        data = documents.encode_document(found)
        await link.send(messages.RecordReply(query.query_id, data))

    def _complete_claim(self, reply: messages.ClaimReply) -> None:
        pending = self._claims.get(reply.claim_id)
        if pending is not None:
            pending.result = claims.ClaimResult(reply.verdict)
            pending.answered.set()


class _PendingClaim:
    """A claim that waits for its result."""

    def __init__(self):
        self.answered = anyio.Event()
        self.result = claims.ClaimResult.UNAVAILABLE


def _claim_digest(tenant: str, key: str) -> bytes:
    text = f"{tenant}\0{key}".encode()
    return hashlib.blake2b(text, digest_size=16).digest()


def _as_placement(
    notice: share_outbox.PlacementNotice,
) -> messages.SharedPlacement:
    return messages.SharedPlacement(
        notice.target,
        notice.incarnation,
        notice.weights_version,
        notice.prefill_tokens,
        [level.digest for level in notice.levels],
        [level.tokens for level in notice.levels],
    )


def _as_notice(
    placement: messages.SharedPlacement,
) -> share_outbox.PlacementNotice:
    pairs = zip(placement.digests, placement.tokens, strict=False)
    return share_outbox.PlacementNotice(
        placement.target,
        placement.incarnation,
        placement.weights_version,
        placement.prefill_tokens,
        tuple(prompt.PrefixLevel(*pair) for pair in pairs),
    )
