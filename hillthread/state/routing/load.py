"""Load of a target, estimated from its reports and from routed requests.

A target's report lags, so the router adds the prefill that it has sent itself
and the prefill that other routers have announced.
"""

from __future__ import annotations

from typing import NamedTuple

__all__ = ["LoadReport", "LocalPrefill", "TargetLoad"]

# Weight of a new sample in the moving average of the prefill rate.
_RATE_STEP_SHARE = 0.1
# Weight of a new request in the moving average of the prefill per request.
_MEAN_STEP_SHARE = 0.05
# The first prefill in the queue counts as at most this far done until its first
# token arrives.
_MAX_HEAD_DONE_SHARE = 0.7
# The learned rate stays within this factor of the initial one, up and down.
_RATE_RANGE_FACTOR = 4.0
# Shorter prefills take too little time for a sample of the rate.
_MIN_MEASURED_TOKENS = 256


class LoadReport(NamedTuple):
    """Load as reported by a target.

    Attributes:
        taken_at: Time of the reading in seconds, on the reader's clock.
        running: Requests being computed.
        waiting: Requests queued in the engine.
        inserted_tokens: Tokens put into the cache since the engine started.
        cache_tokens: Size of the prefix cache; 0 when not reported.
    """

    taken_at: float
    running: int
    waiting: int
    inserted_tokens: float
    cache_tokens: int = 0


class LocalPrefill(NamedTuple):
    """Prefill of an attempt that this router has sent.

    Attributes:
        sent_at: Time of sending, in seconds.
        prefill_tokens: Expected uncached tokens of the attempt.
    """

    sent_at: float
    prefill_tokens: float


class PeerPrefill(NamedTuple):
    """Prefill of an attempt that another router has sent.

    Attributes:
        done_at: Expected time of completion, in seconds.
        tokens: Expected uncached tokens.
    """

    done_at: float
    tokens: float


class TargetLoad:
    """Load of one target as estimated by one router.

    Attributes:
        initial_prefill_tokens_per_s: Prefill rate assumed at the start.
        prefill_tokens_per_s: Prefill rate learned from first-token times.
        report: The last report, or None.
        awaiting_first_token: This router's attempts in prefill, in the order
            of sending.
        streaming: This router's attempts that have produced a first token.
        inflight_at_report: This router's unfinished attempts at the time of
            the last report.
        mean_prefill_tokens: Moving average of the prefill per request.
        peer_prefills: Prefills that other routers have announced.
    """

    def __init__(self, prefill_tokens_per_s: float):
        self.initial_prefill_tokens_per_s = prefill_tokens_per_s
        self.prefill_tokens_per_s = prefill_tokens_per_s
        self.report: LoadReport | None = None
        self.awaiting_first_token: dict[str, LocalPrefill] = {}
        self.streaming: set[str] = set()
        self.inflight_at_report = 0
        self.mean_prefill_tokens = 0.0
        self.peer_prefills: list[PeerPrefill] = []
        self._head_started_at = 0.0

    @property
    def inflight(self) -> int:
        """Number of this router's unfinished attempts."""
        return len(self.awaiting_first_token) + len(self.streaming)

    def start(self, attempt_id: str, prefill: LocalPrefill) -> None:
        """Adds an attempt that is about to be sent."""
        if not self.awaiting_first_token:
            self._head_started_at = prefill.sent_at
        self.awaiting_first_token[attempt_id] = prefill

    def note_first_token(self, attempt_id: str, now: float) -> None:
        """Records that the prefill of an attempt is done."""
        if self.awaiting_first_token.pop(attempt_id, None) is not None:
            self.streaming.add(attempt_id)
            self._head_started_at = now

    def learn_prefill_rate(self, computed_tokens: int, seconds: float) -> None:
        """Updates the prefill rate from a request that did not queue.

        Args:
            computed_tokens: Prompt tokens that were not cached.
            seconds: Time from sending the request to its first token.
        """
        if computed_tokens < _MIN_MEASURED_TOKENS or seconds <= 0:
            return
        measured = computed_tokens / seconds
        low = self.initial_prefill_tokens_per_s / _RATE_RANGE_FACTOR
        high = self.initial_prefill_tokens_per_s * _RATE_RANGE_FACTOR
        measured = min(high, max(low, measured))
        self.prefill_tokens_per_s += _RATE_STEP_SHARE * (
            measured - self.prefill_tokens_per_s
        )

    def learn_mean_prefill(self, computed_tokens: int) -> None:
        """Updates the mean prefill, which is assumed for others' requests."""
        step = _MEAN_STEP_SHARE * (computed_tokens - self.mean_prefill_tokens)
        self.mean_prefill_tokens += step

    def finish(self, attempt_id: str) -> None:
        """Removes an attempt that has ended, whatever its outcome."""
        self.awaiting_first_token.pop(attempt_id, None)
        self.streaming.discard(attempt_id)

    def update(self, report: LoadReport) -> None:
        """Stores a load report."""
        self.report = report
        self.inflight_at_report = self.inflight

    def add_peer_prefill(self, tokens: float, now: float) -> None:
        """Adds prefill that another router has sent to the target."""
        self._expire_peer_prefills(now)
        ahead = self.local_prefill_tokens(now) + self.peer_prefill_tokens()
        done_at = now + (ahead + tokens) / self.prefill_tokens_per_s
        self.peer_prefills.append(PeerPrefill(done_at, tokens))

    def local_prefill_tokens(self, now: float) -> float:
        """Returns this router's prefill tokens that are still to be computed.

        The first attempt in the queue counts as computing since the one before
        it was done.
        """
        total = sum(
            prefill.prefill_tokens
            for prefill in self.awaiting_first_token.values()
        )
        head = next(iter(self.awaiting_first_token.values()), None)
        if head is None:
            return 0.0
        done = max(0.0, now - self._head_started_at) * self.prefill_tokens_per_s
        return total - min(done, head.prefill_tokens * _MAX_HEAD_DONE_SHARE)

    def peer_prefill_tokens(self) -> float:
        """Returns the prefill tokens that other routers have announced."""
        return sum(prefill.tokens for prefill in self.peer_prefills)

    def queued_tokens(self, now: float) -> float:
        """Returns the prefill tokens queued before a request sent now.

        For the requests of other routers the larger of two figures counts:
        their announcements, or the target's report, which lags behind these.
        """
        self._expire_peer_prefills(now)
        reported = self._count_peer_waiting() * self.mean_prefill_tokens
        return self.local_prefill_tokens(now) + max(
            self.peer_prefill_tokens(), reported
        )

    def count_requests(self) -> int:
        """Returns the number of requests of all routers on the target."""
        if self.report is None:
            return self.inflight
        reported = self.report.running + self.report.waiting
        return self.inflight + max(0, reported - self.inflight_at_report)

    def _expire_peer_prefills(self, now: float) -> None:
        """Removes all completed prefills, wherever they are in the list."""
        if any(prefill.done_at <= now for prefill in self.peer_prefills):
            self.peer_prefills = [
                prefill
                for prefill in self.peer_prefills
                if prefill.done_at > now
            ]

    def _count_peer_waiting(self) -> int:
        if self.report is None:
            return 0
        return max(0, self.report.waiting - len(self.awaiting_first_token))
