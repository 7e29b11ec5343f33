"""Opens links to other hosts.

All hosts compute the same set of links. Within a data centre each pair of hosts
has a link. Two data centres have at most `_GATEWAY_HOST_COUNT` squared links,
between the hosts that rendezvous hashing ranks first on both sides.
"""

from __future__ import annotations

from collections.abc import Iterable
import random

import anyio
import anyio.abc

from hillthread import clock
from hillthread import errors
from hillthread import settings as settings_lib
from hillthread.coordination import hub as hub_lib
from hillthread.state.cluster import membership as membership_lib
from hillthread.state.routing import placement
from hillthread.transport import link as link_lib

__all__ = ["Dialer", "select_interlink_hosts", "select_peers"]

# Hosts of a data centre that have links to another one. Two of them tolerate
# the loss of one.
_INTERLINK_HOST_COUNT = 2
# Interval of checks for missing links, and the first pause after a failure.
_CHECK_INTERVAL_S = 0.25
# Limit of the pause, which doubles after each failure.
_MAX_BACKOFF_S = 5.0


def select_interlink_hosts(
    own: str,
    other: str,
    hosts: Iterable[str],
    count: int = _INTERLINK_HOST_COUNT,
) -> list[str]:
    """Returns the hosts that have the links between two data centres.

    Args:
        own: One of the data centres; the order of the two does not matter.
        other: The other data centre.
        hosts: Candidates: hosts of either data centre.
        count: Maximum number of hosts returned.
    """
    key = "|".join(sorted((own, other))).encode()
    return placement.rank_by_rendezvous(key, hosts)[:count]


def select_peers(
    settings: settings_lib.ControlSettings,
    lost: frozenset[str] = frozenset(),
) -> list[settings_lib.PeerSettings]:
    """Returns the peers to which this host opens links.

    Args:
        settings: This host's settings, which list all other hosts.
        lost: Hosts considered lost; they are not chosen as gateway hosts.
    """
    own = settings.data_centre
    by_data_centre: dict[str, list[settings_lib.PeerSettings]] = {}
    for peer in settings.peers:
        by_data_centre.setdefault(peer.data_centre, []).append(peer)
    local_peers = by_data_centre.pop(own, [])
    selected = [peer for peer in local_peers if settings.host < peer.host]
    local_hosts = [peer.host for peer in local_peers if peer.host not in lost]
    for other, peers in by_data_centre.items():
        own_gateways = select_interlink_hosts(
            own, other, [*local_hosts, settings.host]
        )
        if own > other or settings.host not in own_gateways:
            continue
        alive = [peer.host for peer in peers if peer.host not in lost]
        other_gateways = select_interlink_hosts(own, other, alive)
        selected += [peer for peer in peers if peer.host in other_gateways]
    return selected


class Dialer:
    """Keeps links open to the peers that `select_peers` returns.

    Attributes:
        failures: Failed attempts to connect.
    """

    def __init__(
        self,
        settings: settings_lib.ControlSettings,
        identity: link_lib.Identity,
        hub: hub_lib.Hub,
        members: membership_lib.Membership,
    ):
        self.settings = settings
        self.identity = identity
        self.hub = hub
        self.members = members
        self.failures = 0
        self.random = random.Random()
        self._dialing: set[str] = set()
        self._unreachable_since: dict[str, float] = {}
        self._selected = select_peers(settings)
        self._excluded: frozenset[str] = frozenset()

    async def run(self) -> None:
        """Opens missing links until cancelled."""
        async with anyio.create_task_group() as group:
            while True:
                self._dial_missing(group)
                await anyio.sleep(_CHECK_INTERVAL_S)

    def _dial_missing(self, group: anyio.abc.TaskGroup) -> None:
        connected = self.hub.connected_hosts()
        lost = self._list_lost_hosts()
        if lost != self._excluded:
            self._selected = select_peers(self.settings, lost)
            self._excluded = lost
        for peer in self._selected:
            if peer.host in connected or peer.host in self._dialing:
                continue
            self._dialing.add(peer.host)
            group.start_soon(self._maintain_link, peer)

    def _list_lost_hosts(self) -> frozenset[str]:
        """Returns the hosts that were unreachable for `suspect_s` seconds."""
        due = clock.now() - self.settings.suspect_s
        return frozenset(
            host
            for host, since in self._unreachable_since.items()
            if since < due
        )

    async def _maintain_link(self, peer: settings_lib.PeerSettings) -> None:
        """Connects to a peer, with retries; serves the link until it closes."""
        backoff_s = _CHECK_INTERVAL_S
        try:
            while True:
                try:
                    link = await link_lib.connect(
                        peer.address, self.identity, self.settings.secret
                    )
                except errors.PeerError:
                    self.failures += 1
                    self._unreachable_since.setdefault(peer.host, clock.now())
                    await anyio.sleep(self.random.uniform(0.5, 1) * backoff_s)
                    backoff_s = min(_MAX_BACKOFF_S, backoff_s * 2)
                    continue
                self._unreachable_since.pop(peer.host, None)
                await self.hub.run_link(link)
                return
        finally:
            self._dialing.discard(peer.host)
