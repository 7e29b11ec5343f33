"""One host's control process: what it tells its router and other hosts."""

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

# Every so many heartbeats all positions are told anew, in case one was lost.
_FULL_POSITIONS_EVERY = 20
# A starting host gives peers this time to tell a higher position; see
# docs/DESIGN.md, "Never reverts".
_AWAIT_PEERS_S = 1.0

_logger = logging.getLogger(__name__)


class ControlNode:
    """Passes configuration, departures, loads, shares and questions.

    Attributes:
        keeper: The configuration.
        members: The other hosts.
        departures: Targets that leave.
        hub: All links.
        positions: Configuration positions of all hosts, as far as known.
        records: Finds decision records.
        engines: The data centre's engines, and what they were seen to run.
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
        self.keeper.listeners.append(self._pass_on)
        self.members = membership_lib.Membership(settings.suspect_s)
        self.departures = departures.Departures()
        self.hub = hub_lib.Hub(registry)
        self.hub.on_message = self.handle
        self.hub.on_open = self._greet
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
        """Returns why this host has no configuration in force, or nothing."""
        return "" if self.keeper.is_in_force() else "no configuration in force"

    def snapshot_rank(self) -> int:
        """Returns this host's turn to write a snapshot."""
        own = self.settings.host
        hosts = [*self.members.list_alive(), own]
        return placement.rank_by_rendezvous(b"snapshot", hosts).index(own)

    async def run_heartbeats(self) -> None:
        """Sends heartbeats and judges who is alive, until cancelled."""
        while True:
            await anyio.sleep(self.settings.heartbeat_s)
            if clock.now() - self._started_at > _AWAIT_PEERS_S:
                self.keeper.is_awaiting_peers = False
            self._note_own_position()
            for link in self.hub.peers():
                self.hub.send(link, self._heartbeat(link))
            self.heartbeat_count += 1
            if self.members.tick(clock.now()):
                self.alive_metric.set(len(self.members.list_alive()))
            self._tell_members()

    async def handle(
        self, link: hub_lib.OpenLink, message: messages.Message
    ) -> None:
        """Acts on one message."""
        match message:
            case messages.Heartbeat():
                self._hear(link, message)
            case messages.Records():
                self._take_records(link, message)
            case messages.WantRecords():
                self._send_records(link, message.after)
            case messages.SnapshotMessage():
                self._take_snapshot(message)
            case messages.TargetState():
                self.publish_target_state(message, link)
            case messages.Loads():
                self.engines.apply_loads(message)
                self.hub.broadcast(self.hub.routers(), message)
            case messages.Shares() | messages.Demand():
                self._pass_between_routers(link, message)
            case messages.RecordQuery():
                self._answer_query(link, message)
            case messages.RecordReply():
                self.records.apply_reply(message)
            case _:
                self._handle_of_router(link, message)

    def _handle_of_router(
        self, link: hub_lib.OpenLink, message: messages.Message
    ) -> None:
        """Acts on what only a router sends."""
        match message:
            case messages.FinishedRecord() if self.archive is not None:
                self.archive.add(message.document)
            case messages.ClaimRelease() if self.claims is not None:
                self.claims.release(message.digest.hex(), message.holder)
            case messages.ClaimRequest():
                self._claim(link, message)

    def publish_target_state(
        self,
        state: messages.TargetState,
        source: hub_lib.OpenLink | None = None,
    ) -> None:
        """Passes on that a target leaves or is live, if that is news."""
        if state.leaving:
            news = self.departures.mark_leaving(state.target, state.incarnation)
        else:
            news = self.departures.mark_live(state.target, state.incarnation)
        if news:
            everyone = list(self.hub.links.values())
            self.hub.broadcast(everyone, state, source)

    def publish_loads(self, message: messages.Loads) -> None:
        """Tells loads read here to the data centre's routers."""
        self.engines.apply_loads(message)
        self.hub.broadcast(self.hub.routers(), message)
        peers = self.hub.peers(self.settings.data_centre)
        self.hub.broadcast(peers, message)

    def _greet(self, link: hub_lib.OpenLink) -> None:
        if link.peer.role == "router":
            self._serve_router(link)
            self._tell_departures(link)
            return
        self.members.note_contact(
            link.peer.host,
            link.peer.data_centre,
            link.peer.incarnation,
            self.positions.get(link.peer.host, -1),
            clock.now(),
        )
        self.hub.send(link, self._heartbeat(link, everything=True))
        self._tell_departures(link)

    def _tell_departures(self, link: hub_lib.OpenLink) -> None:
        for target, incarnation in self.departures.leaving.items():
            state = messages.TargetState(target, incarnation, leaving=True)
            self.hub.send(link, state)

    def _serve_router(self, link: hub_lib.OpenLink) -> None:
        """Gives a router the whole configuration once it is in force."""
        if not self.keeper.is_in_force() or link.has_configuration:
            return
        link.has_configuration = True
        payload = self.keeper.snapshot_payload()
        self.hub.send(link, messages.SnapshotMessage(payload))

    def _pass_on(self, first_offset: int, payloads: list[bytes]) -> None:
        """Passes newly applied records to the router and to other hosts."""
        self._note_own_position()
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
                self._serve_router(link)

    def _note_own_position(self) -> None:
        self.positions[self.settings.host] = self.keeper.position
        self.position_metric.set(self.keeper.position)
        if self.keeper.is_in_force():
            for link in self.hub.routers():
                self._serve_router(link)

    def _heartbeat(
        self, link: hub_lib.OpenLink, everything: bool = False
    ) -> messages.Heartbeat:
        """Returns a heartbeat with the positions not yet told over a link."""
        if everything or self.heartbeat_count % _FULL_POSITIONS_EVERY == 0:
            link.known_positions = {
                link.peer.host: link.known_positions.get(link.peer.host, -1)
            }
        news = {
            host: position
            for host, position in self.positions.items()
            if link.known_positions.get(host) != position
            and host != link.peer.host
        }
        link.known_positions.update(news)
        heard = self.members.members.get(link.peer.host)
        silent_s = clock.now() - heard.heard_at if heard else -1.0
        return messages.Heartbeat(
            self.keeper.position,
            self.keeper.configuration.chain,
            silent_s,
            news,
        )

    def _hear(
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
        self._note_own_position()
        if message.position > self.keeper.position:
            self.hub.send(link, messages.WantRecords(self.keeper.position))

    def _take_records(
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
            # This host started on a log that came back older and went on
            # another way; what a peer has in force is further on.
            self.hub.send(link, messages.WantRecords(messages.FULL_SNAPSHOT))

    def _take_snapshot(self, message: messages.SnapshotMessage) -> None:
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

    def _pass_between_routers(
        self,
        link: hub_lib.OpenLink,
        message: messages.Shares | messages.Demand,
    ) -> None:
        """Own routers' messages go to peers, peers' to the own routers."""
        if link.peer.role == "router":
            peers = self.hub.peers(self.settings.data_centre)
            self.hub.broadcast(peers, message)
        self.hub.broadcast(self.hub.routers(), message, excluded=link)

    def _tell_members(self) -> None:
        """Tells routers how many others are heard and how many are not."""
        own = self.settings.data_centre
        others = [
            peer for peer in self.settings.peers if peer.data_centre == own
        ]
        heard = len(self.members.list_alive(own))
        message = messages.Members(heard, max(0, len(others) - heard))
        self.hub.broadcast(self.hub.routers(), message)

    async def find_records(
        self, query: messages.RecordQuery
    ) -> list[dict[str, Any]]:
        """Returns decision records kept by hosts, else on the log."""
        found = await self.records.find_on_all_hosts(query)
        if found or not query.request_id or self.archive is None:
            return found
        return await self.archive.find(query.request_id, query.tenant)

    def _answer_query(
        self, link: hub_lib.OpenLink, query: messages.RecordQuery
    ) -> None:
        """Asks the own router, which may take long or be paused."""
        if not link.start_task(self.records.answer_query, link, query):
            _logger.warning(
                "question of %s for records passed over: %d are under way",
                link.peer.host,
                link.running_tasks,
                extra={"code": "query_passed_over"},
            )

    def _claim(
        self, link: hub_lib.OpenLink, request: messages.ClaimRequest
    ) -> None:
        if self.claims is None:
            reply = messages.ClaimReply(request.claim_id, "unavailable")
            self.hub.send(link, reply)
            return
        self.claims.request_claim(
            request.digest.hex(),
            request.holder,
            lambda verdict: self.hub.send(
                link, messages.ClaimReply(request.claim_id, verdict)
            ),
        )
