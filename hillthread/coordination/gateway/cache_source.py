"""Where an attempt takes cached prefixes from, and where it keeps them.

Every attempt may fetch from the store of KV cache, also when its events do not
show a prefix yet: they lag behind what it holds. An engine that likely holds
the prefix is a worse source, see docs/MEASUREMENTS.md.
"""

from __future__ import annotations

from hillthread.coordination.gateway import cache_watch
from hillthread.coordination.gateway import intake
from hillthread.coordination.gateway import site as site_lib
from hillthread.state import attempt_plan
from hillthread.state import cache_contents
from hillthread.transport import http1_client

__all__ = ["CachePlanner", "affinity_key"]


def affinity_key(request: intake.GatewayRequest) -> bytes:
    """Returns what requests that share their longest prefix have in common."""
    parts = request.prompt.parts
    last_shared = parts[-2] if len(parts) > 1 else parts[-1]
    return f"{request.organisation}/{last_shared.digest}".encode()


class CachePlanner:
    """Adds to the plan of an attempt what it fetches and saves.

    Attributes:
        site: The host's beliefs.
        watch: Knows what the stores of KV cache hold.
    """

    def __init__(self, site: site_lib.Site, pool: http1_client.ConnectionPool):
        self.site = site
        self.watch = cache_watch.CacheWatch(site, pool)

    def complete(
        self,
        plan: attempt_plan.AttemptPlan,
        request: intake.GatewayRequest,
    ) -> attempt_plan.AttemptPlan:
        """Returns the plan with sources and keepers of KV cache.

        Args:
            plan: For a target with known weights; others are left alone.
            request: The caller's request.
        """
        if plan.weights_version is None or not request.prompt.parts:
            return plan
        store = self._store()
        if not store:
            return plan
        lacks = self.watch.lacks(store, _shared(request, plan))
        return plan._replace(fetch_from=store, save_to=store if lacks else "")

    def _store(self) -> str:
        """Returns the address of a store of KV cache, or nothing."""
        stores = self.site.table.cache_stores if self.site.table else []
        if not stores:
            return ""
        own = self.site.settings.data_centre
        near = [store for store in stores if store.data_centre == own]
        return (near or stores)[0].address


def _shared(
    request: intake.GatewayRequest, plan: attempt_plan.AttemptPlan
) -> list[cache_contents.CacheEvent]:
    """Returns the parts of a prompt that other requests may share."""
    return [
        cache_contents.CacheEvent(
            cache_contents.CachedPart(plan.cache_scope, part.digest),
            part.tokens,
        )
        for part in request.prompt.parts[:-1]
    ]
