"""Reserves quota near its limit for requests that are more urgent.

In order of arrival, long requests use most of a quota and urgent short ones are
refused as often as they. Part of what remains is therefore reserved for classes
that are more urgent than a request's. It is what these classes need until
enough usage has left the window, estimated from their recent demand on this
host times the number of hosts.

No class starves. Each class accrues a credit of a quarter of its share of the
quota, by demand; while it has credit, nothing is reserved from it.
"""

from __future__ import annotations

from collections.abc import Iterable
import dataclasses
import math

__all__ = ["UrgencyReserve"]

# Time constant of the demand estimate, in seconds. Shorter than a window, so
# that a reserve ends with the demand; long enough to count several requests.
_DEMAND_DECAY_S = 2.0
# Minimum reserve as a time of demand, in seconds. A long request overdraws the
# quota, and urgent ones arrive unevenly.
_MIN_RESERVE_S = 0.5
# Share of a class's part of the quota that it keeps against urgent demand.
_KEPT_SHARE = 0.25
# A rate below this, in units per second, counts as no demand.
_MIN_RATE_PER_S = 1e-3


@dataclasses.dataclass(slots=True)
class _ClassDemand:
    """Demand of one class on this host.

    Attributes:
        rate_per_s: Estimated units per second.
        credit: Units that the class may use regardless of the reserve.
        updated_at: Time of the estimate in seconds.
    """

    rate_per_s: float
    credit: float
    updated_at: float


class UrgencyReserve:
    """Demand for one quota on one host, by urgency (0 is the most urgent)."""

    def __init__(self) -> None:
        self._classes: dict[int, _ClassDemand] = {}

    def count_demand(
        self, urgency: int, amount: float, quota_per_s: float, now: float
    ) -> None:
        """Counts a request and accrues the credit of all classes.

        Args:
            urgency: Class of the request.
            amount: Units that it uses.
            quota_per_s: This host's part of the quota, in units per second.
            now: Time in seconds.
        """
        self._decay(now, quota_per_s)
        demand = self._classes.setdefault(urgency, _ClassDemand(0.0, 0.0, now))
        demand.rate_per_s += amount / _DEMAND_DECAY_S

    def reserved(
        self,
        urgency: int,
        host_count: int,
        leaving: Iterable[tuple[float, float]],
    ) -> float:
        """Returns the units that are reserved for more urgent classes.

        Args:
            urgency: Class of the request.
            host_count: Number of hosts; all have the same demand.
            leaving: Usage that leaves the window, as pairs of the seconds until
                then and units, in order.
        """
        rate = host_count * sum(
            demand.rate_per_s
            for each, demand in self._classes.items()
            if each < urgency
        )
        if rate <= _MIN_RATE_PER_S:
            return 0.0
        reserve, left = rate * _MIN_RESERVE_S, 0.0
        for after_s, units in leaving:
            reserve = max(reserve, rate * after_s - left)
            left += units
        return reserve

    def has_credit(self, urgency: int) -> bool:
        """Returns whether nothing is reserved from a class now."""
        demand = self._classes.get(urgency)
        return demand is not None and demand.credit > 0.0

    def spend(self, urgency: int, amount: float) -> None:
        """Deducts an admitted request from the credit of its class.

        The debt is limited to that request, so that a class which has been
        served well gets credit soon after more urgent demand rises.
        """
        demand = self._classes.get(urgency)
        if demand is not None:
            demand.credit = max(demand.credit - amount, -amount)

    def _decay(self, now: float, quota_per_s: float) -> None:
        total = sum(each.rate_per_s for each in self._classes.values())
        for demand in self._classes.values():
            elapsed_s = max(0.0, now - demand.updated_at)
            kept_per_s = 0.0
            if total > _MIN_RATE_PER_S:
                share = demand.rate_per_s / total
                kept_per_s = _KEPT_SHARE * share * quota_per_s
            # A class keeps credit for the demand of the estimate's time only.
            most = max(demand.credit, demand.rate_per_s * _DEMAND_DECAY_S)
            demand.credit = min(most, demand.credit + kept_per_s * elapsed_s)
            demand.rate_per_s *= math.exp(-elapsed_s / _DEMAND_DECAY_S)
            demand.updated_at = now
