"""The settings of the gateway."""

from __future__ import annotations

from typing import Annotated

import msgspec

from hillthread import settings as settings_lib

__all__ = ["GatewaySettings"]

Milliseconds = Annotated[float, msgspec.Meta(ge=0)]


class GatewaySettings(settings_lib.SettingsStruct, frozen=True, kw_only=True):
    """Settings of `hillthread-gateway`.

    The bounds are guarantees to the platform's operators, in the units in which
    the platform states them.

    Attributes:
        host: This host's unique name.
        data_centre: Data centre of this host.
        listen: Address on which callers connect.
        ready_listen: Address on which the balancer checks readiness.
        store: Address of the platform's store.
        drain_ms: Time after a target was seen leaving until no work may reach
            it any more.
        grace_s: Time from SIGTERM until the process is killed.
        revoke_ms: Time after which a withdrawn key must not be served any more,
            also when the store cannot be reached.
        fail_closed: Whether requests with keys are refused when the knowledge
            of keys is older than that.
        config_ms: Time from when the store accepted a new configuration until
            it must be in force.
        lease_ms: Pause between the orders of two holders of the lease.
        version_ms: Time after the announcement of new weights until no request
            may start on older ones any more.
        retry_ratio: Retries, as a share of requests, of all hosts together.
        retry_extra: Retries beyond that in a window, of all hosts together.
        retry_window_s: Length of that window.
        quota_window_s: Length of the windows over which the quotas of
            organisations are enforced; a window may begin at any time.
        quota_over: What hosts may admit beyond a quota, as a share of what it
            allows in a window, since they learn late of each other's use.
        quota_slack: The same, in units of the quota.
        memory_mb: Memory that the process may use.
        link_mbps: Capacity of the host's link; 0 when not known. Hosts with
            fast links do the work that one host does for all others.
        feed_port: Port, on the host's own address, on which other hosts of the
            data centre connect.
        metrics_port: Port, on the host's own address, on which metrics are
            served.
        log_requests_per_s: Ordinary requests that each of up to 24 hosts logs
            per second; more hosts share what 24 would log.
    """

    host: str
    data_centre: str
    listen: settings_lib.Address
    ready_listen: settings_lib.Address
    store: settings_lib.Address
    drain_ms: Milliseconds = 2_000
    grace_s: settings_lib.Seconds = 8.0
    revoke_ms: Milliseconds = 5_000
    fail_closed: bool = True
    config_ms: Milliseconds = 2_000
    lease_ms: Milliseconds = 3_000
    version_ms: Milliseconds = 10_000
    retry_ratio: Annotated[float, msgspec.Meta(ge=0)] = 0.2
    retry_extra: Annotated[float, msgspec.Meta(ge=0)] = 50
    retry_window_s: settings_lib.Seconds = 10.0
    quota_window_s: settings_lib.Seconds = 8.0
    quota_over: Annotated[float, msgspec.Meta(ge=0)] = 0.0
    quota_slack: Annotated[float, msgspec.Meta(ge=0)] = 0.0
    memory_mb: float = 150
    link_mbps: Annotated[float, msgspec.Meta(ge=0)] = 0.0
    feed_port: int = 0
    metrics_port: int = 0
    log_requests_per_s: int = 2
