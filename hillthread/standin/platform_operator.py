"""A stand-in of those who write into the platform's store."""

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
_AIM_MS = 500
_SLOTS = 8
_PLAIN_TOKENS = 200


class OperatorRoute(NamedTuple):
    """A route to all paths below its name.

    Attributes:
        name: Its name.
        service: Where it leads.
        streaming: Whether answers are streams of events.
        repeatable: Whether requests may run again; of a stream, whether it
            may be resumed.
    """

    name: str
    service: str
    streaming: bool
    repeatable: bool


@dataclasses.dataclass
class OperatorTenant:
    """A tenant.

    Attributes:
        name: Its name.
        isolated: It shares no cached prefixes.
        keys: Keys that hold, the oldest first.
        tokens_per_s: Its quota, and as much at once; 0 for none.
    """

    name: str
    isolated: bool = False
    keys: list[str] = dataclasses.field(default_factory=list)
    tokens_per_s: float = 0.0


class PlatformOperatorStandin:
    """Writes configurations, weights and the list of targets.

    Attributes:
        store: Where it writes.
        host: The name that callers use for the gateways.
        routes: Of the next configuration.
        tenants: Of the next configuration.
        models: Model of each service of engines.
        timeout_ms: How long requests may take.
        version: Of the configuration written last.
        weights: The version named last.
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
            "routes": [self._route(route) for route in self.routes],
            "services": [self._service(name) for name in self._services()],
            "tenants": [self._tenant(tenant) for tenant in self.tenants],
        }
        self.store.put(
            configuration.OPERATOR_TOPIC, configuration.CONFIGURATION_KEY, value
        )

    def _tenant(self, tenant: OperatorTenant) -> dict[str, Any]:
        return {
            "name": tenant.name,
            "apiKeys": tenant.keys,
            "isolated": tenant.isolated,
            "ratePerS": tenant.tokens_per_s,
            "burst": tenant.tokens_per_s,
            "unit": "token_stream",
            "plainTokens": _PLAIN_TOKENS,
        }

    def announce_weights(self, model: str) -> None:
        """Names newer weights of a model."""
        self.weights += 1
        self.store.put(
            configuration.OPERATOR_TOPIC,
            configuration.WEIGHTS_KEY_PREFIX + model,
            {"model": model, "version": self.weights},
        )

    def list_target(
        self, target: platform_target.PlatformTargetStandin, state: str
    ) -> None:
        """Writes a target's entry."""
        entry = target.entry(state)
        self.store.put(targets.TARGET_TOPIC, target.name, entry)

    def unlist_target(
        self, target: platform_target.PlatformTargetStandin
    ) -> None:
        """Removes a target's entry."""
        self.store.remove(targets.TARGET_TOPIC, target.name)

    def _services(self) -> list[str]:
        return sorted({route.service for route in self.routes})

    def _service(self, name: str) -> dict[str, Any]:
        if name not in self.models:
            return {"name": name}
        models = [{"name": self.models[name]}]
        return {"name": name, "engine": {"slots": _SLOTS, "models": models}}

    def _route(self, route: OperatorRoute) -> dict[str, Any]:
        kind = "idempotent" if route.repeatable else "non_idempotent"
        return {
            "name": route.name,
            "host": self.host,
            "pathPrefix": f"/{route.name}/",
            "type": "streaming" if route.streaming else kind,
            "service": route.service,
            "timeoutMs": self.timeout_ms,
            "targetLatencyMs": _AIM_MS,
            "priority": 1,
            "maxAttempts": _MAX_ATTEMPTS,
            "resumable": route.streaming and route.repeatable,
        }
