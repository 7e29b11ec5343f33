"""What one host learned of a target from its own attempts."""

from __future__ import annotations

import collections
import math

from hillthread.state import health

__all__ = ["TargetState"]

# Outcomes remembered to tell a target that fails some of its requests.
_RECENT = 10
# So many failures among the recent outcomes eject a target.
_EJECT_FAILURES = 4
# So many in a row do as well.
_EJECT_AFTER = 2
# First time out; it doubles with each further one.
_EJECT_S = 1.0
# Weight of a new answer in the mean time to the first byte.
_LATENCY_STEP = 0.2
# Over this time for each host the mean of unfinished prefill is taken. It
# stands for what the others have: the more they are, the more its noise counts.
_MEAN_S = 0.125
# The mean is taken over this time at least, also with few hosts.
_LEAST_MEAN_S = 1.0


class TargetState:
    """One target as this host's attempts have found it.

    Attributes:
        breaker: Ejects it after failures.
        running: This host's unfinished attempts.
        prefill_tokens: Of these, the tokens still to be computed before their
            first event.
        refused_until: Seconds; it refused work and is spared until then.
        unreachable: No connection to it comes up.
        seconds: Smoothed time to the first byte.
        mean_prefill: Mean of `prefill_tokens` over the last seconds.
        mean_over_s: Over how many.
    """

    def __init__(self):
        self.breaker = health.Breaker(_EJECT_AFTER, _EJECT_S)
        self.running = 0
        self.prefill_tokens = 0
        self.refused_until = float("-inf")
        self.unreachable = False
        self.seconds = 0.0
        self.mean_prefill = 0.0
        self.mean_over_s = _LEAST_MEAN_S
        self._mean_at = float("-inf")
        self._recent: collections.deque[bool] = collections.deque(
            maxlen=_RECENT
        )

    def accepts(self, now: float) -> bool:
        """Returns whether it may be given a request."""
        if self.unreachable or now < self.refused_until:
            return False
        return self.breaker.state(now) is not health.BreakerState.OPEN

    def begin(self, now: float, prefill_tokens: int) -> None:
        """Notes an attempt that is about to be sent."""
        self.breaker.admit(now)
        self._update_mean(now)
        self.running += 1
        self.prefill_tokens += prefill_tokens

    def queued_tokens(self, now: float, hosts: int) -> float:
        """Returns tokens expected to be computed before a new request.

        Other hosts place the same prefixes on the same targets: each is
        expected to have what this one has in the mean.
        """
        self.mean_over_s = max(_LEAST_MEAN_S, _MEAN_S * hosts)
        self._update_mean(now)
        return self.prefill_tokens + (hosts - 1) * self.mean_prefill

    def first_byte(
        self, now: float, prefill_tokens: int, seconds: float | None
    ) -> None:
        """Notes that an attempt's answer has begun.

        Args:
            now: Seconds.
            prefill_tokens: As told to `begin`.
            seconds: How long it took; None when it never began.
        """
        self._update_mean(now)
        self.prefill_tokens -= prefill_tokens
        if seconds is None:
            return
        step = _LATENCY_STEP if self.seconds else 1.0
        self.seconds += step * (seconds - self.seconds)

    def end(self) -> None:
        """Notes that an attempt has ended in any way."""
        self.running -= 1
        self.breaker.release()

    def succeed(self) -> None:
        """Notes an answer as it should be."""
        self._recent.append(True)
        self.breaker.succeed()

    def refuse(self, until: float) -> None:
        """Notes that it refused work, without fault."""
        self.refused_until = max(self.refused_until, until)

    def fail(self, now: float) -> bool:
        """Notes a failure that is the target's.

        Returns:
            Whether it is ejected now.
        """
        self._recent.append(False)
        before = self.breaker.ejections
        if self._recent.count(False) >= _EJECT_FAILURES:
            self._recent.clear()
            self.breaker.trip(now)
        else:
            self.breaker.fail(now)
        return self.breaker.ejections > before

    def _update_mean(self, now: float) -> None:
        passed = now - self._mean_at
        kept = math.exp(-passed / self.mean_over_s)
        self.mean_prefill = (
            kept * self.mean_prefill + (1.0 - kept) * self.prefill_tokens
        )
        self._mean_at = now

    def lose(self, now: float) -> None:
        """Notes that it cannot be reached."""
        self.breaker.trip(now)
