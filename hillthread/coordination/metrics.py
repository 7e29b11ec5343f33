"""Metrics of the router: counters first, histograms for each tenant."""

from __future__ import annotations

import cachetools
import prometheus_client

__all__ = ["RouterMetrics"]

_FIRST_TOKEN_BUCKETS = (0.05, 0.1, 0.2, 0.4, 0.57, 0.8, 1.2, 2.0, 5.0, 15.0)
_MAX_TENANTS = 256
OTHER_TENANTS = "other"


class RouterMetrics:
    """Everything a router counts.

    Tenants beyond the first `_MAX_TENANTS` seen within an hour share one
    label, so that 2,200 organisations do not fill a host's memory.

    Attributes:
        registry: Where the metrics are registered.
    """

    def __init__(self):
        self.registry = prometheus_client.CollectorRegistry()
        self.requests = self._counter(
            "requests", "Requests by outcome and code.", ["outcome", "code"]
        )
        self.attempts = self._counter(
            "attempts", "Attempts by target and state.", ["target", "state"]
        )
        self.decisions = self._counter(
            "decisions", "Decisions by reason.", ["reason"]
        )
        self.retries = self._counter("retries", "Attempts after the first.", [])
        self.resumes = self._counter(
            "resumes", "Streams resumed or continued.", ["way"]
        )
        self.mismatches = self._counter(
            "mismatches", "Answers refused by a check.", ["check"]
        )
        self.prompt_tokens = self._counter(
            "prompt_tokens", "Prompt tokens answered.", []
        )
        self.cached_tokens = self._counter(
            "cached_tokens", "Prompt tokens found cached.", []
        )
        self.records_lost = self._counter(
            "records_lost", "Decision records not kept.", []
        )
        self.links = self._counter(
            "links", "Connections to the control process.", ["event"]
        )
        self.position = prometheus_client.Gauge(
            "hillthread_configuration_position",
            "Log position of the configuration in force.",
            registry=self.registry,
        )
        self.inflight = prometheus_client.Gauge(
            "hillthread_inflight", "Requests served.", registry=self.registry
        )
        self.first_token = prometheus_client.Histogram(
            "hillthread_first_token_seconds",
            "From a request's arrival to its first token.",
            ["tenant"],
            buckets=_FIRST_TOKEN_BUCKETS,
            registry=self.registry,
        )
        self._tenants: cachetools.TTLCache = cachetools.TTLCache(
            _MAX_TENANTS, ttl=3600
        )

    def observe_first_token(self, tenant: str, seconds: float) -> None:
        """Notes a time to first token."""
        self.first_token.labels(self._tenant_label(tenant)).observe(seconds)

    def _tenant_label(self, tenant: str) -> str:
        if tenant in self._tenants:
            return tenant
        if len(self._tenants) >= _MAX_TENANTS:
            return OTHER_TENANTS
        self._tenants[tenant] = True
        return tenant

    def _counter(
        self, name: str, text: str, labels: list[str]
    ) -> prometheus_client.Counter:
        return prometheus_client.Counter(
            f"hillthread_{name}", text, labels, registry=self.registry
        )
