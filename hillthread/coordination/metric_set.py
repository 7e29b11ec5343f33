"""Base of the metrics of all programs: prefix, registry, bounded labels."""

from __future__ import annotations

from collections.abc import Hashable
from collections.abc import Sequence

import cachetools
import prometheus_client

__all__ = ["OTHER", "BoundedLabels", "MetricSet"]

OTHER = "other"
_PREFIX = "hillthread_"
_MAX_SERIES = 256
_SERIES_TTL_S = 3600


class BoundedLabels:
    """Bounds the number of time series with distinct label values.

    At most 256 new label values an hour get their own series; the others share
    `OTHER`, so that 2,200 organisations do not fill a host's memory. A label
    value counts for an hour after it was admitted, but its series stays.
    """

    def __init__(self):
        self._tracked: cachetools.TTLCache = cachetools.TTLCache(
            _MAX_SERIES, ttl=_SERIES_TTL_S
        )

    def admit(self, key: Hashable) -> bool:
        """Returns whether a label value, or a tuple, gets its own series."""
        if key in self._tracked:
            return True
        if len(self._tracked) >= _MAX_SERIES:
            return False
        self._tracked[key] = True
        return True


class MetricSet:
    """Metrics of one program, under one prefix.

    Attributes:
        registry: The registry of the metrics.
        buckets: Upper bounds of the histogram buckets, in seconds.
    """

    def __init__(self, buckets: Sequence[float]):
        self.registry = prometheus_client.CollectorRegistry()
        self.buckets = buckets

    def render(self) -> bytes:
        """Returns all metrics in the Prometheus text format."""
        return prometheus_client.generate_latest(self.registry)

    def counter(
        self, name: str, text: str, labels: Sequence[str]
    ) -> prometheus_client.Counter:
        """Returns a new counter."""
        return prometheus_client.Counter(
            _PREFIX + name, text, labels, registry=self.registry
        )

    def gauge(
        self, name: str, text: str, labels: Sequence[str] = ()
    ) -> prometheus_client.Gauge:
        """Returns a new gauge."""
        return prometheus_client.Gauge(
            _PREFIX + name, text, labels, registry=self.registry
        )

    def histogram(
        self,
        name: str,
        text: str,
        labels: Sequence[str],
        buckets: Sequence[float] = (),
    ) -> prometheus_client.Histogram:
        """Returns a new histogram, of seconds unless buckets are given."""
        return prometheus_client.Histogram(
            _PREFIX + name,
            text,
            labels,
            buckets=buckets or self.buckets,
            registry=self.registry,
        )
