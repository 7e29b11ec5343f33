"""How closely a tenant's limit is kept by ways of sharing it between hosts."""

from __future__ import annotations

import random
from typing import NamedTuple

from hillthread.state.config import objects
from hillthread.state.quotas import limits
from hillthread.state.quotas import shares

__all__ = ["WAYS", "LimitResult", "measure_limits"]

WAYS = ("equal", "demand", "owner")
PATTERNS = ("even", "skewed", "shifting", "host_lost", "cut_off")
_HOSTS = 4
_LIMIT = 100.0
_DEMAND = 200.0
_SECONDS = 60
_TICK_S = 0.01
_TELL_S = 1.0
_DELAY_S = 0.05
_SUSPECT_S = 3.0


class LimitResult(NamedTuple):
    """How a limit of 100 requests a second was kept under twice the demand.

    Attributes:
        used: Admitted requests over what the limit allows, all of the time.
        worst_second: The most admitted in one second, over the limit.
        messages_per_request: Between hosts, for each wanted request.
        waits: Part of the requests that waited for another host's answer.
    """

    used: float
    worst_second: float
    messages_per_request: float
    waits: float


class _Host:
    """One router's part of the tenant's limit."""

    def __init__(self):
        bounds = objects.Limits(requests_per_s=_LIMIT)
        self.usage = limits.TenantUsage(bounds, 1.0 / _HOSTS, 0.0)
        self.shares = shares.DemandShares()
        self.shares.router_count = _HOSTS
        self.alive = True

    def ask(self, now: float, share: float) -> bool:
        """Returns whether a request is admitted by this host's share."""
        self.usage.set_limits(self.usage.limits, share, now)
        if self.usage.refusal_wait_s(now) is not None:
            return False
        self.usage.begin()
        self.usage.end(0.0)
        return True


class _Run:
    """One way under one pattern of demand, in virtual time."""

    def __init__(self, way: str, pattern: str, seed: int):
        self.way = way
        self.pattern = pattern
        self.random = random.Random(seed)
        self.hosts = [_Host() for _ in range(_HOSTS)]
        self.owner = _Host()
        self.seconds = [0] * _SECONDS
        self.wanted = 0
        self.messages = 0
        self.waits = 0
        self.told: list[tuple[float, int, dict[str, float]]] = []

    def run(self) -> LimitResult:
        """Returns the result."""
        for tick in range(int(_SECONDS / _TICK_S)):
            now = tick * _TICK_S
            self._change(now)
            if tick % int(_TELL_S / _TICK_S) == 0:
                self._tell(now)
            self._deliver(now)
            for number, rate in enumerate(self._rates(now)):
                if self.random.random() < rate * _TICK_S:
                    self._request(number, now)
        admitted = sum(self.seconds)
        return LimitResult(
            admitted / (_LIMIT * _SECONDS),
            max(self.seconds) / _LIMIT,
            self.messages / self.wanted,
            self.waits / self.wanted,
        )

    def _rates(self, now: float) -> list[float]:
        even = [_DEMAND / _HOSTS] * _HOSTS
        skewed = [0.85 * _DEMAND] + [0.05 * _DEMAND] * (_HOSTS - 1)
        match self.pattern:
            case "skewed":
                return skewed
            case "shifting":
                turn = int(now // 10) % _HOSTS
                return skewed[-turn:] + skewed[:-turn]
            case "host_lost" if not self.hosts[-1].alive:
                left = _DEMAND / (_HOSTS - 1)
                return [left] * (_HOSTS - 1) + [0.0]
            case _:
                return even

    def _change(self, now: float) -> None:
        middle = _SECONDS / 2
        if self.pattern != "host_lost" or now < middle:
            return
        self.hosts[-1].alive = False
        if now >= middle + _SUSPECT_S:
            for host in self.hosts:
                host.shares.router_count = _HOSTS - 1

    def _tell(self, now: float) -> None:
        if self.way != "demand":
            return
        for number, host in enumerate(self.hosts):
            if host.alive:
                self.messages += _HOSTS - 1
                demand = host.shares.end_interval(now)
                self.told.append((now + _DELAY_S, number, demand))

    def _deliver(self, now: float) -> None:
        due = [each for each in self.told if each[0] <= now]
        self.told = [each for each in self.told if each[0] > now]
        for _, source, demand in due:
            for number, host in enumerate(self.hosts):
                if number != source and not self._cut(source, number, now):
                    host.shares.update_peer(str(source), demand, now)

    def _cut(self, one: int, other: int, now: float) -> bool:
        if self.pattern != "cut_off" or now < _SECONDS / 2:
            return False
        return (one == 0) != (other == 0)

    def _request(self, number: int, now: float) -> None:
        self.wanted += 1
        host = self.hosts[number]
        host.shares.count_request("t")
        if self._admit(number, host, now):
            self.seconds[int(now)] += 1

    def _admit(self, number: int, host: _Host, now: float) -> bool:
        match self.way:
            case "equal":
                return host.ask(now, 1.0 / max(1, host.shares.router_count))
            case "demand":
                return host.ask(now, host.shares.share("t", now))
            case _:
                return self._ask_owner(number, now)

    def _ask_owner(self, number: int, now: float) -> bool:
        """The owner is on host 1: it cannot be asked by a host cut off."""
        if number == 1:
            return self.owner.ask(now, 1.0)
        if self._cut(number, 1, now):
            return False
        self.messages += 2
        self.waits += 1
        return self.owner.ask(now, 1.0)


def measure_limits(seed: int) -> dict[str, dict[str, LimitResult]]:
    """Returns the result of each way under each pattern."""
    return {
        pattern: {way: _Run(way, pattern, seed).run() for way in WAYS}
        for pattern in PATTERNS
    }
