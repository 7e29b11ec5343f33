"""Which hosts there are: to share budgets, duties and reads of the store.

Each host writes its entry into a keyed topic when it starts. One that is gone
stays listed: parts of a budget are then smaller than they could be, never
larger, and a peer that does not answer is avoided for a while.
"""

from __future__ import annotations

from collections.abc import Callable
import logging
import random

import anyio
import msgspec

from hillthread import errors
from hillthread.coordination.gateway import site as site_lib
from hillthread.platform import store as store_lib
from hillthread.state.cluster import feed_source
from hillthread.state.cluster import topic_copy
from hillthread.state.config import payloads

__all__ = [
    "HOSTS_TOPIC",
    "QUARANTINE_PREFIX",
    "HostRegistry",
    "compute_rewrite_spread_s",
]

# What hosts publish for good. Records of other kinds share the topic, since
# every topic that hosts follow has its price.
HOSTS_TOPIC = "keyed.hosts"
# Begins the keys of requests that end targets; no host is named so.
QUARANTINE_PREFIX = "quarantine/"
_RETRY_S = 2.0
# Of the writes that the store takes from all hosts, a part.
_REWRITES_PER_S = 100.0
_SPREAD = 0.5

_logger = logging.getLogger("hillthread.hosts")


class _Entry(msgspec.Struct):
    """What a host writes of itself."""

    data_centre: str
    feed: str
    link_mbps: float = 0.0


_decoder = msgspec.json.Decoder(_Entry)


class HostRegistry:
    """Lists this host and knows the others.

    Attributes:
        store: The platform's store.
        site: Whose `hosts` and `neighbours` are set.
        source: Whose hosts are kept.
        feed: `IP:port` where this host answers others.
        known: Set when the list was read.
        settled: Set when hosts that started together with this one are listed.
    """

    def __init__(
        self,
        store: store_lib.StoreClient,
        site: site_lib.Site,
        source: feed_source.FeedSource,
        feed: str,
        hosts_read: anyio.Event,
        hosts_settled: anyio.Event,
    ):
        self.store = store
        self.site = site
        self.source = source
        self.feed = feed
        self.hosts_read = hosts_read
        self.hosts_settled = hosts_settled

    async def register(self) -> None:
        """Writes this host's entry, if the list has another or none.

        Each write has its price, and has all other hosts read the list: one
        that starts again where it was is listed already.
        """
        await self.hosts_read.wait()
        wanted = self._own_entry()
        if self.source.hosts.get(wanted.name) == wanted:
            self._settle()
            return
        await self._put_listed(wanted)

    async def register_again(self, listed: Callable[[], bytes]) -> None:
        """Writes this host's entry if the store was restored without it.

        All hosts that joined since the copy was made do so: each waits a
        moment, the longer the more hosts there are.

        Args:
            listed: Returns this host's entry in the store; empty if it has
                none. It may be that of an earlier process.
        """
        spread_s = compute_rewrite_spread_s(self.site.cluster_size)
        await anyio.sleep(random.uniform(0.0, spread_s))
        wanted = self._own_entry()
        if listed() == _encode(wanted):
            self._settle()
            return
        await self._put_listed(wanted)

    def _own_entry(self) -> feed_source.HostEntry:
        settings = self.site.settings
        return feed_source.HostEntry(
            settings.host, settings.data_centre, self.feed, settings.link_mbps
        )

    def _settle(self) -> None:
        """Notes that this host is listed, and so are those it started with."""
        self.hosts_settled.set()
        self._count()

    async def _put_listed(self, wanted: feed_source.HostEntry) -> None:
        """Writes this host's entry, until that succeeds."""
        entry = _encode(wanted)
        while True:
            try:
                await self.store.put(HOSTS_TOPIC, wanted.name, entry)
            except errors.HillthreadError as error:
                _logger.warning(
                    "host not listed",
                    extra={"event": "host_unlisted", "reason": error.message},
                )
            else:
                self._put(wanted)
                return
            await anyio.sleep(_RETRY_S * random.uniform(1.0, 1.0 + _SPREAD))

    def apply_host_record(self, record: topic_copy.TopicRecord) -> None:
        """Applies a change of the topic.

        Raises:
            ConfigurationError: The entry is unreadable.
        """
        if record.value:
            entry = payloads.decode_payload(_decoder, record.value, "host")
            self.source.put(
                feed_source.HostEntry(
                    record.key, entry.data_centre, entry.feed, entry.link_mbps
                )
            )
        else:
            self.source.remove(record.key)
        if record.key == self.site.settings.host and self.hosts_read.is_set():
            # Others that started with it were read together with its entry.
            self.hosts_settled.set()
        self._count()
        _logger.info(
            "hosts changed",
            extra={
                "event": "hosts",
                "host": record.key,
                "hosts": self.site.cluster_size,
            },
        )

    def _put(self, entry: feed_source.HostEntry) -> None:
        self.source.put(entry)
        self._count()

    def _count(self) -> None:
        """Notes how many hosts share budgets.

        Until those are known that started with this one, no fewer than are
        assumed at the start: each would take too large a part.
        """
        least = (
            1 if self.hosts_settled.is_set() else site_lib.DEFAULT_CLUSTER_SIZE
        )
        self.site.cluster_size = max(least, len(self.source.hosts))
        self.site.neighbour_count = self.source.count_neighbours()


def _encode(entry: feed_source.HostEntry) -> bytes:
    return msgspec.json.encode(
        _Entry(entry.data_centre, entry.feed, entry.link_mbps)
    )


def compute_rewrite_spread_s(hosts: int) -> float:
    """Returns within which time hosts write again what the store has lost."""
    return hosts / _REWRITES_PER_S
