"""Selects the host that writes the records of other hosts to the journal.

Each call to the store has a cost, so one host writes for up to some two dozen.
Data centres are divided into groups of about that many hosts; the hosts of a
group send their records to its first-ranked host.
"""

from __future__ import annotations

from collections.abc import Mapping

from hillthread.state.cluster import feed_source

__all__ = ["rank_writers"]

_HOSTS_PER_WRITER = 24


def rank_writers(
    data_centre: str, hosts: Mapping[str, feed_source.HostEntry]
) -> list[feed_source.HostEntry]:
    """Returns the hosts that may write for a data centre, in order.

    All hosts that list the same members compute the same order.

    Args:
        data_centre: The data centre whose records are written.
        hosts: All listed hosts, by name.
    """
    places = sorted({host.data_centre for host in hosts.values()})
    if data_centre not in places:
        return []
    group_count = min(len(places), -(-len(hosts) // _HOSTS_PER_WRITER))
    group_of = {
        place: index * group_count // len(places)
        for index, place in enumerate(places)
    }
    group = group_of[data_centre]
    members = {
        name: host
        for name, host in hosts.items()
        if group_of[host.data_centre] == group
    }
    return feed_source.rank_hosts(f"journal/{group}", members)
