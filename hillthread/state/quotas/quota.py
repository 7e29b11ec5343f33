"""Quotas of organisations: what all hosts together may send for each.

Over any window of some seconds an organisation may send its rate for as long
and its burst. Two things keep that, on every host, of what was sent here and
elsewhere as soon as it is known:

- A *pace*: a token bucket that earns the limit of a window in its length. What
  is asked beyond the quota is spread over the window, and not sent all at once
  and then nothing. It starts empty, which is safe whatever was sent before by a
  process that has ended.
- A *window*: what was sent in the last window, which stays below the limit.

A window alone is not enough. A host that starts again does not know when what
counts was sent; assuming it was sent evenly, 90 hosts of which a third started
again sent 6.9 million tokens where 6.1 million were allowed. Nor is a bucket of
the quota's own rate and burst: it allows an eighth less in all windows but the
first, and refuses callers whose organisation is below its quota.

A host that hears only some of the others earns, and holds, only their part: the
two sides of a cut together never send more than the whole.

The last request may go beyond what is left. If the whole of a request had to
fit, small ones would get through while large ones never do.
"""

from __future__ import annotations

import collections
from typing import NamedTuple

from hillthread.state.config import objects

__all__ = ["QuotaBounds", "QuotaWindow", "request_cost"]

# What was sent is kept by slots of this length: 80 in a window of 8 s.
_SLOT_S = 0.1
# The pace holds this part of what is allowed beyond the limit: the bursts of
# ordinary use fit in, and the rest is left for what hosts do not know yet.
_BURST_SHARE = 0.25
# It holds what is earned in this time at least, where nothing is allowed.
_LEAST_BURST_S = 0.1


class QuotaBounds(NamedTuple):
    """How quotas are judged.

    Attributes:
        window_s: Over any span of this length.
        over: What is allowed beyond the limit, as a share of it, for what
            hosts do not know of each other.
        slack: The same, in units.
    """

    window_s: float = 8.0
    overshoot_share: float = 0.0
    overshoot_units: float = 0.0


def request_cost(quota: objects.Quota, tokens: int | None) -> float:
    """Returns what a request takes out of its organisation's quota.

    Args:
        quota: The quota.
        tokens: Of its prompt and its longest answer; None when not told.
    """
    match quota.unit:
        case objects.QuotaUnit.TOKENS if tokens is not None:
            return float(tokens)
        case objects.QuotaUnit.TOKENS:
            return quota.plain_tokens
        case objects.QuotaUnit.REQUESTS:
            return 1.0


class QuotaWindow:
    """What an organisation has sent, and may send, as one host knows it.

    Attributes:
        quota: In force.
        bounds: How it is judged.
        part: Hosts in touch with this one, of all, itself included.
        used: Units sent in the last window.
        refused: Requests refused so far.
        recalls_until: Seconds; what others tell before that was sent before
            they were asked to tell.
    """

    def __init__(self, quota: objects.Quota, bounds: QuotaBounds, now: float):
        self.quota = quota
        self.bounds = bounds
        self.reachable_share = 0.0
        self.used = 0.0
        self.refused = 0
        self.past_usage_until = float("-inf")
        self._balance = 0.0
        self._updated_at = now
        self._slots: collections.deque[tuple[int, float]] = collections.deque()
        self._returns_until = now

    @property
    def limit(self) -> float:
        """Units that all hosts together may send in a window."""
        window_s = self.bounds.window_s
        return self.quota.rate_per_s * window_s + self.quota.burst

    @property
    def refill_per_s(self) -> float:
        """Units that the hosts in touch earn in a second."""
        return self.limit / self.bounds.window_s * self.reachable_share

    @property
    def capacity(self) -> float:
        """Units that the hosts in touch may send at once."""
        beyond = (
            self.limit * self.bounds.overshoot_share
            + self.bounds.overshoot_units
        )
        least = self.limit / self.bounds.window_s * _LEAST_BURST_S
        return max(beyond * _BURST_SHARE, least) * self.reachable_share

    def refresh(self, now: float, reachable_share: float) -> None:
        """Brings it up to date: so much of all hosts is in touch."""
        self.reachable_share = reachable_share
        earned = (now - self._updated_at) * self.refill_per_s
        self._updated_at = now
        self._balance = min(self.capacity, self._balance + max(0.0, earned))
        last = int((now - self.bounds.window_s) / _SLOT_S)
        while self._slots and self._slots[0][0] < last:
            self.used -= self._slots.popleft()[1]
        if not self._slots:
            self.used = 0.0  # sums of what came and went are not exact

    def remaining(self) -> float:
        """Returns what may still be sent; below 0 when it is too much."""
        return min(self._balance, self.limit - self.used)

    def is_low(self) -> bool:
        """Returns whether less than half of its capacity is left."""
        return self.remaining() < self.capacity / 2

    def spend(self, amount: float, now: float) -> None:
        """Counts what was sent, here or elsewhere; negative gives back.

        The pace owes what a window earns at most: after a window without a
        send nothing is left that could count.
        """
        balance = min(self.capacity, self._balance - amount)
        self._balance = max(-self.limit * self.reachable_share, balance)
        self.used += amount
        number = int(now / _SLOT_S)
        if self._slots and self._slots[-1][0] == number:
            amount += self._slots.pop()[1]
        self._slots.append((number, amount))

    def add_peer_usage(self, amount: float, now: float) -> None:
        """Counts what others tell that they have sent."""
        if now < self.past_usage_until:
            self.add_past_usage(amount, now)
        else:
            self.spend(amount, now)

    def add_past_usage(self, amount: float, now: float) -> None:
        """Counts what was sent during the last window, before this was kept.

        When is not known: it counts as sent evenly. The pace owes none of it.
        """
        last = int(now / _SLOT_S)
        numbers = range(int((now - self.bounds.window_s) / _SLOT_S), last + 1)
        each = amount / len(numbers)
        slots = dict(self._slots)
        for number in numbers:
            slots[number] = slots.get(number, 0.0) + each
        self._slots = collections.deque(sorted(slots.items()))
        self.used += amount

    def set_quota(self, quota: objects.Quota) -> None:
        """Takes over a changed quota; the change itself earns nothing.

        With a lower one the same share of it is used as before: what was sent
        was allowed then.
        """
        before = self.limit
        self.quota = quota
        share = self.limit / before
        if share < 1.0:
            self.used *= share
            self._slots = collections.deque(
                (number, amount * share) for number, amount in self._slots
            )
            self._balance = min(self.capacity, self._balance * share)

    def refuse(self, now: float, amount: float, hosts: int) -> float:
        """Notes a refusal; returns after how long its caller may return.

        Those refused return one after the other, as fast as this host's part
        of the quota is earned: if all came as soon as anything may be sent,
        most would be refused again.

        Args:
            now: Seconds, of the last look.
            amount: What the request would have used.
            hosts: Hosts that refuse as much as this one.
        """
        self.refused += 1
        free_at = now + max(0.0, -self.remaining()) / self.refill_per_s
        last_at = now + self.bounds.window_s
        returns_at = min(max(free_at, self._returns_until), last_at)
        own_per_s = self.limit / self.bounds.window_s / hosts
        self._returns_until = returns_at + amount / own_per_s
        return returns_at - now
