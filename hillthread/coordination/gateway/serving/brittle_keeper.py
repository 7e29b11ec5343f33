"""Keeps hosts together from making brittle targets refuse too much."""

from __future__ import annotations

import logging

from hillthread import clock
from hillthread.coordination.gateway import site as site_lib
from hillthread.coordination.gateway.peers import work_feed
from hillthread.platform import attempts
from hillthread.protocol import work_notice

__all__ = ["BrittleKeeper"]

_logger = logging.getLogger("hillthread.targets")


class BrittleKeeper:
    """Applies what answers and other hosts say of brittle targets.

    Attributes:
        site: The host's view of the targets.
        work: Sends notices to other hosts.
    """

    def __init__(self, site: site_lib.Site, work: work_feed.WorkFeed):
        self.site = site
        self.work = work
        work.apply_brittle = self.apply_notice

    def apply_answer(
        self, target: str, meaning: attempts.AnswerMeaning
    ) -> None:
        """Applies the head of an answer of a target."""
        refusals_per_s = meaning.withstood_refusals_per_s
        if refusals_per_s is None and target not in self.site.brittle:
            return
        if self._apply(target, refusals_per_s, "answer"):
            self._notify(target, refusals_per_s, False)

    def record_send(self, target: str) -> None:
        """Counts a request that is sent to a target."""
        self.site.brittle.record_send(target, clock.now())

    def record_refusal(
        self, target: str, meaning: attempts.AnswerMeaning
    ) -> None:
        """Records that a target refused a request for want of room."""
        if target not in self.site.brittle:
            return
        self._limit(target)
        if meaning.withstood_refusals_per_s is not None:
            self._notify(target, meaning.withstood_refusals_per_s, True)

    def apply_notice(self, notice: work_notice.BrittleNotice) -> None:
        """Applies what another host has learned of a target."""
        target = self.site.targets.name_of(notice.engine)
        if target is None:
            return  # not listed yet, gone, or an earlier incarnation
        self._apply(target, notice.refusals_per_s, "host")
        if notice.has_refused:
            self._limit(target)

    def _limit(self, target: str) -> None:
        hosts = self.site.cluster_size
        self.site.brittle.record_refusal(target, hosts, clock.now())

    def _apply(
        self, target: str, refusals_per_s: float | None, source: str
    ) -> bool:
        """Applies what is known of a target; returns whether it is new."""
        service = self.site.service_of(target)
        is_new = self.site.brittle.apply_answer(
            target, service, refusals_per_s, clock.now()
        )
        if is_new:
            self._log_change(target, refusals_per_s, source)
        return is_new

    def _notify(
        self, target: str, refusals_per_s: float | None, has_refused: bool
    ) -> None:
        engine = self.site.targets.key_of(target)
        self.work.notify_brittle(
            work_notice.BrittleNotice(engine, refusals_per_s, has_refused)
        )

    def _log_change(
        self, target: str, refusals_per_s: float | None, source: str
    ) -> None:
        self.site.metrics.brittle_targets.set(len(self.site.brittle))
        is_brittle = refusals_per_s is not None
        _logger.warning(
            "target is brittle" if is_brittle else "target is sound again",
            extra={
                "event": "target_brittle" if is_brittle else "target_sound",
                "target": target,
                "refusals_per_s": refusals_per_s,
                "source": source,
            },
        )
