"""Bounds what a host has engines save to a store of KV cache.

All saves and fetches pass over the store's one link. Where every prompt that
the store lacks is saved, the link is full, fetches wait for seconds or are not
begun, and what was saved is of no use. A save carries the whole prompt, also
the part that nobody shares: when there is little left, only prompts that are
mostly shared are worth it.
"""

from __future__ import annotations

__all__ = ["SaveBudget"]

# Of the link, for the saves of all hosts. These figures come from placements of
# two deployments, played against a link that carries one move after another:
# less leaves more to be computed again, more makes fetches wait.
_LINK_SHARE = 0.65
# What was not spent is kept for so long: new weights bring many saves at once.
_KEPT_S = 20.0
# Above this level everything may be saved.
_PLENTY = 0.25


class SaveBudget:
    """This host's part of the link of one store.

    Attributes:
        level: Bytes that may be saved now; None before the first save, when
            it is as much as is ever kept.
    """

    def __init__(self):
        self.level: float | None = None
        self._at = 0.0

    def withdraw(
        self, now: float, link_bytes_per_s: float, shared: float, whole: float
    ) -> bool:
        """Returns whether a prompt may be saved, and takes it off.

        Args:
            now: Seconds.
            link_bytes_per_s: This host's part of the store's link.
            shared: Bytes of the prompt that other requests may share.
            whole: Bytes of the whole prompt.
        """
        rate = link_bytes_per_s * _LINK_SHARE
        most = rate * _KEPT_S
        kept = most if self.level is None else self.level
        self.level = min(most, kept + rate * (now - self._at))
        self._at = now
        least_share = 1.0 - self.level / (most * _PLENTY)
        if whole <= 0.0 or shared / whole < least_share:
            return False
        self.level -= whole
        return True
