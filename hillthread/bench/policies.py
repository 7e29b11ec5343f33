"""Policies that hillthread is compared with, in the place of its decision."""

from __future__ import annotations

import abc
from collections.abc import Sequence

from hillthread.standin import engine_model
from hillthread.state.routing import decision as decision_lib
from hillthread.state.routing import placement

__all__ = ["LeastLoaded", "Oracle", "Policy", "PrefixHash", "RoundRobin"]

_CROWDED_S = 1.0


class Policy(abc.ABC):
    """A policy that picks one of the eligible targets."""

    def __call__(
        self,
        query: decision_lib.Query,
        candidates: Sequence[decision_lib.Candidate],
        now: float,
    ) -> decision_lib.Decision:
        """See `decision.decide`."""
        del now
        eligible = [each for each in candidates if each.exclusion is None]
        return make_decision(query, self.pick(query, eligible))

    @abc.abstractmethod
    def pick(
        self,
        query: decision_lib.Query,
        eligible: Sequence[decision_lib.Candidate],
    ) -> decision_lib.Candidate:
        """Returns one of the eligible targets, of which there is one."""


class RoundRobin(Policy):
    """Each request to the next target."""

    def __init__(self):
        self.number = 0

    def pick(
        self,
        query: decision_lib.Query,
        eligible: Sequence[decision_lib.Candidate],
    ) -> decision_lib.Candidate:
        """See the base class."""
        self.number += 1
        return eligible[self.number % len(eligible)]


class LeastLoaded(Policy):
    """The target with the fewest requests, as reported and sent since."""

    def pick(
        self,
        query: decision_lib.Query,
        eligible: Sequence[decision_lib.Candidate],
    ) -> decision_lib.Candidate:
        """See the base class."""
        return min(eligible, key=lambda each: each.load.count_requests())


class PrefixHash(Policy):
    """Rendezvous hashing of the shared prefix, and nothing else."""

    def pick(
        self,
        query: decision_lib.Query,
        eligible: Sequence[decision_lib.Candidate],
    ) -> decision_lib.Candidate:
        """See the base class."""
        names = [each.name for each in eligible]
        first = placement.rank_by_rendezvous(query.affinity, names)[0]
        return eligible[names.index(first)]


class Oracle(Policy):
    """Weighs the same cost, with every cache and queue seen exactly.

    Attributes:
        engines: The engine models by target name, as they are now.
        blocks: Block hashes of the prompt being decided.
    """

    def __init__(self, engines: dict[str, engine_model.EngineModel]):
        self.engines = engines
        self.blocks: list[int] = []

    def pick(
        self,
        query: decision_lib.Query,
        eligible: Sequence[decision_lib.Candidate],
    ) -> decision_lib.Candidate:
        """See the base class."""
        return min(
            eligible,
            key=lambda each: self._cost(self.engines[each.name], query),
        )

    def _cost(
        self, engine: engine_model.EngineModel, query: decision_lib.Query
    ) -> float:
        shape = engine.shape
        token_s = shape.prefill_token_s + shape.step_s / shape.batch_tokens
        queued = sum(
            max(0, job.prompt_tokens - job.computed) for job in engine.running
        )
        coming: set[int] = set()
        for job in engine.running:
            coming.update(job.blocks)
        for job in engine.waiting:
            missing = _missing(engine, job.blocks, coming)
            queued += missing * shape.block_tokens
            coming.update(job.blocks)
        missing = _missing(engine, self.blocks, coming) * shape.block_tokens
        queue_s = queued * token_s
        if len(engine.running) >= shape.max_running:
            queue_s += _CROWDED_S
        return queue_s + missing * token_s * (1 + query.recompute_weight)


def _missing(
    engine: engine_model.EngineModel, blocks: list[int], coming: set[int]
) -> int:
    """Returns leading blocks neither cached nor about to be."""
    count = engine.cached_prefix(blocks)
    while count < len(blocks) and blocks[count] in coming:
        count += 1
    return len(blocks) - count


def make_decision(
    query: decision_lib.Query, chosen: decision_lib.Candidate
) -> decision_lib.Decision:
    """Returns a decision for a target without scores."""
    score = decision_lib.Score(chosen.name, None)
    return decision_lib.Decision(
        chosen.name,
        decision_lib.Reason.LEAST_COST,
        (score,),
        float(query.prompt_tokens),
        0.0,
    )
