"""Tests of the configuration as the data plane reads it."""

import hashlib
import unittest

from hillthread.state.config import objects
from hillthread.state.config import routing_table


def table(*values):
    decoded = [objects.decode_object(value) for value in values]
    return routing_table.RoutingTable(
        3, {objects.object_key(value): value for value in decoded}
    )


def tenant(name, **labels):
    digest = hashlib.sha256(name.encode()).hexdigest()
    return {
        "kind": "tenant",
        "name": name,
        "organisation": name,
        "labels": labels,
        "key_digests": [digest],
    }


def target(name, **labels):
    return {
        "kind": "target",
        "name": name,
        "address": "127.0.0.1:1",
        "data_centre": "dc1",
        "labels": labels,
    }


POOL = {
    "kind": "pool",
    "name": "p",
    "labels": {"use": "chat"},
    "target_selector": "role in (engine)",
}
ROUTE = {
    "kind": "route",
    "name": "r",
    "path_prefix": "/v1/",
    "pool_selector": "use=chat",
}


class RoutingTableTest(unittest.TestCase):
    def test_resolves_by_selectors(self):
        found = table(
            POOL,
            ROUTE,
            tenant("a", tier="ci"),
            target("t1", role="engine"),
            target("t2", role="plain"),
            {"kind": "policy", "name": "all", "order": 200},
            {
                "kind": "policy",
                "name": "ci",
                "tenant_selector": "tier=ci",
                "recompute_weight": 4.0,
            },
        )
        resolved = found.resolve(found.tenants["a"], "/v1/chat", "m")
        self.assertEqual([each.name for each in resolved.targets], ["t1"])
        self.assertEqual(resolved.policy.name, "ci")

    def test_no_route_and_no_pool(self):
        found = table(ROUTE, tenant("a"))
        self.assertIsNone(found.resolve(found.tenants["a"], "/x", ""))
        self.assertIsNone(found.resolve(found.tenants["a"], "/v1/x", ""))

    def test_keys(self):
        found = table(tenant("a"), tenant("b"))
        self.assertEqual(found.find_tenant_by_key("b").name, "b")
        self.assertIsNone(found.find_tenant_by_key("c"))
        self.assertIsNone(found.find_tenant_by_key(""))
