"""Chooses the store that an attempt fetches KV cache from and saves it to.

Every attempt may fetch from the store, even if the store's events do not list
the prefix yet, because events lag behind the contents. An engine that probably
holds the prefix is a worse source, see docs/MEASUREMENTS.md.
"""

from __future__ import annotations

from hillthread import clock
from hillthread.coordination.gateway import site as site_lib
from hillthread.coordination.gateway.serving import cache_watch
from hillthread.coordination.gateway.serving import intake
from hillthread.state.config import objects
from hillthread.state.quotas import save_budget
from hillthread.state.routing import attempt_plan
from hillthread.state.routing import cache_contents
from hillthread.state.routing import placement
from hillthread.transport import connection_pool

__all__ = ["CachePlanner", "affinity_key", "shared_parts"]


def affinity_key(request: intake.GatewayRequest) -> bytes:
    """Returns a key that requests with the same longest shared prefix share."""
    parts = request.prompt.parts
    last_shared = parts[-2] if len(parts) > 1 else parts[-1]
    return f"{request.organisation}/{last_shared.digest}".encode()


class CachePlanner:
    """Adds to the plans of attempts what they fetch and save.

    Attributes:
        site: The host's view of the configuration.
        watch: Tracks the contents of the stores of KV cache.
        budgets: Limits on what is saved, by the address of the store.
    """

    def __init__(
        self, site: site_lib.Site, pool: connection_pool.ConnectionPool
    ):
        self.site = site
        self.watch = cache_watch.CacheWatch(site, pool)
        self.budgets: dict[str, save_budget.SaveBudget] = {}

    def add_cache_store(
        self,
        plan: attempt_plan.AttemptPlan,
        request: intake.GatewayRequest,
        token_bytes: float,
    ) -> attempt_plan.AttemptPlan:
        """Returns the plan with the store to fetch from and to save to.

        Args:
            plan: The plan; returned as it is if the weights of its target are
                not known.
            request: The caller's request.
            token_bytes: Bytes of KV cache for each token; 0 if not known.
        """
        if plan.weights_version is None or not request.prompt.parts:
            return plan
        store = self._choose_store(affinity_key(request))
        if store is None:
            return plan
        saves = self.watch.may_lack(
            store.address, _list_expected_events(request, plan.cache_scope)
        ) and self._may_save(store, request, token_bytes)
        return plan._replace(
            fetch_from=store.address, save_to=store.address if saves else ""
        )

    def fetch_bytes_per_s(
        self, request: intake.GatewayRequest, scope: str
    ) -> float:
        """Returns the rate at which a prompt's shared parts can be fetched.

        Returns:
            Bytes a second; 0 if no store is known to hold all of them.
        """
        store = self._choose_store(affinity_key(request))
        if store is None:
            return 0.0
        if self.watch.may_lack(
            store.address, _list_expected_events(request, scope)
        ):
            return 0.0
        return store.link_bytes_per_s

    def _choose_store(self, key: bytes) -> objects.CacheStore | None:
        """Returns the store for a prefix, or None if none can be reached.

        All hosts choose the same store, so that each prefix is stored once and
        the links and the memory of all stores are used.
        """
        if self.site.table is None:
            return None
        stores = {
            store.address: store
            for store in self.site.table.cache_stores
            if self.watch.is_reachable(store.address)
        }
        if not stores:
            return None
        return stores[placement.rank_by_rendezvous(key, stores)[0]]

    def _may_save(
        self,
        store: objects.CacheStore,
        request: intake.GatewayRequest,
        token_bytes: float,
    ) -> bool:
        """Returns whether the store's link has capacity to save a prompt."""
        if not (store.link_bytes_per_s and token_bytes):
            return True  # the link's capacity is not known
        budget = self.budgets.setdefault(
            store.address, save_budget.SaveBudget()
        )
        parts = request.prompt.parts
        whole = sum(part.tokens for part in parts)
        return budget.withdraw(
            clock.now(),
            store.link_bytes_per_s / self.site.cluster_size,
            (whole - parts[-1].tokens) * token_bytes,
            whole * token_bytes,
        )


def shared_parts(request: intake.GatewayRequest) -> list[tuple[str, int]]:
    """Returns digest and tokens of each part that other prompts may share."""
    return [(part.digest, part.tokens) for part in request.prompt.parts[:-1]]


def _list_expected_events(
    request: intake.GatewayRequest, scope: str
) -> list[cache_contents.CacheEvent]:
    """Returns the events that a store would send for the shared parts."""
    return [
        cache_contents.CacheEvent(
            cache_contents.CachedPart(scope, digest), tokens
        )
        for digest, tokens in shared_parts(request)
    ]
