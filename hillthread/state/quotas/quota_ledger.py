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

__all__ = ["QuotaLedger", "Standing"]

# All untold use together, as a part of what may be sent at once, while an
# organisation is far from its quota.
_UNTOLD_SHARE = 0.5
# A moment's use changes what others may send when little is left: all of it is
# due, and first of those that use up their quota fastest.
_LOW_URGENCY = 1_000.0


class Standing(NamedTuple):
    """How an organisation stands when it sends a request.

    Attributes:
        window: What it has sent, as of now; None without a quota.
        amount: What the request uses.
        left: What may still be sent; below 0 when it is too much.
    """

    window: quota_lib.QuotaWindow | None
    amount: float = 0.0
    left: float = 0.0


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
        self.hosts = 1
        self.by_key: dict[int, quota_lib.QuotaWindow] = {}

    def adopt(self, quotas: Mapping[str, objects.Quota], now: float) -> None:
        """Puts quotas in force, by organisation."""
        part = self.part(now)
        for name in self.windows:
            self.by_key.pop(usage_exchange.name_key(name), None)
        windows = {}
        for name, quota in quotas.items():
            window = self.windows.get(name)
            if window is None:
                window = quota_lib.QuotaWindow(quota, self.bounds, now)
            window.look(now, part)
            window.adopt(quota)
            windows[name] = window
        self.windows = windows
        for name, window in windows.items():
            self.by_key[usage_exchange.name_key(name)] = window

    def part(self, now: float) -> float:
        """Returns how many hosts are in touch with this one, of all."""
        return min(1.0, self.exchange.hosts_heard(now) / self.hosts)

    def look(self, now: float) -> None:
        """Brings all quotas up to date."""
        part = self.part(now)
        for window in self.windows.values():
            window.look(now, part)

    def standing(self, name: str, tokens: int | None, now: float) -> Standing:
        """Returns how an organisation stands that sends a request."""
        window = self.windows.get(name)
        if window is None:
            return Standing(None)
        window.look(now, self.part(now))
        amount = quota_lib.cost(window.quota, tokens)
        return Standing(window, amount, window.left())

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
        window = self.by_key.get(key)
        if window is None:
            return False
        window.look(now, self.part(now))
        window.spend(amount, now)
        return self.tell(key, amount, now)

    def tell(self, key: int, amount: float, now: float) -> bool:
        """Has other hosts told of what was sent; returns whether soon."""
        self.exchange.sent(key, amount)
        return self.exchange.is_hand_over_due(now, self.hosts)

    def take(self, added: Mapping[int, float], now: float) -> None:
        """Takes in what others have sent, by the key of the organisation."""
        for key, amount in added.items():
            window = self.by_key.get(key)
            if window is not None and amount:
                window.look(now, self.part(now))
                window.take(amount, now)

    def _urgency(self, key: int, amount: float, sharers: int) -> float:
        """Returns how urgent it is to tell of use; below 1 it is not due."""
        window = self.by_key.get(key)
        if window is None:
            return 1.0
        untold = amount * sharers / (window.capacity * _UNTOLD_SHARE)
        return untold + _LOW_URGENCY if window.is_low() else untold
