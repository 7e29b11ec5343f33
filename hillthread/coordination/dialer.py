"""Opens links to other hosts: which ones, all hosts compute alike.

Within a data centre each pair of hosts has a link. Between two data centres
there are at most `_GATEWAYS` squared links, between the hosts that rendezvous
hashing ranks first on both sides.
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

__all__ = ["Dialer", "select_gateway_hosts", "select_peers"]

# Hosts of a data centre that have links to another one: one may be lost.
_GATEWAYS = 2
# How often missing links are looked for, and the first pause after a failure.
_CHECK_S = 0.25
# The pause doubles up to this.
_MAX_BACKOFF_S = 5.0


def select_gateway_hosts(
    own: str, other: str, hosts: Iterable[str], count: int = _GATEWAYS
) -> list[str]:
    """Returns the hosts of `own` that have links to data centre `other`."""
    key = "|".join(sorted((own, other))).encode()
    return placement.rank_by_rendezvous(key, hosts)[:count]


def select_peers(
    settings: settings_lib.ControlSettings,
    lost: frozenset[str] = frozenset(),
) -> list[settings_lib.PeerSettings]:
    """Returns the peers to which this host opens links.

    Args:
        settings: This host's settings, with all other hosts.
        lost: Hosts judged lost; they are no gateways.
    """
    own = settings.data_centre
    by_data_centre: dict[str, list[settings_lib.PeerSettings]] = {}
    for peer in settings.peers:
        by_data_centre.setdefault(peer.data_centre, []).append(peer)
    mates = by_data_centre.pop(own, [])
    wanted = [peer for peer in mates if settings.host < peer.host]
    mine = [peer.host for peer in mates if peer.host not in lost]
    for other, peers in by_data_centre.items():
        ours = select_gateway_hosts(own, other, [*mine, settings.host])
        if own > other or settings.host not in ours:
            continue
        alive = [peer.host for peer in peers if peer.host not in lost]
        theirs = select_gateway_hosts(own, other, alive)
        wanted += [peer for peer in peers if peer.host in theirs]
    return wanted


class Dialer:
    """Keeps links open to the wanted peers.

    Attributes:
        failures: Attempts that failed.
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
        self._unreached: dict[str, float] = {}
        self._wanted = select_peers(settings)
        self._wanted_but: frozenset[str] = frozenset()

    async def run(self) -> None:
        """Opens missing links until cancelled."""
        async with anyio.create_task_group() as group:
            while True:
                self._dial_missing(group)
                await anyio.sleep(_CHECK_S)

    def _dial_missing(self, group: anyio.abc.TaskGroup) -> None:
        connected = self.hub.connected_hosts()
        lost = self._lost()
        if lost != self._wanted_but:
            self._wanted = select_peers(self.settings, lost)
            self._wanted_but = lost
        for peer in self._wanted:
            if peer.host in connected or peer.host in self._dialing:
                continue
            self._dialing.add(peer.host)
            group.start_soon(self._keep, peer)

    def _lost(self) -> frozenset[str]:
        """Returns hosts that could not be reached for a while."""
        due = clock.now() - self.settings.suspect_s
        return frozenset(
            host for host, since in self._unreached.items() if since < due
        )

    async def _keep(self, peer: settings_lib.PeerSettings) -> None:
        """Dials a peer until a link was open and closed again."""
        backoff_s = _CHECK_S
        try:
            while True:
                try:
                    link = await link_lib.connect(
                        peer.address, self.identity, self.settings.secret
                    )
                except errors.PeerError:
                    self.failures += 1
                    self._unreached.setdefault(peer.host, clock.now())
                    await anyio.sleep(self.random.uniform(0.5, 1) * backoff_s)
                    backoff_s = min(_MAX_BACKOFF_S, backoff_s * 2)
                    continue
                self._unreached.pop(peer.host, None)
                await self.hub.run_link(link)
                return
        finally:
            self._dialing.discard(peer.host)
