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

While a host knows the usage of a whole window (`QuotaLedger.knows_window`), a
burst may overdraw the bucket by a bounded amount. The bucket counts all usage
meanwhile, so a host that loses this knowledge continues with the debt that the
burst has caused. The amount is bounded because all hosts may restart after a
burst; nobody then remembers the debt. A process that starts therefore does not
refill its buckets until that debt would have been paid, unless another host
states the actual debts earlier.

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
# Largest debt of the bucket in a burst, as a share of the limit. A tenant that
# uses half of its quota and then 7.5 times as much reaches 0.9 of the limit
# with a debt of 0.34. A start without peers admits nothing while a debt of this
# size is paid, so that it is not larger than needed.
_BURST_DEBT_SHARE = 0.4
# Minimum tolerated overshoot for bursts, as a share of the limit. With less, it
# does not cover usage that hosts have not reported to each other yet.
_MIN_OVERSHOOT_SHARE = 0.05
# Time in seconds until a peer's usage is known here: reports after 0.02 s,
# forwarded after 0.03 s in two data centres, 1 to 3 ms a packet.
_REPORT_DELAY_S = 0.08
# Largest reserve for unreported usage, as a share of the tolerated overshoot.
_MAX_RESERVE_SHARE = 0.5
# Time constant in seconds of the estimated usage rate of peers: several
# intervals between group reports.
_PEER_RATE_DECAY_S = 0.3
# Time beyond a window until its usage counts as known, in seconds. Covers the
# detection of an unreachable host (1 s) and the delay of reports.
_MARGIN_S = 1.5
# Largest reserve for more urgent requests while the bucket limits, as a share
# of its capacity. A larger one would never be reached by the refill.
_MAX_PACE_RESERVE_SHARE = 0.5


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
        may_burst: Whether bursts may overdraw the bucket; target limits do not
            allow it.
        knows_window: Whether this host knows the usage of the whole window.
        demand: Demand on this host by urgency.
    """

    def __init__(self, quota: objects.Quota, bounds: QuotaBounds, now: float):
        self.quota = quota
        self.bounds = bounds
        self.reachable_share = 0.0
        self.used = 0.0
        self.refused = 0
        self.past_usage_until = float("-inf")
        self.may_burst = False
        self.demand = urgency_reserve.UrgencyReserve()
        self.knows_window = False
        self._known_from = now
        self._refill_from = now
        self._burst_at = float("-inf")
        self._peer_rate_per_s = 0.0
        self._peer_rate_at = now
        self._balance = 0.0
        self._updated_at = now
        self._slots: collections.deque[tuple[int, float]] = collections.deque()
        self._last_retry_at = now

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
        min_burst = self.limit / self.bounds.window_s * _MIN_BURST_S
        return (
            max(self.overshoot * _BURST_SHARE, min_burst) * self.reachable_share
        )

    @property
    def overshoot(self) -> float:
        """Tolerated usage beyond the limit, in units."""
        return (
            self.limit * self.bounds.overshoot_share
            + self.bounds.overshoot_units
        )

    @property
    def burst_debt(self) -> float:
        """Largest debt of the bucket in a burst, in units."""
        has_margin = self.overshoot >= self.limit * _MIN_OVERSHOOT_SHARE
        if not self.may_burst or not has_margin:
            return 0.0
        return self.limit * _BURST_DEBT_SHARE

    @property
    def debt_s(self) -> float:
        """Debt of the bucket, as the time in which all hosts refill it."""
        return max(0.0, -self._balance) / self.limit * self.bounds.window_s

    def hold_back(self, now: float) -> None:
        """Delays the refill until the debt of a past burst would be paid.

        For a process that has just started. The same share of the overshoot
        that the bucket may hold is not held back.
        """
        held_back = self.burst_debt - self.overshoot * _BURST_SHARE
        delay_s = held_back / self.limit * self.bounds.window_s
        self._refill_from = now + max(0.0, delay_s)

    def settle(self, debt_s: float) -> None:
        """Replaces what is held back by the debt that another host states."""
        self._refill_from = float("-inf")
        debt = debt_s * self.limit / self.bounds.window_s
        self._balance = -min(debt, self.limit)

    def refresh(
        self,
        now: float,
        reachable_share: float,
        known_since: float | None = None,
    ) -> None:
        """Refills the bucket and drops usage that has left the window.

        Args:
            now: Time in seconds.
            reachable_share: Share of all hosts that are reachable.
            known_since: Time in seconds from which on the usage of all hosts is
                known; infinite if it is not known, None if unchanged.
        """
        self.reachable_share = reachable_share
        if known_since is not None:
            known_s = now - max(known_since, self._known_from)
            self.knows_window = known_s >= self.bounds.window_s + _MARGIN_S
        refill_s = now - max(self._updated_at, self._refill_from)
        refill = refill_s * self.refill_per_s
        self._updated_at = max(self._updated_at, now)
        self._balance = min(self.capacity, self._balance + max(0.0, refill))
        last = int((now - self.bounds.window_s) / _SLOT_S)
        while self._slots and self._slots[0][0] < last:
            self.used -= self._slots.popleft()[1]
        if not self._slots:
            self.used = 0.0  # Removes accumulated rounding errors.

    def remaining(self) -> float:
        """Returns the units that may still be used; below 0 if overused."""
        return min(self._pace_remaining(), self._window_remaining())

    def is_limited_by_pace(self) -> bool:
        """Returns whether the bucket limits, rather than the window."""
        return self._pace_remaining() < self._window_remaining()

    @property
    def limited_by(self) -> str:
        """What limits the usage most: `window` or `pace`."""
        return "pace" if self.is_limited_by_pace() else "window"

    def _pace_remaining(self) -> float:
        if self.knows_window:
            return self._balance + self.burst_debt
        return self._balance

    def _window_remaining(self) -> float:
        remaining = self.limit - self.used
        if self.knows_window and self.burst_debt:
            remaining -= self._reserve()
        return remaining

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

    def _reserve(self) -> float:
        """Returns the usage that peers have probably not reported yet."""
        age_s = max(0.0, self._updated_at - self._peer_rate_at)
        rate = self._peer_rate_per_s * math.exp(-age_s / _PEER_RATE_DECAY_S)
        return min(
            max(0.0, rate) * _REPORT_DELAY_S,
            self.overshoot * _MAX_RESERVE_SHARE,
        )

    def is_low(self) -> bool:
        """Returns whether less than half of the capacity remains."""
        return self.remaining() < self.capacity / 2

    def spend(self, amount: float, now: float) -> None:
        """Counts usage of any host; a negative amount is a refund.

        The debt of the bucket is bounded by the refill of one window, because
        usage no longer counts once it has left the window. The debt of a burst
        is kept for that time if fewer hosts become reachable; otherwise a short
        loss of contact would cancel it.
        """
        balance = min(self.capacity, self._balance - amount)
        floor = -self.limit * self.reachable_share
        if now - self._burst_at < self.bounds.window_s:
            floor = min(floor, self._balance)
        self._balance = max(floor, balance)
        if self.reachable_share >= 1.0 and balance < -self.capacity:
            self._burst_at = now
        self.used += amount
        number = int(now / _SLOT_S)
        if self._slots and self._slots[-1][0] == number:
            amount += self._slots.pop()[1]
        self._slots.append((number, amount))

    def add_peer_usage(self, amount: float, now: float) -> None:
        """Counts usage that peers report."""
        age_s = max(0.0, now - self._peer_rate_at)
        self._peer_rate_per_s *= math.exp(-age_s / _PEER_RATE_DECAY_S)
        self._peer_rate_per_s += amount / _PEER_RATE_DECAY_S
        self._peer_rate_at = max(self._peer_rate_at, now)
        if now < self.past_usage_until:
            self.add_past_usage(amount, now)
        else:
            self.spend(amount, now)

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
            self._known_from = self._updated_at
            self.knows_window = False

    def _fit_s(self, now: float, reserved: float) -> float:
        """Returns the seconds until a refused request is expected to fit."""
        if not self.may_burst:
            return max(0.0, -self.remaining()) / self.refill_per_s
        pace_s = 0.0
        missing = reserved - self._pace_remaining()
        if missing >= 0.0:
            starts_s = max(0.0, self._refill_from - now)
            pace_s = starts_s + missing / self.refill_per_s
        missing = reserved - self._window_remaining()
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
