"""Charges the attempts of one request to the retry budget of its pool.

An attempt is charged if an earlier one may have reached a target, whether or
not that target accepted it.
"""

from __future__ import annotations

from hillthread import clock
from hillthread.coordination.gateway import site as site_lib
from hillthread.coordination.gateway.serving import intake
from hillthread.state.config import objects
from hillthread.state.quotas import retry_share

__all__ = ["RetryCharges"]


class RetryCharges:
    """What one request has been charged for its attempts.

    Attributes:
        site: Holds the retry budgets.
        request: The caller's request.
        arrivals: Attempts that may have reached a target, at any host.
    """

    def __init__(self, site: site_lib.Site, request: intake.GatewayRequest):
        self.site = site
        self.request = request
        self.arrivals = request.forwarded.sends if request.forwarded else 0
        # Whose budget was charged for an attempt that has not begun, and for
        # the current one.
        self._charged_next: retry_share.RetryShare | None = None
        self._charged_now: retry_share.RetryShare | None = None
        self._is_sent = False

    def allow_retry(
        self, pool: objects.Pool, reason: str, sends: int, runs: int
    ) -> bool:
        """Returns whether the budget allows another attempt.

        Args:
            pool: The pool of the attempt.
            reason: Why another attempt is needed, for the log.
            sends: Attempts made so far.
            runs: Those of them that may have run.
        """
        if self._charged_next is not None:
            return True
        share = self.site.retry_share(pool.name, clock.now())
        is_charged = self.arrivals > 0
        is_allowed = not is_charged or share.withdraw()
        self.request.log.warn(
            "retry" if is_allowed else "no_retry",
            reason=reason,
            sends=sends,
            runs=runs,
            charged=is_charged,
            budget_left=round(share.balance, 2),
            hosts=share.host_count,
        )
        if not is_allowed:
            self.site.metrics.retries_denied.labels(pool.name).inc()
            return False
        self.site.metrics.retries.labels(reason[:32]).inc()
        if is_charged:
            self._charged_next = share
        return True

    def begin_attempt(self) -> None:
        """Uses the charge for an attempt that begins, if there is one."""
        self._charged_now, self._charged_next = self._charged_next, None
        self._is_sent = False

    def note_sent(self, sends: int = 1) -> None:
        """Records that the current attempt may have reached a target.

        Args:
            sends: How many targets it may have reached, if another host made
                it.
        """
        if self._is_sent or not sends:
            return
        self._is_sent = True
        self.arrivals += sends
        self._charged_now = None

    def end_attempt(self) -> None:
        """Keeps the charge of an attempt that reached no target."""
        if self._charged_now is not None and self._charged_next is None:
            self._charged_next, self._charged_now = self._charged_now, None

    def count_unsent_request(self, pool: objects.Pool) -> None:
        """Accrues retries for a request that is refused without an attempt."""
        now = clock.now()
        self.site.retry_share(pool.name, now).deposit(now)

    def close(self) -> None:
        """Refunds charges for attempts that are not made."""
        for share in (self._charged_now, self._charged_next):
            if share is not None:
                share.refund()
        self._charged_now = self._charged_next = None
