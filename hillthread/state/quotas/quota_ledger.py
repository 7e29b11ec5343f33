"""All quotas on one host, including the usage of other hosts.

Connects `quota.py`, which enforces one quota, with `usage_exchange.py`, through
which hosts report usage to each other. Target limits are counted in the same
way next to the quotas of tenants; see `target_limits.py`.
"""

from __future__ import annotations

from collections.abc import Mapping
import math
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
# Time in seconds without any call, although all hosts were reachable, after
# which a host was frozen or its clock has jumped. Three lost reports of hosts
# take as long.
_MAX_PAUSE_S = 1.0
# Smallest debt that is stated to other hosts, as seconds of refill. Even pace
# alone causes such debts, through usage that is reported late.
_MIN_STATED_DEBT_S = 0.1


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
        started_at: Time in seconds when quotas were first set; None before.
        knows_debts: Whether the buckets include the usage of past bursts.
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
        self.started_at: float | None = None
        self.knows_debts = False
        self.exchange.standing = self._standing
        self._partial_since: float | None = None
        self._partial_until = float("-inf")
        self._called_at: float | None = None
        self._had_groups = False

    def set_quotas(
        self, quotas: Mapping[str, objects.Quota], now: float
    ) -> None:
        """Replaces all quotas; usage of those that remain is kept."""
        reachable_share = self.reachable_share(now)
        if self.started_at is None:
            self.started_at = now
        for name in self.windows:
            self.windows_by_key.pop(usage_exchange.name_key(name), None)
        windows = {}
        for name, quota in quotas.items():
            window = self.windows.get(name)
            if window is None:
                window = quota_lib.QuotaWindow(quota, self.bounds, now)
                window.may_burst = True
                if not self._knows_debts(now):
                    window.hold_back(now)
            window.refresh(now, reachable_share)
            window.set_quota(quota)
            windows[name] = window
        self.windows = windows
        for name, window in windows.items():
            self.windows_by_key[usage_exchange.name_key(name)] = window

    def reachable_share(self, now: float) -> float:
        """Returns the share of all hosts that are reachable."""
        return min(1.0, self.exchange.reachable_hosts(now) / self.host_count)

    def note_alive(self, now: float) -> None:
        """Records that this host runs; to be called several times a second."""
        self._track_absence(now, self.reachable_share(now))

    def refresh(self, now: float) -> None:
        """Refreshes all quotas."""
        for window in self.windows.values():
            self._refresh_window(window, now)

    def _refresh_window(
        self, window: quota_lib.QuotaWindow, now: float
    ) -> None:
        reachable_share = self.reachable_share(now)
        self._track_absence(now, reachable_share)
        known_since = self._known_since(now, reachable_share)
        window.refresh(now, reachable_share, known_since)

    def _track_absence(self, now: float, reachable_share: float) -> None:
        """Records for how long some hosts have been unreachable.

        After a pause this host continues like a process that has started: it
        does not know what others have used, and may have refilled its buckets
        for a time that has not passed for others.
        """
        has_paused = (
            self._called_at is not None
            and now - self._called_at > _MAX_PAUSE_S
            and self._partial_since is None
            and self._had_groups
        )
        self._called_at = now
        self._had_groups = self.exchange.has_groups()
        if has_paused:
            self.started_at = now
            self.knows_debts = False
            for window in self.windows.values():
                window.hold_back(now)
        if reachable_share < 1.0:
            if self._partial_since is None:
                self._partial_since = now
        elif self._partial_since is not None:
            if now - self._partial_since > usage_exchange.INTERRUPTION_S:
                self._partial_until = now
            self._partial_since = None

    def _known_since(self, now: float, reachable_share: float) -> float:
        """Returns since when the usage of all hosts is known; else infinity.

        All hosts must be reachable, and must reach each other: a host that
        others do not hear would use units that these use as well.
        """
        if (
            reachable_share < 1.0
            or self.started_at is None
            or not self.exchange.hears_and_is_heard(now)
        ):
            return math.inf
        interrupted_at = self.exchange.interrupted_at
        if interrupted_at is None:
            interrupted_at = self.started_at
        return max(self.started_at, interrupted_at, self._partial_until)

    def _knows_debts(self, now: float) -> bool:
        """Returns whether buckets include the usage of past bursts."""
        if self.started_at is None:
            return False
        return self.knows_debts or now - self.started_at >= self.bounds.window_s

    def _standing(self, now: float) -> usage_exchange.GroupStanding:
        """Returns what this host states about itself in group reports."""
        hears_all = self.reachable_share(now) >= 1.0
        if not self._knows_debts(now):
            return usage_exchange.GroupStanding(hears_all)
        debts = sorted(
            (
                (usage_exchange.name_key(name), round(window.debt_s * 1_000.0))
                for name, window in self.windows.items()
                if window.debt_s >= _MIN_STATED_DEBT_S
            ),
            key=lambda debt: -debt[1],
        )
        stated = debts[: usage_exchange.MAX_DEBTS]
        other = debts[len(stated)][1] if len(debts) > len(stated) else 0
        return usage_exchange.GroupStanding(hears_all, other, stated)

    def _apply_debts(self, now: float) -> None:
        """Applies the debts that a group has stated after a start."""
        stated = self.exchange.stated_debts
        self.exchange.stated_debts = None
        if stated is None or self.started_at is None or self._knows_debts(now):
            return
        self.knows_debts = True
        debts = dict(stated.debts)
        for name, window in self.windows.items():
            key = usage_exchange.name_key(name)
            window.settle(debts.get(key, stated.other_debt_ms) / 1_000.0)

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
        self._refresh_window(window, now)
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
        self._refresh_window(window, now)
        window.spend(amount, now)
        return self.report_usage(key, amount, now)

    def report_usage(self, key: int, amount: float, now: float) -> bool:
        """Adds usage to the next report; returns whether one is due."""
        self.exchange.add_usage(key, amount)
        return self.exchange.is_report_due(now, self.host_count)

    def add_peer_usage(self, added: Mapping[int, float], now: float) -> None:
        """Adds usage of other hosts, by key."""
        reachable_share = self.reachable_share(now)
        self._track_absence(now, reachable_share)
        for key, amount in added.items():
            window = self.windows_by_key.get(key)
            if window is not None and amount:
                window.refresh(now, reachable_share)
                window.add_peer_usage(amount, now)
        if self.exchange.stated_debts is not None:
            self._apply_debts(now)

    def _report_urgency(self, key: int, amount: float, reporters: int) -> float:
        """Returns the urgency of reporting usage; below 1 it is not due."""
        window = self.windows_by_key.get(key)
        if window is None:
            return 1.0
        unreported = amount * reporters / (window.capacity * _UNREPORTED_SHARE)
        return (
            unreported + _LOW_QUOTA_URGENCY if window.is_low() else unreported
        )
