"""When an engine is expected to begin its answer to a prompt.

Three things take time: the prompts that wait there already, the parts of this
one that come from a store of KV cache, and those that the engine has to read.
"""

from __future__ import annotations

from typing import NamedTuple

__all__ = ["Estimate", "PromptNeeds", "estimate"]


class PromptNeeds(NamedTuple):
    """What a prompt asks of one engine.

    Attributes:
        shared_tokens: Of the parts that other prompts share.
        own_tokens: Of the part that is its own.
        kept_tokens: Of the shared parts, kept by the engine.
        fetch_tokens_per_s: How fast the others come from a store of KV cache;
            0 when none has them.
    """

    shared_tokens: int
    unshared_tokens: int
    cached_tokens: int
    fetch_tokens_per_s: float


class Estimate(NamedTuple):
    """The expected time to the first byte, by what takes it.

    Attributes:
        queue_s: Until what waits there is read.
        fetch_s: To fetch shared parts.
        read_s: To read what is neither kept nor fetched.
        read_tokens: How many tokens that are.
        missing_tokens: Of the shared parts, not kept by the engine.
    """

    queue_s: float
    fetch_s: float
    prefill_s: float
    prefill_tokens: int
    missing_tokens: int

    @property
    def total_s(self) -> float:
        """Seconds to the first byte."""
        return self.queue_s + self.fetch_s + self.prefill_s


def estimate(
    needs: PromptNeeds, queued_tokens: float, read_tokens_per_s: float
) -> Estimate:
    """Returns the expected time to the first byte.

    Args:
        needs: What the prompt asks of the engine.
        queued_tokens: To be read there before it.
        read_tokens_per_s: How fast the engine reads.
    """
    missing = needs.shared_tokens - needs.cached_tokens
    read = needs.unshared_tokens + missing
    fetch_s = 0.0
    if missing and needs.fetch_tokens_per_s > read_tokens_per_s:
        read = needs.unshared_tokens
        fetch_s = missing / needs.fetch_tokens_per_s
    return Estimate(
        queued_tokens / read_tokens_per_s,
        fetch_s,
        read / read_tokens_per_s,
        read,
        missing,
    )
