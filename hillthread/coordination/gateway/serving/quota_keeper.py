"""Keeps organisations within their quotas, over all hosts together.

Decides at intake, counts requests to targets, and exchanges usage over the feed
between hosts; see `state/quotas/quota.py` for how a quota is spent and
`state/quotas/usage_exchange.py` for what hosts exchange.
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

# What was sent is told after this time, together with what else comes in it.
_GATHER_S = 0.02
# Hosts that start together hear each other and have earned what their callers
# ask for after this time.
_FIRST_MOMENTS_S = 2.0
# Of the 0.5 s and more that prompts have to their first byte.
_LONGEST_WAIT_S = 0.3
_LOOK_AGAIN_S = 0.03
# Between looks for quotas while nothing is counted over all hosts.
_IDLE_S = 1.0

_logger = logging.getLogger("hillthread.quota")


class QuotaStatus(NamedTuple):
    """How an organisation stands, for operators.

    Attributes:
        tenant: Its name.
        rate_per_s: Units a second that all hosts may send for it.
        burst: Units beyond that in a window.
        unit: What is counted.
        used: Units sent in the last window, as far as this host knows.
        limit: Units that may be sent in a window.
        left: Units that may be sent at once; negative when it is too much.
        part: Hosts in touch with this one, of all.
        refused: Requests that this host refused.
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


class QuotaKeeper:
    """What a host does about quotas.

    Attributes:
        site: The host's beliefs: configuration, and how many hosts there are.
        work: Tells other hosts, and hears of them.
        ledger: The quotas.
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
        self._version = -1
        self._due = anyio.Event()
        self._spent: set[str] = set()
        work.usage = self.ledger.exchange
        work.heard_of_usage = self._take

    def admit(self, request: intake.GatewayRequest) -> None:
        """Lets a request through if its organisation is within its quota.

        Raises:
            RefusalError: It is not; the request has not run.
        """
        self._adopt()
        now = clock.now()
        name = request.tenant_name
        window, amount, left = self.ledger.check_request(
            name, request.prompt.counted_tokens, now
        )
        if window is None:
            return
        quota = window.quota
        if amount > window.limit:
            raise _refusal(
                f"The request uses {amount:.0f} {quota.unit}, more than the "
                f"quota of {name} ever allows at once.",
                "Send less, or have the quota raised.",
            )
        self._note_spent(name, window, left)
        if left > 0.0:
            return
        after_s = window.refuse(now, amount, self.site.hosts)
        self.site.metrics.note_quota_refusal(name)
        raise _refusal(
            f"{name} has used its quota of {quota.rate_per_s:.0f} "
            f"{quota.unit} a second over all hosts, and {-left:.0f} more; "
            f"{window.reachable_share:.2f} of the hosts are in touch and share "
            "that part.",
            "Try again after the time in Retry-After, or send less.",
            after_s,
        )

    async def wait_at_startup(self, request: intake.GatewayRequest) -> None:
        """Lets a request wait that comes in a process's first moments.

        A process that starts counts all of each quota as used, and earns only
        its own part until it hears the others. When all hosts have started
        again their callers come back at once, and are refused below their
        quota. With the wait 14 requests in place of 28 end so on a day that
        ends with a restart of all, and a day with trouble is worth 0.015 more
        (means of six and nine plays of equal luck, all nine better).
        """
        until = self.site.started_at + _FIRST_MOMENTS_S
        give_up_at = clock.now() + _LONGEST_WAIT_S
        while (now := clock.now()) < min(until, give_up_at):
            self._adopt()
            window, _, left = self.ledger.check_request(
                request.tenant_name, request.prompt.counted_tokens, now
            )
            if window is None or left > 0.0:
                return
            await anyio.sleep(_LOOK_AGAIN_S)

    def charge(self, request: intake.GatewayRequest) -> None:
        """Counts a send of a request.

        Sends after the first are counted, too, but never refused: what an
        organisation has begun is brought to its end.
        """
        self._charge(request, 1.0)

    def refund_request(self, request: intake.GatewayRequest) -> None:
        """Counts a send no more: no target has run it."""
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
        """Has other hosts told soon of what was sent."""
        self._due.set()

    def statuses(self) -> list[QuotaStatus]:
        """Returns how all organisations with a quota stand, by name."""
        self._adopt()
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
            )
            for name, window in sorted(self.ledger.windows.items())
        ]

    async def run(self) -> None:
        """Tells other hosts of what is sent here, until cancelled."""
        while True:
            self._adopt()
            pause_s = _IDLE_S if self._is_idle() else self._beat_s()
            with anyio.move_on_after(pause_s):
                await self._due.wait()
                await anyio.sleep(_GATHER_S)
            self._due = anyio.Event()
            if not self._is_idle():
                self.work.tell_usage()

    def _is_idle(self) -> bool:
        """Returns whether nothing is counted over all hosts."""
        return not self.ledger.windows_by_key or self.work.is_alone()

    def _beat_s(self) -> float:
        """Returns after how long others are told that this host is there."""
        if self.work.gatherer.is_gatherer(clock.now()):
            return usage_exchange.GROUP_REPORT_INTERVAL_S
        return usage_exchange.HOST_REPORT_INTERVAL_S

    def _take(self, added: dict[int, float]) -> None:
        self.ledger.add_peer_usage(added, clock.now())

    def _adopt(self) -> None:
        """Puts the quotas of the configuration in force."""
        self.ledger.host_count = self.site.hosts
        table = self.site.table
        if table is None or table.position == self._version:
            return
        self._version = table.position
        quotas = {
            name: tenant.quota
            for name, tenant in table.tenants.items()
            if tenant.quota is not None
        }
        self.ledger.set_quotas(quotas, clock.now())

    def _note_spent(
        self, tenant: str, window: quota_lib.QuotaWindow, left: float
    ) -> None:
        """Logs that a quota is used up, and that there is room again."""
        was_spent = tenant in self._spent
        is_spent = left <= 0.0 or (was_spent and window.is_low())
        if is_spent == was_spent:
            return
        self._spent ^= {tenant}
        _logger.info(
            "quota used up" if is_spent else "quota free",
            extra={
                "event": "quota_spent" if is_spent else "quota_free",
                "tenant": tenant,
                "left": int(left),
                "rate_per_s": window.quota.rate_per_s,
                "unit": window.quota.unit,
                "used": int(window.used),
                "part": round(window.reachable_share, 3),
                "hosts": self.site.hosts,
                "refused": window.refused,
            },
        )


def _refusal(
    message: str, remedy: str, after_s: float | None = None
) -> errors.RefusalError:
    return errors.RefusalError(
        "quota_exceeded", 429, message, remedy, retry_after_s=after_s
    )
