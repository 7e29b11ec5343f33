"""Load metrics and cache events of an engine stand-in, delayed and lossy."""

from __future__ import annotations

import collections
import time
from typing import Any
from typing import NamedTuple

import prometheus_client

from hillthread.protocol import engine as engine_protocol
from hillthread.standin import engine_model

__all__ = ["Telemetry"]

_BLOCK_TOKENS = 16
_MAX_LOADS = 512
_MAX_EVENTS = 65_536


class _Load(NamedTuple):
    """A load sample."""

    at: float
    running: int
    waiting: int
    prompt_tokens: int
    hit_tokens: int
    generated_tokens: int


class _RecordedEvent(NamedTuple):
    """A cache event with its time and sequence number."""

    at: float
    sequence: int
    event: engine_model.CacheEvent


class Telemetry:
    """The history of one engine's load and cache events.

    Attributes:
        load_lag_s: Age of the reported load.
        event_lag_s: Age at which cache events are reported.
        loss_every: Drops every n-th event; 0 drops none.
    """

    def __init__(
        self,
        model: engine_model.EngineModel,
        load_lag_s: float,
        event_lag_s: float,
        loss_every: int,
    ):
        self.model = model
        self.load_lag_s = load_lag_s
        self.event_lag_s = event_lag_s
        self.loss_every = loss_every
        self.loads: collections.deque[_Load] = collections.deque(
            maxlen=_MAX_LOADS
        )
        self.events: collections.deque[_RecordedEvent] = collections.deque(
            maxlen=_MAX_EVENTS
        )
        self.sequence = 0

    def record_load(self) -> None:
        """Records the current load."""
        model = self.model
        self.loads.append(
            _Load(
                time.monotonic(),
                len(model.running),
                len(model.waiting),
                model.prompt_tokens,
                model.hit_tokens,
                model.generated_tokens,
            )
        )

    def record_events(self) -> None:
        """Records the cache events since the last call, except dropped ones."""
        now = time.monotonic()
        for event in self.model.drain_events():
            self.sequence += 1
            if self.loss_every and self.sequence % self.loss_every == 0:
                continue
            self.events.append(_RecordedEvent(now, self.sequence, event))

    def events_since(self, start: int) -> list[dict[str, Any]]:
        """Returns the reportable events from sequence number `start` on."""
        due = time.monotonic() - self.event_lag_s
        return [
            {
                "seq": recorded.sequence,
                "type": recorded.event.kind,
                "block": recorded.event.block,
            }
            for recorded in self.events
            if recorded.sequence >= start and recorded.at <= due
        ]

    def metrics_page(self) -> bytes:
        """Returns the metrics page with the load of `load_lag_s` ago."""
        load = self._delayed_load()
        registry = prometheus_client.CollectorRegistry()
        for name, value in (
            (engine_protocol.METRIC_RUNNING, load.running),
            (engine_protocol.METRIC_WAITING, load.waiting),
        ):
            prometheus_client.Gauge(name, name, registry=registry).set(value)
        for name, value in (
            (engine_protocol.METRIC_PROMPT_TOKENS, load.prompt_tokens),
            (engine_protocol.METRIC_CACHED_TOKENS, load.hit_tokens),
            (engine_protocol.METRIC_GENERATED_TOKENS, load.generated_tokens),
        ):
            counter = prometheus_client.Counter(name, name, registry=registry)
            counter.inc(value)
        info = prometheus_client.Info(
            engine_protocol.METRIC_CACHE_CONFIG.removesuffix("_info"),
            "Cache sizes.",
            registry=registry,
        )
        info.info(
            {
                "block_size": str(_BLOCK_TOKENS),
                "num_gpu_blocks": str(self.model.shape.cache_blocks),
            }
        )
        return prometheus_client.generate_latest(registry)

    def _delayed_load(self) -> _Load:
        due = time.monotonic() - self.load_lag_s
        reported = _Load(0.0, 0, 0, 0, 0, 0)
        for load in self.loads:
            if load.at > due:
                break
            reported = load
        return reported
