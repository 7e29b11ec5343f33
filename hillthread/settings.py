"""JSON settings files, validated at startup.

Errors contain the path of the invalid field and a remedy.
"""

from __future__ import annotations

import pathlib
from typing import Annotated
from typing import TypeAlias
from typing import TypeVar

import msgspec

from hillthread import errors

__all__ = [
    "Address",
    "CallerLimits",
    "ControlSettings",
    "PeerSettings",
    "RouterSettings",
    "SettingsStruct",
    "TlsSettings",
    "load_settings",
    "split_address",
]

Address: TypeAlias = Annotated[
    str, msgspec.Meta(pattern=r"^[0-9.]+:[0-9]{1,5}$")
]
Seconds: TypeAlias = Annotated[float, msgspec.Meta(ge=0)]
Count: TypeAlias = Annotated[int, msgspec.Meta(ge=1)]
Secret: TypeAlias = Annotated[str, msgspec.Meta(min_length=16)]


class SettingsStruct(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """The base of all settings, which rejects unknown fields."""


class TlsSettings(SettingsStruct, frozen=True, kw_only=True):
    """Paths of a certificate and its private key, both in PEM format."""

    certificate: str
    key: str


class CallerLimits(SettingsStruct, frozen=True, kw_only=True):
    """Limits on the requests and connections of callers.

    Attributes:
        max_body_bytes: Maximum size of a request's body.
        max_header_bytes: Maximum size of a request's head.
        max_concurrency: Maximum number of requests served at once.
        read_timeout_s: Timeout for receiving a head or a body.
        keep_alive_s: Timeout after which an idle connection is closed.
    """

    max_body_bytes: Count = 8_388_608
    max_header_bytes: Count = 32_768
    max_concurrency: Count = 2_000
    read_timeout_s: Seconds = 20.0
    keep_alive_s: Seconds = 30.0


class RouterSettings(SettingsStruct, frozen=True, kw_only=True):
    """Settings of `hillthread-router`.

    Attributes:
        host: Unique name of this host.
        data_centre: Data centre of this host.
        listen: Address for callers; with port 0 the system assigns a port.
        status_listen: Address for health, metrics and decision records.
        control: Address of this host's control process, or None.
        configuration_file: File of configuration objects, for use without a
            control process.
        secret: Secret shared by all processes of the system.
        tls: Certificate for callers, or None for plain HTTP.
        limits: Limits on callers.
        records: Maximum number of decision records kept in memory.
        connect_timeout_s: Timeout for connecting to a target.
        first_byte_timeout_s: Timeout from sending a request to the first byte
            of the answer.
        idle_timeout_s: Timeout between two parts of an answer.
        notice_s: Time after SIGTERM in which requests are still accepted while
            load balancers notice that the router is not ready.
        drain_s: Time after that for open requests to complete.
        max_event_bytes: Maximum size of one server-sent event.
        share_every_s: Least time between two messages that notify other routers
            of placed requests.
    """

    host: str
    data_centre: str
    listen: Address
    status_listen: Address
    control: Address | None = None
    configuration_file: str | None = None
    secret: Secret
    tls: TlsSettings | None = None
    limits: CallerLimits = CallerLimits()
    records: Count = 2_000
    connect_timeout_s: Seconds = 1.0
    first_byte_timeout_s: Seconds = 30.0
    idle_timeout_s: Seconds = 10.0
    notice_s: Seconds = 5.0
    drain_s: Seconds = 120.0
    max_event_bytes: Count = 1_048_576
    share_every_s: Seconds = 0.05


class PeerSettings(SettingsStruct, frozen=True, kw_only=True):
    """The control process of another host."""

    host: str
    data_centre: str
    address: Address


class OperatorSettings(SettingsStruct, frozen=True, kw_only=True):
    """An operator, with the SHA-256 digest of its key and its role."""

    name: str
    key_digest: Annotated[str, msgspec.Meta(pattern=r"^[0-9a-f]{64}$")]
    role: Annotated[str, msgspec.Meta(pattern=r"^(viewer|editor)$")]


class ControlSettings(SettingsStruct, frozen=True, kw_only=True):
    """Settings of `hillthread-control`.

    Attributes:
        host: Unique name of this host.
        data_centre: Data centre of this host.
        listen: Address for websocket links of this host's router and of peers.
        admin_listen: Address of the admin API, health and metrics.
        log: Address of the platform's log, or None when it has none.
        host_list: Address of the platform's host list, or None.
        stream: Name of the log's stream of configuration records.
        peers: All other hosts known at startup.
        operators: Operators who may use the admin API.
        secret: Secret shared by all processes of the system.
        poll_s: First pause after a failed read of the log.
        snapshot_every: Number of records after which a snapshot is appended.
        heartbeat_s: Interval of heartbeats to a peer.
        suspect_s: Time without messages after which a peer counts as lost.
        load_poll_s: Interval of load reports of one target.
        lease_ttl_s: Time to live of the lease that allows giving orders.
    """

    host: str
    data_centre: str
    listen: Address
    admin_listen: Address
    log: Address | None = None
    host_list: Address | None = None
    stream: str = "configuration"
    peers: list[PeerSettings] = []
    operators: list[OperatorSettings] = []
    secret: Secret
    poll_s: Seconds = 0.5
    snapshot_every: Count = 200
    heartbeat_s: Seconds = 0.5
    suspect_s: Seconds = 3.0
    load_poll_s: Seconds = 0.5
    lease_ttl_s: Annotated[float, msgspec.Meta(ge=1)] = 6.0


_SettingsType = TypeVar("_SettingsType", bound=msgspec.Struct)


def load_settings(path: str, kind: type[_SettingsType]) -> _SettingsType:
    """Returns the settings in a JSON file.

    Raises:
        SettingsError: The file cannot be read or a field is invalid; the
            message contains the path of the field.
    """
    try:
        raw = pathlib.Path(path).read_bytes()
    except OSError as error:
        raise errors.SettingsError(
            f"The settings file {path} cannot be read: {error.strerror}.",
            "Give the path of a readable JSON file; see examples/.",
        ) from error
    try:
        return msgspec.json.decode(raw, type=kind)
    except msgspec.DecodeError as error:
        raise errors.SettingsError(
            f"{path}: {error}.",
            "Correct the field at the path named; see docs/RUNNING.md.",
        ) from error


def split_address(address: str) -> tuple[str, int]:
    """Splits an `IP:port` address into its IP address and port."""
    ip, _, port = address.rpartition(":")
    return ip, int(port)
