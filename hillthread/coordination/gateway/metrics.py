"""What a gateway counts: counters first, histograms by tenant and class."""

from __future__ import annotations

from collections.abc import Sequence

import cachetools
import prometheus_client

__all__ = ["GatewayMetrics"]

_SECONDS = (0.05, 0.1, 0.2, 0.3, 0.4, 0.6, 1.0, 2.0, 4.0, 15.0)
_MAX_SERIES = 256
_SERIES_TTL_S = 3600
_OTHER = "other"


class GatewayMetrics:
    """Everything a gateway counts.

    Tenants and routes beyond the first `_MAX_SERIES` of an hour share a
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
            "attempts", "Attempts by outcome.", ["outcome"]
        )
        self.choices = self._counter(
            "choices", "Targets chosen, by reason.", ["reason"]
        )
        self.retries = self._counter(
            "retries", "Attempts after the first, by reason.", ["reason"]
        )
        self.resumes = self._counter("resumes", "Streams resumed.", [])
        self.mismatches = self._counter(
            "mismatches", "Answers of targets refused by a check.", ["check"]
        )
        self.bad_requests = self._counter(
            "bad_requests", "Requests that could not be read.", ["status"]
        )
        self.bad_records = self._counter(
            "bad_records", "Records that could not be read.", ["kind"]
        )
        self.store_calls = self._counter(
            "store_calls", "Calls to the store.", ["call", "outcome"]
        )
        self.orders = self._counter("orders", "Orders given.", ["outcome"])
        self.connections = self._gauge(
            "target_connections_opened", "Connections opened to targets."
        )
        self.inflight = self._gauge("inflight", "Requests being served.")
        self.position = self._gauge(
            "configuration_version", "Configuration in force."
        )
        self.age = self._gauge(
            "store_age_seconds", "Seconds since the last proven read."
        )
        self.targets = self._gauge("targets", "Targets that may get work.")
        self.ready = self._gauge("ready", "Whether the host is ready.")
        self.holds_lease = self._gauge(
            "holds_lease", "Whether this host may give orders."
        )
        self.store_seconds = self._histogram(
            "store_seconds", "Duration of calls to the store.", ["call"]
        )
        self.first_byte = self._histogram(
            "first_byte_seconds",
            "From a request's arrival to the first byte of its answer.",
            ["tenant", "route"],
        )
        self.whole = self._histogram(
            "answer_seconds",
            "From a request's arrival to the end of its answer.",
            ["route"],
        )
        self._labels: cachetools.TTLCache = cachetools.TTLCache(
            _MAX_SERIES, ttl=_SERIES_TTL_S
        )

    def observe_first_byte(
        self, tenant: str, route: str, seconds: float
    ) -> None:
        """Notes the time to a first byte."""
        if not self._is_tracked((tenant, route)):
            tenant = route = _OTHER
        self.first_byte.labels(tenant, route).observe(seconds)

    def observe_whole(self, route: str, seconds: float) -> None:
        """Notes the time to a whole answer."""
        if not self._is_tracked(("", route)):
            route = _OTHER
        self.whole.labels(route).observe(seconds)

    def count_choices(self) -> dict[str, int]:
        """Returns how many targets were chosen so far, by reason."""
        return {
            sample.labels["reason"]: int(sample.value)
            for metric in self.choices.collect()
            for sample in metric.samples
            if sample.name.endswith("_total")
        }

    def page(self) -> bytes:
        """Returns all metrics in the customary text form."""
        return prometheus_client.generate_latest(self.registry)

    def _is_tracked(self, key: tuple[str, str]) -> bool:
        if key in self._labels:
            return True
        if len(self._labels) >= _MAX_SERIES:
            return False
        self._labels[key] = True
        return True

    def _counter(
        self, name: str, text: str, labels: Sequence[str]
    ) -> prometheus_client.Counter:
        return prometheus_client.Counter(
            f"hillthread_{name}", text, labels, registry=self.registry
        )

    def _gauge(self, name: str, text: str) -> prometheus_client.Gauge:
        return prometheus_client.Gauge(
            f"hillthread_{name}", text, registry=self.registry
        )

    def _histogram(
        self, name: str, text: str, labels: Sequence[str]
    ) -> prometheus_client.Histogram:
        return prometheus_client.Histogram(
            f"hillthread_{name}",
            text,
            labels,
            buckets=_SECONDS,
            registry=self.registry,
        )
