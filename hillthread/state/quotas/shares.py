"""Divides tenant limits among routers in proportion to their demand.

Each router reports the demand of its callers to the other routers of its data
centre and uses its share of each limit without further coordination. Reports
expire; while the current report of another router is missing, a router uses an
equal share.
"""

from __future__ import annotations

from collections.abc import Mapping

__all__ = ["DemandShares"]

# Weight of the last interval in the moving average of demand.
_SMOOTHING = 0.5
# Age at which a report expires: four of the intervals of 1 s.
_PEER_TIMEOUT_S = 4.0
# Minimum share relative to an equal share, so that new callers are admitted.
_MIN_SHARE_RATIO = 0.1
# Demand in requests per second below which a tenant is no longer reported.
_IDLE_PER_S = 0.01


class DemandShares:
    """Demand for limited tenants as one router knows it.

    Attributes:
        own_demand: Requests per second at this router by tenant, whether
            admitted or not.
        router_count: Routers of the data centre among which the limits are
            divided, including this one.
    """

    def __init__(self):
        self.own_demand: dict[str, float] = {}
        self.router_count = 1
        self._request_counts: dict[str, int] = {}
        self._peer_reports: dict[str, tuple[float, Mapping[str, float]]] = {}
        self._interval_began_at: float | None = None

    def count_request(self, tenant: str) -> None:
        """Counts a request of a tenant, whether it is admitted or not."""
        self._request_counts[tenant] = self._request_counts.get(tenant, 0) + 1

    def end_interval(self, now: float) -> dict[str, float]:
        """Ends an interval and returns the demand to report to peers."""
        if self._interval_began_at is None or now <= self._interval_began_at:
            self._interval_began_at = now
            return dict(self.own_demand)
        elapsed_s = now - self._interval_began_at
        self._interval_began_at = now
        for tenant in self._request_counts.keys() | self.own_demand.keys():
            rate = self._request_counts.get(tenant, 0) / elapsed_s
            previous = self.own_demand.get(tenant, rate)
            self.own_demand[tenant] = previous + _SMOOTHING * (rate - previous)
        self._request_counts = {}
        self.own_demand = {
            t: r for t, r in self.own_demand.items() if r > _IDLE_PER_S
        }
        return dict(self.own_demand)

    def update_peer(
        self, host: str, demand: Mapping[str, float], now: float
    ) -> None:
        """Stores the demand that another router reports."""
        self._peer_reports[host] = (now, demand)

    def share(self, tenant: str, now: float) -> float:
        """Returns the share of a tenant's limits that this router may use.

        The shares of all routers add up to 1 if all have the same reports, and
        to 1 plus the minimum share if the callers of one router are new.
        """
        equal = 1.0 / max(1, self.router_count)
        peer_demand = self._recent_peer_demand(now)
        if len(peer_demand) + 1 < self.router_count:
            return equal
        own = self.own_demand.get(tenant, 0.0)
        others = sum(demand.get(tenant, 0.0) for demand in peer_demand)
        if own + others <= 0:
            return equal
        return max(own / (own + others), equal * _MIN_SHARE_RATIO)

    def _recent_peer_demand(self, now: float) -> list[Mapping[str, float]]:
        self._peer_reports = {
            host: report
            for host, report in self._peer_reports.items()
            if now - report[0] <= _PEER_TIMEOUT_S
        }
        return [demand for _, demand in self._peer_reports.values()]
