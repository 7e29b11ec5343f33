"""Exchanges notices with other hosts about engine load, targets and quotas.

Each host sends only a share of the load to an engine, an eighth or a two
hundredth for example. Without the notices of other hosts it cannot know how
long the engine's queue is (`tests/state/routing/test_load_at_size.py`).

While few prompts are sent, hosts notify each other directly. When there are
many, each host sends its notices to the gatherer of its data centre, which
forwards those of all hosts every 30 ms. A host then receives 33 packets a
second however many hosts there are, and not one packet for each prompt. Each
packet takes 0.15 ms of processor time or more.

Usage of quotas always goes through the gatherers, in the same packets as work
notices where there are any: `state/quotas/usage_exchange.py`.

Packets are datagrams on the feed port. The content of most packets is useful
only for a moment, so lost packets are not sent again; `resend` repeats the
notices that must not be lost. A host that does not respond delays no other.
"""

from __future__ import annotations

import asyncio
import collections
from collections.abc import Callable
from collections.abc import Sequence
import logging
import random
import socket

import anyio

from hillthread import clock
from hillthread import errors
from hillthread import settings as settings_lib
from hillthread.coordination.gateway import site as site_lib
from hillthread.protocol import stream_query
from hillthread.protocol import work_notice
from hillthread.state.cluster import feed_source
from hillthread.state.cluster import gatherer
from hillthread.state.cluster import notice_route
from hillthread.state.quotas import limits
from hillthread.state.quotas import usage_exchange
from hillthread.state.routing import engine_speed

__all__ = ["WorkFeed", "resend"]

# Packets received in one turn of the event loop, before other tasks run.
_MAX_PACKETS_PER_TURN = 16
# Delays before each repetition of a notice. Packets get lost, and those for
# another data centre go to one random host there, which may be down.
_RESEND_DELAYS_S = (0.1, 0.3)
# Delay between the failure of a socket and the opening of the next one.
_REOPEN_DELAY_S = 1.0
# Prompts a second about which all hosts together notify each host directly;
# beyond that rate notices are gathered. A packet takes 0.15 ms of processor
# time.
_MAX_DIRECT_PER_S = 60.0
# Time for which notices are gathered after the direct rate was exceeded.
_GATHER_MODE_S = 5.0
# Interval at which gathered notices are forwarded: queues change within 50 ms.
_FORWARD_INTERVAL_S = 0.03
# Bytes of notices that a gatherer forwards in a second. Control traffic may use
# 15 KB a second, of which the rest is for other packets.
_MAX_GATHERED_BYTES_PER_S = 12_250.0
# Bytes that a notice counts towards this limit, with two shared parts and
# without any.
_FULL_NOTICE_BYTES = 49
_SHORT_NOTICE_BYTES = 22
_SPEED_NOTICE_BYTES = 15
# Speed notices remembered after sending, in order not to apply them again when
# the gatherer returns them: those of some seconds.
_MAX_SENT_SPEEDS = 64
# Prompts with fewer tokens to compute take an engine less than 25 ms. They are
# reported only where prompts differ in urgency, because there many short urgent
# prompts together delay the long ones.
_MIN_TOKENS = 1_000
# Direct notices kept for long prompts, which change an engine's queue the most:
# two in quick succession.
_LONG_PROMPT_RESERVE = 2.0

_logger = logging.getLogger("hillthread.work")


class WorkFeed:
    """Sends and receives the notice packets of one host.

    Attributes:
        site: State of this host, to which received notices are applied.
        source: Lists the other hosts.
        gatherer: Selects the gatherer of this host's data centre.
        sent_packets: Number of packets sent, counted once per receiver.
        received_packets: Number of valid packets received.
        apply_limit: Applies the limit of a target.
        apply_departure: Applies the departure of a target.
        apply_brittle: Applies what another host knows of a brittle target.
        apply_suspect: Applies what another host observed of a request under
            which targets crash.
        apply_stream: Applies the record of a stream that has begun.
        apply_trial_end: Applies the end of a trial without a result.
        usage: Totals of usage that hosts exchange; None until the keeper of
            quotas sets it.
        apply_usage: Applies usage by other hosts; called with amounts by the
            key of the organisation.
    """

    def __init__(
        self,
        site: site_lib.Site,
        source: feed_source.FeedSource,
    ):
        self.site = site
        self.source = source
        self.gatherer = gatherer.GathererSelector(source)
        self.sent_packets = 0
        self.received_packets = 0
        self.apply_suspect: Callable[[work_notice.SuspectNotice], None] = (
            _ignore
        )
        self.apply_limit: Callable[[work_notice.LimitNotice], None] = _ignore
        self.apply_departure: Callable[[work_notice.DepartureNotice], None] = (
            _ignore
        )
        self.apply_brittle: Callable[[work_notice.BrittleNotice], None] = (
            _ignore
        )
        self.apply_stream: Callable[[stream_query.StreamNotice], None] = _ignore
        self.apply_trial_end: Callable[[work_notice.TrialEndNotice], None] = (
            _ignore
        )
        self.usage: usage_exchange.UsageExchange | None = None
        self.apply_usage: Callable[[dict[int, float]], None] = _ignore
        self._origin = work_notice.checksum(source.name)
        now = clock.now()
        self._direct_bucket = limits.TokenBucket(
            _MAX_DIRECT_PER_S / site.cluster_size, now
        )
        self._gather_bucket = limits.TokenBucket(_MAX_GATHERED_BYTES_PER_S, now)
        self._gather_mode_until = float("-inf")
        self._local_work: list[work_notice.WorkNotice] = []
        self._remote_work: list[work_notice.WorkNotice] = []
        self._speed_bucket = limits.TokenBucket(
            engine_speed.MAX_SHARED_PER_S, now
        )
        self._own_speeds: list[work_notice.SpeedNotice] = []
        self._local_speeds: list[work_notice.SpeedNotice] = []
        self._remote_speeds: list[work_notice.SpeedNotice] = []
        self._sent_speeds: collections.deque[work_notice.SpeedNotice] = (
            collections.deque(maxlen=_MAX_SENT_SPEEDS)
        )
        self._queued_weights: list[work_notice.WeightsNotice] = []
        self._queued_limits: list[work_notice.LimitNotice] = []
        self._queued_departures: list[work_notice.DepartureNotice] = []
        self._forward_due = anyio.Event()
        self._socket: socket.socket | None = None

    def has_no_peers(self) -> bool:
        """Returns whether no other host is listed."""
        return len(self.source.hosts) < 2

    def notify_work(self, notice: work_notice.WorkNotice) -> None:
        """Notifies other hosts of a prompt.

        Short prompts are skipped where prompts do not differ in urgency.
        """
        if self.has_no_peers():
            return
        now = clock.now()
        notice = notice._replace(origin=self._origin)
        if notice.tokens < _MIN_TOKENS:
            if notice.tokens > 0 and self.site.has_urgency_classes:
                self._notify_short_work(notice, now)
        elif now < self._gather_mode_until or not self._may_notify_directly(
            now
        ):
            self._submit_work(notice, now)
        else:
            self._notify_directly([notice])

    def _notify_short_work(
        self, notice: work_notice.WorkNotice, now: float
    ) -> None:
        """Notifies other hosts of a short prompt, without its shared parts.

        If this host sends many notices, it goes through the gatherer; the
        notices of long prompts are still sent directly.
        """
        notice = notice._replace(scope=0, shared=[], own_tokens=0)
        self._update_direct_rate(now)
        bucket = self._direct_bucket
        is_scarce = bucket.balance < _LONG_PROMPT_RESERVE + 1.0
        if now < self._gather_mode_until or is_scarce:
            self._submit_work(notice, now)
        else:
            bucket.spend(1.0)
            self._notify_directly([notice])

    def notify_speed(self, notice: work_notice.SpeedNotice) -> None:
        """Notifies other hosts of the speed of an engine, by the gatherer."""
        if self.has_no_peers():
            return
        if len(self._own_speeds) < work_notice.MAX_SPEED_NOTICES:
            self._own_speeds.append(notice)
            self._sent_speeds.append(notice)
            self._forward_due.set()

    def notify_weights(self, notice: work_notice.WeightsNotice) -> None:
        """Applies a notice about an engine's weights and notifies other hosts.

        Many engines load weights at the same time, so notices are queued and
        sent together.
        """
        self.site.apply_weights_notice(notice, clock.now())
        if not self.has_no_peers():
            self._queued_weights.append(notice)
            self._forward_due.set()

    def notify_limits(self, notices: list[work_notice.LimitNotice]) -> None:
        """Notifies other hosts of limits that targets announced."""
        if not self.has_no_peers():
            self._queued_limits += notices
            self._forward_due.set()

    def notify_departures(
        self, notices: list[work_notice.DepartureNotice]
    ) -> None:
        """Notifies other hosts of targets that announced their departure."""
        if not self.has_no_peers():
            self._queued_departures += notices
            self._forward_due.set()

    def notify_suspects(self, notices: list[work_notice.SuspectNotice]) -> None:
        """Notifies all hosts of crashes under requests, without delay."""
        for page in work_notice.split_notices(
            notices, work_notice.MAX_SUSPECT_NOTICES
        ):
            self._notify_directly(suspects=page)

    def notify_trial_ends(
        self, notices: list[work_notice.TrialEndNotice]
    ) -> None:
        """Notifies all hosts of trials without a result, without delay."""
        self._notify_directly(ended_trials=notices)

    def notify_brittle(self, notice: work_notice.BrittleNotice) -> None:
        """Notifies all hosts of a brittle target, without delay."""
        self._notify_directly(brittle=[notice])

    def notify_stream(
        self,
        notice: stream_query.StreamNotice,
        hosts: list[feed_source.HostEntry],
    ) -> None:
        """Notifies some hosts of a stream that has begun, without delay."""
        action = work_notice.PacketAction.APPLY
        self._send(work_notice.Packet(action, [], [], streams=[notice]), hosts)

    def report_usage(self) -> None:
        """Reports usage of quotas to the gatherer when a report is due."""
        now = clock.now()
        entry = self.gatherer.pick(now)
        if entry is None or self.usage is None:
            return
        if entry.name == self.source.name:
            self.usage.report_to(self.usage.origin, now, self.site.cluster_size)
            self._forward_due.set()
            return
        if self.usage.is_report_due(now, self.site.cluster_size):
            self._send_to_gatherer([], entry, now)

    async def run(self, address: str) -> None:
        """Sends and receives until cancelled; reopens a socket that fails.

        Args:
            address: `IP:port` where other hosts reach this one.
        """
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._run_forwarding)
            while True:
                try:
                    await self._serve(settings_lib.split_address(address))
                except OSError as error:
                    _logger.warning(
                        "work feed socket failed",
                        extra={
                            "event": "work_feed_broken",
                            "reason": str(error),
                        },
                    )
                await anyio.sleep(_REOPEN_DELAY_S)

    async def _serve(self, address: tuple[str, int]) -> None:
        """Sends and receives until the socket fails.

        A plain non-blocking socket is used: no name is looked up, which would
        start a thread, and sending never waits. The event loop watches the
        socket permanently, which takes 0.15 ms of processor time a packet;
        waiting for each packet anew takes 0.49 ms.

        Raises:
            OSError: The socket has failed.
        """
        loop = asyncio.get_running_loop()
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
            sock.setblocking(False)
            sock.bind(address)
            failed: asyncio.Future[None] = loop.create_future()
            loop.add_reader(sock, self._receive_packets, sock, failed)
            self._socket = sock
            try:
                await failed
            finally:
                self._socket = None
                loop.remove_reader(sock)

    def _receive_packets(
        self, sock: socket.socket, failed: asyncio.Future[None]
    ) -> None:
        """Handles a bounded number of packets that have arrived."""
        for _ in range(_MAX_PACKETS_PER_TURN):
            try:
                raw, sender = sock.recvfrom(work_notice.MAX_PACKET_BYTES)
            except BlockingIOError:
                return
            except OSError as error:
                if not failed.done():
                    failed.set_exception(error)
                return
            self.gatherer.note_heard(f"{sender[0]}:{sender[1]}")
            self._handle_packet(raw)

    def _may_notify_directly(self, now: float) -> bool:
        """Takes one direct notification from this host's share of the rate.

        Returns false if the share is used up; notices are then gathered for a
        while.
        """
        self._update_direct_rate(now)
        if self._direct_bucket.wait_s(now) > 0.0:
            self._gather_mode_until = now + _GATHER_MODE_S
            return False
        self._direct_bucket.spend(1.0)
        return True

    def _update_direct_rate(self, now: float) -> None:
        """Updates this host's share of the direct notices of all hosts."""
        self._direct_bucket.rate = _MAX_DIRECT_PER_S / self.site.cluster_size
        self._direct_bucket.refill(now)

    def _notify_directly(
        self,
        work: Sequence[work_notice.WorkNotice] = (),
        weights: Sequence[work_notice.WeightsNotice] = (),
        suspects: Sequence[work_notice.SuspectNotice] = (),
        limits: Sequence[work_notice.LimitNotice] = (),
        departures: Sequence[work_notice.DepartureNotice] = (),
        brittle: Sequence[work_notice.BrittleNotice] = (),
        ended_trials: Sequence[work_notice.TrialEndNotice] = (),
    ) -> None:
        """Notifies all hosts.

        In each other data centre one host receives the packet and relays it.
        """
        receivers = notice_route.choose_receivers(
            self.source.name,
            self.source.data_centre,
            self.source.hosts.values(),
            random.choice,
        )
        actions = work_notice.PacketAction
        for action, is_forwarder in (
            (actions.APPLY, False),
            (actions.FORWARD, True),
        ):
            hosts = [
                r.host for r in receivers if r.is_forwarder is is_forwarder
            ]
            packet = work_notice.Packet(
                action,
                list(work),
                list(weights),
                suspects,
                limits=limits,
                departures=departures,
                brittle=brittle,
                ended_trials=ended_trials,
            )
            self._send(packet, hosts)

    def _submit_work(self, notice: work_notice.WorkNotice, now: float) -> None:
        """Sends a notice to the gatherer; queues it if this host gathers."""
        entry = self.gatherer.pick(now)
        if entry is None:
            return
        if entry.name == self.source.name:
            self._queue_work([notice], self._local_work, now)
            return
        self._send_to_gatherer([notice], entry, now)

    def _send_to_gatherer(
        self,
        work: list[work_notice.WorkNotice],
        entry: feed_source.HostEntry,
        now: float,
    ) -> None:
        """Sends work notices to the gatherer, with usage that is due."""
        self.gatherer.note_sent(entry.name, now)
        usage = []
        if self.usage is not None:
            key = usage_exchange.name_key(entry.name)
            report = self.usage.report_to(key, now, self.site.cluster_size)
            usage = [report] if report else []
        packet = work_notice.Packet(
            work_notice.PacketAction.GATHER, work, [], usage=usage
        )
        self._send(packet, [entry])

    def _queue_work(
        self,
        notices: list[work_notice.WorkNotice],
        queue: list[work_notice.WorkNotice],
        now: float,
    ) -> None:
        """Queues notices to be forwarded; drops them above the maximum rate."""
        size = sum(
            _FULL_NOTICE_BYTES if notice.shared else _SHORT_NOTICE_BYTES
            for notice in notices
        )
        if self._gather_bucket.wait_s(now, size) > 0.0:
            return
        self._gather_bucket.spend(size)
        queue.extend(notices)
        self._forward_due.set()

    def _queue_speeds(
        self,
        notices: Sequence[work_notice.SpeedNotice],
        queue: list[work_notice.SpeedNotice],
        now: float,
    ) -> None:
        """Queues speed notices; drops those above the maximum rate."""
        for notice in notices:
            if (
                self._speed_bucket.wait_s(now) > 0.0
                or self._gather_bucket.wait_s(now, _SPEED_NOTICE_BYTES) > 0.0
            ):
                return
            self._speed_bucket.spend(1.0)
            self._gather_bucket.spend(_SPEED_NOTICE_BYTES)
            queue.append(notice)
            self._forward_due.set()

    def _forward_speeds(self, now: float) -> None:
        """Sends this host's speed notices and those that it has gathered."""
        submitted, self._own_speeds = self._own_speeds, []
        entry = self.gatherer.pick(now) if submitted else None
        actions = work_notice.PacketAction
        if entry is not None and entry.name == self.source.name:
            self._queue_speeds(submitted, self._local_speeds, now)
        elif entry is not None:
            # No answer is awaited: a gatherer of an earlier release cannot read
            # the packet and would count as silent.
            self._send_speeds(actions.GATHER, submitted, [entry])
        own, self._local_speeds = self._local_speeds, []
        others, self._remote_speeds = self._remote_speeds, []
        self._send_speeds(
            actions.DISTRIBUTE, own, self.gatherer.list_remote_gatherers()
        )
        self._send_speeds(
            actions.APPLY, own + others, self.gatherer.list_neighbours()
        )

    def _send_speeds(
        self,
        action: work_notice.PacketAction,
        notices: list[work_notice.SpeedNotice],
        hosts: list[feed_source.HostEntry],
    ) -> None:
        """Sends speed notices in packets without any other notices."""
        for page in work_notice.split_notices(
            notices, work_notice.MAX_SPEED_NOTICES
        ):
            self._send(work_notice.Packet(action, [], [], speeds=page), hosts)

    async def _run_forwarding(self) -> None:
        """Forwards queued notices at a fixed interval, until cancelled."""
        while True:
            await self._forward_due.wait()
            await anyio.sleep(_FORWARD_INTERVAL_S)
            self._forward_due = anyio.Event()
            self._forward_queued()

    def _forward_queued(self) -> None:
        """Forwards all queued notices to the hosts that need them."""
        weights, self._queued_weights = self._queued_weights, []
        for page in work_notice.split_notices(
            weights, work_notice.MAX_WORK_NOTICES
        ):
            self._notify_directly(weights=page)
        limit_notices, self._queued_limits = self._queued_limits, []
        for page in work_notice.split_notices(
            limit_notices, work_notice.MAX_LIMIT_NOTICES
        ):
            self._notify_directly(limits=page)
        departure_notices, self._queued_departures = self._queued_departures, []
        for page in work_notice.split_notices(
            departure_notices, work_notice.MAX_DEPARTURE_NOTICES
        ):
            self._notify_directly(departures=page)
        self._forward_speeds(clock.now())
        own, self._local_work = self._local_work, []
        others, self._remote_work = self._remote_work, []
        own_usage, others_usage = self._pop_usage_notices()
        actions = work_notice.PacketAction
        for packet in work_notice.make_packets(
            actions.DISTRIBUTE, own, own_usage
        ):
            self._send(packet, self.gatherer.list_remote_gatherers())
        usage = own_usage + others_usage
        for packet in work_notice.make_packets(
            actions.APPLY, own + others, usage
        ):
            self._send(packet, self.gatherer.list_neighbours())

    def _pop_usage_notices(
        self,
    ) -> tuple[
        list[usage_exchange.UsageNotice], list[usage_exchange.UsageNotice]
    ]:
        """Returns usage notices to forward: this data centre's, and others'."""
        if self.usage is None:
            return [], []
        sharers = self.source.count_data_centres()
        total = self.usage.report_group(clock.now(), sharers)
        return [total] if total else [], self.usage.pop_remote_notices()

    def _send(
        self,
        packet: work_notice.Packet,
        hosts: list[feed_source.HostEntry],
    ) -> None:
        """Sends a packet to hosts; one that cannot be sent now is dropped."""
        if self._socket is None or not hosts:
            return
        raw = work_notice.encode_packet(packet)
        for host in hosts:
            try:
                self._socket.sendto(raw, settings_lib.split_address(host.feed))
            except OSError as error:
                _logger.debug("packet to %s not sent: %s", host.name, error)
            else:
                self.sent_packets += 1

    def _handle_packet(self, raw: bytes) -> None:
        try:
            packet = work_notice.decode_packet(raw)
        except errors.PeerError as error:
            _logger.warning(
                "unreadable notice ignored",
                extra={"event": "bad_notice", "reason": error.message},
            )
            return
        self.received_packets += 1
        now = clock.now()
        match packet.action:
            case work_notice.PacketAction.GATHER:
                self._queue_work(packet.work, self._local_work, now)
                self._queue_speeds(packet.speeds, self._local_speeds, now)
                self._gather_usage(packet, now)
            case work_notice.PacketAction.DISTRIBUTE:
                if not self.gatherer.is_gatherer(now):
                    return  # the gatherer forwards the same notices
                self._queue_work(packet.work, self._remote_work, now)
                self._queue_speeds(packet.speeds, self._remote_speeds, now)
                self._queue_remote_usage(packet)
            case work_notice.PacketAction.FORWARD:
                self._send(
                    packet._replace(action=work_notice.PacketAction.APPLY),
                    self.gatherer.list_neighbours(),
                )
        self._apply_packet(packet, now)

    def _apply_packet(self, packet: work_notice.Packet, now: float) -> None:
        """Applies the notices of a packet to the state of this host."""
        for notice in packet.work:
            if notice.origin != self._origin:
                self.site.apply_work_notice(notice, now)
        for notice in packet.weights:
            self.site.apply_weights_notice(notice, now)
        for suspect in packet.suspects:
            self.apply_suspect(suspect)
        for trial in packet.ended_trials:
            self.apply_trial_end(trial)
        self._apply_target_notices(packet)
        for stream in packet.streams:
            self.apply_stream(stream)
        for speed in packet.speeds:
            if speed in self._sent_speeds:
                self._sent_speeds.remove(speed)
            else:
                self.site.apply_speed_notice(speed, now)
        if (
            self.usage is None
            or packet.action is work_notice.PacketAction.GATHER
        ):
            return
        for group in packet.usage:
            self.apply_usage(self.usage.apply_notice(group, now))

    def _apply_target_notices(self, packet: work_notice.Packet) -> None:
        """Applies what targets have announced to other hosts."""
        for limit in packet.limits:
            self.apply_limit(limit)
        for departure in packet.departures:
            self.apply_departure(departure)
        for brittle in packet.brittle:
            self.apply_brittle(brittle)

    def _gather_usage(self, packet: work_notice.Packet, now: float) -> None:
        """Adds usage reported by hosts of this data centre to its total."""
        if self.usage is None or not packet.usage:
            return
        for notice in packet.usage:
            self.apply_usage(self.usage.gather(notice, now))
        self._forward_due.set()

    def _queue_remote_usage(self, packet: work_notice.Packet) -> None:
        """Queues usage of another data centre to be forwarded in this one."""
        if self.usage is None or not packet.usage:
            return
        for notice in packet.usage:
            self.usage.queue_for_members(notice)
        self._forward_due.set()


async def resend(send: Callable[[], None]) -> None:
    """Repeats a notice that must not be lost.

    Args:
        send: Sends the notice once.
    """
    for pause_s in _RESEND_DELAYS_S:
        await anyio.sleep(pause_s)
        send()


def _ignore(ignored: object) -> None:
    """Ignores what is received; the default of the callbacks."""
    del ignored
