"""The configuration in the form that the data plane reads."""

from __future__ import annotations

from collections.abc import Mapping
import functools
import hashlib
import hmac
from typing import NamedTuple

import cachetools

from hillthread.state.config import labels
from hillthread.state.config import objects
from hillthread.state.config import route_index

__all__ = ["ResolvedRoute", "RoutingTable", "WeightedPool"]

_MAX_CACHED_ROUTES = 4096
_DEFAULT_POLICY = objects.Policy(name="default")


class ResolvedRoute(NamedTuple):
    """The configuration that applies to one request.

    Attributes:
        route: The matching route.
        policy: The policy of the tenant.
        pool: The first pool of the route, whose bounds apply.
        targets: The targets of all pools of the route.
    """

    route: objects.Route
    policy: objects.Policy
    pool: objects.Pool
    targets: tuple[objects.Target, ...]


class WeightedPool(NamedTuple):
    """A pool that receives a share of a route's requests.

    Attributes:
        pool: The pool.
        weight: Weight relative to the other pools of the route.
    """

    pool: objects.Pool
    weight: float


class RoutingTable:
    """An immutable view of one configuration.

    Attributes:
        position: Position of the configuration in the log.
        tenants: Tenants by name.
        targets: Targets by name.
        models: Names of the models that targets serve.
        cache_stores: KV cache stores.
        index: Finds routes by host and path.
    """

    def __init__(
        self,
        position: int,
        decoded: Mapping[objects.ObjectKey, objects.ConfigurationObject],
    ):
        self.position = position
        self.tenants: dict[str, objects.Tenant] = {}
        self.targets: dict[str, objects.Target] = {}
        self.models: set[str] = set()
        self.cache_stores: list[objects.CacheStore] = []
        self._pools: list[objects.Pool] = []
        self._routes: list[objects.Route] = []
        self._policies: list[objects.Policy] = []
        self._tenant_by_digest: dict[str, objects.Tenant] = {}
        self._resolved_routes: cachetools.LRUCache = cachetools.LRUCache(
            _MAX_CACHED_ROUTES
        )
        for value in decoded.values():
            self._add(value)
        self._pools.sort(key=lambda pool: pool.name)
        self._pool_names = frozenset(pool.name for pool in self._pools)
        self._routes.sort(key=lambda route: (route.order, route.name))
        self._policies.sort(key=lambda policy: (policy.order, policy.name))
        self.index = route_index.RouteIndex(self._routes)
        self._weighted_pools: cachetools.LRUCache = cachetools.LRUCache(
            _MAX_CACHED_ROUTES
        )
        self._targets_by_route: dict[str, tuple[objects.Target, ...]] = {}

    @functools.cached_property
    def has_urgency_classes(self) -> bool:
        """Whether prompts differ in urgency by their route or tenant."""
        route_priorities = {
            route.priority for route in self._routes if route.streaming
        }
        tenant_priorities = {
            tenant.priority for tenant in self.tenants.values()
        }
        return len(route_priorities) > 1 or len(tenant_priorities) > 1

    def find_tenant_by_key(self, key: str) -> objects.Tenant | None:
        """Returns the tenant with a bearer key, or None."""
        digest = hashlib.sha256(key.encode()).hexdigest()
        found = self._tenant_by_digest.get(digest)
        if found is None:
            return None
        matching = [
            hmac.compare_digest(digest, each) for each in found.key_digests
        ]
        return found if any(matching) else None

    def resolve(
        self, tenant: objects.Tenant, path: str, model: str
    ) -> ResolvedRoute | None:
        """Returns the configuration of a request; None without a route or pool.

        Args:
            tenant: The tenant that sent the request.
            path: Path of the request.
            model: The requested model; empty for plain services.
        """
        route = self._match_route(tenant, path, model)
        if route is None:
            return None
        cache_key = (tenant.name, route.name)
        if cache_key not in self._resolved_routes:
            self._resolved_routes[cache_key] = self._resolve_route(
                tenant, route
            )
        return self._resolved_routes[cache_key]

    def pool_shares(self, route: objects.Route) -> tuple[WeightedPool, ...]:
        """Returns the pools of a route with their weights."""
        if route.name not in self._weighted_pools:
            self._weighted_pools[route.name] = self._select_weighted_pools(
                route
            )
        return self._weighted_pools[route.name]

    def pool(self, name: str) -> objects.Pool | None:
        """Returns the pool with a name, or None."""
        return next((pool for pool in self._pools if pool.name == name), None)

    def pools_serving(self, model: str) -> list[objects.Pool]:
        """Returns the pools whose targets serve a model."""
        return [pool for pool in self._pools if model in pool.models]

    def has_pool(self, name: str) -> bool:
        """Returns whether there is a pool with this name."""
        return name in self._pool_names

    def _select_weighted_pools(
        self, route: objects.Route
    ) -> tuple[WeightedPool, ...]:
        shares = route.pool_shares or [
            objects.PoolShare(route.pool_selector, 1.0)
        ]
        return tuple(
            WeightedPool(pool, share.weight)
            for share in shares
            for pool in self._pools
            if _selects(share.pool_selector, pool)
        )

    def _add(self, value: objects.ConfigurationObject) -> None:
        match value:
            case objects.Tenant():
                self.tenants[value.name] = value
                for digest in value.key_digests:
                    self._tenant_by_digest[digest] = value
            case objects.Target():
                self.targets[value.name] = value
                self.models.update(value.models)
            case objects.Pool():
                self._pools.append(value)
            case objects.Route():
                self._routes.append(value)
            case objects.Policy():
                self._policies.append(value)
            case objects.CacheStore():
                self.cache_stores.append(value)

    def _match_route(
        self, tenant: objects.Tenant, path: str, model: str
    ) -> objects.Route | None:
        for route in self._routes:
            if not path.startswith(route.path_prefix):
                continue
            if route.models and model not in route.models:
                continue
            if _selects(route.tenant_selector, tenant):
                return route
        return None

    def _resolve_route(
        self, tenant: objects.Tenant, route: objects.Route
    ) -> ResolvedRoute | None:
        pools = [
            pool for pool in self._pools if _selects(route.pool_selector, pool)
        ]
        if not pools:
            return None
        policy = next(
            (
                each
                for each in self._policies
                if _selects(each.tenant_selector, tenant)
            ),
            _DEFAULT_POLICY,
        )
        if route.name not in self._targets_by_route:
            self._targets_by_route[route.name] = self._select_targets(pools)
        return ResolvedRoute(
            route, policy, pools[0], self._targets_by_route[route.name]
        )

    def _select_targets(
        self, pools: list[objects.Pool]
    ) -> tuple[objects.Target, ...]:
        """Returns the targets of the pools, ordered by name."""
        targets = {
            target.name: target
            for pool in pools
            for target in self.targets.values()
            if _selects(pool.target_selector, target)
        }
        return tuple(targets[name] for name in sorted(targets))


def _selects(selector: str, value: objects.ConfigurationObject) -> bool:
    return labels.parse_selector(selector).matches(value.labels)
