"""Tells other hosts of work sent to engines and of quotas used, and listens.

Each host places an eighth of the load, or a two hundredth: without the others'
part it cannot know how long an engine's queue is
(`tests/state/routing/test_load_at_size.py`).

A few hosts tell each other directly. With many, each hands what it sends to
the gatherer of its data centre, which hands on what all have sent every 30 ms:
a host then hears 33 packets a second however many hosts there are, each of them
0.15 ms of a processor and more, and not one for each prompt.

The use of quotas always goes by way of the gatherers, with the work where there
is some: `state/quotas/usage_exchange.py`.

Packets are datagrams on the port of the feed between hosts: each is of use for
a moment, so one that is lost is not sent again, and a host that is silent holds
up nobody.
"""

from __future__ import annotations

import asyncio
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
from hillthread.protocol import work_notice
from hillthread.state.cluster import feed_source
from hillthread.state.cluster import gatherer
from hillthread.state.cluster import notice_route
from hillthread.state.quotas import limits
from hillthread.state.quotas import usage_exchange

__all__ = ["WorkFeed", "resend"]

# Packets taken in before others get their turn.
_HEARD_AT_ONCE = 16
# Pauses before a notice is sent again: packets get lost, and those for another
# data centre go to one host there, drawn anew each time, which may be down.
_RESEND_S = (0.1, 0.3)
# From the failure of a socket until another one is opened.
_REOPEN_S = 1.0
# All hosts together tell each host directly so many prompts in a second; beyond
# that what they send is gathered. Each packet costs the 0.15 ms above.
_DIRECT_PER_S = 60.0
# After a prompt that was too many it stays so for this time.
_GATHERED_S = 5.0
# What is gathered is handed on so often: queues change within 50 ms.
_HAND_ON_S = 0.03
# Notices that a gatherer hands on in a second: 49 bytes each, of the 15 KB a
# second for control.
_GATHERED_PER_S = 250.0
# Prompts with less to read than this, 25 ms, hardly change a queue.
_LEAST_TOKENS = 1_000

_logger = logging.getLogger("hillthread.work")


class WorkFeed:
    """The datagrams of one host.

    Attributes:
        site: The host's beliefs, which take in what others tell.
        source: Knows the other hosts.
        gatherer: Chooses who gathers.
        told: Packets sent so far, one for each receiver.
        heard: Packets taken in so far.
        apply_limit: Applies the limit of a target.
        apply_departure: Applies the departure of a target.
        heard_of_suspects: Takes in what others have seen of requests under
            which targets end.
        usage: What is told and heard of the use of quotas; None before there
            is anybody who keeps them.
        heard_of_usage: Takes in what others have sent, by organisation.
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
        self.usage: usage_exchange.UsageExchange | None = None
        self.apply_usage: Callable[[dict[int, float]], None] = _ignore
        self._origin = work_notice.checksum(source.name)
        now = clock.now()
        self._direct = limits.TokenBucket(
            _DIRECT_PER_S / site.cluster_size, now
        )
        self._room = limits.TokenBucket(_GATHERED_PER_S, now)
        self._gathered_until = float("-inf")
        self._own_part: list[work_notice.WorkNotice] = []
        self._others_part: list[work_notice.WorkNotice] = []
        self._weights: list[work_notice.WeightsNotice] = []
        self._limits: list[work_notice.LimitNotice] = []
        self._departures: list[work_notice.DepartureNotice] = []
        self._gathered = anyio.Event()
        self._socket: socket.socket | None = None

    def has_no_peers(self) -> bool:
        """Returns whether there is nobody to tell anything."""
        return len(self.source.hosts) < 2

    def notify_work(self, notice: work_notice.WorkNotice) -> None:
        """Has other hosts told of much work."""
        if notice.tokens < _LEAST_TOKENS or self.has_no_peers():
            return
        now = clock.now()
        notice = notice._replace(origin=self._origin)
        if now < self._gathered_until or not self._may_tell(now):
            self._hand_over(notice, now)
        else:
            self._tell_directly([notice])

    def notify_weights(self, notice: work_notice.WeightsNotice) -> None:
        """Notes and tells what becomes of an engine's weights.

        Many engines load at once: what is told of them goes in one packet.
        """
        self.site.apply_weights_notice(notice, clock.now())
        if not self.has_no_peers():
            self._weights.append(notice)
            self._gathered.set()

    def notify_limits(self, notices: list[work_notice.LimitNotice]) -> None:
        """Notifies other hosts of limits that targets announced."""
        if not self.has_no_peers():
            self._limits += notices
            self._gathered.set()

    def notify_departures(
        self, notices: list[work_notice.DepartureNotice]
    ) -> None:
        """Notifies other hosts of targets that announced their departure."""
        if not self.has_no_peers():
            self._departures += notices
            self._gathered.set()

    def notify_suspects(self, notices: list[work_notice.SuspectNotice]) -> None:
        """Tells of requests under which targets end, once and at once."""
        for some in work_notice.split_notices(
            notices, work_notice.MAX_SUSPECT_NOTICES
        ):
            self._tell_directly(suspects=some)

    def report_usage(self) -> None:
        """Hands over what is due of this host's use of quotas."""
        now = clock.now()
        entry = self.gatherer.pick(now)
        if entry is None or self.usage is None:
            return
        if entry.name == self.source.name:
            self.usage.report_to(self.usage.origin, now, self.site.cluster_size)
            self._gathered.set()
            return
        if self.usage.is_report_due(now, self.site.cluster_size):
            self._send_to_gatherer([], entry, now)

    async def run(self, address: str) -> None:
        """Sends and receives until cancelled; what fails is opened anew.

        Args:
            address: `IP:port` where other hosts reach this one.
        """
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._hand_on_always)
            while True:
                try:
                    await self._serve(settings_lib.split_address(address))
                except OSError as error:
                    _logger.warning(
                        "work feed broken",
                        extra={
                            "event": "work_feed_broken",
                            "reason": str(error),
                        },
                    )
                await anyio.sleep(_REOPEN_S)

    async def _serve(self, address: tuple[str, int]) -> None:
        """Tells, and hears, until the socket fails.

        The socket is a plain one: nothing is looked up, which would start a
        thread, and sending never waits. The loop watches it all the time: to
        wait for each packet anew takes 0.49 ms of a processor instead of 0.15.

        Raises:
            OSError: The socket has failed.
        """
        loop = asyncio.get_running_loop()
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as opened:
            opened.setblocking(False)
            opened.bind(address)
            failed: asyncio.Future[None] = loop.create_future()
            loop.add_reader(opened, self._hear, opened, failed)
            self._socket = opened
            try:
                await failed
            finally:
                self._socket = None
                loop.remove_reader(opened)

    def _hear(
        self, opened: socket.socket, failed: asyncio.Future[None]
    ) -> None:
        """Takes in what has come, and leaves the rest for the next turn."""
        for _ in range(_HEARD_AT_ONCE):
            try:
                raw, sender = opened.recvfrom(work_notice.MAX_PACKET_BYTES)
            except BlockingIOError:
                return
            except OSError as error:
                if not failed.done():
                    failed.set_exception(error)
                return
            self.gatherer.note_heard(f"{sender[0]}:{sender[1]}")
            self._take(raw)

    def _may_tell(self, now: float) -> bool:
        """Returns whether the other hosts may be told directly once more."""
        self._direct.rate = _DIRECT_PER_S / self.site.cluster_size
        if self._direct.wait_s(now) > 0.0:
            self._gathered_until = now + _GATHERED_S
            return False
        self._direct.spend(1.0)
        return True

    def _tell_directly(
        self,
        work: Sequence[work_notice.WorkNotice] = (),
        weights: Sequence[work_notice.WeightsNotice] = (),
        suspects: Sequence[work_notice.SuspectNotice] = (),
        limits: Sequence[work_notice.LimitNotice] = (),
        departures: Sequence[work_notice.DepartureNotice] = (),
    ) -> None:
        """Tells all hosts, those elsewhere through one of their data centre."""
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
            )
            self._send(packet, hosts)

    def _hand_over(self, notice: work_notice.WorkNotice, now: float) -> None:
        """Gives a notice to the host that gathers."""
        entry = self.gatherer.pick(now)
        if entry is None:
            return
        if entry.name == self.source.name:
            self._gather([notice], self._own_part, now)
            return
        self._send_to_gatherer([notice], entry, now)

    def _send_to_gatherer(
        self,
        work: list[work_notice.WorkNotice],
        entry: feed_source.HostEntry,
        now: float,
    ) -> None:
        """Sends work to the host that gathers, and what is due of use."""
        self.gatherer.note_sent(entry.name, now)
        usage = []
        if self.usage is not None:
            key = usage_exchange.name_key(entry.name)
            handed = self.usage.report_to(key, now, self.site.cluster_size)
            usage = [handed] if handed else []
        packet = work_notice.Packet(
            work_notice.PacketAction.GATHER, work, [], usage=usage
        )
        self._send(packet, [entry])

    def _gather(
        self,
        notices: list[work_notice.WorkNotice],
        part: list[work_notice.WorkNotice],
        now: float,
    ) -> None:
        """Keeps notices until they are handed on, as far as there is room."""
        if self._room.wait_s(now, len(notices)) > 0.0:
            return
        self._room.spend(len(notices))
        part.extend(notices)
        self._gathered.set()

    async def _hand_on_always(self) -> None:
        """Hands on what was gathered, until cancelled."""
        while True:
            await self._gathered.wait()
            await anyio.sleep(_HAND_ON_S)
            self._gathered = anyio.Event()
            self._hand_on()

    def _hand_on(self) -> None:
        """Hands on what hosts have sent, and what is known of targets."""
        weights, self._weights = self._weights, []
        for some in work_notice.split_notices(
            weights, work_notice.MAX_WORK_NOTICES
        ):
            self._tell_directly(weights=some)
        named, self._limits = self._limits, []
        for some in work_notice.split_notices(
            named, work_notice.MAX_LIMIT_NOTICES
        ):
            self._tell_directly(limits=some)
        left, self._departures = self._departures, []
        for some in work_notice.split_notices(
            left, work_notice.MAX_DEPARTURE_NOTICES
        ):
            self._tell_directly(departures=some)
        own, self._own_part = self._own_part, []
        others, self._others_part = self._others_part, []
        own_usage, others_usage = self._usage_to_hand_on()
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

    def _usage_to_hand_on(
        self,
    ) -> tuple[
        list[usage_exchange.UsageNotice], list[usage_exchange.UsageNotice]
    ]:
        """Returns the use of quotas by this data centre, and by others."""
        if self.usage is None:
            return [], []
        sharers = self.source.count_data_centres()
        told = self.usage.report_group(clock.now(), sharers)
        return [told] if told else [], self.usage.pop_remote_notices()

    def _send(
        self,
        packet: work_notice.Packet,
        hosts: list[feed_source.HostEntry],
    ) -> None:
        """Sends a packet; one that cannot be sent now is of no use later."""
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

    def _take(self, raw: bytes) -> None:
        try:
            packet = work_notice.decode_packet(raw)
        except errors.PeerError as error:
            _logger.warning(
                "notice passed over",
                extra={"event": "bad_notice", "reason": error.message},
            )
            return
        self.received_packets += 1
        now = clock.now()
        match packet.action:
            case work_notice.PacketAction.GATHER:
                self._gather(packet.work, self._own_part, now)
                self._gather_usage(packet, now)
            case work_notice.PacketAction.DISTRIBUTE:
                if not self.gatherer.is_gatherer(now):
                    return  # it comes from the gatherer, too
                self._gather(packet.work, self._others_part, now)
                self._keep_usage(packet)
            case work_notice.PacketAction.FORWARD:
                self._send(
                    packet._replace(action=work_notice.PacketAction.APPLY),
                    self.gatherer.list_neighbours(),
                )
        self._take_in(packet, now)

    def _take_in(self, packet: work_notice.Packet, now: float) -> None:
        """Has the site take in what a packet tells."""
        for notice in packet.work:
            if notice.origin != self._origin:
                self.site.apply_work_notice(notice, now)
        for notice in packet.weights:
            self.site.apply_weights_notice(notice, now)
        for suspect in packet.suspects:
            self.apply_suspect(suspect)
        for limit in packet.limits:
            self.apply_limit(limit)
        for departure in packet.departures:
            self.apply_departure(departure)
        if (
            self.usage is None
            or packet.action is work_notice.PacketAction.GATHER
        ):
            return
        for group in packet.usage:
            self.apply_usage(self.usage.apply_notice(group, now))

    def _gather_usage(self, packet: work_notice.Packet, now: float) -> None:
        """Takes in what a host of this data centre has sent."""
        if self.usage is None or not packet.usage:
            return
        for notice in packet.usage:
            self.apply_usage(self.usage.gather(notice, now))
        self._gathered.set()

    def _keep_usage(self, packet: work_notice.Packet) -> None:
        """Keeps what another data centre has sent until it is handed on."""
        if self.usage is None or not packet.usage:
            return
        for notice in packet.usage:
            self.usage.queue_for_members(notice)
        self._gathered.set()


async def resend(send: Callable[[], None]) -> None:
    """Sends a notice again that must not be lost.

    Args:
        send: Sends it once.
    """
    for pause_s in _RESEND_S:
        await anyio.sleep(pause_s)
        send()


def _ignore(told: object) -> None:
    """Stands for nobody who wants to know."""
    del told
