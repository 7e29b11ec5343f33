"""Settings files: JSON, checked at the start, errors name path and remedy."""

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
    """The base of all settings: unknown fields are errors."""


class TlsSettings(SettingsStruct, frozen=True, kw_only=True):
    """Paths of a certificate and its key, in PEM."""

    certificate: str
    key: str


class CallerLimits(SettingsStruct, frozen=True, kw_only=True):
    """Bounds on what callers send.

    Attributes:
        max_body_bytes: Size of a request's body.
        max_header_bytes: Size of a request's head.
        max_concurrency: Requests served at once.
        read_timeout_s: For a head or body to come in.
        keep_alive_s: For an idle connection.
    """

    max_body_bytes: Count = 8_388_608
    max_header_bytes: Count = 32_768
    max_concurrency: Count = 2_000
    read_timeout_s: Seconds = 20.0
    keep_alive_s: Seconds = 30.0


class RouterSettings(SettingsStruct, frozen=True, kw_only=True):
    """Settings of `hillthread-router`.

    Attributes:
        host: This host's name, unique.
        data_centre: Where it runs.
        listen: Where callers connect; port 0 lets the system choose.
        status_listen: Where health, metrics and records are served.
        control: The address of this host's control process, or None.
        configuration_file: A file of objects, used without a control.
        secret: Shared by all processes of the system.
        tls: For callers, or None for plain HTTP.
        limits: Bounds on callers.
        records: Decision records kept.
        connect_timeout_s: To a target.
        first_byte_timeout_s: From a sent request to the first byte.
        idle_timeout_s: Between two parts of an answer.
        notice_s: After SIGTERM, serving goes on for the balancer to notice.
        drain_s: Then open requests have this long to end.
        max_event_bytes: Size of one server-sent event.
        share_every_s: Least time between two messages that tell other routers
            what was placed.
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
    """One other host's control process."""

    host: str
    data_centre: str
    address: Address


class OperatorSettings(SettingsStruct, frozen=True, kw_only=True):
    """One operator: the digest of the key and what it may do."""

    name: str
    key_digest: Annotated[str, msgspec.Meta(pattern=r"^[0-9a-f]{64}$")]
    role: Annotated[str, msgspec.Meta(pattern=r"^(viewer|editor)$")]


class ControlSettings(SettingsStruct, frozen=True, kw_only=True):
    """Settings of `hillthread-control`.

    Attributes:
        host: This host's name, unique.
        data_centre: Where it runs.
        listen: For this host's router and for peers (websockets).
        admin_listen: For operators, and for health and metrics.
        log: Address of the platform's log, or None when it has none.
        host_list: Address of the platform's host list, or None.
        stream: The log's stream of configuration records.
        peers: All other hosts known at the start.
        operators: Who may use the admin API.
        secret: Shared by all processes of the system.
        poll_s: First pause after a failed read of the log.
        snapshot_every: Records after which a snapshot is appended.
        heartbeat_s: Between two heartbeats to a peer.
        suspect_s: Silence after which a peer counts as lost.
        load_poll_s: Between two load reports of one target.
        lease_ttl_s: Time to live of the lease on giving orders.
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
        SettingsError: The file cannot be read, or a field is wrong; the
            message has the field's path in the file.
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
    """Returns the IP number and the port of an address."""
    ip, _, port = address.rpartition(":")
    return ip, int(port)
