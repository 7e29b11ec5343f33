"""Names and formats of the engine protocol, after published conventions.

`X-Request-Id`, `cache_salt`, `priority`, `stream_options.include_usage`,
`continue_final_message` and the metric names are those of widely used engines;
`id:` and `Last-Event-ID` are those of server-sent events. docs/PROTOCOLS.md
is the specification.
"""

from __future__ import annotations

import hashlib
from typing import Any
from typing import NamedTuple

import msgspec
from prometheus_client import parser

from hillthread.state.routing import load
from hillthread.state.routing import warmth

__all__ = [
    "AnswerUsage",
    "cache_salt",
    "decode_usage",
    "parse_epoch",
    "parse_metrics",
]

REQUEST_ID = "x-request-id"
INCARNATION = "x-engine-incarnation"
WEIGHTS_VERSION = "x-weights-version"
EXPECT_WEIGHTS = "x-expect-weights"
EXPECT_INCARNATION = "x-expect-incarnation"
LEAVING = "x-engine-leaving"
LAST_EVENT_ID = "last-event-id"
STREAMS_PATH = "/v1/streams/"
EVENTS_PATH = "/v1/cache/events"
ORDERS_PATH = "/v1/orders"
DONE = b"[DONE]"

METRIC_RUNNING = "vllm:num_requests_running"
METRIC_WAITING = "vllm:num_requests_waiting"
METRIC_PROMPT_TOKENS = "vllm:prompt_tokens"
METRIC_CACHED_TOKENS = "vllm:prefix_cache_hits"
METRIC_GENERATED_TOKENS = "vllm:generation_tokens"
METRIC_CACHE_CONFIG = "vllm:cache_config_info"


class AnswerUsage(NamedTuple):
    """The usage that an engine reports at the end of an answer.

    Attributes:
        prompt_tokens: Length of the prompt.
        completion_tokens: Length of the answer.
        cached_tokens: Prompt tokens found in the cache; None if not reported.
    """

    prompt_tokens: int
    completion_tokens: int
    cached_tokens: int | None


class _PromptTokensDetails(msgspec.Struct):
    cached_tokens: int | None = None


class _Usage(msgspec.Struct):
    prompt_tokens: int = 0
    completion_tokens: int = 0
    prompt_tokens_details: _PromptTokensDetails | None = None


class _Answer(msgspec.Struct):
    usage: _Usage | None = None


_answer_decoder = msgspec.json.Decoder(_Answer)


def cache_salt(organisation: str, secret: str) -> str:
    """Returns the salt that separates an organisation's cache from others."""
    digest = hashlib.blake2b(
        organisation.encode(), digest_size=16, key=secret.encode()[:64]
    )
    return digest.hexdigest()


def decode_usage(data: bytes) -> AnswerUsage | None:
    """Returns the usage in an answer or chunk, or None without one."""
    try:
        usage = _answer_decoder.decode(data).usage
    except msgspec.DecodeError:
        return None
    if usage is None:
        return None
    details = usage.prompt_tokens_details
    cached = details.cached_tokens if details else None
    return AnswerUsage(usage.prompt_tokens, usage.completion_tokens, cached)


def parse_epoch(headers: Any) -> warmth.CacheEpoch:
    """Returns the cache epoch in the headers of an engine's answer."""
    return warmth.CacheEpoch(
        headers.get(INCARNATION, ""), headers.get(WEIGHTS_VERSION, "")
    )


def parse_metrics(text: str, now: float) -> load.LoadReport:
    """Returns the load in an engine's metrics page.

    Args:
        text: The page in the Prometheus text format.
        now: Time at which it was read, seconds.

    Raises:
        ValueError: The page is not in the Prometheus text format.
    """
    values: dict[str, float] = {}
    cache_tokens = 0
    for family in parser.text_string_to_metric_families(text):
        for sample in family.samples:
            values[family.name] = values.get(family.name, 0) + sample.value
            if family.name.startswith(METRIC_CACHE_CONFIG):
                cache_tokens = _parse_cache_tokens(sample.labels)
    computed = values.get(METRIC_PROMPT_TOKENS, 0.0)
    computed -= values.get(METRIC_CACHED_TOKENS, 0.0)
    computed += values.get(METRIC_GENERATED_TOKENS, 0.0)
    return load.LoadReport(
        now,
        int(values.get(METRIC_RUNNING, 0)),
        int(values.get(METRIC_WAITING, 0)),
        computed,
        cache_tokens,
    )


def _parse_cache_tokens(labels: dict[str, str]) -> int:
    blocks = int(labels.get("num_gpu_blocks", 0))
    return blocks * int(labels.get("block_size", 0))
