"""Applies what targets announce in their answers: departures and back-offs.

A departure holds for all hosts, which are notified. A back-off is asked of one
host and holds for that one.
"""

from __future__ import annotations

import functools
import logging

import anyio.abc

from hillthread import clock
from hillthread.coordination.gateway import site as site_lib
from hillthread.coordination.gateway.peers import work_feed
from hillthread.platform import attempts
from hillthread.protocol import work_notice

__all__ = ["AnnouncementKeeper"]

# Unknown headers that are told apart; targets may send any number.
_MAX_UNKNOWN = 32
_OTHER = "other"

_logger = logging.getLogger("hillthread.targets")


class AnnouncementKeeper:
    """Applies announcements of targets and of peers.

    Attributes:
        site: The host's beliefs.
        work: Sends notices to other hosts.
        tasks: Where notices are sent again.
        unknown: Unknown headers seen so far.
    """

    def __init__(
        self,
        site: site_lib.Site,
        work: work_feed.WorkFeed,
        tasks: anyio.abc.TaskGroup,
    ):
        self.site = site
        self.work = work
        self.tasks = tasks
        self.unknown: set[str] = set()
        work.apply_departure = self.apply_notice

    def apply_answer(
        self, target: str, incarnation: int, meaning: attempts.AnswerMeaning
    ) -> None:
        """Applies what an answer announced, unless its target has restarted.

        An announcement holds also for a target whose entry is missing: it may
        be listed again.

        Args:
            target: To which the request was sent.
            incarnation: Key of the target's incarnation at that time.
            meaning: What the head of the answer says.
        """
        for header in meaning.unknown_headers:
            self._count_unknown(target, header)
        if meaning.incarnation not in ("", target):
            return
        if incarnation != self.site.targets.key_of(target):
            return
        if meaning.is_leaving and self.site.mark_leaving(target, "answer"):
            self._notify(work_notice.DepartureNotice(incarnation))
        if meaning.backoff_s:
            self.site.request_backoff(target, meaning.backoff_s, clock.now())

    def apply_notice(self, notice: work_notice.DepartureNotice) -> None:
        """Applies a departure that another host was told of."""
        target = self.site.targets.name_of(notice.engine)
        if target is not None:
            self.site.mark_leaving(target, "host")

    def _count_unknown(self, target: str, header: str) -> None:
        """Counts a header that may announce something, and logs it once."""
        if header not in self.unknown and len(self.unknown) >= _MAX_UNKNOWN:
            header = _OTHER
        self.site.metrics.unknown_headers.labels(header).inc()
        if header in self.unknown:
            return
        self.unknown.add(header)
        _logger.warning(
            "unknown header",
            extra={
                "event": "unknown_header",
                "target": target,
                "header": header,
            },
        )

    def _notify(self, notice: work_notice.DepartureNotice) -> None:
        send = functools.partial(self.work.notify_departures, [notice])
        send()
        self.tasks.start_soon(work_feed.resend, send)
