"""Decodes the operator's configuration and the weights it names."""

from __future__ import annotations

from collections.abc import Iterable
import hashlib
import logging
from typing import Any
from typing import NamedTuple
from urllib import parse

import msgspec

from hillthread.state.cluster import topic_copy
from hillthread.state.config import caller_bounds
from hillthread.state.config import objects
from hillthread.state.config import payloads
from hillthread.state.config import site_configuration

__all__ = [
    "CONFIGURATION_KEY",
    "OPERATOR_TOPIC",
    "WEIGHTS_KEY_PREFIX",
    "NamedWeights",
    "decode_configuration",
    "decode_weights",
    "is_older",
]

OPERATOR_TOPIC = "keyed.op"
CONFIGURATION_KEY = "config"
WEIGHTS_KEY_PREFIX = "version/"
SERVICE_LABEL = "service"

# Unit of a quota in tokens; a quota without a unit is in requests.
_TOKEN_QUOTA_UNIT = "token_stream"

# Begin of the name of the organisation of all tenants that are not isolated;
# they share cached prefixes.
_SHARED_PREFIX = "shared"
_ISOLATED_PREFIX = "tenant:"
_SHARED_DIGITS = 12

_BYTES_PER_MEGABIT = 1_000_000 / 8

_logger = logging.getLogger("hillthread.site")


class NamedWeights(NamedTuple):
    """The version of a model's weights that engines shall load."""

    model: str
    version: int


class _WireStruct(msgspec.Struct, rename="camel"):
    """Base of the platform's records; unknown fields are ignored."""


class _Model(_WireStruct):
    name: str


class _Engine(_WireStruct):
    slots: int = 0
    kv_capacity_tokens: int = 0
    kv_token_bytes: float = 0.0
    models: list[_Model] = []


class _Service(_WireStruct):
    name: str
    health_path: str = ""
    max_connections: int = 0
    engine: _Engine | None = None
    # A service with this address is a KV cache store.
    kv_store_addr: str = ""
    zone: str = ""
    kv_capacity_tokens: int = 0
    link_mbps: float = 0.0


class _TrafficSplit(_WireStruct):
    service: str
    weight: float


class _Route(_WireStruct):
    name: str
    host: str
    path_prefix: str
    # Determines whether requests may be repeated and answers are streams.
    type: str
    timeout_ms: float
    # Time to the first byte up to which an answer has its full value.
    target_latency_ms: float = 0.0
    priority: int = 0
    max_attempts: int = 1
    public: bool = False
    resumable: bool = False
    gap_aim_ms: float = 0.0
    service: str = ""
    traffic_split: list[_TrafficSplit] = []


class _Limits(_WireStruct):
    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_timeout_ms: float = 3_000.0
    idle_timeout_ms: float = 15_000.0


class _Tenant(_WireStruct):
    name: str
    api_keys: list[str] = []
    priority: int | None = None
    isolated: bool = False
    # Quota fields of any type, so that an unreadable quota does not make the
    # whole configuration unreadable.
    rate_per_s: Any = 0
    burst: Any = 0
    unit: Any = ""
    plain_tokens: Any = 0


class _Configuration(_WireStruct):
    version: int
    routes: list[_Route]
    services: list[_Service]
    limits: _Limits = msgspec.field(default_factory=_Limits)
    tenants: list[_Tenant] | None = None


class _Weights(_WireStruct):
    model: str
    version: int


class _Versioned(_WireStruct):
    """The field that all records of the operator have."""

    version: int


_version_decoder = msgspec.json.Decoder(_Versioned)
_configuration_decoder = msgspec.json.Decoder(_Configuration)
_weights_decoder = msgspec.json.Decoder(_Weights)


def decode_configuration(
    payload: bytes,
) -> site_configuration.SiteConfiguration:
    """Returns the configuration in a record.

    Raises:
        ConfigurationError: The record is unreadable.
    """
    wire = payloads.decode_payload(
        _configuration_decoder, payload, "configuration"
    )
    values: list[objects.ConfigurationObject] = []
    values += [_make_route(each) for each in wire.routes]
    values += [_make_pool_or_store(each) for each in wire.services]
    tenants = wire.tenants or []
    shared = _shared_organisation(tenants)
    values += [_make_tenant(each, shared) for each in tenants]
    return site_configuration.SiteConfiguration(
        wire.version,
        {objects.object_key(value): value for value in values},
        caller_bounds.CallerBounds(
            wire.limits.max_header_bytes,
            wire.limits.max_body_bytes,
            wire.limits.header_timeout_ms / 1000.0,
            wire.limits.idle_timeout_ms / 1000.0,
        ),
        wire.tenants is not None,
    )


def decode_weights(payload: bytes) -> NamedWeights:
    """Returns the weights named in a record.

    Raises:
        ConfigurationError: The record is unreadable.
    """
    wire = payloads.decode_payload(_weights_decoder, payload, "weights")
    return NamedWeights(wire.model, wire.version)


def is_older(
    record: topic_copy.TopicRecord, known: topic_copy.TopicRecord
) -> bool:
    """Returns whether a record is older than the known one of the same key."""
    try:
        version = _version_decoder.decode(record.value).version
        known_version = _version_decoder.decode(known.value).version
    except msgspec.DecodeError:
        return False
    return version < known_version


def service_selector(service: str) -> str:
    """Returns the selector of a service's pool and targets."""
    return f"{SERVICE_LABEL}={service}"


def _make_route(wire: _Route) -> objects.Route:
    streaming = wire.type == "streaming"
    return objects.Route(
        name=wire.name,
        host=wire.host,
        path_prefix=wire.path_prefix,
        pool_selector=service_selector(wire.service),
        pool_shares=[
            objects.PoolShare(service_selector(each.service), each.weight)
            for each in wire.traffic_split
        ],
        repeatable=wire.resumable if streaming else wire.type == "idempotent",
        timeout_s=wire.timeout_ms / 1000.0,
        streaming=streaming,
        resumable=wire.resumable,
        public=wire.public,
        priority=wire.priority,
        max_attempts=wire.max_attempts,
        first_byte_aim_s=wire.target_latency_ms / 1000.0,
        gap_aim_s=wire.gap_aim_ms / 1000.0,
    )


def _make_pool_or_store(wire: _Service) -> objects.Pool | objects.CacheStore:
    if wire.kv_store_addr:
        return objects.CacheStore(
            name=wire.name,
            address=wire.kv_store_addr,
            data_centre=wire.zone,
            cache_tokens=wire.kv_capacity_tokens,
            link_bytes_per_s=wire.link_mbps * _BYTES_PER_MEGABIT,
        )
    engine = wire.engine or _Engine()
    return objects.Pool(
        name=wire.name,
        labels={SERVICE_LABEL: wire.name},
        target_selector=service_selector(wire.name),
        models=[model.name for model in engine.models],
        max_running=engine.slots,
        cache_tokens=engine.kv_capacity_tokens,
        cache_token_bytes=engine.kv_token_bytes,
        max_connections=wire.max_connections,
        status_path=wire.health_path,
    )


def _shared_organisation(tenants: Iterable[_Tenant]) -> str:
    """Returns the organisation of all tenants that are not isolated.

    It differs by which tenants are isolated: what a tenant has sent before it
    became isolated must not be used by others afterwards.
    """
    isolated = sorted(each.name for each in tenants if each.isolated)
    if not isolated:
        return _SHARED_PREFIX
    digest = hashlib.sha256(msgspec.json.encode(isolated)).hexdigest()
    return f"{_SHARED_PREFIX}-{digest[:_SHARED_DIGITS]}"


def _isolated_organisation(tenant: str) -> str:
    """Returns the organisation of an isolated tenant.

    It equals none of the shared ones, and its part of a cache scope cannot be
    confused with another one, whatever the name of the tenant is.
    """
    return _ISOLATED_PREFIX + parse.quote(tenant, safe="")


def _make_tenant(wire: _Tenant, shared: str) -> objects.Tenant:
    return objects.Tenant(
        name=wire.name,
        organisation=_isolated_organisation(wire.name)
        if wire.isolated
        else shared,
        key_digests=[
            hashlib.sha256(key.encode()).hexdigest() for key in wire.api_keys
        ],
        quota=_make_quota(wire),
        priority=wire.priority,
    )


def _make_quota(wire: _Tenant) -> objects.Quota | None:
    """Returns a tenant's quota; None without a limit or if it is unreadable.

    A rate of 0 sets no limit.
    """
    if not wire.rate_per_s:
        return None
    unit = wire.unit or objects.QuotaUnit.REQUESTS
    if unit == _TOKEN_QUOTA_UNIT:
        unit = objects.QuotaUnit.TOKENS
    try:
        return msgspec.convert(
            {
                "rate_per_s": wire.rate_per_s,
                "burst": wire.burst or 0,
                "unit": unit,
                "plain_tokens": wire.plain_tokens or 0,
            },
            objects.Quota,
        )
    except msgspec.ValidationError as error:
        _logger.warning(
            "quota unreadable; no limit applies",
            extra={
                "event": "bad_quota",
                "tenant": wire.name,
                "reason": str(error),
            },
        )
        return None
