"""Tracks a target's state by this host's attempts and peers' notices."""

from __future__ import annotations

import collections

from hillthread.state.routing import engine_speed
from hillthread.state.routing import load
from hillthread.state.routing import warm_prefixes
from hillthread.state.scheduling import urgency as urgency_lib
from hillthread.state.targets import health

__all__ = ["TargetState"]

# Number of outcomes that are remembered to detect a target that fails part of
# its requests.
_RECENT_OUTCOMES = 10
# Number of failures among the recent outcomes that ejects a target.
_EJECT_FAILURES = 4
# Number of consecutive failures that also ejects a target.
_EJECT_AFTER = 2
# Number of consecutive answers of the kind "another target or other weights"
# that ejects a target. The first one is free: a host may learn of a load late.
_EJECT_MISMATCHES = 2
# Length of the first ejection; it doubles with each further one.
_EJECT_S = 1.0
# Weight of a new answer in the moving average of the time to first byte.
_LATENCY_WEIGHT = 0.2
# A load takes 0.6 to 0.9 s, and longer while many engines load. A host that
# gets no notice of its end assumes that it ends after this time, which includes
# the time from the notice to the order: 0.06 to 0.3 s.
_ASSUMED_LOAD_S = 1.24


class TargetState:
    """State of one target as this host knows it.

    It follows from this host's attempts, and from notices of other hosts on the
    prompts that they send and on loads of weights.

    Attributes:
        breaker: Ejects the target after failures.
        open_attempts: Number of this host's unfinished attempts.
        load: Prompts that the target has still to read, those of other hosts
            included.
        speed: Speed relative to other engines of its pool.
        warm: Prompt prefixes that the target keeps cached.
        refused_until: Until when the target is spared after a refusal, seconds.
        loading_until: Until when the target loads weights and starts no
            request, seconds.
        is_unreachable: Whether no connection to the target can be opened.
        first_byte_s: Moving average of the time to first byte, seconds.
        last_failure_at: When the target last failed, seconds.
        mismatches: Number of answers in a row that this is another target or
            holds other weights, without a load of weights in between.
    """

    def __init__(self):
        self.breaker = health.CircuitBreaker(_EJECT_AFTER, _EJECT_S)
        self.open_attempts = 0
        self.load = load.TargetLoad(engine_speed.INITIAL_TOKENS_PER_S)
        self.speed = engine_speed.EngineSpeed()
        self.warm = warm_prefixes.WarmPrefixes()
        self.refused_until = float("-inf")
        self.loading_until = float("-inf")
        self.is_unreachable = False
        self.first_byte_s = 0.0
        self.last_failure_at = float("-inf")
        self.mismatches = 0
        self._recent_outcomes: collections.deque[bool] = collections.deque(
            maxlen=_RECENT_OUTCOMES
        )

    def is_available(self, now: float) -> bool:
        """Returns whether the target may be given a request."""
        if self.is_unreachable or now < self.refused_until:
            return False
        return self.breaker.state(now) is not health.BreakerState.OPEN

    def begin_attempt(
        self,
        now: float,
        attempt: str,
        prefill_tokens: int,
        urgency: int = urgency_lib.LEAST_URGENT,
    ) -> None:
        """Records an attempt that is about to be sent."""
        self.breaker.admit(now)
        self.open_attempts += 1
        self.load.start(
            attempt, load.LocalPrefill(now, prefill_tokens, urgency)
        )

    def record_first_byte(
        self, now: float, attempt: str, seconds: float | None
    ) -> None:
        """Records that the answer to an attempt has begun.

        Args:
            now: Current time, seconds.
            attempt: Id of the attempt, as given to `begin_attempt`.
            seconds: Time to first byte; None if the answer never began.
        """
        self.load.note_first_token(attempt, now)
        if seconds is None:
            return
        weight = _LATENCY_WEIGHT if self.first_byte_s else 1.0
        self.first_byte_s += weight * (seconds - self.first_byte_s)

    def end_attempt(self, attempt: str) -> None:
        """Records that an attempt has ended, whatever its result."""
        self.open_attempts -= 1
        self.load.finish(attempt)
        self.breaker.cancel_probe()

    def record_success(self) -> None:
        """Records a correct answer."""
        self._recent_outcomes.append(True)
        self.breaker.record_success()

    def record_refusal(self, until: float) -> None:
        """Records that the target refused work, which is no failure."""
        self.refused_until = max(self.refused_until, until)

    def begin_load(self, now: float) -> None:
        """Records that the target is about to load weights."""
        self.loading_until = now + _ASSUMED_LOAD_S
        self.mismatches = 0

    def end_load(self) -> None:
        """Records that the target no longer loads weights."""
        self.loading_until = float("-inf")
        self.mismatches = 0

    def record_mismatch(self, now: float) -> bool:
        """Records an answer that this is another target or has other weights.

        Returns:
            Whether the target is ejected now.
        """
        self.mismatches += 1
        before = self.breaker.ejections
        if self.mismatches >= _EJECT_MISMATCHES:
            self.breaker.trip(now)
        return self.breaker.ejections > before

    def record_failure(self, now: float) -> bool:
        """Records a failure caused by the target.

        Returns:
            Whether the target is ejected now.
        """
        self.last_failure_at = now
        self._recent_outcomes.append(False)
        before = self.breaker.ejections
        if self._recent_outcomes.count(False) >= _EJECT_FAILURES:
            self._recent_outcomes.clear()
            self.breaker.trip(now)
        else:
            self.breaker.record_failure(now)
        return self.breaker.ejections > before

    def forgive_failures(self, since: float) -> None:
        """Ends an ejection for failures that were not the target's own.

        Args:
            since: Seconds. If the target has not failed since then, nothing
                changes.
        """
        if self.last_failure_at >= since:
            self.breaker.record_success()
            self._recent_outcomes.clear()

    def record_unreachable(self, now: float) -> None:
        """Records that the target cannot be reached."""
        self.breaker.trip(now)
