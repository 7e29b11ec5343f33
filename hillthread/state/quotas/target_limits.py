"""Rate limits that targets announce, enforced by all hosts together.

A target announces in its answers how many requests per second it accepts from
all hosts. Each host counts its requests like those of a quota
(`quota_ledger.py`) and sends none beyond the limit.

Three things differ from the quota of a tenant:

- Requests of the window before the announcement count, so hosts keep recent
  sends of all targets and report them when a limit is announced.
- The limit is a few requests per second. Every host sees a free slot at the
  same time, so most of them leave it to their peers.
- Only answers announce that a limit has changed or ended, so a target whose
  limit is zero is still probed.
"""

from __future__ import annotations

import collections
from collections.abc import Callable
import math
import random
from typing import NamedTuple

from hillthread.state.config import objects
from hillthread.state.quotas import quota as quota_lib
from hillthread.state.quotas import quota_ledger
from hillthread.state.quotas import usage_exchange

__all__ = ["LimitStatus", "TargetLimits"]

# The platform checks a limit over any window of this length, and tolerates half
# as much again and some requests more.
_WINDOW_S = 4.0
_BOUNDS = quota_lib.QuotaBounds(
    _WINDOW_S, overshoot_share=0.5, overshoot_units=5.0
)
# Minimum rate over all hosts, for targets whose limit is lower or zero.
_MIN_PROBES_PER_S = 0.25
# Time until all hosts know of a request, even if a packet is lost.
_PROPAGATION_S = 0.3
# Share of the tolerated overshoot that hosts may use before they learn of each
# other's requests.
_OVERSHOOT_SHARE = 0.25
# Time constant of the demand estimate. Long, since one host of many sees few
# requests for a target.
_DEMAND_DECAY_S = 20.0
# Demand of all hosts until this host has an estimate.
_INITIAL_DEMAND_PER_S = 20.0
# Time until hosts have reported what they sent before a limit was announced.
_RECALL_S = 0.6
# Interval of repeated notices, for peers that have since started or lost a
# packet.
_REMINDER_INTERVAL_S = 1.0


class LimitStatus(NamedTuple):
    """State of a target's limit, as shown to operators.

    Attributes:
        target: Name of the target.
        per_s: Requests per second that it accepts from all hosts.
        used: Requests of all hosts in the last window, as known here.
        left: Requests that may be sent at once; 0 or negative if none may.
        part: Share of all hosts that are reachable, including this one.
        passed_over: Requests that this host has sent elsewhere or refused.
    """

    target: str
    per_s: float
    used: float
    left: float
    part: float
    passed_over: int


class _LimitedTarget:
    """A target with a limit.

    Attributes:
        key: Identifies the target in usage notices.
        per_s: The limit.
        window: Requests of all hosts.
        notified_at: Time in seconds when peers were last notified of the limit.
        passed_over: Requests that were not sent there.
    """

    def __init__(self, key: int, per_s: float, hosts: int, now: float):
        self.key = key
        self.per_s = per_s
        self.window = quota_lib.QuotaWindow(_quota(per_s), _BOUNDS, now)
        self.window.past_usage_until = now + _RECALL_S
        self.notified_at = now
        self.passed_over = 0
        self._demand_per_s = _INITIAL_DEMAND_PER_S / hosts
        self._demanded_at = now

    def change(self, per_s: float) -> None:
        """Replaces the limit without refilling the window."""
        self.per_s = per_s
        self.window.set_quota(_quota(per_s))

    def count_demand(self, now: float) -> float:
        """Counts a request for the target; returns the rate before it.

        A host with little demand would seem to have much if it counted the
        present request.
        """
        decay = math.exp((self._demanded_at - now) / _DEMAND_DECAY_S)
        before_per_s = self._demand_per_s * decay
        self._demand_per_s = before_per_s + 1.0 / _DEMAND_DECAY_S
        self._demanded_at = now
        return before_per_s


class TargetLimits:
    """Target limits as one host knows them.

    Attributes:
        ledger: Counts requests of all hosts.
        draw: Returns a random number from 0 to 1.
    """

    def __init__(
        self,
        ledger: quota_ledger.QuotaLedger,
        draw: Callable[[], float] = random.random,
    ):
        self.ledger = ledger
        self.draw = draw
        self._limited: dict[str, _LimitedTarget] = {}
        self._recent: dict[str, collections.deque[float]] = {}

    def __contains__(self, target: str) -> bool:
        return target in self._limited

    def __len__(self) -> int:
        return len(self._limited)

    # Announcements.

    def apply_answer(
        self, target: str, per_s: float | None, now: float
    ) -> bool:
        """Applies the limit that an answer announces, or its absence.

        Returns:
            Whether peers are to be notified.
        """
        is_changed = self._apply(target, per_s, now)
        limited = self._limited.get(target)
        if limited is None:
            return is_changed
        is_due = is_changed or now - limited.notified_at >= _REMINDER_INTERVAL_S
        if is_due:
            limited.notified_at = now
        return is_due

    def apply_peer_limit(
        self, target: str, per_s: float | None, now: float
    ) -> bool:
        """Applies a limit announced by a peer; returns whether it changed."""
        is_changed = self._apply(target, per_s, now)
        limited = self._limited.get(target)
        if limited is not None:
            limited.notified_at = now
        return is_changed

    def forget(self, target: str) -> None:
        """Forgets a target that is gone or has restarted."""
        self._remove(target)
        self._recent.pop(target, None)

    def _apply(self, target: str, per_s: float | None, now: float) -> bool:
        """Applies a limit; returns whether it changed."""
        limited = self._limited.get(target)
        if per_s is None:
            self._remove(target)
            return limited is not None
        if limited is None:
            self._add(target, per_s, now)
            return True
        if limited.per_s == per_s:
            return False
        limited.window.refresh(now, self.ledger.reachable_share(now))
        limited.change(per_s)
        return True

    def _add(self, target: str, per_s: float, now: float) -> None:
        key = usage_exchange.name_key(f"target {target}")
        limited = _LimitedTarget(key, per_s, self.ledger.host_count, now)
        limited.window.refresh(now, self.ledger.reachable_share(now))
        self._limited[target] = limited
        self.ledger.windows_by_key[key] = limited.window
        sent = len(self._recent_sends(target, now))
        if sent:
            limited.window.add_past_usage(sent, now)
            self.ledger.report_usage(key, sent, now)

    def _remove(self, target: str) -> None:
        limited = self._limited.pop(target, None)
        if limited is not None:
            self.ledger.windows_by_key.pop(limited.key, None)

    # Requests.

    def admit(self, target: str, now: float) -> bool:
        """Returns whether a request may be sent to the target chosen for it."""
        limited = self._limited.get(target)
        if limited is None:
            return True
        demand_per_s = limited.count_demand(now) * (self.ledger.host_count - 1)
        if not self._has_capacity(limited, now) or self._yields_to_peers(
            limited, demand_per_s
        ):
            limited.passed_over += 1
            return False
        return True

    def is_exhausted(self, target: str, now: float) -> bool:
        """Returns whether nothing more may be sent to a target now."""
        limited = self._limited.get(target)
        return limited is not None and not self._has_capacity(limited, now)

    def charge(self, target: str, now: float) -> bool:
        """Counts a request; returns whether peers are to be notified soon."""
        self._recent_sends(target, now).append(now)
        limited = self._limited.get(target)
        if limited is None:
            return False
        return self.ledger.charge_key(limited.key, 1.0, now)

    def refund(self, target: str, now: float) -> bool:
        """Refunds a request that never reached the target.

        Returns:
            Whether peers are to be notified soon.
        """
        recent = self._recent.get(target)
        if recent:
            recent.pop()
        limited = self._limited.get(target)
        if limited is None:
            return False
        return self.ledger.charge_key(limited.key, -1.0, now)

    def retry_after_s(self, targets: list[str], now: float) -> float:
        """Returns in how many seconds a refused request may be sent again.

        To be called if no target accepts the request. The wait lasts at least
        until all hosts know of a request, so that a slot that was left to peers
        has been used by then.

        Args:
            targets: The targets, whose limits are all known.
            now: Current time, seconds.
        """
        soonest = max(
            (self._limited[target] for target in targets),
            key=lambda each: each.window.remaining() / each.window.refill_per_s,
        )
        return max(
            _PROPAGATION_S,
            soonest.window.refuse(now, 1.0, self.ledger.host_count),
        )

    def _has_capacity(self, limited: _LimitedTarget, now: float) -> bool:
        limited.window.refresh(now, self.ledger.reachable_share(now))
        return limited.window.remaining() > 0.0

    def _yields_to_peers(
        self, limited: _LimitedTarget, demand_per_s: float
    ) -> bool:
        """Returns whether a free slot is left to peers.

        Args:
            limited: The target.
            demand_per_s: Requests of all peers for it.
        """
        window = limited.window
        overshoot = (
            window.limit * _BOUNDS.overshoot_share + _BOUNDS.overshoot_units
        )
        concurrent = demand_per_s * _PROPAGATION_S
        return concurrent * self.draw() > overshoot * _OVERSHOOT_SHARE

    def _recent_sends(
        self, target: str, now: float
    ) -> collections.deque[float]:
        """Returns the times of requests to a target in the last window."""
        recent = self._recent.get(target)
        if recent is None:
            recent = self._recent[target] = collections.deque()
        while recent and recent[0] < now - _WINDOW_S:
            recent.popleft()
        return recent

    # Operators.

    def statuses(self, now: float) -> list[LimitStatus]:
        """Returns the state of all limits, by target."""
        statuses = []
        for target, limited in sorted(self._limited.items()):
            window = limited.window
            window.refresh(now, self.ledger.reachable_share(now))
            statuses.append(
                LimitStatus(
                    target,
                    limited.per_s,
                    round(window.used, 1),
                    round(window.remaining(), 1),
                    round(window.reachable_share, 3),
                    limited.passed_over,
                )
            )
        return statuses


def _quota(per_s: float) -> objects.Quota:
    return objects.Quota(rate_per_s=max(per_s, _MIN_PROBES_PER_S))
