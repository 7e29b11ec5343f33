"""Selects the host of a data centre that gathers the notices of all its hosts.

All hosts compute the same ranking of a data centre's hosts, and the first one
is the gatherer. It forwards the collected notices to all hosts, so that a host
that sent it a notice receives a packet within some ten milliseconds. A host
that receives none uses the next rank for a while. Each host decides this on its
own: the gatherer may be killed or paused, or unreachable for some hosts only.
"""

from __future__ import annotations

from collections.abc import Iterable

from hillthread.state.cluster import feed_source

__all__ = ["GathererSelector"]

# Time after which a gatherer that has not answered a notice with a packet
# counts as lost or unreachable; it sends every 30 ms.
_ANSWER_TIMEOUT_S = 0.3
# Time for which a lost gatherer is avoided; doubles with each loss up to the
# maximum.
_AVOID_S = 2.0
_MAX_AVOID_S = 16.0
# Ranks that a host tries; if all of them are lost it uses the first one.
_MAX_RANKS = 4
# Hosts of each other data centre that receive the gathered notices: its
# gatherer and the host that replaces it.
_REMOTE_GATHERERS = 2


class GathererSelector:
    """Selects the gatherer of this host's data centre.

    Attributes:
        source: Lists the hosts.
    """

    def __init__(self, source: feed_source.FeedSource):
        self.source = source
        self._ranked: dict[str, list[feed_source.HostEntry]] = {}
        self._revision = -1
        self._waiting_since: dict[str, float] = {}
        self._avoided_until: dict[str, float] = {}
        self._avoided_s: dict[str, float] = {}

    def pick(self, now: float) -> feed_source.HostEntry | None:
        """Returns the gatherer, or None when no host is listed."""
        ranked = self._rank_by_data_centre().get(self.source.data_centre, [])[
            :_MAX_RANKS
        ]
        for entry in ranked:
            if entry.name == self.source.name or self._is_available(entry, now):
                return entry
        return ranked[0] if ranked else None

    def list_neighbours(self) -> list[feed_source.HostEntry]:
        """Returns the other hosts of this host's data centre."""
        ranked = self._rank_by_data_centre().get(self.source.data_centre, [])
        return [each for each in ranked if each.name != self.source.name]

    def list_remote_gatherers(self) -> list[feed_source.HostEntry]:
        """Returns the hosts of other data centres that gather for theirs."""
        return [
            entry
            for data_centre, ranked in self._rank_by_data_centre().items()
            if data_centre != self.source.data_centre
            for entry in ranked[:_REMOTE_GATHERERS]
        ]

    def is_gatherer(self, now: float) -> bool:
        """Returns whether this host is the gatherer."""
        entry = self.pick(now)
        return entry is not None and entry.name == self.source.name

    def note_sent(self, name: str, now: float) -> None:
        """Records that a notice was sent to a gatherer."""
        self._waiting_since.setdefault(name, now)

    def note_heard(self, feed: str) -> None:
        """Records that the host which answers others at `feed` sent a packet.

        The packet need not contain this host's notice: a gatherer that receives
        more than it may forward is alive, and the next rank could not forward
        more either.
        """
        for name in list(self._waiting_since):
            entry = self.source.hosts.get(name)
            if entry is None or entry.feed == feed:
                del self._waiting_since[name]
                self._avoided_s.pop(name, None)

    def _is_available(self, entry: feed_source.HostEntry, now: float) -> bool:
        """Returns whether a host is usable; avoids it if it did not answer."""
        waiting_since = self._waiting_since.get(entry.name)
        if (
            waiting_since is not None
            and now - waiting_since > _ANSWER_TIMEOUT_S
        ):
            del self._waiting_since[entry.name]
            avoid_s = self._avoided_s.get(entry.name, _AVOID_S)
            self._avoided_s[entry.name] = min(2.0 * avoid_s, _MAX_AVOID_S)
            self._avoided_until[entry.name] = now + avoid_s
        return now >= self._avoided_until.get(entry.name, 0.0)

    def _rank_by_data_centre(self) -> dict[str, list[feed_source.HostEntry]]:
        """Returns the ranked hosts of each data centre, the gatherer first."""
        if self._revision != self.source.revision:
            self._revision = self.source.revision
            self._ranked = _rank_all(self.source.hosts.values())
        return self._ranked


def _rank_all(
    hosts: Iterable[feed_source.HostEntry],
) -> dict[str, list[feed_source.HostEntry]]:
    members: dict[str, dict[str, feed_source.HostEntry]] = {}
    for host in hosts:
        members.setdefault(host.data_centre, {})[host.name] = host
    return {
        data_centre: feed_source.rank_hosts(f"gather/{data_centre}", there)
        for data_centre, there in members.items()
    }
