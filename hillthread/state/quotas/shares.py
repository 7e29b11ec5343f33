"""Shares of tenants' limits that follow demand, without asking for each use.

Each router tells the others of its data centre how much its callers want, and
spends its part of the whole. What others told gets old and is forgotten; a
router that hears nobody falls back to an equal part.
"""

from __future__ import annotations

from collections.abc import Mapping

__all__ = ["DemandShares"]

# Weight of the last interval in the demand that is told.
_SMOOTHING = 0.5
# What others told counts for so long: four of the intervals of 1 s.
_FORGET_S = 4.0
# Least share, as a part of an equal one, so that new callers get a start.
_FLOOR = 0.1
# Requests a second below which a tenant is told no more.
_IDLE_RATE = 0.01


class DemandShares:
    """What one router knows of the demand on limited tenants.

    Attributes:
        own: Requests a second wanted here, admitted or not, by tenant.
        routers: Live routers of the data centre, this one included.
    """

    def __init__(self):
        self.own: dict[str, float] = {}
        self.router_count = 1
        self._wanted: dict[str, int] = {}
        self._told: dict[str, tuple[float, Mapping[str, float]]] = {}
        self._turned_at: float | None = None

    def count_request(self, tenant: str) -> None:
        """Notes that a caller of a tenant wants a request."""
        self._wanted[tenant] = self._wanted.get(tenant, 0) + 1

    def end_interval(self, now: float) -> dict[str, float]:
        """Ends an interval and returns the demand to tell others."""
        if self._turned_at is None or now <= self._turned_at:
            self._turned_at = now
            return dict(self.own)
        passed = now - self._turned_at
        self._turned_at = now
        for tenant in self._wanted.keys() | self.own.keys():
            rate = self._wanted.get(tenant, 0) / passed
            before = self.own.get(tenant, rate)
            self.own[tenant] = before + _SMOOTHING * (rate - before)
        self._wanted = {}
        self.own = {t: r for t, r in self.own.items() if r > _IDLE_RATE}
        return dict(self.own)

    def update_peer(
        self, host: str, demand: Mapping[str, float], now: float
    ) -> None:
        """Takes in what another router told."""
        self._told[host] = (now, demand)

    def share(self, tenant: str, now: float) -> float:
        """Returns the part of a tenant's limits this router may spend.

        The parts of all routers add up to 1 when all have heard the same, and
        to 1 plus the floor when one's callers are new.
        """
        equal = 1.0 / max(1, self.router_count)
        heard = self._heard(now)
        if len(heard) + 1 < self.router_count:
            return equal
        own = self.own.get(tenant, 0.0)
        others = sum(demand.get(tenant, 0.0) for demand in heard)
        if own + others <= 0:
            return equal
        return max(own / (own + others), equal * _FLOOR)

    def _heard(self, now: float) -> list[Mapping[str, float]]:
        self._told = {
            host: told
            for host, told in self._told.items()
            if now - told[0] <= _FORGET_S
        }
        return [demand for _, demand in self._told.values()]
