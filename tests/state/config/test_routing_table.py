"""Tests of the routing table."""

import hashlib
import unittest

from hillthread.state.config import objects
from hillthread.state.config import routing_table


def make_table(*values):
    decoded = [objects.decode_object(value) for value in values]
    return routing_table.RoutingTable(
        3, {objects.object_key(value): value for value in decoded}
    )


def make_tenant(name, **labels):
    digest = hashlib.sha256(name.encode()).hexdigest()
    return {
        "kind": "tenant",
        "name": name,
        "organisation": name,
        "labels": labels,
        "key_digests": [digest],
    }


def make_target(name, **labels):
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
    def test_resolves_targets_and_policy_by_selectors(self):
        table = make_table(
            POOL,
            ROUTE,
            make_tenant("a", tier="ci"),
            make_target("t1", role="engine"),
            make_target("t2", role="plain"),
            {"kind": "policy", "name": "all", "order": 200},
            {
                "kind": "policy",
                "name": "ci",
                "tenant_selector": "tier=ci",
                "recompute_weight": 4.0,
            },
        )
        resolved = table.resolve(table.tenants["a"], "/v1/chat", "m")
        self.assertEqual([each.name for each in resolved.targets], ["t1"])
        self.assertEqual(resolved.policy.name, "ci")

    def test_request_without_a_route_or_pool_is_not_resolved(self):
        table = make_table(ROUTE, make_tenant("a"))
        self.assertIsNone(table.resolve(table.tenants["a"], "/x", ""))
        self.assertIsNone(table.resolve(table.tenants["a"], "/v1/x", ""))

    def test_tenant_is_found_by_key(self):
        table = make_table(make_tenant("a"), make_tenant("b"))
        self.assertEqual(table.find_tenant_by_key("b").name, "b")
        self.assertIsNone(table.find_tenant_by_key("c"))
        self.assertIsNone(table.find_tenant_by_key(""))
