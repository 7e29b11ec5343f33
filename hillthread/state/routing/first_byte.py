"""Estimates when an engine begins its answer to a prompt.

The estimate adds the prefill of the prompts queued before it, the transfer of
cached parts from a KV cache store, and the prefill of all other parts.
"""

from __future__ import annotations

from typing import NamedTuple

__all__ = ["Estimate", "PromptNeeds", "estimate"]


class PromptNeeds(NamedTuple):
    """Work that a prompt causes on one engine.

    Attributes:
        shared_tokens: Tokens in parts shared with other prompts.
        unshared_tokens: Tokens in the part that only this prompt has.
        cached_tokens: Tokens of the shared parts that the engine has cached.
        fetch_tokens_per_s: Rate at which a KV cache store delivers the other
            shared tokens; 0 when no store has them.
    """

    shared_tokens: int
    unshared_tokens: int
    cached_tokens: int
    fetch_tokens_per_s: float


class Estimate(NamedTuple):
    """Parts of the expected time to the first byte.

    Attributes:
        queue_s: Prefill of the queued prompts, in seconds.
        fetch_s: Transfer of shared parts from a store, in seconds.
        prefill_s: Prefill of the parts that are neither cached nor fetched,
            in seconds.
        prefill_tokens: Tokens of those parts.
        missing_tokens: Tokens of the shared parts that the engine has not
            cached.
        backlog_s: Prefill of all prompts queued there, also of less urgent
            ones, in seconds.
        base_s: Time that does not depend on the prompt, in seconds.
    """

    queue_s: float
    fetch_s: float
    prefill_s: float
    prefill_tokens: int
    missing_tokens: int
    backlog_s: float = 0.0
    base_s: float = 0.0

    @property
    def total_s(self) -> float:
        """Total time to the first byte, in seconds."""
        return self.queue_s + self.fetch_s + self.base_s + self.prefill_s


def estimate(
    needs: PromptNeeds,
    queued_tokens: float,
    prefill_tokens_per_s: float,
    backlog_tokens: float = 0.0,
    base_s: float = 0.0,
) -> Estimate:
    """Returns the expected time to the first byte.

    Args:
        needs: Work that the prompt causes on the engine.
        queued_tokens: Prefill tokens queued before the prompt.
        prefill_tokens_per_s: Prefill rate of the engine.
        backlog_tokens: Prefill tokens of all prompts queued there.
        base_s: Time that does not depend on the prompt, in seconds.
    """
    missing = needs.shared_tokens - needs.cached_tokens
    computed_tokens = needs.unshared_tokens + missing
    fetch_s = 0.0
    if missing and needs.fetch_tokens_per_s > prefill_tokens_per_s:
        computed_tokens = needs.unshared_tokens
        fetch_s = missing / needs.fetch_tokens_per_s
    return Estimate(
        queued_tokens / prefill_tokens_per_s,
        fetch_s,
        computed_tokens / prefill_tokens_per_s,
        computed_tokens,
        missing,
        backlog_tokens / prefill_tokens_per_s,
        base_s,
    )
