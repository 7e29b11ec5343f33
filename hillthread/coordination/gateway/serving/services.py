"""What the serving of requests shares with the rest of the host."""

from __future__ import annotations

from typing import NamedTuple

from hillthread.coordination.gateway.peers import work_feed
from hillthread.coordination.gateway.serving import limit_keeper
from hillthread.coordination.gateway.serving import peer_forwarder
from hillthread.coordination.gateway.serving import quarantine_keeper
from hillthread.coordination.gateway.serving import quota_keeper
from hillthread.coordination.gateway.serving import stream_keeper

__all__ = ["HostServices"]


class HostServices(NamedTuple):
    """Services of the host that serving requests needs.

    Attributes:
        work: Notifies other hosts of work sent to engines.
        quarantine: Tracks requests during which targets crashed.
        quotas: Charges what is sent on behalf of organisations.
        limits: Charges what is sent to targets.
        forwarder: Sends requests to other hosts.
        streams: Records which software began each stream.
    """

    work: work_feed.WorkFeed
    quarantine: quarantine_keeper.QuarantineKeeper
    quotas: quota_keeper.QuotaKeeper
    limits: limit_keeper.LimitKeeper
    forwarder: peer_forwarder.PeerForwarder
    streams: stream_keeper.StreamKeeper
