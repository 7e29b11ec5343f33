"""Decides when one request goes to another host, and sends it there."""

from __future__ import annotations

from hillthread import errors
from hillthread.coordination.gateway.peers import forwarding
from hillthread.coordination.gateway.serving import event_relay
from hillthread.coordination.gateway.serving import intake
from hillthread.coordination.gateway.serving import outcome as outcome_lib
from hillthread.coordination.gateway.serving import peer_forwarder
from hillthread.coordination.gateway.serving import sender as sender_lib

__all__ = ["RequestForwarding"]

# Limits how often one request is sent to other hosts.
_MAX_FORWARDS = 3
# Attempts in a row that reached no target after which another host is asked,
# also while some targets of the pool count as reachable.
_FORWARD_AFTER_UNSENT = 2
_NO_LINK_RETRY_S = 0.3


class RequestForwarding:
    """Forwards one request while this host cannot reach its targets.

    Attributes:
        context: Services and state that all jobs share.
        request: The caller's request.
        relay: Relays the events of answers to the caller.
        sender: Counts the attempts that may have run.
        tried_peers: Hosts that the request was forwarded to.
        unsent_in_a_row: Attempts in a row that reached no target.
    """

    def __init__(
        self,
        context: sender_lib.JobContext,
        request: intake.GatewayRequest,
        relay: event_relay.EventRelay,
        sender: sender_lib.Sender,
    ):
        self.context = context
        self.request = request
        self.relay = relay
        self.sender = sender
        self.tried_peers: set[str] = set()
        self.unsent_in_a_row = 0

    def note_outcome(self, result: outcome_lib.Outcome) -> None:
        """Records the outcome of an attempt on a target."""
        is_unsent = isinstance(result, outcome_lib.Unsent)
        self.unsent_in_a_row = self.unsent_in_a_row + 1 if is_unsent else 0

    def is_needed(self) -> bool:
        """Returns whether this host cannot reach the targets of the route.

        Raises:
            RefusalError: It cannot, and another host has asked it.
        """
        pool = self.context.chooser.find_unreachable_pool(self.request)
        if pool is not None and self.request.forwarded is not None:
            raise _no_link(pool.name)
        return pool is not None or self.unsent_in_a_row >= _FORWARD_AFTER_UNSENT

    def plan(self) -> peer_forwarder.ForwardPlan | None:
        """Returns which other host to ask, or None if none may be."""
        if self.request.forwarded is not None:
            return None
        pool = self.context.chooser.choose_pool(self.request)
        if pool is None or len(self.tried_peers) >= _MAX_FORWARDS:
            return None
        return self.context.forwarder.plan(pool, frozenset(self.tried_peers))

    async def send(
        self, planned: peer_forwarder.ForwardPlan
    ) -> outcome_lib.ForwardOutcome:
        """Sends the request to another host; counts it if it may have run."""
        self.tried_peers.add(planned.peer.name)
        charges = self.sender.charges
        charges.begin_attempt()
        forwarder = self.context.forwarder
        attempt = peer_forwarder.ForwardedAttempt(
            self.request,
            self.relay,
            self.sender.binding,
            forwarder.pool,
            planned,
            self.sender.note_forwarded_head,
        )
        origin = forwarding.ForwardOrigin(
            forwarder.host,
            self.sender.attempts_made,
            self.sender.possible_runs,
            self.request.stream_origin,
            self.sender.site.configuration_version,
        )
        result: outcome_lib.ForwardOutcome | None = None
        try:
            result = await forwarder.send(planned, attempt, origin)
            return result
        finally:
            match result:
                case outcome_lib.Unsent():
                    pass
                case outcome_lib.Declined(_, sends):
                    charges.note_sent(sends)
                case outcome_lib.Refused(refusal):
                    is_run = refusal.run is not errors.RunState.NOT_RUN
                    self.sender.possible_runs += is_run
                    charges.note_sent()
                case _:
                    self.sender.possible_runs += attempt.sent
                    charges.note_sent(int(attempt.sent))
            charges.end_attempt()


def _no_link(pool: str) -> errors.RefusalError:
    """Returns the refusal of a request that another host has forwarded."""
    return errors.RefusalError(
        peer_forwarder.NO_LINK,
        503,
        f"This host cannot reach any target of {pool} either.",
        "Ask another host.",
        retry_after_s=_NO_LINK_RETRY_S,
    )
