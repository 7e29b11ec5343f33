"""Tracks the age of this host's knowledge of the platform's store.

Only a completed read proves that a state was current, and only at the moment
when the store looked it up. Times are those of `hillthread.clock`, so that a
host that was paused or suspended finds its knowledge stale when it resumes.
"""

from __future__ import annotations

__all__ = ["Freshness"]

# Share of the requested wait that counts as held. The store measures the wait
# of a long poll by its own clock, which may run faster than this host's.
_HELD_SHARE = 0.9


class Freshness:
    """Age of the last completed read.

    Attributes:
        known_until: Time in seconds; every change that the store accepted
            before is known.
    """

    def __init__(self):
        self.known_until = float("-inf")

    def note_read(self, sent_at: float, held_s: float = 0.0) -> None:
        """Records a completed read.

        Args:
            sent_at: Time at which it was sent, in seconds.
            held_s: How long the store held it before answering that nothing
                had changed.
        """
        looked_at = sent_at + held_s * _HELD_SHARE
        self.known_until = max(self.known_until, looked_at)

    def age(self, now: float) -> float:
        """Returns the age of the known state, in seconds."""
        return now - self.known_until
