"""Recent use of engines by organisation and urgency, as this host sent it.

All values fade exponentially, so that a burst counts for some seconds only.
They are stored relative to one reference time: fading then needs no pass over
the organisations, of which there may be thousands.
"""

from __future__ import annotations

import collections
import math

from hillthread.state.scheduling import urgency as urgency_lib

__all__ = ["RecentUse"]

# Time constant of the use, in seconds. Contention lasts for some seconds; in
# less time a host of 60 sees too few prompts to tell organisations apart.
_FADE_S = 5.0
# An organisation counts as active for this time after its last prompt. Within
# it, most organisations with one prompt in 5 s on this host appear.
_ACTIVE_S = 10.0
# Use above this multiple of the equal share counts as above the fair share. At
# one prompt in 5 s, 8% of organisations with equal rates exceed twice their
# rate by chance, and 26% the rate itself.
_MAX_SHARE_FACTOR = 2.0
# Bounds the memory: about twice the largest number of organisations.
_MAX_ENTRIES = 4_400
# Stored values grow with exp(age of the reference); a float holds exp(700).
_MAX_EXPONENT = 50.0


class RecentUse:
    """Recent prefill that was sent on time, by organisation and urgency.

    Attributes:
        reference_at: Time to which stored values refer, in seconds.
        used: Seconds of prefill by urgency and organisation. The keys are in
            the order of the last prompt.
        last_at: Time of the last prompt, by the same keys.
        used_by_urgency: Sum over the organisations, by urgency.
        active: Number of active organisations, by urgency.
    """

    def __init__(self):
        self.reference_at = 0.0
        self.used: collections.OrderedDict[tuple[int, str], float] = (
            collections.OrderedDict()
        )
        self.last_at: dict[tuple[int, str], float] = {}
        self.used_by_urgency = [0.0] * (urgency_lib.LEAST_URGENT + 1)
        self.active: collections.Counter[int] = collections.Counter()

    def note_prompt(self, urgency: int, organisation: str, now: float) -> None:
        """Records that an organisation is active, before its prompt is sent."""
        self._expire(now)
        key = (urgency, organisation)
        if key not in self.used:
            self.active[urgency] += 1
        self.used[key] = self.used.get(key, 0.0)
        self.used.move_to_end(key)
        self.last_at[key] = now
        if len(self.used) > _MAX_ENTRIES:
            self._remove(next(iter(self.used)))

    def add(
        self, urgency: int, organisation: str, prefill_s: float, now: float
    ) -> None:
        """Adds the prefill of a prompt that is sent and not deferred."""
        self.note_prompt(urgency, organisation, now)
        scaled = max(0.0, prefill_s) / self._fade(now)
        self.used[urgency, organisation] += scaled
        self.used_by_urgency[urgency] += scaled

    def is_above_fair_share(
        self, urgency: int, organisation: str, now: float
    ) -> bool:
        """Returns whether an organisation uses more than its fair share.

        All active organisations of an urgency have equal weights.
        """
        self._expire(now)
        used = self.used.get((urgency, organisation), 0.0)
        count = max(1, self.active[urgency])
        share = self.used_by_urgency[urgency] / count
        return used > _MAX_SHARE_FACTOR * share

    def prefill_rate(self, urgency_below: int, now: float) -> float:
        """Returns the seconds of prefill sent in a second.

        Args:
            urgency_below: Only prompts more urgent than this count.
            now: Time in seconds.
        """
        self._expire(now)
        used = sum(self.used_by_urgency[: max(0, urgency_below)])
        return max(0.0, used) * self._fade(now) / _FADE_S

    def _fade(self, now: float) -> float:
        """Returns the factor from stored values to values at a time."""
        return math.exp((self.reference_at - now) / _FADE_S)

    def _expire(self, now: float) -> None:
        """Removes inactive organisations and renews the reference time.

        After a clock jump, forward or back, the reference follows it.
        """
        while self.used:
            key = next(iter(self.used))
            if now - self.last_at[key] <= _ACTIVE_S:
                break
            self._remove(key)
        age = (now - self.reference_at) / _FADE_S
        if 0.0 <= age <= _MAX_EXPONENT:
            return
        factor = math.exp(-min(age, _MAX_EXPONENT)) if age > 0.0 else 1.0
        self.reference_at = now
        for key in self.used:
            self.used[key] *= factor
            self.last_at[key] = min(now, self.last_at[key])
        self.used_by_urgency = [x * factor for x in self.used_by_urgency]

    def _remove(self, key: tuple[int, str]) -> None:
        urgency = key[0]
        self.used_by_urgency[urgency] -= self.used.pop(key)
        del self.last_at[key]
        self.active[urgency] -= 1
        if not self.active[urgency]:
            # Clears what rounding has left.
            self.used_by_urgency[urgency] = 0.0
