"""Limits what a host sends to targets that crash when they refuse too much.

A brittle target crashes if it refuses more than some requests in a second for
want of room, and may have less room at any time without notice. What counts is
how many requests of all hosts together find it full.

Until such a target refuses, a host only measures how many requests it sends
there. A refusal, at this host or another one, pauses the target for a moment
and then limits this host to a part of what it sent. All hosts do the same, so
that together they send that part of what was too much, however many they are.
The limit grows slowly until the next refusal.
"""

from __future__ import annotations

import dataclasses
import math

__all__ = ["BrittleTargets"]

# A target is forgotten if it has not repeated it for this time. All its answers
# say it, but a host of many may get an answer seldom.
_BRITTLE_KEPT_S = 60.0
# Time constant of the measured rate of requests.
_RATE_OVER_S = 1.0
_MIN_COUNTED_S = 0.1
# What is left of the rate after a refusal.
_CUT = 0.5
# Rate to which the other targets of its service are limited, in relation to the
# mean: they must not get all that the refusing one no longer gets.
_HEADROOM = 1.1
# Growth of the limit in a second.
_GROWTH_PER_S = 0.08
# Pause after a refusal. Refusals count within a second, and requests that were
# sent before a refusal was known everywhere may have used up most of them.
_PAUSE_S = 1.0
# Share of the refusals that a target withstands which all hosts together may
# use to find out whether it has room again.
_TRIAL_SHARE = 0.1
# Tokens that a host may save up.
_BURST = 1.0


@dataclasses.dataclass(slots=True)
class _Brittle:
    """A brittle target.

    Attributes:
        service: Service that it belongs to.
        refusals_per_s: Refusals in a second that it withstands.
        said_at: When an answer last said so, seconds.
        since: Since when requests have been counted, seconds.
        rate_per_s: Decaying sum of this host's requests.
        limit_per_s: Limit of that rate; infinite until the first refusal.
        tokens: Requests that may be sent now.
        updated_at: When the rate and the tokens were last updated, seconds.
        paused_until: Until when it gets no request, seconds.
    """

    service: str
    refusals_per_s: float
    said_at: float
    updated_at: float
    since: float
    rate_per_s: float = 0.0
    limit_per_s: float = math.inf
    tokens: float = _BURST
    paused_until: float = -math.inf

    @property
    def measured_rate_per_s(self) -> float:
        """Rate of this host's requests, also soon after counting began."""
        counted_s = max(_MIN_COUNTED_S, self.updated_at - self.since)
        return self.rate_per_s / (1.0 - math.exp(-counted_s / _RATE_OVER_S))

    def update(self, now: float) -> None:
        """Advances the rate, the limit and the tokens to the current time."""
        elapsed_s = now - self.updated_at
        if elapsed_s <= 0.0:
            return
        self.updated_at = now
        self.rate_per_s *= math.exp(-elapsed_s / _RATE_OVER_S)
        if math.isfinite(self.limit_per_s):
            self.tokens += self.limit_per_s * elapsed_s
            self.tokens = min(_BURST, self.tokens)
            self.limit_per_s *= math.exp(_GROWTH_PER_S * elapsed_s)


class BrittleTargets:
    """The brittle targets, as one host knows them."""

    def __init__(self):
        self._targets: dict[str, _Brittle] = {}

    def __contains__(self, target: str) -> bool:
        return target in self._targets

    def __len__(self) -> int:
        return len(self._targets)

    def apply_answer(
        self,
        target: str,
        service: str,
        refusals_per_s: float | None,
        now: float,
    ) -> bool:
        """Applies what an answer of a target says.

        Args:
            target: Name of the target.
            service: Service that it belongs to.
            refusals_per_s: What it withstands; None if it is not brittle.
            now: Current time, seconds.

        Returns:
            Whether it has become brittle or is brittle no more.
        """
        if refusals_per_s is None:
            return self._targets.pop(target, None) is not None
        known = self._targets.get(target)
        if known is None:
            self._targets[target] = _Brittle(
                service, refusals_per_s, now, now, now
            )
            return True
        known.refusals_per_s = refusals_per_s
        known.said_at = now
        return False

    def record_send(self, target: str, now: float) -> None:
        """Counts a request that is sent to a target."""
        known = self._targets.get(target)
        if known is None:
            return
        known.update(now)
        known.rate_per_s += 1.0 / _RATE_OVER_S
        known.tokens -= 1.0

    def record_refusal(self, target: str, hosts: int, now: float) -> None:
        """Limits a target that refused a request of any host.

        Args:
            target: Name of the target.
            hosts: Number of hosts.
            now: Current time, seconds.
        """
        known = self._targets.get(target)
        if known is None or now < known.paused_until:
            return
        known.update(now)
        if math.isinf(known.limit_per_s):
            self._limit_service(known.service, hosts, now)
        least_per_s = known.refusals_per_s * _TRIAL_SHARE / hosts
        known.limit_per_s = max(least_per_s, known.limit_per_s * _CUT)
        known.tokens = min(0.0, known.tokens)
        known.paused_until = now + _PAUSE_S

    def _limit_service(self, service: str, hosts: int, now: float) -> None:
        """Limits all targets of a service that are not limited yet.

        The mean of all rates is used. One host of many sends a single target a
        request now and then, which says little about its rate.
        """
        members = [
            each for each in self._targets.values() if each.service == service
        ]
        for known in members:
            known.update(now)
        rates = [known.measured_rate_per_s for known in members]
        mean_per_s = sum(rates) / len(rates)
        for known in members:
            if math.isinf(known.limit_per_s):
                least_per_s = known.refusals_per_s * _TRIAL_SHARE / hosts
                known.limit_per_s = max(least_per_s, mean_per_s * _HEADROOM)
                known.tokens = 0.0

    def may_send(self, target: str, now: float) -> bool:
        """Returns whether a target may get a request of this host."""
        known = self._targets.get(target)
        if known is None:
            return True
        if now - known.said_at > _BRITTLE_KEPT_S:
            del self._targets[target]
            return True
        if math.isinf(known.limit_per_s):
            return True
        known.update(now)
        return now >= known.paused_until and known.tokens >= 1.0

    def wait_s(self, target: str, now: float) -> float:
        """Returns after which time a target may get a request, seconds."""
        known = self._targets.get(target)
        if known is None or math.isinf(known.limit_per_s):
            return 0.0
        missing = max(0.0, 1.0 - known.tokens)
        return max(missing / known.limit_per_s, known.paused_until - now)

    def forget(self, target: str) -> None:
        """Removes a target that is gone or has started again."""
        self._targets.pop(target, None)
