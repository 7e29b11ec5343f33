"""Registers this host and tracks the others that share budgets and duties.

Each host writes its entry to a keyed topic when it starts. Entries of hosts
that are gone remain: shares of a budget are then smaller than they could be,
never larger, and a peer that does not answer is avoided for a while. Entries
may also vanish from the store while their hosts serve on.
"""

from __future__ import annotations

from collections.abc import Callable
import logging
import random

import anyio
import anyio.abc
import msgspec

from hillthread import clock
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

# Topic of the records that hosts publish permanently. Records of other kinds
# share it, since each topic that hosts follow costs calls to the store.
HOSTS_TOPIC = "keyed.hosts"
# Prefix of the keys of requests under which targets crash. No host name starts
# with it.
QUARANTINE_PREFIX = "quarantine/"
_RETRY_DELAY_S = 2.0
# Time for which a host counts after its entry has vanished. Meanwhile it
# registers again, or stops serving since it cannot reach the store.
_REMOVAL_DELAY_S = 30.0
# Maximum writes a second with which all hosts together write lost records
# again: a part of the writes that the store accepts.
_MAX_REWRITES_PER_S = 100.0
_RETRY_JITTER_SHARE = 0.5

_logger = logging.getLogger("hillthread.hosts")


class _Entry(msgspec.Struct):
    """Stored entry of a host."""

    data_centre: str
    feed: str
    link_mbps: float = 0.0


_decoder = msgspec.json.Decoder(_Entry)


class HostRegistry:
    """Writes the entry of this host and applies those of the others.

    Attributes:
        store: Client of the platform's store.
        site: State of this host, whose `cluster_size` and
            `neighbour_count` are updated.
        source: Receives the entries of all hosts.
        feed: `IP:port` at which this host serves other hosts.
        hosts_read: Set when the list of hosts has been read once.
        hosts_settled: Set when the hosts that started together with this one
            are listed.
        tasks: Runs what follows when entries vanish.
    """

    def __init__(
        self,
        store: store_lib.StoreClient,
        site: site_lib.Site,
        source: feed_source.FeedSource,
        feed: str,
        hosts_read: anyio.Event,
        hosts_settled: anyio.Event,
        tasks: anyio.abc.TaskGroup,
    ):
        self.store = store
        self.site = site
        self.source = source
        self.feed = feed
        self.hosts_read = hosts_read
        self.hosts_settled = hosts_settled
        self.tasks = tasks
        self._vanished_at: dict[str, float] = {}

    async def register(self) -> None:
        """Writes this host's entry unless the list already has it.

        Each write has a cost and makes all other hosts read the list. A host
        that restarts at the same address is already listed.
        """
        await self.hosts_read.wait()
        own_entry = self._build_own_entry()
        if self.source.hosts.get(own_entry.name) == own_entry:
            self._mark_settled()
            return
        await self._write_entry(own_entry)

    async def register_again(self, read_entry: Callable[[], bytes]) -> None:
        """Writes this host's entry if the restored store lacks it.

        All hosts that joined after the backup was made do so at about the same
        time. Each waits for a random delay, which grows with the number of
        hosts.

        Args:
            read_entry: Returns this host's entry in the store, which may be
                that of an earlier process; empty if there is none.
        """
        spread_s = compute_rewrite_spread_s(self.site.cluster_size)
        await anyio.sleep(random.uniform(0.0, spread_s))
        own_entry = self._build_own_entry()
        if read_entry() == _encode_entry(own_entry):
            self._mark_settled()
            return
        await self._write_entry(own_entry)

    def _build_own_entry(self) -> feed_source.HostEntry:
        settings = self.site.settings
        return feed_source.HostEntry(
            settings.host, settings.data_centre, self.feed, settings.link_mbps
        )

    def _mark_settled(self) -> None:
        """Marks the hosts that started with this one, and itself, as listed."""
        self.hosts_settled.set()
        self._update_host_count()

    async def _write_entry(self, own_entry: feed_source.HostEntry) -> None:
        """Writes this host's entry; retries until that succeeds."""
        entry = _encode_entry(own_entry)
        while True:
            try:
                await self.store.put(HOSTS_TOPIC, own_entry.name, entry)
            except errors.HillthreadError as error:
                _logger.warning(
                    "writing the entry of this host failed",
                    extra={"event": "host_unlisted", "reason": error.message},
                )
            else:
                self._apply_entry(own_entry)
                return
            await anyio.sleep(
                _RETRY_DELAY_S * random.uniform(1.0, 1.0 + _RETRY_JITTER_SHARE)
            )

    def apply_host_record(self, record: topic_copy.TopicRecord) -> None:
        """Applies a changed record of the topic.

        Raises:
            ConfigurationError: The entry is unreadable.
        """
        if record.value:
            self._vanished_at.pop(record.key, None)
            entry = payloads.decode_payload(_decoder, record.value, "host")
            self.source.put(
                feed_source.HostEntry(
                    record.key, entry.data_centre, entry.feed, entry.link_mbps
                )
            )
        elif record.key == self.site.settings.host:
            self.tasks.start_soon(self.register_again, bytes)
        elif record.key in self.source.hosts:
            now = self._vanished_at[record.key] = clock.now()
            self.tasks.start_soon(self._remove_later, record.key, now)
        if record.key == self.site.settings.host and self.hosts_read.is_set():
            # Entries of hosts that started together are read together.
            self.hosts_settled.set()
        self._update_host_count()
        _logger.info(
            "hosts changed",
            extra={
                "event": "hosts",
                "host": record.key,
                "hosts": self.site.cluster_size,
                "vanished": not record.value,
            },
        )

    async def _remove_later(self, name: str, vanished_at: float) -> None:
        """Removes a host unless its entry comes back in time."""
        await anyio.sleep(_REMOVAL_DELAY_S)
        if self._vanished_at.get(name) != vanished_at:
            return
        del self._vanished_at[name]
        self.source.remove(name)
        self._update_host_count()
        _logger.info(
            "host removed",
            extra={
                "event": "host_removed",
                "host": name,
                "hosts": self.site.cluster_size,
            },
        )

    def _apply_entry(self, entry: feed_source.HostEntry) -> None:
        self.source.put(entry)
        self._update_host_count()

    def _update_host_count(self) -> None:
        """Updates the number of hosts that share budgets.

        Until the hosts that started with this one are listed, the number does
        not fall below the default: each host would take too large a share.
        """
        min_hosts = (
            1 if self.hosts_settled.is_set() else site_lib.DEFAULT_CLUSTER_SIZE
        )
        self.site.cluster_size = max(min_hosts, len(self.source.hosts))
        self.site.neighbour_count = self.source.count_neighbours()


def _encode_entry(entry: feed_source.HostEntry) -> bytes:
    return msgspec.json.encode(
        _Entry(entry.data_centre, entry.feed, entry.link_mbps)
    )


def compute_rewrite_spread_s(hosts: int) -> float:
    """Returns the time over which hosts spread writes of lost records."""
    return hosts / _MAX_REWRITES_PER_S
