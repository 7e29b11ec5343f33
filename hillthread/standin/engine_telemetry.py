"""What an engine stand-in tells of itself: late, and with gaps."""

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
    """The load at one time."""

    at: float
    running: int
    waiting: int
    prompt_tokens: int
    hit_tokens: int
    generated_tokens: int


class _Noted(NamedTuple):
    """A cache event with when it happened and its number."""

    at: float
    sequence: int
    event: engine_model.CacheEvent


class Telemetry:
    """The history of one engine's load and cache events.

    Attributes:
        load_lag_s: Age of the load told.
        event_lag_s: Age of the cache events told.
        loss_every: Every so many events one is lost; 0 for none.
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
        self.events: collections.deque[_Noted] = collections.deque(
            maxlen=_MAX_EVENTS
        )
        self.sequence = 0

    def record_load(self) -> None:
        """Notes the load as it is now."""
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
        """Notes the cache events since the last call, but for lost ones."""
        now = time.monotonic()
        for event in self.model.drain_events():
            self.sequence += 1
            if self.loss_every and self.sequence % self.loss_every == 0:
                continue
            self.events.append(_Noted(now, self.sequence, event))

    def events_since(self, start: int) -> list[dict[str, Any]]:
        """Returns the events from number `start` on, as they are told."""
        due = time.monotonic() - self.event_lag_s
        return [
            {
                "seq": noted.sequence,
                "type": noted.event.kind,
                "block": noted.event.block,
            }
            for noted in self.events
            if noted.sequence >= start and noted.at <= due
        ]

    def metrics_page(self) -> bytes:
        """Returns the page of metrics, of a while ago."""
        load = self._told_load()
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

    def _told_load(self) -> _Load:
        due = time.monotonic() - self.load_lag_s
        told = _Load(0.0, 0, 0, 0, 0, 0)
        for load in self.loads:
            if load.at > due:
                break
            told = load
        return told
