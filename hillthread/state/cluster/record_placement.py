"""Selects the hosts that keep a record which any host may need.

Hosts rank the data centres, and the hosts of each, by rendezvous hashing. A
record is kept by the first-ranked host of the data centre of its author and of
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

_KEEPERS = 3
_OTHER_DATA_CENTRES = 2
# Bound on the hosts that are asked in addition to the keepers.
_MAX_FALLBACK_HOSTS = 24


class RecordPlacement:
    """Ranks hosts from the point of view of one host.

    Attributes:
        name: Name of this host.
        data_centre: Its data centre.
    """

    def __init__(self, name: str, data_centre: str):
        self.name = name
        self.data_centre = data_centre

    def keepers(
        self,
        key: bytes,
        hosts: Collection[feed_source.HostEntry],
        without_self: bool = True,
    ) -> list[feed_source.HostEntry]:
        """Returns the hosts that keep a record, those nearest first.

        Args:
            key: Identifies the record.
            hosts: All listed hosts.
            without_self: Whether this host is left out.
        """
        groups = self._group(hosts, without_self)
        local = groups.pop(self.data_centre, [])
        remote = self._rank_data_centres(key, groups)[:_OTHER_DATA_CENTRES]
        own = _rank(key, local)[: _KEEPERS - len(remote)]
        return own + [_rank(key, groups[each])[0] for each in remote]

    def fallback_hosts(
        self, key: bytes, hosts: Collection[feed_source.HostEntry]
    ) -> list[feed_source.HostEntry]:
        """Returns further hosts that may have a record, in order.

        These are the hosts of this data centre, then the next ranks of others.
        """
        skipped = {host.name for host in self.keepers(key, hosts)}
        groups = self._group(hosts, without_self=True)
        candidates = _rank(key, groups.pop(self.data_centre, []))
        ranked = [
            _rank(key, groups[each])
            for each in self._rank_data_centres(key, groups)
        ]
        depth = max((len(group) for group in ranked), default=0)
        for rank in range(depth):
            candidates += [group[rank] for group in ranked if rank < len(group)]
        return [each for each in candidates if each.name not in skipped][
            :_MAX_FALLBACK_HOSTS
        ]

    def successors(
        self, key: bytes, hosts: Collection[feed_source.HostEntry]
    ) -> list[feed_source.HostEntry]:
        """Returns the hosts that replace this one as keepers if it stops."""
        before = self.keepers(key, hosts, without_self=False)
        names = {host.name for host in before}
        return [
            host for host in self.keepers(key, hosts) if host.name not in names
        ]

    def _group(
        self, hosts: Iterable[feed_source.HostEntry], without_self: bool
    ) -> dict[str, list[feed_source.HostEntry]]:
        """Returns the hosts by data centre."""
        groups: dict[str, list[feed_source.HostEntry]] = {}
        for host in hosts:
            if not (without_self and host.name == self.name):
                groups.setdefault(host.data_centre, []).append(host)
        return groups

    def _rank_data_centres(
        self, key: bytes, data_centres: Iterable[str]
    ) -> list[str]:
        return placement.rank_by_rendezvous(key, data_centres)


def _rank(
    key: bytes, hosts: Iterable[feed_source.HostEntry]
) -> list[feed_source.HostEntry]:
    by_name = {host.name: host for host in hosts}
    return [by_name[n] for n in placement.rank_by_rendezvous(key, by_name)]
