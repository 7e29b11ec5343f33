"""Metrics of the router."""

from __future__ import annotations

from hillthread.coordination import metric_set

__all__ = ["RouterMetrics"]

_FIRST_TOKEN_BUCKETS = (0.05, 0.1, 0.2, 0.4, 0.57, 0.8, 1.2, 2.0, 5.0, 15.0)


class RouterMetrics(metric_set.MetricSet):
    """Counters, gauges and histograms of a router."""

    def __init__(self):
        super().__init__(_FIRST_TOKEN_BUCKETS)
        self.requests = self.counter(
            "requests", "Requests by outcome and code.", ["outcome", "code"]
        )
        self.attempts = self.counter(
            "attempts", "Attempts by target and state.", ["target", "state"]
        )
        self.decisions = self.counter(
            "decisions", "Decisions by reason.", ["reason"]
        )
        self.retries = self.counter("retries", "Attempts after the first.", [])
        self.resumes = self.counter(
            "resumes", "Streams resumed or continued.", ["way"]
        )
        self.mismatches = self.counter(
            "mismatches", "Answers rejected by a check.", ["check"]
        )
        self.prompt_tokens = self.counter(
            "prompt_tokens", "Prompt tokens answered.", []
        )
        self.cached_tokens = self.counter(
            "cached_tokens", "Prompt tokens found cached.", []
        )
        self.records_lost = self.counter(
            "records_lost", "Decision records dropped.", []
        )
        self.links = self.counter(
            "links", "Connections to the control process.", ["event"]
        )
        self.position = self.gauge(
            "configuration_position",
            "Log position of the configuration in force.",
        )
        self.inflight = self.gauge("inflight", "Requests being served.")
        self.first_token = self.histogram(
            "first_token_seconds",
            "From a request's arrival to its first token.",
            ["tenant"],
        )
        self._tenants = metric_set.BoundedLabels()

    def observe_first_token(self, tenant: str, seconds: float) -> None:
        """Records a time to first token."""
        if not self._tenants.admit(tenant):
            tenant = metric_set.OTHER
        self.first_token.labels(tenant).observe(seconds)
