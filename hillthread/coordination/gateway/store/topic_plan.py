"""Options of topic followers, and the objects that all followers share."""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

import anyio

from hillthread.coordination.gateway import metrics as metrics_lib
from hillthread.coordination.gateway.store import store_watch
from hillthread.platform import store
from hillthread.state.cluster import feed_source
from hillthread.state.cluster import topic_copy
from hillthread.transport import connection_pool

__all__ = ["FollowerContext", "TopicPlan"]


def _do_nothing() -> None:
    """Default of `on_caught_up`."""


def _ignore_lost(keys: list[str]) -> None:
    """Default of `on_lost`."""
    del keys


def _is_never_older(
    record: topic_copy.TopicRecord, known: topic_copy.TopicRecord
) -> bool:
    """Default for records whose values carry no version."""
    del record, known
    return False


class FollowerContext(NamedTuple):
    """Objects that all followers of a host share.

    Attributes:
        client: Client of the store.
        watch: Tracks whether the store answers.
        source: Chooses the host to read from, if not the store.
        peer_pool: Connections to other hosts.
        metrics: Metrics of the gateway.
        hosts_read: Set when the list of hosts has been read once.
        hosts_settled: Set when the list is certain to include the hosts that
            started together with this one.
    """

    client: store.StoreClient
    watch: store_watch.StoreWatch
    source: feed_source.FeedSource
    peer_pool: connection_pool.ConnectionPool
    metrics: metrics_lib.GatewayMetrics
    hosts_read: anyio.Event
    hosts_settled: anyio.Event


class TopicPlan(NamedTuple):
    """Options of the follower of one topic.

    Attributes:
        topic: Name of the topic.
        store_hold_s: Returns how long the store is to hold the next read, in
            seconds.
        reader_hold_s: Returns the maximum of that time on a host that reads
            for others, in seconds.
        peer_hold_s: Returns how long another host is to hold a read, in
            seconds.
        batch_delay_s: Returns the delay of the next read after one that
            returned records, in seconds: changes often come in groups, and
            each read has a cost.
        lone_batch_delay_s: That delay in seconds where each host reads for
            itself.
        apply_record: Called with each changed record.
        on_caught_up: Called when the newest records of all keys were read.
        is_older: Returns whether the first of two records with the same key is
            older, by the version that its writer gave it.
        keeps_missing: Whether keys that a restored topic lacks are kept;
            otherwise they count as removed.
        on_lost: Called with the keys that are kept though a restored topic
            lacks them or has older values of them.
        confirms_first_read: Whether the first read of a process also requests
            records from other hosts, since the store may just have been
            restored and have older ones.
        probes_store: Whether this follower probes a store that fails; the
            other followers wait until the store answers again.
        lists_hosts: Whether the topic holds the list of hosts. Followers of
            other topics wait for it, so as to read from one of these hosts.
    """

    topic: str
    store_hold_s: Callable[[], float]
    reader_hold_s: Callable[[], float]
    peer_hold_s: Callable[[], float]
    batch_delay_s: Callable[[], float]
    lone_batch_delay_s: float
    apply_record: Callable[[topic_copy.TopicRecord], None]
    on_caught_up: Callable[[], None] = _do_nothing
    is_older: Callable[
        [topic_copy.TopicRecord, topic_copy.TopicRecord], bool
    ] = _is_never_older
    keeps_missing: bool = False
    on_lost: Callable[[list[str]], None] = _ignore_lost
    confirms_first_read: bool = False
    probes_store: bool = False
    lists_hosts: bool = False
