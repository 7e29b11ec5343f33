"""Chooses the host that serves a request which this host cannot serve.

Hosts of the same data centre come first, then those of data centres that the
request has not been sent to, and of several the one with the fewest requests of
this host. Nothing is exchanged in advance: a host that cannot serve either says
so at once, and is then avoided for a while for the same pool.
"""

from __future__ import annotations

import collections
from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Sequence

from hillthread.state.cluster import feed_source

__all__ = ["PeerChoice"]

# Minimum interval of requests to an avoided host while no other is left.
_PROBE_INTERVAL_S = 0.25


class PeerChoice:
    """Which of the other hosts may be asked, and how many requests each has.

    Attributes:
        name: Name of this host.
        data_centre: Data centre of this host.
        open_requests: Unfinished requests of this host at other hosts; only
            numbers above 0 are kept.
    """

    def __init__(self, name: str, data_centre: str):
        self.name = name
        self.data_centre = data_centre
        self.open_requests: collections.Counter[str] = collections.Counter()
        self._avoided_until: dict[tuple[str, str], float] = {}
        self._probed_at: dict[str, float] = {}

    def choose(
        self,
        hosts: Collection[feed_source.HostEntry],
        pool: str,
        tried: Collection[str],
        now: float,
        draw: Callable[
            [Sequence[feed_source.HostEntry]], feed_source.HostEntry
        ],
    ) -> feed_source.HostEntry | None:
        """Returns the host to ask, or None if there is none.

        Args:
            hosts: All listed hosts.
            pool: Pool that is to serve the request.
            tried: Hosts that the request was sent to already.
            now: Current time, seconds.
            draw: Chooses one of several hosts at random.
        """
        others = [
            host
            for host in hosts
            if host.name != self.name and host.name not in tried
        ]
        usable = [
            host
            for host in others
            if not self._is_avoided(host.name, pool, now)
        ]
        # All hosts of a data centre may have lost their links together.
        tried_data_centres = {h.data_centre for h in hosts if h.name in tried}
        fresh = [h for h in usable if h.data_centre not in tried_data_centres]
        near = [h for h in fresh if h.data_centre == self.data_centre]
        candidates = near or fresh or usable
        if not candidates:
            return self._choose_probe(others, now)
        # The less loaded of two random ones: always taking the least loaded
        # host would send the requests of all hosts to the same one.
        first, second = draw(candidates), draw(candidates)
        if self.open_requests[second.name] < self.open_requests[first.name]:
            return second
        return first

    def can_choose(
        self,
        hosts: Collection[feed_source.HostEntry],
        pool: str,
        now: float,
    ) -> bool:
        """Returns whether `choose` would return a host; chooses none.

        Args:
            hosts: All listed hosts.
            pool: Pool that is to serve the request.
            now: Current time, seconds.
        """
        others = [host for host in hosts if host.name != self.name]
        return any(
            not self._is_avoided(host.name, pool, now) for host in others
        ) or bool(self._list_due_probes(others, now))

    def _choose_probe(
        self, avoided: Sequence[feed_source.HostEntry], now: float
    ) -> feed_source.HostEntry | None:
        """Returns the host to probe with a request, or None for none now.

        A host declines for a moment after a pause, and a connection may time
        out once. Without a probe, all requests would be refused for as long as
        it is avoided.
        """
        due = self._list_due_probes(avoided, now)
        if not due:
            return None
        probed = min(due, key=lambda host: self._get_probed_at(host.name))
        self._probed_at[probed.name] = now
        return probed

    def _list_due_probes(
        self, avoided: Sequence[feed_source.HostEntry], now: float
    ) -> list[feed_source.HostEntry]:
        return [
            host
            for host in avoided
            if now - self._get_probed_at(host.name) >= _PROBE_INTERVAL_S
        ]

    def _get_probed_at(self, host: str) -> float:
        return self._probed_at.get(host, -_PROBE_INTERVAL_S)

    def avoid(self, host: str, pool: str, until: float) -> None:
        """Avoids a host for a pool until a point in time, seconds.

        Args:
            host: Name of the host.
            pool: Name of the pool; empty for all pools.
            until: Seconds.
        """
        self._avoided_until[host, pool] = until

    def use_again(self, host: str, pool: str) -> None:
        """Ends the avoidance of a host that has served a request."""
        self._avoided_until.pop((host, pool), None)
        self._avoided_until.pop((host, ""), None)

    def begin(self, host: str) -> None:
        """Counts a request that is sent to a host."""
        self.open_requests[host] += 1

    def end(self, host: str) -> None:
        """Counts a request that has ended."""
        self.open_requests[host] -= 1
        if not self.open_requests[host]:
            del self.open_requests[host]

    def _is_avoided(self, host: str, pool: str, now: float) -> bool:
        for key in ((host, pool), (host, "")):
            until = self._avoided_until.get(key)
            if until is None:
                continue
            if now < until:
                return True
            del self._avoided_until[key]
        return False
