"""Applies what targets announce in their answers: departures and back-offs.

A departure applies to all hosts, which are notified. A back-off applies only to
the host that received it.
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

# Unknown headers that are counted by name; targets may send any number.
_MAX_UNKNOWN_HEADERS = 32
_OTHER_HEADERS_LABEL = "other"

_logger = logging.getLogger("hillthread.targets")


class AnnouncementKeeper:
    """Applies announcements of targets and of peers.

    Attributes:
        site: The host's view of the targets.
        work: Sends notices to other hosts.
        tasks: Runs the repeated sending of notices.
        logged_headers: Unknown headers logged so far.
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
        self.logged_headers: set[str] = set()
        work.apply_departure = self.apply_notice

    def apply_answer(
        self, target: str, incarnation: int, meaning: attempts.AnswerMeaning
    ) -> None:
        """Applies what an answer announced, unless its target has restarted.

        An announcement also applies to a target whose entry is missing: it may
        be listed again.

        Args:
            target: Name of the target that the request was sent to.
            incarnation: Key of the target's incarnation at that time.
            meaning: The decoded head of the answer.
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
        """Applies a departure that was announced to another host."""
        target = self.site.targets.name_of(notice.engine)
        if target is not None:
            self.site.mark_leaving(target, "host")

    def _count_unknown(self, target: str, header: str) -> None:
        """Counts a header that may announce something, and logs it once."""
        if (
            header not in self.logged_headers
            and len(self.logged_headers) >= _MAX_UNKNOWN_HEADERS
        ):
            header = _OTHER_HEADERS_LABEL
        self.site.metrics.unknown_headers.labels(header).inc()
        if header in self.logged_headers:
            return
        self.logged_headers.add(header)
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
