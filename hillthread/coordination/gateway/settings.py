"""Settings of the gateway, in the product's own form."""

from __future__ import annotations

from typing import Annotated

import msgspec

from hillthread import settings as settings_lib

__all__ = ["GatewaySettings"]

Milliseconds = Annotated[float, msgspec.Meta(ge=0)]


class GatewaySettings(settings_lib.SettingsStruct, frozen=True, kw_only=True):
    """Settings of `hillthread-gateway`.

    The bounds are promises to the platform's operators, in the units in which
    the platform tells them.

    Attributes:
        host: This host's name, unique.
        data_centre: Where it runs.
        listen: Where callers connect.
        ready_listen: Where the balancer asks whether the host is ready.
        store: Address of the platform's store.
        drain_ms: After a target was seen leaving, no work may reach it later.
        grace_s: After SIGTERM the process is killed this much later.
        revoke_ms: A withdrawn key must not be served later than this, also
            when the store cannot be reached.
        fail_closed: Whether requests with keys are refused when what is known
            of keys is older than that.
        config_ms: A new configuration must be in force this long after the
            store took it.
        lease_ms: Pause between the orders of two holders.
        version_ms: Nothing may start on older weights later than this after
            newer ones were named.
        retry_ratio: Retries, as a share of requests, of all hosts together.
        retry_extra: Retries beyond that in a window, of all hosts together.
        retry_window_s: Length of that window.
        quota_window_s: Quotas of organisations are judged over any span of
            this length.
        quota_over: What hosts may let through beyond a quota, as a share of
            what it allows in a window, since they learn late of each other.
        quota_slack: The same, in units of the quota.
        memory_mb: The process may use this much.
        link_mbps: What the host's link carries; 0 when not known. Hosts with
            fast links do what is done for all others.
        feed_port: Where other hosts of the data centre are answered, on the
            host's own address.
        metrics_port: Where metrics are served, on the host's own address.
        log_requests_per_s: Ordinary requests logged in a second, of up to 24
            hosts; more hosts share what these would log.
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
