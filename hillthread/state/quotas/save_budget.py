"""Bounds the saves to a KV cache store that one host requests of engines.

All saves and fetches share the store's link. If every prompt that the store
lacks were saved, the link would be saturated, fetches would wait for seconds or
not start at all, and the saved blocks would go unused. A save transfers the
whole prompt, including the part that no other request shares, so when the
budget is low only prompts that are mostly shared are saved.
"""

from __future__ import annotations

__all__ = ["SaveBudget"]

# Share of the link for the saves of all hosts. A smaller share leaves more
# prefixes to be recomputed; a larger one makes fetches wait.
_LINK_SHARE = 0.65
# Unspent budget accumulates for this time, because new weights cause many saves
# at once.
_MAX_UNSPENT_S = 20.0
# Above this share of the maximum level every prompt may be saved.
_AMPLE_LEVEL_SHARE = 0.25


class SaveBudget:
    """Budget of one host for saves to one store.

    Attributes:
        level: Bytes that may be saved now; None before the first save, which
            starts at the maximum level.
    """

    def __init__(self):
        self.level: float | None = None
        self._updated_at = 0.0

    def withdraw(
        self,
        now: float,
        link_bytes_per_s: float,
        shared_bytes: float,
        prompt_bytes: float,
    ) -> bool:
        """Returns whether a prompt may be saved, and subtracts it if so.

        Args:
            now: Seconds.
            link_bytes_per_s: This host's share of the store's link.
            shared_bytes: Size of the part that other requests may share.
            prompt_bytes: Size of the whole prompt.
        """
        refill_per_s = link_bytes_per_s * _LINK_SHARE
        max_level = refill_per_s * _MAX_UNSPENT_S
        previous_level = max_level if self.level is None else self.level
        self.level = min(
            max_level, previous_level + refill_per_s * (now - self._updated_at)
        )
        self._updated_at = now
        min_shared_part = 1.0 - self.level / (max_level * _AMPLE_LEVEL_SHARE)
        if prompt_bytes <= 0.0 or shared_bytes / prompt_bytes < min_shared_part:
            return False
        self.level -= prompt_bytes
        return True
