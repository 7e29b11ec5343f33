"""Tells other hosts of work sent to engines, and hears of theirs.

Each host places about an eighth of the load, or less: without the others' part
it cannot know how long an engine's queue is. Notices are datagrams on the port
of the feed between hosts: each is of use for a moment, so one that
is lost is not sent again, and a host that is silent holds up nobody.
"""

from __future__ import annotations

import logging
import random
import time

import anyio
import anyio.abc

from hillthread import errors
from hillthread import settings as settings_lib
from hillthread.coordination.gateway import site as site_lib
from hillthread.protocol import work_notice
from hillthread.state import feed_source
from hillthread.state import notice_route

__all__ = ["WorkFeed"]

# Notices that wait to be sent; more than that are of no use any more.
_QUEUE = 256
# All hosts together tell each host so many in a second. A notice takes about
# 0.3 ms of a processor, its share of the sending included: 2% of a core, of
# the 2.3% for control, and 6 KB of the 15 KB a second.
_HEARD_PER_S = 60.0
# Prompts with less to read than this, 25 ms, hardly change a queue.
_LEAST_TOKENS = 1_000

_logger = logging.getLogger("hillthread.work")


class WorkFeed:
    """The datagrams of one host.

    Attributes:
        site: The host's beliefs, which take in what others tell.
        source: Knows the other hosts.
        told: Notices sent so far, one for each receiver.
        heard: Notices taken in so far.
    """

    def __init__(
        self,
        site: site_lib.Site,
        source: feed_source.FeedSource,
    ):
        self.site = site
        self.source = source
        self.told = 0
        self.heard = 0
        self._allowed = 1.0
        self._allowed_at = time.monotonic()
        self._send, self._receive = anyio.create_memory_object_stream[
            work_notice.WorkNotice
        ](_QUEUE)

    def tell(self, notice: work_notice.WorkNotice) -> None:
        """Has other hosts told of much work, unless they hear too much."""
        if notice.tokens < _LEAST_TOKENS or len(self.source.hosts) < 2:
            return
        if not self._may_tell(time.monotonic()):
            return
        try:
            self._send.send_nowait(notice)
        except anyio.WouldBlock:
            return  # the host cannot keep up: its notices are late anyhow

    async def run(self, address: str) -> None:
        """Sends and receives until cancelled.

        Args:
            address: `IP:port` where other hosts reach this one.
        """
        ip, port = settings_lib.split_address(address)
        async with (
            await anyio.create_udp_socket(
                local_host=ip, local_port=port
            ) as udp,
            anyio.create_task_group() as tasks,
        ):
            tasks.start_soon(self._hear_all, udp)
            async for notice in self._receive:
                await self._send_all(udp, notice)

    def _may_tell(self, now: float) -> bool:
        """Returns whether the other hosts may be told once more."""
        per_s = _HEARD_PER_S / self.site.hosts
        gained = (now - self._allowed_at) * per_s
        self._allowed = min(max(1.0, per_s), self._allowed + gained)
        self._allowed_at = now
        if self._allowed < 1.0:
            return False
        self._allowed -= 1.0
        return True

    async def _send_all(
        self, udp: anyio.abc.UDPSocket, notice: work_notice.WorkNotice
    ) -> None:
        told = notice_route.receivers(
            self.source.name,
            self.source.data_centre,
            self.source.hosts.values(),
            random.choice,
        )
        for receiver in told:
            each = notice._replace(passes_on=receiver.passes_on)
            await self._send_to(udp, receiver.host, each)

    async def _send_to(
        self,
        udp: anyio.abc.UDPSocket,
        host: feed_source.HostEntry,
        notice: work_notice.WorkNotice,
    ) -> None:
        ip, port = settings_lib.split_address(host.feed)
        try:
            await udp.sendto(work_notice.encode_notice(notice), ip, port)
        except OSError as error:
            _logger.debug("notice not sent: %s", error)
            return
        self.told += 1

    async def _hear_all(self, udp: anyio.abc.UDPSocket) -> None:
        async for raw, _ in udp:
            try:
                notice = work_notice.decode_notice(raw)
            except errors.PeerError as error:
                _logger.warning(
                    "notice passed over",
                    extra={"event": "bad_notice", "reason": error.message},
                )
                continue
            self.heard += 1
            self.site.take_notice(notice, time.monotonic())
            if notice.passes_on:
                await self._pass_on(udp, notice)

    async def _pass_on(
        self, udp: anyio.abc.UDPSocket, notice: work_notice.WorkNotice
    ) -> None:
        last = notice._replace(passes_on=False)
        for host in notice_route.pass_on_receivers(
            self.source.name,
            self.source.data_centre,
            self.source.hosts.values(),
        ):
            await self._send_to(udp, host, last)
