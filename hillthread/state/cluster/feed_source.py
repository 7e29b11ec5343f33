"""Selects the source from which a host reads topics: the store or a peer.

In a data centre with several hosts the first-ranked one reads the store, and
the others read from it. Every page states the age of its content, so that a
wrong choice costs additional calls but never correctness.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
from typing import NamedTuple

from hillthread.state.routing import placement

__all__ = ["FeedSource", "HostEntry", "rank_hosts"]

# From this number of hosts on, one reads for the others. A host that reads for
# another one makes 0.55 calls per second to the store for keys and
# configurations; two that read for themselves make 0.8.
_MIN_HOSTS = 2
# Time for which a host is avoided after a failed read.
_AVOID_S = 2.0
# Hosts that are tried before the store is read.
_MAX_SOURCES = 2
# Hosts with at least this share of the fastest link in the data centre are
# ranked first for the work that is done for all others.
_FAST_LINK_SHARE = 0.5


class HostEntry(NamedTuple):
    """A listed host.

    Attributes:
        name: Unique name of the host.
        data_centre: Data centre in which it runs.
        feed: `IP:port` at which it answers other hosts.
        link_mbps: Capacity of its link; 0 when unknown.
    """

    name: str
    data_centre: str
    feed: str
    link_mbps: float = 0.0


def rank_hosts(key: str, hosts: Mapping[str, HostEntry]) -> list[HostEntry]:
    """Ranks hosts for a duty that one of them performs for the others.

    All hosts compute the same order. Hosts with a fast link come first: a
    gatherer for 24 others sends 3.9 Mbit/s under high load; on a link of
    5 Mbit/s a third of that is lost, along with answers to its callers.

    Args:
        key: Name of the duty.
        hosts: The hosts, by name.
    """
    fastest = max((host.link_mbps for host in hosts.values()), default=0.0)
    order = placement.rank_by_rendezvous(key.encode(), hosts)
    ranked = [hosts[name] for name in order]
    ranked.sort(key=lambda host: host.link_mbps < fastest * _FAST_LINK_SHARE)
    return ranked


class FeedSource:
    """Selects the host to read from among the listed ones.

    Attributes:
        name: Name of this host.
        data_centre: Data centre of this host.
        hosts: All listed hosts, by name.
        revision: Incremented when the listed hosts change.
    """

    def __init__(self, name: str, data_centre: str):
        self.name = name
        self.data_centre = data_centre
        self.hosts: dict[str, HostEntry] = {}
        self.revision = 0
        self._duty_ranks: dict[str, int] = {}
        self._ranked: list[HostEntry] = []
        self._avoided_until: dict[str, float] = {}

    def put(self, entry: HostEntry) -> None:
        """Adds or replaces a host."""
        self.hosts[entry.name] = entry
        self._update_ranking()

    def remove(self, name: str) -> None:
        """Removes a host."""
        self.hosts.pop(name, None)
        self._update_ranking()

    def pick_confirming_hosts(
        self, draw: Callable[[list[HostEntry]], HostEntry]
    ) -> list[HostEntry]:
        """Returns one other host of this data centre and one of another.

        Either is left out when there is no such host.

        Args:
            draw: Chooses one of several hosts.
        """
        others = [
            each for each in self.hosts.values() if each.name != self.name
        ]
        here = [e for e in others if e.data_centre == self.data_centre]
        elsewhere = [e for e in others if e.data_centre != self.data_centre]
        return [draw(group) for group in (here, elsewhere) if group]

    def pick(self, now: float) -> HostEntry | None:
        """Returns the host to read from, or None for the store."""
        for entry in self._ranked[:_MAX_SOURCES]:
            if entry.name == self.name:
                return None
            if now >= self._avoided_until.get(entry.name, 0.0):
                return entry
        return None

    def avoid(self, name: str, now: float) -> None:
        """Avoids a host for a while, after a read from it failed."""
        self._avoided_until[name] = now + _AVOID_S

    def count_neighbours(self) -> int:
        """Returns the number of other hosts in this data centre."""
        own = self._filter_own_data_centre(self.hosts.values())
        return len(own.keys() - {self.name})

    def count_data_centres(self) -> int:
        """Returns the number of data centres with listed hosts."""
        return len({entry.data_centre for entry in self.hosts.values()})

    def has_shared_reader(self) -> bool:
        """Returns whether one host of this data centre reads for the others."""
        return bool(self._ranked)

    def is_shared_reader(self) -> bool:
        """Returns whether other hosts are expected to read from this one."""
        return any(entry.name == self.name for entry in self._ranked[:1])

    def get_duty_rank(self, key: str) -> int:
        """Returns this host's rank among all hosts for a duty, 0 first."""
        if key not in self._duty_ranks:
            order = placement.rank_by_rendezvous(key.encode(), self.hosts)
            listed = self.name in order
            rank = order.index(self.name) if listed else len(order)
            self._duty_ranks[key] = rank
        return self._duty_ranks[key]

    def _update_ranking(self) -> None:
        self.revision += 1
        self._duty_ranks.clear()
        own = self._filter_own_data_centre(self.hosts.values())
        if len(own) < _MIN_HOSTS:
            self._ranked = []
            return
        self._ranked = rank_hosts(f"feed/{self.data_centre}", own)

    def _filter_own_data_centre(
        self, entries: Iterable[HostEntry]
    ) -> dict[str, HostEntry]:
        return {
            entry.name: entry
            for entry in entries
            if entry.data_centre == self.data_centre
        }
