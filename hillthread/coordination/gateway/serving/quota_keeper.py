"""Enforces the quotas of tenants over all hosts together.

Decides whether requests are admitted, counts what is sent to targets, and
exchanges usage with other hosts over the feed. `state/quotas/quota.py` defines
how a quota is spent, `state/quotas/usage_exchange.py` what hosts exchange.
"""

from __future__ import annotations

import logging
import secrets
from typing import NamedTuple

import anyio

from hillthread import clock
from hillthread import errors
from hillthread.coordination.gateway import site as site_lib
from hillthread.coordination.gateway.peers import work_feed
from hillthread.coordination.gateway.serving import intake
from hillthread.state.quotas import quota as quota_lib
from hillthread.state.quotas import quota_ledger
from hillthread.state.quotas import usage_exchange

__all__ = ["QuotaKeeper", "QuotaStatus"]

# Usage is reported after this time, together with what is added meanwhile.
_BATCH_S = 0.02
# Time after the start of the process in which requests may wait for quota.
# Hosts that started together exchange notices and accrue the quota that their
# callers request within it.
_STARTUP_S = 2.0
# Longest wait of a request at startup. Prompts have 0.5 s or more until their
# first byte; the wait takes part of it.
_MAX_WAIT_S = 0.3
_WAIT_CHECK_INTERVAL_S = 0.03
# Interval of checks for new quotas while no usage is exchanged.
_IDLE_CHECK_INTERVAL_S = 1.0

# A host that does not run its periodic report for this long was suspended.
_SUSPENDED_S = 1.0
# Share of its remaining time for which a refused caller waits at most before it
# retries.
_MAX_RETRY_SHARE = 1.0 / 3.0

_logger = logging.getLogger("hillthread.quota")


class QuotaStatus(NamedTuple):
    """The state of a tenant's quota, for operators.

    Attributes:
        tenant: Name of the tenant.
        rate_per_s: Units a second that all hosts together may send for it.
        burst: Units a window allows beyond that rate.
        unit: What the quota counts.
        used: Units sent in the last window, as far as this host knows.
        limit: Units that may be sent in a window.
        left: Remaining units; negative after an overdraft.
        part: Share of all hosts that are reachable, this one included.
        refused: Requests that this host refused.
        limited_by: What limits the tenant most: `window` or `pace`.
    """

    tenant: str
    rate_per_s: float
    burst: float
    unit: str
    used: int
    limit: int
    left: int
    part: float
    refused: int
    limited_by: str


class QuotaKeeper:
    """Enforces quotas on one host.

    Attributes:
        site: The host's view of the configuration and the number of hosts.
        work: Exchanges usage with other hosts.
        ledger: The usage of all quotas.
    """

    def __init__(self, site: site_lib.Site, work: work_feed.WorkFeed):
        self.site = site
        self.work = work
        self.ledger = quota_ledger.QuotaLedger(
            site.settings.host,
            secrets.randbits(32),
            quota_lib.QuotaBounds(
                site.settings.quota_window_s,
                site.settings.quota_over,
                site.settings.quota_slack,
            ),
        )
        self._table_position = -1
        self._usage_due = anyio.Event()
        self._exhausted_tenants: set[str] = set()
        self._ran_at = float("inf")
        work.usage = self.ledger.exchange
        work.apply_usage = self._add_peer_usage

    def admit(self, request: intake.GatewayRequest) -> None:
        """Admits a request if its tenant is within its quota.

        Raises:
            RefusalError: The quota is exceeded; the request has not run.
        """
        self._apply_quotas()
        now = clock.now()
        name = request.tenant_name
        urgency = request.urgency
        window, amount, left = self.ledger.check_request(
            name, request.prompt.counted_tokens, now, urgency
        )
        if window is None:
            return
        quota = window.quota
        if amount > window.limit:
            raise _make_refusal(
                f"The request uses {amount:.0f} {quota.unit}, more than the "
                f"quota of {name} ever allows at once.",
                "Send less, or have the quota raised.",
            )
        self._log_exhaustion(name, window, window.remaining())
        if left > 0.0:
            return
        reserved = max(0.0, window.remaining() - left)
        after_s = window.refuse(
            now,
            amount,
            self.site.cluster_size,
            reserved,
            max(0.0, request.seconds_left()) * _MAX_RETRY_SHARE,
        )
        self.site.metrics.count_quota_refusal(name)
        limited_by = window.limited_by
        if reserved:
            raise _make_refusal(
                f"{name} has {window.remaining():.0f} {quota.unit} left of its "
                f"quota of {quota.rate_per_s:.0f} {quota.unit} a second over "
                f"all hosts; {reserved:.0f} are reserved for more urgent "
                "requests.",
                _choose_remedy(after_s),
                after_s,
                limited_by,
            )
        raise _make_refusal(
            f"{name} has used its quota of {quota.rate_per_s:.0f} "
            f"{quota.unit} a second over all hosts, and {-left:.0f} more; "
            f"{window.reachable_share:.2f} of the hosts are reachable and "
            "share that amount.",
            _choose_remedy(after_s),
            after_s,
            limited_by,
        )

    async def wait_at_startup(self, request: intake.GatewayRequest) -> None:
        """Delays a request that arrives soon after the process has started.

        The bucket of each quota is empty when a process starts, and accrues
        only this host's share until notices of the other hosts arrive. After a
        restart of all hosts, callers return at once and would be refused
        although they are below their quota; the wait halves the number of
        these refusals.
        """
        until = self.site.started_at + _STARTUP_S
        give_up_at = clock.now() + _MAX_WAIT_S
        while (now := clock.now()) < min(until, give_up_at):
            self._apply_quotas()
            window, _, left = self.ledger.check_request(
                request.tenant_name, request.prompt.counted_tokens, now
            )
            if window is None or left > 0.0:
                return
            await anyio.sleep(_WAIT_CHECK_INTERVAL_S)

    def charge(self, request: intake.GatewayRequest) -> None:
        """Counts an attempt of a request.

        Attempts after the first are counted but never refused, so that a
        request which has begun can be completed.
        """
        self._charge(request, 1.0)

    def refund_request(self, request: intake.GatewayRequest) -> None:
        """Takes back the charge for an attempt that no target has run."""
        self._charge(request, -1.0)

    def _charge(self, request: intake.GatewayRequest, sends: float) -> None:
        now = clock.now()
        name = request.tenant_name
        amount = self.ledger.check_request(
            name, request.prompt.counted_tokens, now
        ).amount
        if self.ledger.charge(name, amount * sends, now):
            self.send_usage_soon()

    def send_usage_soon(self) -> None:
        """Has `run` send the usage to other hosts soon."""
        self._usage_due.set()

    def statuses(self) -> list[QuotaStatus]:
        """Returns the state of all quotas, sorted by organisation."""
        self._apply_quotas()
        self.ledger.refresh(clock.now())
        return [
            QuotaStatus(
                name,
                window.quota.rate_per_s,
                window.quota.burst,
                window.quota.unit,
                int(window.used),
                int(window.limit),
                int(window.remaining()),
                round(window.reachable_share, 3),
                window.refused,
                window.limited_by,
            )
            for name, window in sorted(self.ledger.windows.items())
        ]

    async def run(self) -> None:
        """Reports usage to other hosts until cancelled."""
        while True:
            self._detect_suspension()
            self._apply_quotas()
            pause_s = (
                _IDLE_CHECK_INTERVAL_S
                if self._is_idle()
                else self._choose_interval_s()
            )
            with anyio.move_on_after(pause_s):
                await self._usage_due.wait()
                await anyio.sleep(_BATCH_S)
            self._usage_due = anyio.Event()
            if not self._is_idle():
                self.work.report_usage()

    def _is_idle(self) -> bool:
        """Returns whether there are no quotas, or no peers to report to."""
        return not self.ledger.windows_by_key or self.work.has_no_peers()

    def _choose_interval_s(self) -> float:
        """Returns the interval of reports; they show that the host is alive."""
        if self.work.gatherer.is_gatherer(clock.now()):
            return usage_exchange.GROUP_REPORT_INTERVAL_S
        return usage_exchange.HOST_REPORT_INTERVAL_S

    def _detect_suspension(self) -> None:
        """Notes when this host has not run for longer than it ever pauses."""
        now = clock.now()
        suspended_s = now - self._ran_at - _IDLE_CHECK_INTERVAL_S
        self._ran_at = now
        if suspended_s >= _SUSPENDED_S:
            self.ledger.note_suspension(suspended_s, now)
            _logger.info(
                "host was suspended",
                extra={
                    "event": "suspended",
                    "seconds": round(suspended_s, 3),
                },
            )

    def _add_peer_usage(self, added: dict[int, float]) -> None:
        # Packets from a suspension may be read before `run` continues.
        self._detect_suspension()
        self.ledger.add_peer_usage(added, clock.now())

    def _apply_quotas(self) -> None:
        """Applies the quotas of the active configuration."""
        self.ledger.host_count = self.site.cluster_size
        table = self.site.table
        if table is None or table.position == self._table_position:
            return
        self._table_position = table.position
        quotas = {
            name: tenant.quota
            for name, tenant in table.tenants.items()
            if tenant.quota is not None
        }
        self.ledger.set_quotas(quotas, clock.now())

    def _log_exhaustion(
        self, tenant: str, window: quota_lib.QuotaWindow, left: float
    ) -> None:
        """Logs when a quota is exhausted and when it is available again."""
        was_exhausted = tenant in self._exhausted_tenants
        is_exhausted = left <= 0.0 or (was_exhausted and window.is_low())
        if is_exhausted == was_exhausted:
            return
        self._exhausted_tenants ^= {tenant}
        _logger.info(
            "quota exhausted" if is_exhausted else "quota available",
            extra={
                "event": "quota_spent" if is_exhausted else "quota_free",
                "tenant": tenant,
                "left": int(left),
                "rate_per_s": window.quota.rate_per_s,
                "unit": window.quota.unit,
                "used": int(window.used),
                "part": round(window.reachable_share, 3),
                "hosts": self.site.cluster_size,
                "refused": window.refused,
                "limited_by": window.limited_by,
            },
        )


def _choose_remedy(after_s: float | None) -> str:
    if after_s is None:
        return (
            "A retry within the deadline cannot help; send less, or have the "
            "quota raised."
        )
    return "Try again after the time in Retry-After, or send less."


def _make_refusal(
    message: str,
    remedy: str,
    after_s: float | None = None,
    limited_by: str = "",
) -> errors.RefusalError:
    return errors.RefusalError(
        "quota_exceeded",
        429,
        message,
        remedy,
        retry_after_s=after_s,
        limited_by=limited_by,
    )
