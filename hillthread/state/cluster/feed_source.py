"""From whom a host reads topics: the store, or a host that reads for many.

In a data centre with many hosts the one that ranks first reads the store, and
the others read from it. Every page names the age of its content, so that a
wrong choice costs calls and never correctness.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
from typing import NamedTuple

from hillthread.state.routing import placement

__all__ = ["FeedSource", "HostEntry", "rank_hosts"]

# A host that reads for another one makes 0.55 calls a second to the store for
# keys and configurations, two that read for themselves 0.8 (worked out from
# how long their reads are held).
_LEAST_HOSTS = 2
# A host that did not help is avoided for this time.
_AVOID_S = 2.0
# Only so many are tried before the store is read.
_SOURCES = 2
# Of the fastest link in a data centre: hosts with as much do what is done for
# all others first.
_STRONG_SHARE = 0.5


class HostEntry(NamedTuple):
    """One host of the system.

    Attributes:
        name: Unique.
        data_centre: Where it runs.
        feed: `IP:port` where it answers other hosts.
        link_mbps: What its link carries; 0 when not known.
    """

    name: str
    data_centre: str
    feed: str
    link_mbps: float = 0.0


def rank_hosts(key: str, hosts: Mapping[str, HostEntry]) -> list[HostEntry]:
    """Returns hosts in the order in which they do something for the others.

    All hosts agree on it. Those with a fast link come first: who gathers for 24
    others sends 3.9 Mbit/s when much is sent, and where its link carries 5 a
    third of it is lost, its callers' answers with it.

    Args:
        key: Names what is done.
        hosts: By name.
    """
    fastest = max((host.link_mbps for host in hosts.values()), default=0.0)
    order = placement.rank_by_rendezvous(key.encode(), hosts)
    ranked = [hosts[name] for name in order]
    ranked.sort(key=lambda host: host.link_mbps < fastest * _STRONG_SHARE)
    return ranked


class FeedSource:
    """Chooses whom to read from.

    Attributes:
        name: This host's name.
        data_centre: Where it runs.
        hosts: All that are listed, by name.
        revision: Rises when these change.
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
        self._rank()

    def remove(self, name: str) -> None:
        """Forgets a host."""
        self.hosts.pop(name, None)
        self._rank()

    def pick_confirming_hosts(
        self, draw: Callable[[list[HostEntry]], HostEntry]
    ) -> list[HostEntry]:
        """Returns a host of this data centre and one of another, as there are.

        Args:
            draw: Chooses one of several.
        """
        others = [
            each for each in self.hosts.values() if each.name != self.name
        ]
        here = [e for e in others if e.data_centre == self.data_centre]
        elsewhere = [e for e in others if e.data_centre != self.data_centre]
        return [draw(group) for group in (here, elsewhere) if group]

    def pick(self, now: float) -> HostEntry | None:
        """Returns the host to read from; None for the store."""
        for entry in self._ranked[:_SOURCES]:
            if entry.name == self.name:
                return None
            if now >= self._avoided_until.get(entry.name, 0.0):
                return entry
        return None

    def avoid(self, name: str, now: float) -> None:
        """Avoids a host that did not help."""
        self._avoided_until[name] = now + _AVOID_S

    def count_neighbours(self) -> int:
        """Returns how many other hosts are in this host's data centre."""
        own = self._own_data_centre(self.hosts.values())
        return len(own.keys() - {self.name})

    def count_data_centres(self) -> int:
        """Returns in how many data centres there are hosts."""
        return len({entry.data_centre for entry in self.hosts.values()})

    def has_shared_reader(self) -> bool:
        """Returns whether one host of the data centre reads for the others."""
        return bool(self._ranked)

    def is_shared_reader(self) -> bool:
        """Returns whether others are expected to read from this host."""
        return any(entry.name == self.name for entry in self._ranked[:1])

    def get_duty_rank(self, key: str) -> int:
        """Returns this host's place among all hosts for a duty, 0 first."""
        if key not in self._duty_ranks:
            order = placement.rank_by_rendezvous(key.encode(), self.hosts)
            listed = self.name in order
            rank = order.index(self.name) if listed else len(order)
            self._duty_ranks[key] = rank
        return self._duty_ranks[key]

    def _rank(self) -> None:
        self.revision += 1
        self._duty_ranks.clear()
        own = self._own_data_centre(self.hosts.values())
        if len(own) < _LEAST_HOSTS:
            self._ranked = []
            return
        self._ranked = rank_hosts(f"feed/{self.data_centre}", own)

    def _own_data_centre(
        self, entries: Iterable[HostEntry]
    ) -> dict[str, HostEntry]:
        return {
            entry.name: entry
            for entry in entries
            if entry.data_centre == self.data_centre
        }
