"""Selects the hosts that receive a notice, so that it reaches all of them.

Traffic between data centres is expensive, traffic within one is not. A host
sends a notice to all others of its own data centre and to one host of each
other data centre, which forwards it. That host is chosen at random for each
notice, so that an unreachable host costs only a part of the notices.
"""

from __future__ import annotations

import collections
from collections.abc import Callable
from collections.abc import Iterable
from typing import NamedTuple

from hillthread.state.cluster import feed_source

__all__ = ["Receiver", "list_forward_receivers", "choose_receivers"]


class Receiver(NamedTuple):
    """A host that receives a notice.

    Attributes:
        host: The host.
        is_forwarder: Whether it forwards the notice within its data centre.
    """

    host: feed_source.HostEntry
    is_forwarder: bool


def choose_receivers(
    name: str,
    data_centre: str,
    hosts: Iterable[feed_source.HostEntry],
    draw: Callable[[list[feed_source.HostEntry]], feed_source.HostEntry],
) -> list[Receiver]:
    """Chooses the receivers of a host's own notice.

    Args:
        name: Name of the sending host.
        data_centre: Data centre of the sending host.
        hosts: All listed hosts.
        draw: Chooses one of several hosts at random.
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
    """Returns the receivers of a notice that a host was asked to forward."""
    return [
        host
        for host in hosts
        if host.data_centre == data_centre and host.name != name
    ]
