"""Traces of both users' shapes, the same for the same seed."""

from __future__ import annotations

import itertools
import random
from typing import NamedTuple

from hillthread import errors

__all__ = ["SHAPES", "Arrival", "Shape", "make_trace", "prefix_tokens"]

CHARACTERS_PER_TOKEN = 4
_ZIPF_EXPONENT = 1.1
_BURST_SPREAD_S = 1.0


class Shape(NamedTuple):
    """What a user's traffic looks like.

    Attributes:
        contexts: Contexts of each organisation, the largest first.
        preamble_tokens: Prefix shared by an organisation.
        context_tokens: Prefix shared by a pipeline or region.
        request_tokens: Mean length of what no other prompt shares.
        answer_tokens: Mean length of an answer.
        rate: Requests a second outside bursts.
        burst_every_s: Mean time between bursts on one context.
        burst_size: Mean requests in a burst.
        shift_every_s: Mean time between shifts of what is hot.
        recompute_weight: The user's policy.
    """

    contexts: tuple[int, ...]
    preamble_tokens: int
    context_tokens: int
    request_tokens: int
    answer_tokens: int
    rate: float
    burst_every_s: float
    burst_size: int
    shift_every_s: float
    recompute_weight: float


class Arrival(NamedTuple):
    """One request of a trace.

    Attributes:
        at_s: Seconds from the start.
        organisation: Who asks.
        messages: Preamble, context and request.
        answer_tokens: Length of the answer.
    """

    at_s: float
    organisation: str
    messages: tuple[str, str, str]
    answer_tokens: int


SHAPES = {
    "prairie": Shape(
        contexts=(80, 60, 40, 24, 16, 10, 6, 4),
        preamble_tokens=1000,
        context_tokens=3000,
        request_tokens=150,
        answer_tokens=60,
        rate=10.0,
        burst_every_s=6.0,
        burst_size=24,
        shift_every_s=30.0,
        recompute_weight=2.0,
    ),
    "wetterwerk": Shape(
        contexts=(60, 50, 40, 30, 20, 16, 14, 10),
        preamble_tokens=600,
        context_tokens=2200,
        request_tokens=250,
        answer_tokens=90,
        rate=14.0,
        burst_every_s=15.0,
        burst_size=16,
        shift_every_s=20.0,
        recompute_weight=0.5,
    ),
}


class _Context(NamedTuple):
    """One context with the text all its prompts begin with."""

    organisation: str
    preamble: str
    text: str


def get_shape(workload: str) -> Shape:
    """Returns the shape of a workload.

    Raises:
        SettingsError: There is no such workload.
    """
    if workload not in SHAPES:
        raise errors.SettingsError(
            f"There is no workload {workload!r}.",
            f"Name one of {', '.join(sorted(SHAPES))}.",
        )
    return SHAPES[workload]


def prefix_tokens(shape: Shape) -> int:
    """Returns the tokens of all prefixes of a shape."""
    preambles = len(shape.contexts) * shape.preamble_tokens
    return preambles + sum(shape.contexts) * shape.context_tokens


def make_trace(shape: Shape, seed: int, duration_s: float) -> list[Arrival]:
    """Returns the arrivals of a trace in the order of time."""
    chooser = random.Random(seed)
    contexts = _make_contexts(shape, chooser)
    weights = _zipf_weights(len(contexts))
    arrivals = _steady(shape, chooser, contexts, weights, duration_s)
    arrivals += _bursts(shape, chooser, contexts, duration_s)
    return sorted(arrivals, key=lambda arrival: arrival.at_s)


def _make_contexts(shape: Shape, chooser: random.Random) -> list[_Context]:
    contexts = []
    for number, count in enumerate(shape.contexts):
        preamble = _text(chooser, shape.preamble_tokens)
        contexts += [
            _Context(
                f"org{number}", preamble, _text(chooser, shape.context_tokens)
            )
            for _ in range(count)
        ]
    chooser.shuffle(contexts)
    return contexts


def _zipf_weights(count: int) -> list[float]:
    return [1.0 / (rank + 1) ** _ZIPF_EXPONENT for rank in range(count)]


def _steady(
    shape: Shape,
    chooser: random.Random,
    contexts: list[_Context],
    weights: list[float],
    duration_s: float,
) -> list[Arrival]:
    ranked = list(contexts)
    cumulative = list(itertools.accumulate(weights))
    shift_at = chooser.expovariate(1.0 / shape.shift_every_s)
    arrivals = []
    at_s = 0.0
    while True:
        at_s += chooser.expovariate(shape.rate)
        if at_s >= duration_s:
            return arrivals
        if at_s > shift_at:
            chooser.shuffle(ranked)
            shift_at = at_s + chooser.expovariate(1.0 / shape.shift_every_s)
        context = chooser.choices(ranked, cum_weights=cumulative)[0]
        arrivals.append(_arrival(shape, chooser, context, at_s))


def _bursts(
    shape: Shape,
    chooser: random.Random,
    contexts: list[_Context],
    duration_s: float,
) -> list[Arrival]:
    arrivals = []
    at_s = chooser.expovariate(1.0 / shape.burst_every_s)
    while at_s < duration_s:
        context = chooser.choice(contexts)
        for _ in range(chooser.randint(1, 2 * shape.burst_size)):
            moment = at_s + chooser.uniform(0, _BURST_SPREAD_S)
            arrivals.append(_arrival(shape, chooser, context, moment))
        at_s += chooser.expovariate(1.0 / shape.burst_every_s)
    return arrivals


def _arrival(
    shape: Shape, chooser: random.Random, context: _Context, at_s: float
) -> Arrival:
    request = _text(chooser, chooser.randint(1, 2 * shape.request_tokens))
    answer = chooser.randint(1, 2 * shape.answer_tokens)
    messages = (context.preamble, context.text, request)
    return Arrival(at_s, context.organisation, messages, answer)


def _text(chooser: random.Random, tokens: int) -> str:
    return chooser.randbytes(tokens * CHARACTERS_PER_TOKEN // 2).hex()
