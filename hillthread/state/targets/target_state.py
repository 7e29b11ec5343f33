"""What one host learned of a target from its own attempts."""

from __future__ import annotations

import collections

from hillthread.state.routing import load
from hillthread.state.routing import warm_prefixes
from hillthread.state.targets import health

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
# Tokens an engine reads in a second, until it is known better; the engines of
# three deployments read 40 to 57 in a ms.
_FIRST_RATE = 50_000.0
# A load takes 0.6 to 0.9 s, and longer while many engines load; who does not
# hear of its end goes on as if it were over.
_LOAD_S = 1.0


class TargetState:
    """One target as this host's attempts have found it.

    Attributes:
        breaker: Ejects it after failures.
        running: This host's unfinished attempts.
        load: Prompts that it is still to read, other hosts' included.
        warm: What it keeps of prompts.
        refused_until: Seconds; it refused work and is spared until then.
        loading_until: Seconds; it loads weights and begins nothing before.
        unreachable: No connection to it comes up.
        seconds: Smoothed time to the first byte.
    """

    def __init__(self):
        self.breaker = health.CircuitBreaker(_EJECT_AFTER, _EJECT_S)
        self.open_attempts = 0
        self.load = load.TargetLoad(_FIRST_RATE)
        self.warm = warm_prefixes.WarmPrefixes()
        self.refused_until = float("-inf")
        self.loading_until = float("-inf")
        self.is_unreachable = False
        self.first_byte_s = 0.0
        self._recent: collections.deque[bool] = collections.deque(
            maxlen=_RECENT
        )

    def is_available(self, now: float) -> bool:
        """Returns whether it may be given a request."""
        if self.is_unreachable or now < self.refused_until:
            return False
        return self.breaker.state(now) is not health.BreakerState.OPEN

    def begin_attempt(
        self, now: float, attempt: str, prefill_tokens: int
    ) -> None:
        """Notes an attempt that is about to be sent."""
        self.breaker.admit(now)
        self.open_attempts += 1
        self.load.start(attempt, load.LocalPrefill(now, prefill_tokens))

    def record_first_byte(
        self, now: float, attempt: str, seconds: float | None
    ) -> None:
        """Notes that an attempt's answer has begun.

        Args:
            now: Seconds.
            attempt: As told to `begin`.
            seconds: How long it took; None when it never began.
        """
        self.load.note_first_token(attempt, now)
        if seconds is None:
            return
        step = _LATENCY_STEP if self.first_byte_s else 1.0
        self.first_byte_s += step * (seconds - self.first_byte_s)

    def end_attempt(self, attempt: str) -> None:
        """Notes that an attempt has ended in any way."""
        self.open_attempts -= 1
        self.load.finish(attempt)
        self.breaker.cancel_probe()

    def record_success(self) -> None:
        """Notes an answer as it should be."""
        self._recent.append(True)
        self.breaker.record_success()

    def record_refusal(self, until: float) -> None:
        """Notes that it refused work, without fault."""
        self.refused_until = max(self.refused_until, until)

    def begin_load(self, now: float) -> None:
        """Notes that it is about to load weights."""
        self.loading_until = now + _LOAD_S

    def end_load(self) -> None:
        """Notes that it does not load weights any more."""
        self.loading_until = float("-inf")

    def record_failure(self, now: float) -> bool:
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
            self.breaker.record_failure(now)
        return self.breaker.ejections > before

    def record_unreachable(self, now: float) -> None:
        """Notes that it cannot be reached."""
        self.breaker.trip(now)
