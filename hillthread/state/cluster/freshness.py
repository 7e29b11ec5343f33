"""How old what this host knows of the platform's store may be.

Only a read that came back proves anything, and only for the moment at which
the store looked. Seconds are those of `hillthread.clock`, so that a host that
was frozen or suspended finds its knowledge old as soon as it wakes.
"""

from __future__ import annotations

__all__ = ["Freshness"]

# A held read is answered after its wait by the store's clock, not ours.
_HELD_SHARE = 0.9


class Freshness:
    """The age of the last proven read.

    Attributes:
        proven_at: Seconds; everything the store took until then is known.
    """

    def __init__(self):
        self.known_until = float("-inf")

    def note_read(self, sent_at: float, held_s: float = 0.0) -> None:
        """Notes a read that came back.

        Args:
            sent_at: When it was sent, seconds.
            held_s: How long the store held it before it found nothing new.
        """
        looked_at = sent_at + held_s * _HELD_SHARE
        self.known_until = max(self.known_until, looked_at)

    def age(self, now: float) -> float:
        """Returns seconds since the last proof."""
        return now - self.known_until
