"""Enforces the rate limits that targets announce.

Applies limits from answers and peers, notifies peers, and decides whether a
request may go to a target; see `state/quotas/target_limits.py`.
"""

from __future__ import annotations

import functools
import logging

import anyio.abc

from hillthread import clock
from hillthread import errors
from hillthread.coordination.gateway import site as site_lib
from hillthread.coordination.gateway.peers import work_feed
from hillthread.coordination.gateway.serving import quota_keeper
from hillthread.platform import attempts
from hillthread.protocol import work_notice
from hillthread.state.quotas import target_limits

__all__ = ["LimitKeeper"]

_logger = logging.getLogger("hillthread.targets")


class LimitKeeper:
    """Enforces the rate limits of targets on one host.

    Attributes:
        site: The host's view of the targets.
        work: Sends notices to other hosts.
        quotas: Reports requests together with the usage of quotas.
        tasks: Runs the repeated sending of notices.
        limits: Limits and usage by target.
    """

    def __init__(
        self,
        site: site_lib.Site,
        work: work_feed.WorkFeed,
        quotas: quota_keeper.QuotaKeeper,
        tasks: anyio.abc.TaskGroup,
    ):
        self.site = site
        self.work = work
        self.quotas = quotas
        self.tasks = tasks
        self.limits = target_limits.TargetLimits(quotas.ledger)
        work.apply_limit = self.apply_notice

    # Attempts.

    def apply_answer(
        self, target: str, meaning: attempts.AnswerMeaning
    ) -> None:
        """Applies the limit that the head of an answer announces."""
        if meaning.incarnation not in ("", target):
            return  # another target has this address now
        if meaning.limit_per_s is None and target not in self.limits:
            return
        now = clock.now()
        before = len(self.limits)
        if not self.limits.apply_answer(target, meaning.limit_per_s, now):
            return
        is_new = len(self.limits) > before
        self._record_change(target, meaning.limit_per_s, "answer")
        notice = work_notice.LimitNotice(
            self.site.targets.key_of(target), meaning.limit_per_s
        )
        send = functools.partial(self.work.notify_limits, [notice])
        send()
        if is_new or meaning.limit_per_s is None:
            self.tasks.start_soon(work_feed.resend, send)
            self.quotas.send_usage_soon()

    def charge(self, target: str) -> None:
        """Counts a request that is about to be sent to a target."""
        if self.limits.charge(target, clock.now()):
            self.quotas.send_usage_soon()

    def refund(self, target: str) -> None:
        """Refunds a request that never reached its target."""
        if self.limits.refund(target, clock.now()):
            self.quotas.send_usage_soon()

    # Choice of a target.

    def admit(self, target: str, now: float) -> bool:
        """Returns whether a request may be sent to the target chosen for it."""
        if self.limits.admit(target, now):
            return True
        self.site.metrics.limit_skips.inc()
        return False

    def refusal(self, targets: list[str], now: float) -> errors.RefusalError:
        """Returns the refusal of a request whose targets are all limited.

        Args:
            targets: Those that could serve it without their limits.
            now: Seconds.
        """
        return errors.RefusalError(
            "targets_limited",
            503,
            f"{len(targets)} targets could take the request, and all of them "
            f"are at the rate limits that they announced.",
            "Try again after the time in Retry-After; operators see the limits "
            "with `hillthread-ctl limits`.",
            retry_after_s=self.limits.retry_after_s(targets, now),
        )

    # Peers and operators.

    def apply_notice(self, notice: work_notice.LimitNotice) -> None:
        """Applies a limit that was announced to another host."""
        target = self.site.targets.name_of(notice.engine)
        if target is None:
            return  # not listed yet, gone, or an earlier incarnation
        if self.limits.apply_peer_limit(target, notice.per_s, clock.now()):
            self._record_change(target, notice.per_s, "host")
            self.quotas.send_usage_soon()

    def forget(self, target: str) -> None:
        """Forgets a target that is gone or has restarted."""
        self.limits.forget(target)
        self._update_metric()

    def statuses(self) -> list[target_limits.LimitStatus]:
        """Returns the state of all limits, by target."""
        return self.limits.statuses(clock.now())

    def _update_metric(self) -> None:
        self.site.metrics.limited_targets.set(len(self.limits))

    def _record_change(
        self, target: str, per_s: float | None, source: str
    ) -> None:
        """Logs a limit that was applied or removed, and updates the metric."""
        self._update_metric()
        _logger.info(
            "target limit removed" if per_s is None else "target limited",
            extra={
                "event": "target_unlimited"
                if per_s is None
                else "target_limited",
                "target": target,
                "limit_per_s": per_s,
                "source": source,
                "hosts": self.site.cluster_size,
                "part": round(
                    self.quotas.ledger.reachable_share(clock.now()), 3
                ),
            },
        )
