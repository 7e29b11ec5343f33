"""The labelled objects operators create, and how their JSON is checked.

Objects are `msgspec` structures and not named tuples, because they are read
from JSON objects with every unknown field refused.
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
# Sums of quotas stay exact, and finite.
_MOST_UNITS = 1e15
Count: TypeAlias = Annotated[int, msgspec.Meta(ge=1)]


class ObjectKey(msgspec.Struct, frozen=True, order=True):
    """Identifies an object: its kind and its name."""

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
    """What all objects have.

    Attributes:
        name: Unique among the objects of one kind.
        labels: What selectors match on.
    """

    name: Name
    labels: dict[str, str] = {}


class Target(_Object, frozen=True, kw_only=True):
    """An engine or a plain service that requests are routed to.

    Attributes:
        address: `IP:port`; names are not resolved.
        data_centre: Where it runs; hosts route to their own data centre.
        service: Whether it speaks the engine protocol or plain HTTP.
        models: The models it serves; engines only.
        prefill_tokens_per_s: A first guess, corrected by measurement.
        cache_tokens: Prefix cache size; the engine's own figure replaces it.
        max_running: Requests it runs at once.
        truthful_refusals: Whether a refusal (409, 429, 503) proves that it
            did not run the request.
        honours_fencing: Whether it refuses an old fencing number.
        cordoned: An operator wants no new requests on it.
        weights_version: Weights it is to run; empty for whatever it does.
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
        target_selector: Picks the targets by their labels.
        max_inflight: Requests one router keeps on one target.
        queue_size: Requests one router keeps waiting for a free target.
        retry_ratio: Retries allowed for each first attempt.
        eject_after: Consecutive failures that eject a target.
        eject_s: Seconds until an ejected target is probed again.
        models: The models its targets serve; empty for plain services.
        max_running: Requests one target runs at once; 0 when not told.
        cache_tokens: Tokens one target keeps in memory; 0 when not told.
        cache_token_bytes: Bytes of KV cache for each token; 0 when not told.
        max_connections: Connections one target takes from all hosts
            together; 0 when not told.
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
    """A store of kept KV cache, which targets save to and fetch from.

    Attributes:
        address: `IP:port`.
        data_centre: Where it runs.
        cache_tokens: Tokens it keeps.
        link_bytes_per_s: What its link carries; 0 when not known.
    """

    address: Annotated[str, msgspec.Meta(pattern=r"^[0-9.]+:[0-9]+$")]
    data_centre: str = ""
    cache_tokens: int = 0
    link_bytes_per_s: float = 0.0


class PoolShare(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The part of a route's requests that goes to some pools.

    Attributes:
        pool_selector: Picks the pools.
        weight: Relative to the weights of the route's other parts.
    """

    pool_selector: str
    weight: Annotated[float, msgspec.Meta(ge=0)]


class Route(_Object, frozen=True, kw_only=True):
    """Which requests go to which pool.

    The fields from `host` on are read by the gateway only.

    Attributes:
        path_prefix: The start of the request's path.
        models: Model names it applies to; empty for all.
        tenant_selector: Picks the tenants it applies to.
        pool_selector: Picks the pools; all their targets are candidates.
        order: Routes are tried in this order, then by name.
        repeatable: Whether a request may run more than once; when unset,
            completions may and calls of plain services may not.
        timeout_s: Deadline of a whole request.
        host: The `Host` header it applies to; empty for any.
        pool_shares: Splits the requests over pools; `pool_selector` is not
            used then.
        streaming: Whether answers are streams of events.
        resumable: Whether a broken stream may go on in another run.
        public: Whether requests need no key.
        priority: Class of its requests, 0 first; a tenant's goes before it.
        max_attempts: Targets that one request may run on at most.
        first_byte_aim_s: Objective of the first byte; 0 when there is none.
        gap_aim_s: Objective of the pause between events; 0 for none.
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
    """What a tenant may use in one data centre; 0 means no limit."""

    concurrency: Annotated[int, msgspec.Meta(ge=0)] = 0
    requests_per_s: Annotated[float, msgspec.Meta(ge=0)] = 0.0
    tokens_per_s: Annotated[float, msgspec.Meta(ge=0)] = 0.0


class QuotaUnit(enum.StrEnum):
    """What a quota counts."""

    REQUESTS = "requests"
    TOKENS = "tokens"


class Quota(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """What a tenant may send through all hosts together.

    Attributes:
        rate_per_s: Units a second.
        burst: Units beyond that at once.
        unit: What is counted.
        plain_tokens: What a request counts for that tells no tokens.
    """

    rate_per_s: Annotated[float, msgspec.Meta(gt=0, le=_MOST_UNITS)]
    burst: Annotated[float, msgspec.Meta(ge=0, le=_MOST_UNITS)] = 0.0
    unit: QuotaUnit = QuotaUnit.REQUESTS
    plain_tokens: Annotated[float, msgspec.Meta(ge=0, le=_MOST_UNITS)] = 0.0


class Tenant(_Object, frozen=True, kw_only=True):
    """A caller: its organisation, keys and limits.

    Attributes:
        organisation: Cached prefixes are shared within it and never beyond.
        key_digests: SHA-256 of each bearer key, in hexadecimal.
        limits: What it may use of one data centre.
        quota: What it may use of all together; None for no limit.
        priority: Class of its requests, 0 first; None leaves it to the route.
    """

    organisation: Name
    key_digests: list[
        Annotated[str, msgspec.Meta(pattern=r"^[0-9a-f]{64}$")]
    ] = []
    limits: Limits = Limits()
    quota: Quota | None = None
    priority: int | None = None


class Policy(_Object, frozen=True, kw_only=True):
    """How requests of the selected tenants are decided.

    Attributes:
        tenant_selector: Picks the tenants it applies to.
        order: The first policy in this order, then by name, applies.
        recompute_weight: Seconds of first-token time that one second of
            recomputation is worth.
        priority: Class of the requests; smaller is served first.
        max_attempts: Attempts at most, the first included.
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
    """Returns the key under which `value` is stored."""
    return ObjectKey(type(value).__name__.lower(), value.name)


def decode_object(value: object) -> ConfigurationObject:
    """Returns the object described by decoded JSON.

    Args:
        value: A mapping as decoded from JSON, with a `kind` field.

    Raises:
        ConfigurationError: It is no valid object; the message has the path.
    """
    try:
        decoded = msgspec.convert(value, ConfigurationObject)
    except msgspec.ValidationError as error:
        raise errors.ConfigurationError(
            f"The object is invalid: {error}.",
            "Correct the field at the path named, then apply it again.",
        ) from error
    for field in _SELECTOR_FIELDS:
        if hasattr(decoded, field):
            labels_lib.parse_selector(getattr(decoded, field))
    return decoded
