"""The metrics of a gateway: counters, gauges and histograms."""

from __future__ import annotations

import prometheus_client

from hillthread.coordination import metric_set

__all__ = ["GatewayMetrics"]

_SECONDS = (0.05, 0.1, 0.2, 0.3, 0.4, 0.6, 1.0, 2.0, 4.0, 15.0)
# Bounds of the error of an estimate: within 15% it is as good as intended, from
# a factor of 2 on it leads to wrong choices.
_RATIOS = (0.25, 0.5, 0.7, 0.85, 1.0, 1.15, 1.4, 2.0, 4.0, 8.0)
_LOOKUP_SECONDS = (0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.15)


class GatewayMetrics(metric_set.MetricSet):
    """All metrics of a gateway."""

    def __init__(self):
        super().__init__(_SECONDS)
        self._create_target_gauges()
        self.requests = self.counter(
            "requests", "Requests by outcome and code.", ["outcome", "code"]
        )
        self.attempts = self.counter(
            "attempts", "Attempts by outcome.", ["outcome"]
        )
        self.answers = self.counter(
            "answers",
            "Answers of targets, by what marks the end of their body.",
            ["framing"],
        )
        self.choices = self.counter(
            "choices", "Targets chosen, by reason.", ["reason"]
        )
        self.scheduled = self.counter(
            "scheduled",
            "Prompts by decision and by their urgency before it.",
            ["decision", "urgency"],
        )
        self.retries = self.counter(
            "retries", "Attempts after the first, by reason.", ["reason"]
        )
        self.retries_denied = self.counter(
            "retries_denied",
            "Attempts not made because the retry budget was exhausted.",
            ["pool"],
        )
        self.quarantined = self.counter(
            "quarantined",
            "Requests quarantined because targets crashed under them.",
            [],
        )
        self.quarantined_parts = self.counter(
            "quarantined_parts",
            "Requests refused for a part of their prompt, by verdict.",
            ["verdict"],
        )
        self.suspects = self.gauge(
            "suspects", "Requests under which targets crashed."
        )
        self.limit_skips = self.counter(
            "limit_passes",
            "Requests not sent to the target chosen, because of its limit.",
            [],
        )
        self.quota_refused = self.counter(
            "quota_refused",
            "Requests refused because a tenant's quota was exhausted.",
            ["tenant"],
        )
        self.resumes = self.counter("resumes", "Streams resumed.", [])
        self.streams_bound = self.counter(
            "streams_bound",
            "Streams begun that only one release of targets may continue.",
            [],
        )
        self.reconnects = self.counter(
            "reconnects",
            "Streams that callers tried to resume, by result.",
            ["result"],
        )
        self.stream_records = self.gauge(
            "stream_records", "Records of streams that this host keeps."
        )
        self.journal_records = self.counter(
            "journal_records",
            "Records of streams for the journal, written or dropped.",
            ["result"],
        )
        self.journal_reads = self.counter(
            "journal_reads", "Reads of the journal of streams.", ["result"]
        )
        self.stream_lookups = self.histogram(
            "stream_lookup_seconds",
            "Duration of lookups of streams at other hosts, by result.",
            ["result"],
            _LOOKUP_SECONDS,
        )
        self.forwarded = self.counter(
            "forwarded",
            "Requests sent to another host, by that host and outcome.",
            ["host", "outcome"],
        )
        self.received_forwarded = self.counter(
            "received_forwarded",
            "Requests that another host has forwarded, by outcome.",
            ["outcome"],
        )
        self.mismatches = self.counter(
            "mismatches", "Attempts lost or broken, by reason.", ["check"]
        )
        self.unknown_headers = self.counter(
            "unknown_headers",
            "Unknown headers in answers of targets.",
            ["header"],
        )
        self.bad_requests = self.counter(
            "bad_requests", "Requests that could not be read.", ["status"]
        )
        self.bad_records = self.counter(
            "bad_records", "Records that could not be read.", ["kind"]
        )
        self.store_calls = self.counter(
            "store_calls",
            "Reads from the store or from other hosts, by topic and outcome.",
            ["call", "outcome"],
        )
        self.orders = self.counter("orders", "Orders given.", ["outcome"])
        self.loads = self.counter(
            "loads", "Loads of weights, by outcome.", ["outcome"]
        )
        self.outdated_weights_choices = self.counter(
            "old_weights_choices",
            "Targets chosen with outdated weights, by grace.",
            ["grace"],
        )
        self.inflight = self.gauge("inflight", "Requests being served.")
        self.buffered_bytes = self.gauge(
            "buffered_bytes",
            "Bytes that callers have not read, request bodies being sent, and "
            "answers being read as a whole.",
        )
        self.slow_callers_cut = self.counter(
            "slow_callers_cut",
            "Callers disconnected because buffers reached their bound.",
            [],
        )
        self.configuration_version = self.gauge(
            "configuration_version", "Version of the configuration in force."
        )
        self.store_age = self.gauge(
            "store_age_seconds", "Seconds since the last confirmed read."
        )
        self.store_era = self.gauge(
            "store_era", "Era of the store, once it has been restored."
        )
        self.start_seconds = self.gauge(
            "start_seconds",
            "Time from the end of loading to a stage of the start.",
            ["stage"],
        )
        self.start_processor_seconds = self.gauge(
            "start_processor_seconds",
            "Processor time used until a stage of the start.",
            ["stage"],
        )
        self.ready = self.gauge("ready", "Whether the host is ready.")
        self.holds_lease = self.gauge(
            "holds_lease", "Whether this host may give orders."
        )
        self.store_seconds = self.histogram(
            "store_seconds", "Duration of calls to the store.", ["call"]
        )
        self.first_byte = self.histogram(
            "first_byte_seconds",
            "From a request's arrival to the first byte of its answer.",
            ["tenant", "route"],
        )
        self.first_byte_ratio = self.histogram(
            "first_byte_ratio",
            "Time to the first byte of prompts, seen / expected, by pool.",
            ["pool"],
            _RATIOS,
        )
        self.answer_time = self.histogram(
            "answer_seconds",
            "From a request's arrival to the end of its answer.",
            ["route"],
        )
        self._labels = metric_set.BoundedLabels()

    def _create_target_gauges(self) -> None:
        self.bad_answers = self.gauge(
            "target_bad_answers",
            "Bytes from targets that were no valid answer, by fault.",
            ["fault"],
        )
        self.targets = self.gauge("targets", "Known targets.")
        self.leaving = self.gauge(
            "targets_leaving", "Listed targets that announced a departure."
        )
        self.backing_off = self.gauge(
            "targets_backing_off", "Targets that shed load and request a pause."
        )
        self.brittle_targets = self.gauge(
            "targets_brittle",
            "Targets that crash if they refuse too many requests.",
        )
        self.unreachable = self.gauge(
            "targets_unreachable", "Targets that this host cannot reach."
        )
        self.links_lost = self.gauge(
            "links_lost", "Whether this host can reach no target at all."
        )
        self.limited_targets = self.gauge(
            "targets_limited", "Targets that announced a limit of requests."
        )
        self.connections = self.gauge(
            "target_connections_opened", "Connections opened to targets."
        )
        self.outdated_targets = self.gauge(
            "targets_behind", "Targets with outdated weights."
        )

    def count_quota_refusal(self, tenant: str) -> None:
        """Counts a request that was refused by its tenant's quota."""
        if not self._labels.admit((tenant, "")):
            tenant = metric_set.OTHER
        self.quota_refused.labels(tenant).inc()

    def count_forwarded(self, host: str, outcome: str) -> None:
        """Counts a request that was sent to another host."""
        if not self._labels.admit(("host", host)):
            host = metric_set.OTHER
        self.forwarded.labels(host, outcome).inc()

    def observe_stream_lookup(self, result: str, seconds: float) -> None:
        """Records the duration of a lookup of a stream."""
        self.stream_lookups.labels(result).observe(seconds)

    def observe_first_byte(
        self, tenant: str, route: str, seconds: float
    ) -> None:
        """Records the time to a first byte."""
        if not self._labels.admit((tenant, route)):
            tenant = route = metric_set.OTHER
        self.first_byte.labels(tenant, route).observe(seconds)

    def observe_first_byte_ratio(
        self, pool: str, seconds: float, expected_s: float
    ) -> None:
        """Records how a time to a first byte compares with its estimate."""
        if expected_s <= 0.0:
            return
        if not self._labels.admit(("pool", pool)):
            pool = metric_set.OTHER
        self.first_byte_ratio.labels(pool).observe(seconds / expected_s)

    def observe_answer_time(self, route: str, seconds: float) -> None:
        """Records the time to the end of an answer."""
        if not self._labels.admit(("", route)):
            route = metric_set.OTHER
        self.answer_time.labels(route).observe(seconds)

    def count_choices(self) -> dict[str, int]:
        """Returns how many targets were chosen so far, by reason."""
        return _totals(self.choices)

    def count_store_calls(self) -> dict[str, int]:
        """Returns the number of reads of each topic so far, by outcome."""
        return _totals(self.store_calls)


def _totals(counter: prometheus_client.Counter) -> dict[str, int]:
    """Returns a counter's values, by its label values joined by spaces."""
    return {
        " ".join(sample.labels.values()): int(sample.value)
        for metric in counter.collect()
        for sample in metric.samples
        if sample.name.endswith("_total")
    }
