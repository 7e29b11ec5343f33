"""Selects the hosts that hold replicas of a record.

Hosts rank the data centres, and the hosts of each, by rendezvous hashing. A
record is held by the first-ranked host of the data centre of its author and of
two other data centres. A host that looks a record up asks the first-ranked
hosts of its own data centre and of two others: whatever the two data centres
are, the two selections have a host in common as long as both hosts list the
same members. Where lists differ or hosts have lost their records, the next
ranks are asked.
"""

from __future__ import annotations

from collections.abc import Collection
from collections.abc import Iterable

from hillthread.state.cluster import feed_source
from hillthread.state.routing import placement

__all__ = ["RecordPlacement"]

_REPLICAS = 3
_OTHER_DATA_CENTRES = 2
# Bound on the hosts that are asked in addition to the replicas, and how many
# ranks of how many other data centres are among them.
_MAX_FALLBACK_HOSTS = 24
_FALLBACK_DATA_CENTRES = 3
_FALLBACK_RANKS = 3


class RecordPlacement:
    """Ranks hosts from the point of view of one host.

    Attributes:
        name: Name of this host.
        data_centre: Its data centre.
    """

    def __init__(self, name: str, data_centre: str):
        self.name = name
        self.data_centre = data_centre

    def replicas(
        self, key: bytes, hosts: Collection[feed_source.HostEntry]
    ) -> list[feed_source.HostEntry]:
        """Returns the other hosts that hold a record, those nearest first.

        Args:
            key: Identifies the record.
            hosts: All listed hosts.
        """
        groups = self._group(hosts)
        local = _rank(key, groups.pop(self.data_centre, []))
        remote = self._rank_groups(key, groups, _OTHER_DATA_CENTRES)
        chosen = [group[0] for group in remote]
        chosen = local[: _REPLICAS - len(chosen)] + chosen
        # Small data centres leave places for the next ranks of others.
        spare = [host for group in remote for host in group[1:]]
        return chosen + spare[: _REPLICAS - len(chosen)]

    def fallback_hosts(
        self, key: bytes, hosts: Collection[feed_source.HostEntry]
    ) -> list[feed_source.HostEntry]:
        """Returns further hosts that may have a record, in order.

        These are the next ranks of other data centres, which get the records of
        replicas that stop, and then the hosts of this data centre.
        """
        skipped = {host.name for host in self.replicas(key, hosts)}
        groups = self._group(hosts)
        local = _rank(key, groups.pop(self.data_centre, []))
        remote = self._rank_groups(key, groups, _FALLBACK_DATA_CENTRES)
        candidates = [
            group[rank]
            for rank in range(_FALLBACK_RANKS)
            for group in remote
            if rank < len(group)
        ]
        candidates += local
        candidates += [h for group in remote for h in group[_FALLBACK_RANKS:]]
        found = [each for each in candidates if each.name not in skipped]
        return found[:_MAX_FALLBACK_HOSTS]

    def successor(
        self, key: bytes, hosts: Collection[feed_source.HostEntry]
    ) -> feed_source.HostEntry | None:
        """Returns the host that gets a record if this one stops, if any."""
        groups = self._group(hosts)
        local = _rank(key, groups.pop(self.data_centre, []))
        if local:
            return local[0]
        remote = self._rank_groups(key, groups, 1)
        return remote[0][0] if remote else None

    def _group(
        self, hosts: Iterable[feed_source.HostEntry]
    ) -> dict[str, list[feed_source.HostEntry]]:
        """Returns the other hosts by data centre."""
        groups: dict[str, list[feed_source.HostEntry]] = {}
        for host in hosts:
            if host.name != self.name:
                groups.setdefault(host.data_centre, []).append(host)
        return groups

    def _rank_groups(
        self,
        key: bytes,
        groups: dict[str, list[feed_source.HostEntry]],
        count: int,
    ) -> list[list[feed_source.HostEntry]]:
        """Returns the ranked hosts of the first-ranked data centres."""
        ranked = placement.rank_by_rendezvous(key, groups)[:count]
        return [_rank(key, groups[each]) for each in ranked]


def _rank(
    key: bytes, hosts: Iterable[feed_source.HostEntry]
) -> list[feed_source.HostEntry]:
    by_name = {host.name: host for host in hosts}
    return [by_name[n] for n in placement.rank_by_rendezvous(key, by_name)]
