"""All quotas as one host keeps them: what is left, what others have used.

Joins `quota.py`, how one quota is spent, and `usage_exchange.py`, what hosts
tell each other of it. What else all hosts together may send only so much of
stands beside the quotas of organisations: see `target_limits.py`.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import NamedTuple

from hillthread.state.config import objects
from hillthread.state.quotas import quota as quota_lib
from hillthread.state.quotas import usage_exchange

__all__ = ["QuotaLedger", "QuotaCheck"]

# All untold use together, as a part of what may be sent at once, while an
# organisation is far from its quota.
_UNTOLD_SHARE = 0.5
# A moment's use changes what others may send when little is left: all of it is
# due, and first of those that use up their quota fastest.
_LOW_URGENCY = 1_000.0


class QuotaCheck(NamedTuple):
    """How an organisation stands when it sends a request.

    Attributes:
        window: What it has sent, as of now; None without a quota.
        amount: What the request uses.
        left: What may still be sent; below 0 when it is too much.
    """

    window: quota_lib.QuotaWindow | None
    amount: float = 0.0
    remaining: float = 0.0


class QuotaLedger:
    """The quotas of all organisations, on one host.

    Attributes:
        exchange: What this host tells and hears of use.
        windows: What was sent, by organisation.
        by_key: All that is counted over all hosts, by what stands for it:
            these quotas, and what others have put beside them.
        bounds: How quotas are judged.
        hosts: Hosts that share the quotas, this one included.
    """

    def __init__(self, host: str, start: int, bounds: quota_lib.QuotaBounds):
        self.exchange = usage_exchange.UsageExchange(
            usage_exchange.name_key(host), start, self._urgency
        )
        self.windows: dict[str, quota_lib.QuotaWindow] = {}
        self.bounds = bounds
        self.host_count = 1
        self.windows_by_key: dict[int, quota_lib.QuotaWindow] = {}

    def set_quotas(
        self, quotas: Mapping[str, objects.Quota], now: float
    ) -> None:
        """Puts quotas in force, by organisation."""
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
        """Returns how many hosts are in touch with this one, of all."""
        return min(1.0, self.exchange.reachable_hosts(now) / self.host_count)

    def refresh(self, now: float) -> None:
        """Brings all quotas up to date."""
        reachable_share = self.reachable_share(now)
        for window in self.windows.values():
            window.refresh(now, reachable_share)

    def check_request(
        self, name: str, tokens: int | None, now: float
    ) -> QuotaCheck:
        """Returns how an organisation stands that sends a request."""
        window = self.windows.get(name)
        if window is None:
            return QuotaCheck(None)
        window.refresh(now, self.reachable_share(now))
        amount = quota_lib.request_cost(window.quota, tokens)
        return QuotaCheck(window, amount, window.remaining())

    def charge(self, name: str, amount: float, now: float) -> bool:
        """Counts what is sent; negative gives back what has not run.

        Returns:
            Whether other hosts are to be told soon.
        """
        return self.charge_key(usage_exchange.name_key(name), amount, now)

    def charge_key(self, key: int, amount: float, now: float) -> bool:
        """Counts what is sent of anything that is counted over all hosts.

        Returns:
            Whether other hosts are to be told soon.
        """
        window = self.windows_by_key.get(key)
        if window is None:
            return False
        window.refresh(now, self.reachable_share(now))
        window.spend(amount, now)
        return self.report_usage(key, amount, now)

    def report_usage(self, key: int, amount: float, now: float) -> bool:
        """Has other hosts told of what was sent; returns whether soon."""
        self.exchange.add_usage(key, amount)
        return self.exchange.is_report_due(now, self.host_count)

    def add_peer_usage(self, added: Mapping[int, float], now: float) -> None:
        """Takes in what others have sent, by the key of the organisation."""
        for key, amount in added.items():
            window = self.windows_by_key.get(key)
            if window is not None and amount:
                window.refresh(now, self.reachable_share(now))
                window.add_peer_usage(amount, now)

    def _urgency(self, key: int, amount: float, sharers: int) -> float:
        """Returns how urgent it is to tell of use; below 1 it is not due."""
        window = self.windows_by_key.get(key)
        if window is None:
            return 1.0
        untold = amount * sharers / (window.capacity * _UNTOLD_SHARE)
        return untold + _LOW_URGENCY if window.is_low() else untold
