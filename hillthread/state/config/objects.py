"""Configuration objects that operators create, and their JSON validation.

Objects are `msgspec` structures instead of named tuples, because they are
decoded from JSON objects and unknown fields are refused.
"""

from __future__ import annotations

import enum
from typing import Annotated
from typing import Literal
from typing import TypeAlias

import msgspec

from hillthread import errors
from hillthread.state.config import labels as labels_lib

__all__ = [
    "CacheStore",
    "ConfigurationObject",
    "Limits",
    "ObjectKey",
    "Policy",
    "Pool",
    "PoolShare",
    "Quota",
    "QuotaUnit",
    "Route",
    "Target",
    "Tenant",
    "decode_object",
    "object_key",
]

Name: TypeAlias = Annotated[
    str, msgspec.Meta(pattern=r"^[a-z0-9][a-z0-9.-]*$", max_length=63)
]
Positive: TypeAlias = Annotated[float, msgspec.Meta(gt=0)]
# Keeps sums of quota units exact and finite.
_MAX_UNITS = 1e15
Count: TypeAlias = Annotated[int, msgspec.Meta(ge=1)]


class ObjectKey(msgspec.Struct, frozen=True, order=True):
    """Identifies an object by kind and name."""

    kind: str
    name: str


class _Object(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    tag_field="kind",
    tag=str.lower,
    forbid_unknown_fields=True,
):
    """Base class of all objects.

    Attributes:
        name: Unique name among the objects of one kind.
        labels: Labels that selectors match.
    """

    name: Name
    labels: dict[str, str] = {}


class Target(_Object, frozen=True, kw_only=True):
    """An engine or a plain service that requests are routed to.

    Attributes:
        address: `IP:port`; host names are not resolved.
        data_centre: Data centre of the target; hosts route to targets in their
            own.
        service: `engine` for the engine protocol, `plain` for plain HTTP.
        models: Models that it serves; engines only.
        prefill_tokens_per_s: Initial estimate, corrected by measurement.
        cache_tokens: Size of the prefix cache, until the engine reports it.
        max_running: Maximum number of requests that it runs at once.
        truthful_refusals: Whether a refusal (409, 429, 503) proves that the
            request has not run.
        honours_fencing: Whether it refuses outdated fencing numbers.
        cordoned: Whether an operator has excluded it from new requests.
        weights_version: Weights that it is to run; empty to accept any.
    """

    address: Annotated[str, msgspec.Meta(pattern=r"^[0-9.]+:[0-9]+$")]
    data_centre: Name
    service: Literal["engine", "plain"] = "engine"
    models: list[str] = []
    prefill_tokens_per_s: Positive = 8000.0
    cache_tokens: Count = 100_000
    max_running: Count = 64
    truthful_refusals: bool = False
    honours_fencing: bool = False
    cordoned: bool = False
    weights_version: str = ""


class Pool(_Object, frozen=True, kw_only=True):
    """Targets that serve the same requests.

    Attributes:
        target_selector: Selects the targets by their labels.
        max_inflight: Maximum number of requests of one router on one target.
        queue_size: Maximum number of requests that wait on one router for a
            free target.
        retry_ratio: Retries that each first attempt allows.
        eject_after: Consecutive failures that eject a target.
        eject_s: Seconds until an ejected target is probed again.
        models: Models that the targets serve; empty for plain services.
        max_running: Maximum number of requests that one target runs at once; 0
            if unknown.
        cache_tokens: Tokens that one target keeps in memory; 0 if unknown.
        cache_token_bytes: Bytes of KV cache for each token; 0 if unknown.
        max_connections: Maximum number of connections of all hosts to one
            target; 0 if unknown.
        status_path: Path of the targets' health check.
    """

    target_selector: str
    models: list[str] = []
    max_running: int = 0
    cache_tokens: int = 0
    cache_token_bytes: float = 0.0
    max_connections: int = 0
    status_path: str = ""
    max_inflight: Count = 64
    queue_size: Count = 256
    retry_ratio: Annotated[float, msgspec.Meta(ge=0, le=1)] = 0.2
    eject_after: Count = 3
    eject_s: Positive = 2.0


class CacheStore(_Object, frozen=True, kw_only=True):
    """A KV cache store that targets save to and fetch from.

    Attributes:
        address: `IP:port`.
        data_centre: Data centre of the store.
        cache_tokens: Capacity in tokens.
        link_bytes_per_s: Bandwidth of its link; 0 if unknown.
    """

    address: Annotated[str, msgspec.Meta(pattern=r"^[0-9.]+:[0-9]+$")]
    data_centre: str = ""
    cache_tokens: int = 0
    link_bytes_per_s: float = 0.0


class PoolShare(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The share of a route's requests that the selected pools receive.

    Attributes:
        pool_selector: Selects the pools.
        weight: Weight relative to the other shares of the route.
    """

    pool_selector: str
    weight: Annotated[float, msgspec.Meta(ge=0)]


class Route(_Object, frozen=True, kw_only=True):
    """Maps requests to pools.

    Only the gateway reads the fields from `host` on.

    Attributes:
        path_prefix: Prefix of the paths that the route applies to.
        models: Models that the route applies to; empty for all.
        tenant_selector: Selects the tenants that the route applies to.
        pool_selector: Selects the pools, whose targets are all candidates.
        order: Routes are tried in this order, then by name.
        repeatable: Whether a request may run more than once. If unset, in
            the router completions may and calls of plain services may not,
            except with safe methods; in the gateway no request may.
        timeout_s: Deadline of a whole request.
        host: The `Host` header that the route applies to; empty for any.
        pool_shares: Splits the requests among pools; `pool_selector` is then
            ignored.
        streaming: Whether answers are event streams.
        resumable: Whether another run may continue a broken stream.
        public: Whether requests need no key.
        priority: Priority class of the requests, 0 first; that of the tenant
            has precedence.
        max_attempts: Maximum number of targets that one request may run on.
        first_byte_aim_s: Objective for the time to the first byte; 0 for none.
        gap_aim_s: Objective for the time between events; 0 for none.
    """

    path_prefix: str
    models: list[str] = []
    tenant_selector: str = ""
    pool_selector: str
    order: int = 100
    repeatable: bool | None = None
    timeout_s: Positive = 120.0
    host: str = ""
    pool_shares: list[PoolShare] = []
    streaming: bool = False
    resumable: bool = False
    public: bool = False
    priority: Annotated[int, msgspec.Meta(ge=0)] = 0
    max_attempts: Count = 1
    first_byte_aim_s: Annotated[float, msgspec.Meta(ge=0)] = 0.0
    gap_aim_s: Annotated[float, msgspec.Meta(ge=0)] = 0.0


class Limits(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Limits of a tenant in one data centre; 0 means no limit."""

    concurrency: Annotated[int, msgspec.Meta(ge=0)] = 0
    requests_per_s: Annotated[float, msgspec.Meta(ge=0)] = 0.0
    tokens_per_s: Annotated[float, msgspec.Meta(ge=0)] = 0.0


class QuotaUnit(enum.StrEnum):
    """Unit that a quota counts."""

    REQUESTS = "requests"
    TOKENS = "tokens"


class Quota(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Limit on the requests of a tenant through all hosts together.

    Attributes:
        rate_per_s: Units per second.
        burst: Units that may be used at once beyond the rate.
        unit: Unit that is counted.
        plain_tokens: Tokens charged for a request whose token count is unknown,
            if the unit is tokens.
    """

    rate_per_s: Annotated[float, msgspec.Meta(gt=0, le=_MAX_UNITS)]
    burst: Annotated[float, msgspec.Meta(ge=0, le=_MAX_UNITS)] = 0.0
    unit: QuotaUnit = QuotaUnit.REQUESTS
    plain_tokens: Annotated[float, msgspec.Meta(ge=0, le=_MAX_UNITS)] = 0.0


class Tenant(_Object, frozen=True, kw_only=True):
    """A caller with its organisation, keys and limits.

    Attributes:
        organisation: Cached prefixes are shared only within an organisation.
        key_digests: SHA-256 of each bearer key, in hexadecimal.
        limits: Limits in one data centre.
        quota: Limit over all data centres; None for no limit.
        priority: Priority class of the requests, 0 first; None to use that of
            the route.
    """

    organisation: Name
    key_digests: list[
        Annotated[str, msgspec.Meta(pattern=r"^[0-9a-f]{64}$")]
    ] = []
    limits: Limits = Limits()
    quota: Quota | None = None
    priority: int | None = None


class Policy(_Object, frozen=True, kw_only=True):
    """Routing policy for the requests of the selected tenants.

    Attributes:
        tenant_selector: Selects the tenants that the policy applies to.
        order: The first policy in this order, then by name, applies.
        recompute_weight: Cost of one second of recomputation, in seconds of
            time to the first token.
        priority: Priority class of the requests; a smaller number is served
            first.
        max_attempts: Maximum number of attempts, including the first.
    """

    tenant_selector: str = ""
    order: int = 100
    recompute_weight: Annotated[float, msgspec.Meta(ge=0)] = 1.0
    priority: int = 0
    max_attempts: Annotated[int, msgspec.Meta(ge=1, le=9)] = 3


ConfigurationObject: TypeAlias = (
    Target | Pool | Route | Tenant | Policy | CacheStore
)

_SELECTOR_FIELDS = ("target_selector", "pool_selector", "tenant_selector")


def object_key(value: ConfigurationObject) -> ObjectKey:
    """Returns the key of `value`."""
    return ObjectKey(type(value).__name__.lower(), value.name)


def decode_object(value: object) -> ConfigurationObject:
    """Returns the object described by decoded JSON.

    Args:
        value: A mapping as decoded from JSON, with a `kind` field.

    Raises:
        ConfigurationError: The value is not a valid object; the message
            contains the path of the invalid field.
    """
    try:
        decoded = msgspec.convert(value, ConfigurationObject)
    except msgspec.ValidationError as error:
        raise errors.ConfigurationError(
            f"The object is invalid: {error}.",
            "Correct the field at this path, then apply the object again.",
        ) from error
    for field in _SELECTOR_FIELDS:
        if hasattr(decoded, field):
            labels_lib.parse_selector(getattr(decoded, field))
    return decoded
