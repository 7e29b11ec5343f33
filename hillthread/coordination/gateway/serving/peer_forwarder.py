"""Forwards requests to other hosts while this one cannot reach their targets.

The other host serves a forwarded request as if its caller had sent it there: it
authenticates it, charges quotas and limits, and makes the attempts on targets.
It never forwards it again.
"""

from __future__ import annotations

from collections.abc import Callable
import functools
import random
from typing import NamedTuple

from hillthread import clock
from hillthread import errors
from hillthread.coordination.gateway import metrics as metrics_lib
from hillthread.coordination.gateway.peers import forwarding
from hillthread.coordination.gateway.serving import answer_reader
from hillthread.coordination.gateway.serving import chooser
from hillthread.coordination.gateway.serving import event_relay
from hillthread.coordination.gateway.serving import intake
from hillthread.coordination.gateway.serving import outcome as outcome_lib
from hillthread.coordination.gateway.serving import stream_binding
from hillthread.platform import attempts
from hillthread.state.cluster import feed_source
from hillthread.state.cluster import peer_choice
from hillthread.state.config import objects
from hillthread.state.routing import stream_origin
from hillthread.transport import connection_pool
from hillthread.transport import http1_client

__all__ = [
    "BUSY",
    "ForwardPlan",
    "ForwardedAttempt",
    "NO_LINK",
    "PeerForwarder",
]

# Error codes of hosts that cannot serve a forwarded request while others may.
NO_LINK = "no_link"
BUSY = "host_busy"
# Times for which a host is avoided after it has declined, by its reason.
_AVOID_S = {
    NO_LINK: 1.0,
    chooser.NO_TARGET: 0.3,
    BUSY: 0.2,
    intake.NOT_READY: 2.0,
    intake.OLDER_CONFIGURATION: 0.5,
}
_AVOID_UNREACHABLE_S = 2.0
# A release that does not know forwarded requests is replaced within minutes.
_AVOID_OLD_RELEASE_S = 60.0
# Reason of such a host for declining to continue a stream. It may serve others.
_NO_BOUND_STREAMS = "it does not know bound streams"
# These reasons concern one pool; the others concern the host.
_REASONS_OF_POOL = (NO_LINK, chooser.NO_TARGET)
_MAX_REFUSAL_BYTES = 65_536
# Hosts that are tried to find out whether this host's own link works.
_HOSTS_TRIED = 3


class ForwardPlan(NamedTuple):
    """An attempt at another host that is planned but not made yet.

    Attributes:
        peer: The other host.
        pool: The pool that is to serve the request.
    """

    peer: feed_source.HostEntry
    pool: objects.Pool


class ForwardedAttempt:
    """Sends a request to another host once, and relays its answer.

    Attributes:
        request: The caller's request.
        relay: Relays the events of the answer to the caller.
        binding: Binds the stream to the release that begins it.
        pool: Connections to other hosts.
        planned: Which host gets the request, and for which pool.
        note_head: Called with the target that answered and the decoded head.
        sent: Whether any part of the request may have reached the host.
    """

    def __init__(
        self,
        request: intake.GatewayRequest,
        relay: event_relay.EventRelay,
        binding: stream_binding.StreamBinding,
        pool: connection_pool.ConnectionPool,
        planned: ForwardPlan,
        note_head: Callable[[str, attempts.AnswerMeaning], None],
    ):
        self.request = request
        self.relay = relay
        self.binding = binding
        self.pool = pool
        self.planned = planned
        self.note_head = note_head
        self.sent = False
        self.reader = answer_reader.AnswerReader(request, relay)

    async def run(
        self, origin: forwarding.ForwardOrigin
    ) -> outcome_lib.ForwardOutcome:
        """Sends the request and returns the outcome.

        Args:
            origin: What this host has done with the request.
        """
        self.reader.hold(len(self.request.caller.body))
        try:
            return await self._connect_and_exchange(origin)
        finally:
            self.reader.release_all()

    async def _connect_and_exchange(
        self, origin: forwarding.ForwardOrigin
    ) -> outcome_lib.ForwardOutcome:
        max_idle_s = (
            float("inf")
            if self.request.repeatable
            else self.pool.unrepeatable_max_idle_s
        )
        call_id = attempts.make_request_call_id(self.request.request_id)
        try:
            connection = await self.pool.acquire(
                self.planned.peer.feed, max_idle_s, call_id
            )
        except http1_client.CallError as error:
            return outcome_lib.Unsent(error.reason)
        self.sent = True
        connection.stream.read_budget = self.relay.answer.budget
        try:
            return await self._exchange(connection, origin)
        except http1_client.CallError as error:
            return self.reader.failure_outcome(error)
        finally:
            await self.pool.release(connection)

    async def _exchange(
        self,
        connection: http1_client.ClientConnection,
        origin: forwarding.ForwardOrigin,
    ) -> outcome_lib.ForwardOutcome:
        sent = forwarding.encode_request(
            origin,
            self.planned.peer.name,
            self.request.caller,
            self.request.seconds_left(),
            self.relay.last_event_id,
        )
        await connection.send_request(sent)
        if not connection.is_body_sent:
            await connection.send_body(sent)
        head = await connection.read_head()
        if not head.get(forwarding.HOST_HEADER):
            await self.reader.discard(connection)
            if origin.stream_origin is not None:
                return outcome_lib.Declined(_NO_BOUND_STREAMS)
            return outcome_lib.Declined("it does not know forwarded requests")
        request_id = self.request.request_id.encode("latin-1")
        if attempts.decode_answer(head).request_id != request_id:
            connection.must_close = True
            return outcome_lib.Lost("crossed_answer")
        if head.get(forwarding.RUN_HEADER):
            return await self._read_refusal(connection, head)
        target = head.get(forwarding.TARGET_HEADER).decode("latin-1")
        # A host of an earlier release does not name the software of the run.
        origin = forwarding.decode_origin(
            head.headers
        ) or stream_origin.StreamOrigin(self.planned.pool.name, "")
        self.relay.on_first_event = functools.partial(
            self.binding.apply_first_event, origin
        )
        head = head._replace(headers=forwarding.strip_headers(head.headers))
        meaning = attempts.decode_answer(head)
        fault = answer_reader.find_fault(self.request, head, meaning)
        if fault:
            connection.must_close = True
            return outcome_lib.Lost(fault)
        self.note_head(target, meaning)
        return await self.reader.read(connection, head)

    async def _read_refusal(
        self,
        connection: http1_client.ClientConnection,
        head: http1_client.AnswerHead,
    ) -> outcome_lib.ForwardOutcome:
        body = await connection.read_body(_MAX_REFUSAL_BYTES)
        try:
            refusal = forwarding.decode_refusal(
                http1_client.WholeAnswer(head, body)
            )
        except errors.PeerError as error:
            return outcome_lib.Lost(error.message)
        if refusal.code in _AVOID_S and refusal.run is errors.RunState.NOT_RUN:
            sends = forwarding.decode_sends(head)
            if sends is None:
                # Targets of the other host may have refused the request.
                sends = int(refusal.code == chooser.NO_TARGET)
            return outcome_lib.Declined(refusal.code, sends)
        return outcome_lib.Refused(refusal)


class PeerForwarder:
    """Chooses other hosts and sends requests to them.

    Attributes:
        host: Name of this host.
        source: Lists the other hosts.
        choice: Which of them may be asked.
        pool: Connections to them.
        metrics: The gateway's metrics.
    """

    def __init__(
        self,
        source: feed_source.FeedSource,
        pool: connection_pool.ConnectionPool,
        metrics: metrics_lib.GatewayMetrics,
    ):
        self.host = source.name
        self.source = source
        self.choice = peer_choice.PeerChoice(source.name, source.data_centre)
        self.pool = pool
        self.metrics = metrics

    def plan(
        self, pool: objects.Pool, tried: frozenset[str] = frozenset()
    ) -> ForwardPlan | None:
        """Returns which host to ask, or None if there is none.

        Args:
            pool: The pool that is to serve the request.
            tried: Hosts that the request was sent to already.
        """
        peer = self.choice.choose(
            self.source.hosts.values(),
            pool.name,
            tried,
            clock.now(),
            random.choice,
        )
        return ForwardPlan(peer, pool) if peer else None

    def can_plan(self, pool: objects.Pool) -> bool:
        """Returns whether `plan` would return a host for a new request."""
        return self.choice.can_choose(
            self.source.hosts.values(), pool.name, clock.now()
        )

    async def reaches_other_host(self) -> bool:
        """Returns whether a connection to some other host can be opened."""
        others = [
            host
            for host in self.source.hosts.values()
            if host.name != self.host
        ]
        for host in random.sample(others, min(_HOSTS_TRIED, len(others))):
            try:
                connection = await self.pool.open(host.feed, "trial")
            except http1_client.CallError:
                continue
            await self.pool.release(connection)
            return True
        return False

    async def send(
        self,
        planned: ForwardPlan,
        attempt: ForwardedAttempt,
        origin: forwarding.ForwardOrigin,
    ) -> outcome_lib.ForwardOutcome:
        """Sends a request to another host and returns the outcome."""
        peer = planned.peer.name
        began_at = clock.now()
        result: outcome_lib.ForwardOutcome | None = None
        self.choice.begin(peer)
        try:
            result = await attempt.run(origin)
            return result
        finally:
            self.choice.end(peer)
            self._record(planned, attempt, result, clock.now() - began_at)

    def _record(
        self,
        planned: ForwardPlan,
        attempt: ForwardedAttempt,
        result: outcome_lib.ForwardOutcome | None,
        seconds: float,
    ) -> None:
        """Logs and counts an attempt, and avoids a host that cannot serve."""
        peer, pool = planned.peer.name, planned.pool.name
        kind = type(result).__name__.lower() if result else "abandoned"
        self.metrics.count_forwarded(peer, kind)
        now = clock.now()
        reason = None
        match result:
            case outcome_lib.Whole() | outcome_lib.Relayed():
                self.choice.use_again(peer, pool)
            case outcome_lib.Unsent(reason):
                self.choice.avoid(peer, "", now + _AVOID_UNREACHABLE_S)
            case outcome_lib.Declined(reason) if reason != _NO_BOUND_STREAMS:
                of_pool = pool if reason in _REASONS_OF_POOL else ""
                avoid_s = _AVOID_S.get(reason, _AVOID_OLD_RELEASE_S)
                self.choice.avoid(peer, of_pool, now + avoid_s)
            case (
                outcome_lib.Declined(reason)
                | outcome_lib.Lost(reason)
                | outcome_lib.Broken(reason)
            ):
                pass
            case outcome_lib.Refused(refusal):
                reason = refusal.code
        log = attempt.request.log
        is_served = isinstance(result, outcome_lib.Whole | outcome_lib.Relayed)
        (log.note if is_served else log.warn)(
            "forwarded",
            peer=peer,
            pool=pool,
            outcome=kind,
            reason=reason,
            seconds=round(seconds, 4),
        )
