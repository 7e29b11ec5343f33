"""A small deployment of real processes: engines, routers, their objects."""

from __future__ import annotations

import hashlib
from typing import Any

from hillthread.bench import processes

__all__ = [
    "SECRET",
    "make_objects",
    "router_settings",
    "secret_header",
    "tenant_key",
]

SECRET = "only-for-tests-and-demos"


def tenant_key(organisation: str) -> str:
    """Returns the bearer key of an organisation's tenant."""
    return f"key-of-{organisation}"


def secret_header() -> dict[str, str]:
    """Returns the header that opens a router's records to its operators."""
    return {"authorization": f"Bearer {SECRET}"}


def make_objects(
    engines: list[str],
    organisations: list[str],
    recompute_weight: float = 1.0,
    data_centre: str = "dc1",
    **pool_fields: Any,
) -> list[dict[str, Any]]:
    """Returns the objects of a deployment.

    Args:
        engines: Addresses of the engines.
        organisations: Each gets one tenant.
        recompute_weight: Of the only policy.
        data_centre: Of the engines.
        **pool_fields: Bounds of the only pool.
    """
    targets = [
        {
            "kind": "target",
            "name": f"runner{number}",
            "labels": {"role": "engine"},
            "address": address,
            "data_centre": data_centre,
            "models": ["m1"],
            "prefill_tokens_per_s": 15000,
            "truthful_refusals": True,
        }
        for number, address in enumerate(engines)
    ]
    tenants = [make_tenant(name) for name in organisations]
    return [
        *targets,
        {
            "kind": "pool",
            "name": "engines",
            "labels": {"use": "completions"},
            "target_selector": "role=engine",
            **pool_fields,
        },
        {
            "kind": "route",
            "name": "completions",
            "path_prefix": "/v1/",
            "pool_selector": "use=completions",
        },
        {
            "kind": "policy",
            "name": "standard",
            "recompute_weight": recompute_weight,
        },
        *tenants,
    ]


def make_tenant(organisation: str) -> dict[str, Any]:
    """Returns the tenant of an organisation."""
    key = tenant_key(organisation)
    return {
        "kind": "tenant",
        "name": organisation,
        "organisation": organisation,
        "key_digests": [hashlib.sha256(key.encode()).hexdigest()],
    }


def router_settings(
    group: processes.ProcessGroup,
    objects: list[dict[str, Any]],
    **fields: Any,
) -> dict[str, Any]:
    """Returns settings of a router that reads its objects from a file."""
    path = group.write_json("objects.json", objects)
    return {
        "host": "host1",
        "data_centre": "dc1",
        "listen": "127.0.0.1:0",
        "status_listen": "127.0.0.1:0",
        "secret": SECRET,
        "configuration_file": path,
        "notice_s": 0.2,
        **fields,
    }
