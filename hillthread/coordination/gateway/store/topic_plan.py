"""How topics are followed, and what their followers share."""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

import anyio

from hillthread.coordination.gateway import metrics as metrics_lib
from hillthread.coordination.gateway.store import store_watch
from hillthread.platform import store
from hillthread.state.cluster import feed_source
from hillthread.state.cluster import topic_copy
from hillthread.transport import http1_client

__all__ = ["FollowerContext", "TopicPlan"]


def _nobody() -> None:
    """Default of `caught_up`."""


def _ignore_lost(keys: list[str]) -> None:
    """Default of `lost`."""
    del keys


def _is_never_older(
    record: topic_copy.TopicRecord, known: topic_copy.TopicRecord
) -> bool:
    """Default for records without an order of their own."""
    del record, known
    return False


class FollowerContext(NamedTuple):
    """What all followers of a host share.

    Attributes:
        client: Calls the store.
        watch: Whether the store answers.
        source: Chooses whom to read from.
        peers: Connections to other hosts.
        metrics: What is counted.
        hosts_read: Set when the list of hosts was read once.
        hosts_settled: Set when the list surely names those that started
            together with this one.
    """

    client: store.StoreClient
    watch: store_watch.StoreWatch
    source: feed_source.FeedSource
    peer_pool: http1_client.ConnectionPool
    metrics: metrics_lib.GatewayMetrics
    hosts_read: anyio.Event
    hosts_settled: anyio.Event


class TopicPlan(NamedTuple):
    """How a topic is followed.

    Attributes:
        topic: Its name.
        wait_s: Returns how long the store is to hold the next read, seconds.
        reader_wait_s: Returns how long it holds reads of a host that reads for
            others, at most.
        peer_wait_s: Returns how long another host is to hold a read, seconds.
        gather_s: Returns how much later the next read is sent after one that
            brought something, seconds: changes often come in numbers, and each
            read costs.
        lone_gather_s: The same where each host reads for itself.
        take: Called with each change.
        caught_up: Called when the newest of all keys was read.
        is_older: Returns whether the first of two records with the same key is
            older by what its writer says.
        keeps_missing: Keys that the topic lacks once the store was restored
            are kept; otherwise they count as removed.
        lost: Called with the keys that a restored topic lacks or has older
            values of, and that are kept.
        confirms_start: A process that starts asks other hosts for newer records
            than the store has, which may just have been restored.
        asks_for_all: While the store fails, this topic's follower finds out
            when it answers again.
        lists_hosts: The topic tells which hosts there are: followers of other
            topics wait for it, to read from one of these.
    """

    topic: str
    store_hold_s: Callable[[], float]
    reader_hold_s: Callable[[], float]
    peer_hold_s: Callable[[], float]
    batch_delay_s: Callable[[], float]
    lone_batch_delay_s: float
    apply_record: Callable[[topic_copy.TopicRecord], None]
    on_caught_up: Callable[[], None] = _nobody
    is_older: Callable[
        [topic_copy.TopicRecord, topic_copy.TopicRecord], bool
    ] = _is_never_older
    keeps_missing: bool = False
    on_lost: Callable[[list[str]], None] = _ignore_lost
    confirms_first_read: bool = False
    probes_store: bool = False
    lists_hosts: bool = False
