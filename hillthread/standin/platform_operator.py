"""A stand-in of the operators who write into the platform's store."""

from __future__ import annotations

import dataclasses
from typing import Any
from typing import NamedTuple

from hillthread.platform import configuration
from hillthread.platform import targets
from hillthread.standin import platform_store
from hillthread.standin import platform_target

__all__ = ["OperatorRoute", "OperatorTenant", "PlatformOperatorStandin"]

_MAX_ATTEMPTS = 2
_TARGET_LATENCY_MS = 500
_SLOTS = 8
_PLAIN_REQUEST_TOKENS = 200


class OperatorRoute(NamedTuple):
    """A route for all paths below `/NAME/`.

    Attributes:
        name: Name of the route.
        service: Service that requests are sent to.
        streaming: Whether answers are event streams.
        repeatable: Whether requests may be retried; for streaming routes,
            whether streams may be resumed.
    """

    name: str
    service: str
    streaming: bool
    repeatable: bool


@dataclasses.dataclass
class OperatorTenant:
    """An organisation.

    Attributes:
        name: Name of the organisation.
        isolated: Whether it shares no cached prefixes with others.
        keys: Valid API keys, oldest first.
        tokens_per_s: Quota and size of a burst; 0 for no quota.
    """

    name: str
    isolated: bool = False
    keys: list[str] = dataclasses.field(default_factory=list)
    tokens_per_s: float = 0.0


class PlatformOperatorStandin:
    """Writes configurations, weights versions and the target list.

    Attributes:
        store: The store that it writes to.
        host: Host name that callers use for the gateways.
        routes: Routes of the next configuration.
        tenants: Organisations of the next configuration.
        models: Model of each engine service.
        timeout_ms: Timeout of requests.
        version: Version of the last configuration.
        weights: Last announced weights version.
    """

    def __init__(
        self,
        store: platform_store.PlatformStoreStandin,
        host: str,
        routes: list[OperatorRoute],
        tenants: list[OperatorTenant],
        models: dict[str, str],
    ):
        self.store = store
        self.host = host
        self.routes = routes
        self.tenants = tenants
        self.models = models
        self.timeout_ms = 3000
        self.version = 0
        self.weights = 1

    def configure(self) -> None:
        """Writes the next version of the configuration."""
        self.version += 1
        value = {
            "version": self.version,
            "routes": [self._build_route(route) for route in self.routes],
            "services": [
                self._build_service(name) for name in self._service_names()
            ],
            "tenants": [self._build_tenant(tenant) for tenant in self.tenants],
        }
        self.store.put(
            configuration.OPERATOR_TOPIC, configuration.CONFIGURATION_KEY, value
        )

    def _build_tenant(self, tenant: OperatorTenant) -> dict[str, Any]:
        return {
            "name": tenant.name,
            "apiKeys": tenant.keys,
            "isolated": tenant.isolated,
            "ratePerS": tenant.tokens_per_s,
            "burst": tenant.tokens_per_s,
            "unit": "token_stream",
            "plainTokens": _PLAIN_REQUEST_TOKENS,
        }

    def announce_weights(self, model: str) -> None:
        """Announces a newer weights version of a model."""
        self.weights += 1
        self.store.put(
            configuration.OPERATOR_TOPIC,
            configuration.WEIGHTS_KEY_PREFIX + model,
            {"model": model, "version": self.weights},
        )

    def list_target(
        self, target: platform_target.PlatformTargetStandin, state: str
    ) -> None:
        """Writes the entry of a target into the target list."""
        entry = target.entry(state)
        self.store.put(targets.TARGET_TOPIC, target.name, entry)

    def unlist_target(
        self, target: platform_target.PlatformTargetStandin
    ) -> None:
        """Removes the entry of a target from the target list."""
        self.store.remove(targets.TARGET_TOPIC, target.name)

    def _service_names(self) -> list[str]:
        return sorted({route.service for route in self.routes})

    def _build_service(self, name: str) -> dict[str, Any]:
        if name not in self.models:
            return {"name": name}
        models = [{"name": self.models[name]}]
        return {"name": name, "engine": {"slots": _SLOTS, "models": models}}

    def _build_route(self, route: OperatorRoute) -> dict[str, Any]:
        kind = "idempotent" if route.repeatable else "non_idempotent"
        return {
            "name": route.name,
            "host": self.host,
            "pathPrefix": f"/{route.name}/",
            "type": "streaming" if route.streaming else kind,
            "service": route.service,
            "timeoutMs": self.timeout_ms,
            "targetLatencyMs": _TARGET_LATENCY_MS,
            "priority": 1,
            "maxAttempts": _MAX_ATTEMPTS,
            "resumable": route.streaming and route.repeatable,
        }
