"""Which hosts are told of work directly, so that each of them hears of it.

Bytes between data centres are dear, and those within one are not: a host tells
the others of its own data centre, and one host of each other data centre, which
passes it on. That one is drawn for each notice: one that is out of reach
costs a part of what is told, never all.
"""

from __future__ import annotations

import collections
from collections.abc import Callable
from collections.abc import Iterable
from typing import NamedTuple

from hillthread.state.cluster import feed_source

__all__ = ["Receiver", "list_forward_receivers", "choose_receivers"]


class Receiver(NamedTuple):
    """A host that is told of work.

    Attributes:
        host: Which.
        passes_on: It tells the others of its data centre.
    """

    host: feed_source.HostEntry
    is_forwarder: bool


def choose_receivers(
    name: str,
    data_centre: str,
    hosts: Iterable[feed_source.HostEntry],
    draw: Callable[[list[feed_source.HostEntry]], feed_source.HostEntry],
) -> list[Receiver]:
    """Returns whom a host tells of its own work.

    Args:
        name: The host.
        data_centre: Where it runs.
        hosts: All hosts that are listed.
        draw: Chooses one of several at random.
    """
    elsewhere = collections.defaultdict(list)
    chosen = []
    for host in hosts:
        if host.data_centre != data_centre:
            elsewhere[host.data_centre].append(host)
        elif host.name != name:
            chosen.append(Receiver(host, False))
    for others in elsewhere.values():
        chosen.append(Receiver(draw(others), len(others) > 1))
    return chosen


def list_forward_receivers(
    name: str, data_centre: str, hosts: Iterable[feed_source.HostEntry]
) -> list[feed_source.HostEntry]:
    """Returns whom a host tells of what it was asked to pass on."""
    return [
        host
        for host in hosts
        if host.data_centre == data_centre and host.name != name
    ]
