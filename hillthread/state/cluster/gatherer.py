"""Which host of a data centre gathers what all its hosts tell.

All hosts rank the hosts of a data centre alike, and the first one gathers. A
host that hands something to the gatherer hears from it within some ten ms, as
all hosts do. If it does not, it goes on to the next rank for a while: the
gatherer may be killed, frozen or cut off, and nobody has to find that out for
all.
"""

from __future__ import annotations

from collections.abc import Iterable

from hillthread.state.cluster import feed_source

__all__ = ["GathererSelector"]

# What was handed over is sent on by then unless the gatherer, or the way to it,
# is lost: it does so every 30 ms.
_HEARD_WITHIN_S = 0.3
# A gatherer that failed is tried again after this time, which doubles.
_AVOID_S = 2.0
_MOST_AVOID_S = 16.0
# Ranks that a host tries; with all of them lost it goes on with the first.
_RANKS = 4
# Hosts of another data centre that get what was gathered: its gatherer, and the
# one that takes over from it.
_ELSEWHERE = 2


class GathererSelector:
    """Chooses the gatherer of this host's data centre.

    Attributes:
        source: Knows the hosts.
    """

    def __init__(self, source: feed_source.FeedSource):
        self.source = source
        self._ranked: dict[str, list[feed_source.HostEntry]] = {}
        self._revision = -1
        self._waits: dict[str, float] = {}
        self._avoided_until: dict[str, float] = {}
        self._avoided_s: dict[str, float] = {}

    def pick(self, now: float) -> feed_source.HostEntry | None:
        """Returns the host that gathers; None when none is listed."""
        ranked = self._ranks().get(self.source.data_centre, [])[:_RANKS]
        for entry in ranked:
            if entry.name == self.source.name or self._is_trusted(entry, now):
                return entry
        return ranked[0] if ranked else None

    def list_neighbours(self) -> list[feed_source.HostEntry]:
        """Returns the other hosts of this host's data centre."""
        ranked = self._ranks().get(self.source.data_centre, [])
        return [each for each in ranked if each.name != self.source.name]

    def list_remote_gatherers(self) -> list[feed_source.HostEntry]:
        """Returns who hands on in the other data centres."""
        return [
            entry
            for data_centre, ranked in self._ranks().items()
            if data_centre != self.source.data_centre
            for entry in ranked[:_ELSEWHERE]
        ]

    def is_gatherer(self, now: float) -> bool:
        """Returns whether this host gathers."""
        entry = self.pick(now)
        return entry is not None and entry.name == self.source.name

    def note_sent(self, name: str, now: float) -> None:
        """Notes that something was handed to a gatherer."""
        self._waits.setdefault(name, now)

    def note_heard(self, feed: str) -> None:
        """Notes that a host, which answers others at `feed`, sent something.

        It need not be what was handed over: a gatherer that is told of more
        than it may hand on is well, and its next rank would not hand on more.
        """
        for name in list(self._waits):
            entry = self.source.hosts.get(name)
            if entry is None or entry.feed == feed:
                del self._waits[name]
                self._avoided_s.pop(name, None)

    def _is_trusted(self, entry: feed_source.HostEntry, now: float) -> bool:
        """Returns whether a host is not known to be lost."""
        waits_since = self._waits.get(entry.name)
        if waits_since is not None and now - waits_since > _HEARD_WITHIN_S:
            del self._waits[entry.name]
            avoid_s = self._avoided_s.get(entry.name, _AVOID_S)
            self._avoided_s[entry.name] = min(2.0 * avoid_s, _MOST_AVOID_S)
            self._avoided_until[entry.name] = now + avoid_s
        return now >= self._avoided_until.get(entry.name, 0.0)

    def _ranks(self) -> dict[str, list[feed_source.HostEntry]]:
        """Returns the hosts of each data centre, the first to gather first."""
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
