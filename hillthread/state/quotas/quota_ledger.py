"""All quotas on one host, including the usage of other hosts.

Connects `quota.py`, which enforces one quota, with `usage_exchange.py`, through
which hosts report usage to each other. Target limits are counted in the same
way next to the quotas of tenants; see `target_limits.py`.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import NamedTuple

from hillthread.state.config import objects
from hillthread.state.quotas import quota as quota_lib
from hillthread.state.quotas import usage_exchange

__all__ = ["QuotaCheck", "QuotaLedger"]

# Usage of all hosts that may remain unreported while a tenant is far from its
# quota, as a share of the bucket's capacity.
_UNREPORTED_SHARE = 0.5
# Added to the urgency of a report when little of the quota remains. Even little
# usage then changes what other hosts may send, so all such reports are due. The
# quotas that are used fastest are reported first.
_LOW_QUOTA_URGENCY = 1_000.0


class QuotaCheck(NamedTuple):
    """State of a tenant's quota when it sends a request.

    Attributes:
        window: Current usage; None without a quota.
        amount: Units that the request uses.
        remaining: Units that may still be used; below 0 if overused.
    """

    window: quota_lib.QuotaWindow | None
    amount: float = 0.0
    remaining: float = 0.0


class QuotaLedger:
    """The quotas of all tenants, on one host.

    Attributes:
        exchange: Exchanges usage with other hosts.
        windows: Usage by the tenant's name.
        windows_by_key: All usage that is counted over all hosts, by key: these
            quotas, and the limits that `TargetLimits` adds.
        bounds: Window and tolerance of the quotas.
        host_count: Hosts that share the quotas, including this one.
    """

    def __init__(
        self, host: str, incarnation: int, bounds: quota_lib.QuotaBounds
    ):
        self.exchange = usage_exchange.UsageExchange(
            usage_exchange.name_key(host), incarnation, self._report_urgency
        )
        self.windows: dict[str, quota_lib.QuotaWindow] = {}
        self.bounds = bounds
        self.host_count = 1
        self.windows_by_key: dict[int, quota_lib.QuotaWindow] = {}

    def set_quotas(
        self, quotas: Mapping[str, objects.Quota], now: float
    ) -> None:
        """Replaces all quotas; usage of those that remain is kept."""
        reachable_share = self.reachable_share(now)
        for name in self.windows:
            self.windows_by_key.pop(usage_exchange.name_key(name), None)
        windows = {}
        for name, quota in quotas.items():
            window = self.windows.get(name)
            if window is None:
                window = quota_lib.QuotaWindow(quota, self.bounds, now)
            window.refresh(now, reachable_share)
            window.set_quota(quota)
            windows[name] = window
        self.windows = windows
        for name, window in windows.items():
            self.windows_by_key[usage_exchange.name_key(name)] = window

    def reachable_share(self, now: float) -> float:
        """Returns the share of all hosts that are reachable."""
        return min(1.0, self.exchange.reachable_hosts(now) / self.host_count)

    def refresh(self, now: float) -> None:
        """Refreshes all quotas."""
        reachable_share = self.reachable_share(now)
        for window in self.windows.values():
            window.refresh(now, reachable_share)

    def check_request(
        self,
        name: str,
        tokens: int | None,
        now: float,
        urgency: int | None = None,
    ) -> QuotaCheck:
        """Returns the state of the quota for a request of a tenant.

        Args:
            name: Name of the tenant.
            tokens: Tokens of the prompt and the longest answer, if known.
            now: Time in seconds.
            urgency: Class of the request, 0 for the most urgent, if this
                decides on its admission. It is then counted as demand unless it
                is larger than the limit, and what is reserved for more urgent
                classes does not remain for it.
        """
        window = self.windows.get(name)
        if window is None:
            return QuotaCheck(None)
        window.refresh(now, self.reachable_share(now))
        amount = quota_lib.request_cost(window.quota, tokens)
        if urgency is None or amount > window.limit:
            return QuotaCheck(window, amount, window.remaining())
        remaining = window.demand_remaining(
            urgency, amount, self.host_count, now
        )
        return QuotaCheck(window, amount, remaining)

    def charge(self, name: str, amount: float, now: float) -> bool:
        """Counts usage of a tenant; a negative amount is a refund.

        Returns:
            Whether a report to other hosts is due.
        """
        return self.charge_key(usage_exchange.name_key(name), amount, now)

    def charge_key(self, key: int, amount: float, now: float) -> bool:
        """Counts usage of a quota or a target limit.

        Returns:
            Whether a report to other hosts is due.
        """
        window = self.windows_by_key.get(key)
        if window is None:
            return False
        window.refresh(now, self.reachable_share(now))
        window.spend(amount, now)
        return self.report_usage(key, amount, now)

    def report_usage(self, key: int, amount: float, now: float) -> bool:
        """Adds usage to the next report; returns whether one is due."""
        self.exchange.add_usage(key, amount)
        return self.exchange.is_report_due(now, self.host_count)

    def note_suspension(self, seconds: float, now: float) -> None:
        """Records that this host was suspended until now."""
        for window in self.windows_by_key.values():
            window.note_suspension(seconds, now)

    def add_peer_usage(self, added: Mapping[int, float], now: float) -> None:
        """Adds usage of other hosts, by key."""
        for key, amount in added.items():
            window = self.windows_by_key.get(key)
            if window is not None and amount:
                window.refresh(now, self.reachable_share(now))
                window.add_peer_usage(amount, now)

    def _report_urgency(self, key: int, amount: float, reporters: int) -> float:
        """Returns the urgency of reporting usage; below 1 it is not due."""
        window = self.windows_by_key.get(key)
        if window is None:
            return 1.0
        unreported = amount * reporters / (window.capacity * _UNREPORTED_SHARE)
        return (
            unreported + _LOW_QUOTA_URGENCY if window.is_low() else unreported
        )
