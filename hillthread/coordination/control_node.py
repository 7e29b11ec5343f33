"""One host's control process: handles messages of its router and peers."""

from __future__ import annotations

import logging
from typing import Any

import anyio
import prometheus_client

from hillthread import clock
from hillthread import errors
from hillthread import settings as settings_lib
from hillthread.coordination import claim_keeper as claim_keeper_lib
from hillthread.coordination import configuration_keeper
from hillthread.coordination import engine_roster
from hillthread.coordination import hub as hub_lib
from hillthread.coordination import record_archive
from hillthread.coordination import record_finder
from hillthread.protocol import messages
from hillthread.state.cluster import membership as membership_lib
from hillthread.state.routing import placement
from hillthread.state.targets import departures

__all__ = ["ControlNode"]

# Every so many heartbeats all positions are sent again, in case one was lost.
_FULL_POSITIONS_INTERVAL_HEARTBEATS = 20
# A starting host waits this long for peers that report a higher position; see
# docs/DESIGN.md, "Never reverts".
_AWAIT_PEERS_TIMEOUT_S = 1.0

_logger = logging.getLogger(__name__)


class ControlNode:
    """Forwards configuration, target states, loads, placements and queries.

    Attributes:
        keeper: The configuration.
        members: The other hosts.
        departures: Targets that are leaving.
        hub: All links.
        claims: Requests claims on the log; None without a log.
        archive: Decision records on the log; None without a log.
        positions: Configuration positions of all hosts, as far as known.
        heartbeat_count: Number of rounds of heartbeats sent to peers.
        records: Finds decision records.
        engines: The data centre's engines, and what they were last seen to run.
    """

    def __init__(
        self,
        settings: settings_lib.ControlSettings,
        incarnation: str,
        registry: prometheus_client.CollectorRegistry,
    ):
        self.settings = settings
        self.incarnation = incarnation
        self.keeper = configuration_keeper.ConfigurationKeeper()
        self.keeper.listeners.append(self._forward_records)
        self.members = membership_lib.Membership(settings.suspect_s)
        self.departures = departures.Departures()
        self.hub = hub_lib.Hub(registry)
        self.hub.on_message = self.handle
        self.hub.on_open = self._handle_open
        self.claims: claim_keeper_lib.ClaimKeeper | None = None
        self.archive: record_archive.RecordArchive | None = None
        self.positions: dict[str, int] = {}
        self.heartbeat_count = 0
        self.engines = engine_roster.EngineRoster(
            settings.host, settings.data_centre, self.keeper, self.members
        )
        self.records = record_finder.RecordFinder(self.hub)
        for peer in settings.peers:
            self.members.add_host(peer.host, peer.data_centre)
        self.keeper.is_awaiting_peers = bool(settings.peers)
        self._started_at = clock.now()
        self.position_metric = prometheus_client.Gauge(
            "hillthread_configuration_position",
            "Log position of the configuration in force.",
            registry=registry,
        )
        self.alive_metric = prometheus_client.Gauge(
            "hillthread_hosts_alive",
            "Other hosts this one has a live link to.",
            registry=registry,
        )

    def not_ready_reason(self) -> str:
        """Returns why this host is not ready; empty if it is."""
        return "" if self.keeper.is_in_force() else "no configuration in force"

    def snapshot_rank(self) -> int:
        """Returns this host's rank in the order of writing snapshots."""
        own = self.settings.host
        hosts = [*self.members.list_alive(), own]
        return placement.rank_by_rendezvous(b"snapshot", hosts).index(own)

    async def run_heartbeats(self) -> None:
        """Sends heartbeats and tracks the hosts alive, until cancelled."""
        while True:
            await anyio.sleep(self.settings.heartbeat_s)
            if clock.now() - self._started_at > _AWAIT_PEERS_TIMEOUT_S:
                self.keeper.is_awaiting_peers = False
            self._update_own_position()
            for link in self.hub.peers():
                self.hub.send(link, self._make_heartbeat(link))
            self.heartbeat_count += 1
            if self.members.tick(clock.now()):
                self.alive_metric.set(len(self.members.list_alive()))
            self._send_members()

    async def handle(
        self, link: hub_lib.OpenLink, message: messages.Message
    ) -> None:
        """Handles one message."""
        match message:
            case messages.Heartbeat():
                self._handle_heartbeat(link, message)
            case messages.Records():
                self._handle_records(link, message)
            case messages.WantRecords():
                self._send_records(link, message.after)
            case messages.SnapshotMessage():
                self._handle_snapshot(message)
            case messages.TargetState():
                self.publish_target_state(message, link)
            case messages.Loads():
                self.engines.apply_loads(message)
                self.hub.broadcast(self.hub.routers(), message)
            case messages.Shares() | messages.Demand():
                self._forward_between_routers(link, message)
            case messages.RecordQuery():
                self._handle_query(link, message)
            case messages.RecordReply():
                self.records.apply_reply(message)
            case _:
                self._handle_router_message(link, message)

    def _handle_router_message(
        self, link: hub_lib.OpenLink, message: messages.Message
    ) -> None:
        """Handles a message that only routers send."""
        match message:
            case messages.FinishedRecord() if self.archive is not None:
                self.archive.add(message.document)
            case messages.ClaimRelease() if self.claims is not None:
                self.claims.release(message.digest.hex(), message.holder)
            case messages.ClaimRequest():
                self._handle_claim_request(link, message)

    def publish_target_state(
        self,
        state: messages.TargetState,
        source: hub_lib.OpenLink | None = None,
    ) -> None:
        """Applies a target's state and forwards it if it is new."""
        if state.leaving:
            is_new = self.departures.mark_leaving(
                state.target, state.incarnation
            )
        else:
            is_new = self.departures.mark_live(state.target, state.incarnation)
        if is_new:
            all_links = list(self.hub.links.values())
            self.hub.broadcast(all_links, state, source)

    def publish_loads(self, message: messages.Loads) -> None:
        """Sends loads read by this host to the data centre's routers."""
        self.engines.apply_loads(message)
        self.hub.broadcast(self.hub.routers(), message)
        peers = self.hub.peers(self.settings.data_centre)
        self.hub.broadcast(peers, message)

    def _handle_open(self, link: hub_lib.OpenLink) -> None:
        if link.peer.role == "router":
            self._send_configuration(link)
            self._send_departures(link)
            return
        self.members.note_contact(
            link.peer.host,
            link.peer.data_centre,
            link.peer.incarnation,
            self.positions.get(link.peer.host, -1),
            clock.now(),
        )
        self.hub.send(link, self._make_heartbeat(link, send_all_positions=True))
        self._send_departures(link)

    def _send_departures(self, link: hub_lib.OpenLink) -> None:
        for target, incarnation in self.departures.leaving.items():
            state = messages.TargetState(target, incarnation, leaving=True)
            self.hub.send(link, state)

    def _send_configuration(self, link: hub_lib.OpenLink) -> None:
        """Sends a router the whole configuration, once it is in force."""
        if not self.keeper.is_in_force() or link.has_configuration:
            return
        link.has_configuration = True
        payload = self.keeper.snapshot_payload()
        self.hub.send(link, messages.SnapshotMessage(payload))

    def _forward_records(
        self, first_offset: int, payloads: list[bytes]
    ) -> None:
        """Forwards newly applied records to the router and to other hosts."""
        self._update_own_position()
        if payloads:
            message: messages.Message = messages.Records(
                first_offset, payloads, self.keeper.configuration.chain
            )
        else:
            message = messages.SnapshotMessage(self.keeper.snapshot_payload())
        for link in self.hub.peers():
            if (
                link.known_positions.get(link.peer.host, -1)
                < self.keeper.position
            ):
                self.hub.send(link, message)
        if not self.keeper.is_in_force():
            return
        for link in self.hub.routers():
            if link.has_configuration:
                self.hub.send(link, message)
            else:
                self._send_configuration(link)

    def _update_own_position(self) -> None:
        self.positions[self.settings.host] = self.keeper.position
        self.position_metric.set(self.keeper.position)
        if self.keeper.is_in_force():
            for link in self.hub.routers():
                self._send_configuration(link)

    def _make_heartbeat(
        self, link: hub_lib.OpenLink, send_all_positions: bool = False
    ) -> messages.Heartbeat:
        """Returns a heartbeat with the positions new to the peer."""
        if (
            send_all_positions
            or self.heartbeat_count % _FULL_POSITIONS_INTERVAL_HEARTBEATS == 0
        ):
            link.known_positions = {
                link.peer.host: link.known_positions.get(link.peer.host, -1)
            }
        new_positions = {
            host: position
            for host, position in self.positions.items()
            if link.known_positions.get(host) != position
            and host != link.peer.host
        }
        link.known_positions.update(new_positions)
        member = self.members.members.get(link.peer.host)
        silent_s = clock.now() - member.heard_at if member else -1.0
        return messages.Heartbeat(
            self.keeper.position,
            self.keeper.configuration.chain,
            silent_s,
            new_positions,
        )

    def _handle_heartbeat(
        self, link: hub_lib.OpenLink, message: messages.Heartbeat
    ) -> None:
        peer = link.peer
        self.members.note_contact(
            peer.host,
            peer.data_centre,
            peer.incarnation,
            message.position,
            clock.now(),
        )
        for host, position in message.positions.items():
            if host != self.settings.host:
                known = self.positions.get(host, -1)
                self.positions[host] = max(position, known)
        self.positions[peer.host] = message.position
        link.known_positions[peer.host] = message.position
        self.keeper.record_peer_position(message.position)
        self._update_own_position()
        if message.position > self.keeper.position:
            self.hub.send(link, messages.WantRecords(self.keeper.position))

    def _handle_records(
        self, link: hub_lib.OpenLink, message: messages.Records
    ) -> None:
        last = message.first_offset + len(message.payloads) - 1
        link.known_positions[link.peer.host] = max(
            last, link.known_positions.get(link.peer.host, -1)
        )
        if message.first_offset > self.keeper.position + 1:
            self.hub.send(link, messages.WantRecords(self.keeper.position))
            return
        refused = self.keeper.refused_batches
        self.keeper.apply_records(
            message.first_offset, message.payloads, message.chain
        )
        if (
            self.keeper.refused_batches > refused
            and not self.keeper.is_in_force()
        ):
            # This host started with a log that was restored from an older copy
            # and then continued differently. A peer has a newer configuration
            # in force, so this host requests all of it.
            self.hub.send(link, messages.WantRecords(messages.FULL_SNAPSHOT))

    def _handle_snapshot(self, message: messages.SnapshotMessage) -> None:
        try:
            self.keeper.apply_snapshot(message.payload)
        except errors.ConfigurationError:
            self.keeper.refused_batches += 1

    def _send_records(self, link: hub_lib.OpenLink, after: int) -> None:
        payloads = self.keeper.records_after(after)
        if payloads is None:
            payload = self.keeper.snapshot_payload()
            self.hub.send(link, messages.SnapshotMessage(payload))
        elif payloads:
            chain = self.keeper.configuration.chain
            message = messages.Records(after + 1, payloads, chain)
            self.hub.send(link, message)

    def _forward_between_routers(
        self,
        link: hub_lib.OpenLink,
        message: messages.Shares | messages.Demand,
    ) -> None:
        """Forwards a router's message to peers and other routers.

        A peer's message goes to this host's routers only.
        """
        if link.peer.role == "router":
            peers = self.hub.peers(self.settings.data_centre)
            self.hub.broadcast(peers, message)
        self.hub.broadcast(self.hub.routers(), message, excluded=link)

    def _send_members(self) -> None:
        """Sends routers the numbers of reachable and unreachable hosts."""
        own = self.settings.data_centre
        others = [
            peer for peer in self.settings.peers if peer.data_centre == own
        ]
        reachable = len(self.members.list_alive(own))
        message = messages.Members(reachable, max(0, len(others) - reachable))
        self.hub.broadcast(self.hub.routers(), message)

    async def find_records(
        self, query: messages.RecordQuery
    ) -> list[dict[str, Any]]:
        """Returns decision records from hosts, else from the log."""
        found = await self.records.find_on_all_hosts(query)
        if found or not query.request_id or self.archive is None:
            return found
        return await self.archive.find(query.request_id, query.tenant)

    def _handle_query(
        self, link: hub_lib.OpenLink, query: messages.RecordQuery
    ) -> None:
        """Starts a query of this host's router, which may be slow or paused."""
        if not link.start_task(self.records.answer_query, link, query):
            _logger.warning(
                "ignored a records query from %s: %d queries are running",
                link.peer.host,
                link.running_tasks,
                extra={"code": "query_passed_over"},
            )

    def _handle_claim_request(
        self, link: hub_lib.OpenLink, request: messages.ClaimRequest
    ) -> None:
        if self.claims is None:
            reply = messages.ClaimReply(request.claim_id, "unavailable")
            self.hub.send(link, reply)
            return
        self.claims.request_claim(
            request.digest.hex(),
            request.holder,
            lambda result: self.hub.send(
                link, messages.ClaimReply(request.claim_id, result)
            ),
        )
