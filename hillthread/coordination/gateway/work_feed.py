"""Tells other hosts of work sent to engines, and hears of theirs.

Each host places about an eighth of the load, or less: without the others' part
it cannot know how long an engine's queue is. Told of it, hosts find the queue
that really is there: with two of five engines lost 2.8 instead of 9.1 of 100
prompts begin late in the model of `tests/state/test_load_of_others.py`.

Notices are datagrams on the port of the feed between hosts: each is of use for
a moment, so one that is lost is not sent again, and a host that is silent holds
up nobody.
"""

from __future__ import annotations

import logging
import random
import socket
import time

import anyio

from hillthread import errors
from hillthread import settings as settings_lib
from hillthread.coordination.gateway import site as site_lib
from hillthread.protocol import work_notice
from hillthread.state import feed_source
from hillthread.state import notice_route

__all__ = ["WorkFeed"]

# Notices taken in before others get their turn.
_HEARD_AT_ONCE = 16
# From the failure of a socket until another one is opened.
_REOPEN_S = 1.0
# All hosts together tell each host so many in a second. Worked out, not
# measured: at 0.3 ms of a processor and 100 bytes a notice these take 2% of a
# core, of the 2.3% for control, and 6 KB of the 15 KB a second.
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
        self._socket: socket.socket | None = None

    def tell(self, notice: work_notice.WorkNotice) -> None:
        """Has other hosts told of much work, unless they hear too much."""
        if notice.tokens < _LEAST_TOKENS or len(self.source.hosts) < 2:
            return
        if self._may_tell(time.monotonic()):
            self._tell_all(notice)

    def tell_weights(self, notice: work_notice.WeightsNotice) -> None:
        """Notes and tells what becomes of an engine's weights."""
        self.site.take_weights_notice(notice, time.monotonic())
        self._tell_all(notice)

    def _tell_all(self, notice: work_notice.Notice) -> None:
        receivers = notice_route.receivers(
            self.source.name,
            self.source.data_centre,
            self.source.hosts.values(),
            random.choice,
        )
        for passes_on in (False, True):
            hosts = [r.host for r in receivers if r.passes_on is passes_on]
            self._send(notice._replace(passes_on=passes_on), hosts)

    async def run(self, address: str) -> None:
        """Sends and receives until cancelled; what fails is opened anew.

        Args:
            address: `IP:port` where other hosts reach this one.
        """
        while True:
            try:
                await self._serve(settings_lib.split_address(address))
            except OSError as error:
                _logger.warning(
                    "work feed broken",
                    extra={"event": "work_feed_broken", "reason": str(error)},
                )
            await anyio.sleep(_REOPEN_S)

    async def _serve(self, address: tuple[str, int]) -> None:
        """Tells, and hears, until the socket fails.

        The socket is a plain one: nothing is looked up, which would start a
        thread, and sending never waits.
        """
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as opened:
            opened.setblocking(False)
            opened.bind(address)
            self._socket = opened
            try:
                while True:
                    await anyio.wait_readable(opened)
                    self._hear(opened)
            finally:
                self._socket = None

    def _hear(self, opened: socket.socket) -> None:
        """Takes in what has come, and leaves the rest for the next turn."""
        for _ in range(_HEARD_AT_ONCE):
            try:
                raw = opened.recv(work_notice.MAX_NOTICE_BYTES)
            except BlockingIOError:
                return
            self._take(raw)

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

    def _send(
        self,
        notice: work_notice.Notice,
        hosts: list[feed_source.HostEntry],
    ) -> None:
        """Sends a notice; one that cannot be sent now is of no use later."""
        if self._socket is None:
            return
        raw = work_notice.encode_notice(notice)
        for host in hosts:
            try:
                self._socket.sendto(raw, settings_lib.split_address(host.feed))
            except OSError as error:
                _logger.debug("notice to %s not sent: %s", host.name, error)
            else:
                self.told += 1

    def _take(self, raw: bytes) -> None:
        try:
            notice = work_notice.decode_notice(raw)
        except errors.PeerError as error:
            _logger.warning(
                "notice passed over",
                extra={"event": "bad_notice", "reason": error.message},
            )
            return
        self.heard += 1
        match notice:
            case work_notice.WorkNotice():
                self.site.take_notice(notice, time.monotonic())
            case work_notice.WeightsNotice():
                self.site.take_weights_notice(notice, time.monotonic())
        if notice.passes_on:
            hosts = notice_route.pass_on_receivers(
                self.source.name,
                self.source.data_centre,
                self.source.hosts.values(),
            )
            self._send(notice._replace(passes_on=False), hosts)
