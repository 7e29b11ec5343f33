"""Enforces the quota of a tenant, which all hosts share.

In any window of a few seconds a tenant may use the window's length times its
rate, plus its burst. Tenants of one organisation have separate quotas. Every
host enforces this with two mechanisms, which count its own usage at once and
that of other hosts as soon as it is known:

- A token bucket whose refill during one window equals the window's limit. It
  spreads excess demand over the window, instead of admitting a burst and then
  nothing. It starts empty, which is safe whatever a previous process has sent.
- A sliding window over recent usage, which must stay below the limit.

A sliding window alone is not enough. A host that restarts does not know when
past usage occurred. On the assumption that it was spread evenly, 90 hosts, a
third of which had restarted, sent 6.9 million tokens where 6.1 million were
allowed. A token bucket with the quota's own rate and burst is not enough
either: in all windows but the first it allows an eighth less, and refuses
requests of tenants that are below their quota.

A host that reaches only some of the hosts scales refill and capacity of its
bucket to their share, so the two sides of a network partition together never
use more than the quota.

A request is admitted if anything remains, even if it needs more. If the whole
request had to fit, small requests would be admitted while large ones starve.
"""

from __future__ import annotations

import collections
import math
from typing import NamedTuple

from hillthread.state.config import objects
from hillthread.state.quotas import urgency_reserve

__all__ = ["QuotaBounds", "QuotaWindow", "request_cost"]

# Length of the slots that usage is recorded in: 80 in a window of 8 s.
_SLOT_S = 0.1
# Capacity of the bucket as a share of the tolerated overshoot. Ordinary bursts
# fit in; the rest is left for usage that hosts do not know of yet.
_BURST_SHARE = 0.25
# Minimum capacity as a time of refill, for quotas without tolerated overshoot.
_MIN_BURST_S = 0.1
# Largest reserve for more urgent requests while the bucket limits, as a share
# of its capacity. A larger one would never be reached by the refill.
_MAX_PACE_RESERVE_SHARE = 0.5
# Time after a suspension in which packets that arrived during it are read.
_SUSPENSION_READ_S = 0.5


class QuotaBounds(NamedTuple):
    """Window and tolerance for which quotas are enforced.

    The overshoot tolerates usage that hosts do not know of each other yet.

    Attributes:
        window_s: Length of the sliding window in seconds.
        overshoot_share: Tolerated usage beyond the limit, as a share of it.
        overshoot_units: Tolerated usage beyond that, in units.
    """

    window_s: float = 8.0
    overshoot_share: float = 0.0
    overshoot_units: float = 0.0


def request_cost(quota: objects.Quota, tokens: int | None) -> float:
    """Returns the units that a request uses of its tenant's quota.

    Args:
        quota: The quota.
        tokens: Tokens of the prompt and the longest answer; None if unknown.
    """
    match quota.unit:
        case objects.QuotaUnit.TOKENS if tokens is not None:
            return float(tokens)
        case objects.QuotaUnit.TOKENS:
            return quota.plain_tokens
        case objects.QuotaUnit.REQUESTS:
            return 1.0


class QuotaWindow:
    """Usage of one quota as one host knows it.

    Attributes:
        quota: The current quota.
        bounds: Window and tolerance of the quota.
        reachable_share: Share of all hosts that are reachable, including this
            one.
        used: Units sent in the last window.
        refused: Number of refused requests.
        past_usage_until: Time in seconds until which the usage that peers
            report counts as past usage, because it occurred before they were
            asked to report it.
        demand: Demand on this host by urgency.
    """

    def __init__(self, quota: objects.Quota, bounds: QuotaBounds, now: float):
        self.quota = quota
        self.bounds = bounds
        self.reachable_share = 0.0
        self.used = 0.0
        self.refused = 0
        self.past_usage_until = float("-inf")
        self.demand = urgency_reserve.UrgencyReserve()
        self._balance = 0.0
        self._updated_at = now
        self._slots: collections.deque[tuple[int, float]] = collections.deque()
        self._last_retry_at = now
        # Units that peers may have used while this host was suspended, and
        # until when such usage is read.
        self._suspended_units = 0.0
        self._suspended_until = float("-inf")

    @property
    def limit(self) -> float:
        """Units that all hosts together may use in a window."""
        window_s = self.bounds.window_s
        return self.quota.rate_per_s * window_s + self.quota.burst

    @property
    def refill_per_s(self) -> float:
        """Refill of the bucket in units per second, for the reachable hosts."""
        return self.limit / self.bounds.window_s * self.reachable_share

    @property
    def capacity(self) -> float:
        """Capacity of the bucket in units, for the reachable hosts."""
        overshoot = (
            self.limit * self.bounds.overshoot_share
            + self.bounds.overshoot_units
        )
        min_burst = self.limit / self.bounds.window_s * _MIN_BURST_S
        return max(overshoot * _BURST_SHARE, min_burst) * self.reachable_share

    def refresh(self, now: float, reachable_share: float) -> None:
        """Refills the bucket and drops usage that has left the window."""
        self.reachable_share = reachable_share
        refill = (now - self._updated_at) * self.refill_per_s
        self._updated_at = now
        self._balance = min(self.capacity, self._balance + max(0.0, refill))
        last = int((now - self.bounds.window_s) / _SLOT_S)
        while self._slots and self._slots[0][0] < last:
            self.used -= self._slots.popleft()[1]
        if not self._slots:
            self.used = 0.0  # Removes accumulated rounding errors.

    def remaining(self) -> float:
        """Returns the units that may still be used; below 0 if overused."""
        return min(self._balance, self.limit - self.used)

    def is_limited_by_pace(self) -> bool:
        """Returns whether the bucket limits, rather than the window."""
        return self._balance < self.limit - self.used

    @property
    def limited_by(self) -> str:
        """What limits the usage most: `window` or `pace`."""
        return "pace" if self.is_limited_by_pace() else "window"

    def demand_remaining(
        self, urgency: int, amount: float, hosts: int, now: float
    ) -> float:
        """Counts a request and returns what remains for its class.

        Args:
            urgency: Class of the request; 0 is the most urgent.
            amount: Units that it uses.
            hosts: Number of hosts with the same demand as this one.
            now: Time of the last refresh in seconds.
        """
        host_per_s = self.limit / self.bounds.window_s / hosts
        self.demand.count_demand(urgency, amount, host_per_s, now)
        remaining = self.remaining()
        if remaining > 0.0 and not self.demand.has_credit(urgency):
            until = now - self.bounds.window_s
            reserved = self.demand.reserved(
                urgency,
                hosts,
                ((each * _SLOT_S - until, used) for each, used in self._slots),
            )
            if self.is_limited_by_pace():
                most = self.capacity * _MAX_PACE_RESERVE_SHARE
                reserved = min(reserved, most)
            remaining -= reserved
        if remaining > 0.0:
            self.demand.spend(urgency, amount)
        return remaining

    def is_low(self) -> bool:
        """Returns whether less than half of the capacity remains."""
        return self.remaining() < self.capacity / 2

    def spend(self, amount: float, now: float) -> None:
        """Counts usage of any host; a negative amount is a refund.

        The debt of the bucket is bounded by the refill of one window, because
        usage no longer counts once it has left the window.
        """
        balance = min(self.capacity, self._balance - amount)
        self._balance = max(-self.limit * self.reachable_share, balance)
        self.used += amount
        number = int(now / _SLOT_S)
        if self._slots and self._slots[-1][0] == number:
            amount += self._slots.pop()[1]
        self._slots.append((number, amount))

    def add_peer_usage(self, amount: float, now: float) -> None:
        """Counts usage that peers report."""
        if now < self.past_usage_until:
            self.add_past_usage(amount, now)
            return
        past = 0.0
        if now < self._suspended_until and amount > 0.0:
            past = min(amount, self._suspended_units)
            self._suspended_units -= past
            self.add_past_usage(past, now)
        self.spend(amount - past, now)

    def note_suspension(self, seconds: float, now: float) -> None:
        """Records that this host was suspended until now.

        The refill of that time exceeds the bucket and is lost, while the usage
        of peers is read all at once. What the refill would have covered is not
        taken from the bucket.
        """
        self._suspended_units = min(self.limit, seconds * self.refill_per_s)
        self._suspended_until = now + _SUSPENSION_READ_S

    def add_past_usage(self, amount: float, now: float) -> None:
        """Counts usage of the last window that occurred at an unknown time.

        It is spread evenly over the window and not taken from the bucket.
        """
        last = int(now / _SLOT_S)
        numbers = range(int((now - self.bounds.window_s) / _SLOT_S), last + 1)
        slot_amount = amount / len(numbers)
        slots = dict(self._slots)
        for number in numbers:
            slots[number] = slots.get(number, 0.0) + slot_amount
        self._slots = collections.deque(sorted(slots.items()))
        self.used += amount

    def set_quota(self, quota: objects.Quota) -> None:
        """Replaces the quota without refilling the bucket.

        If the limit decreases, usage is scaled down to the same share of it,
        because it was allowed when it occurred.
        """
        previous_limit = self.limit
        self.quota = quota
        share = self.limit / previous_limit
        if share < 1.0:
            self.used *= share
            self._slots = collections.deque(
                (number, amount * share) for number, amount in self._slots
            )
            self._balance = min(self.capacity, self._balance * share)

    def _fit_s(self, now: float, reserved: float) -> float:
        """Returns the seconds until a refused request is expected to fit."""
        pace_s = max(0.0, reserved - self._balance) / self.refill_per_s
        missing = reserved - (self.limit - self.used)
        window_s = 0.0
        for number, used in self._slots:
            if missing < 0.0:
                break
            missing -= used
            # A slot leaves once its end is older than the window.
            end = (number + 1) * _SLOT_S
            window_s = max(0.0, end + self.bounds.window_s - now)
        return max(window_s, pace_s)

    def refuse(
        self,
        now: float,
        amount: float,
        hosts: int,
        reserved: float = 0.0,
        longest_s: float = math.inf,
    ) -> float | None:
        """Counts a refusal and returns the seconds after which to retry.

        Retries of refused callers are spaced at the rate at which this host's
        share of the quota is refilled. If all retried as soon as anything
        remains, most would be refused again.

        Args:
            now: Time of the last refresh in seconds.
            amount: Units that the request would have used.
            hosts: Number of hosts that refuse at the same rate as this one.
            reserved: Units that are reserved for more urgent requests.
            longest_s: Time after which a retry cannot help the caller.

        Returns:
            The seconds, or None if that is too late for the caller.
        """
        self.refused += 1
        free_at = now + self._fit_s(now, reserved)
        latest_at = now + self.bounds.window_s
        retry_at = min(max(free_at, self._last_retry_at), latest_at)
        if retry_at - now > longest_s:
            return None
        host_refill_per_s = self.limit / self.bounds.window_s / hosts
        self._last_retry_at = retry_at + amount / host_refill_per_s
        return retry_at - now
