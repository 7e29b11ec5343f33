"""Load of a target, estimated from its reports and from routed requests.

A target's report lags, so the router adds the prefill that it has sent itself
and the prefill that other routers have announced.
"""

from __future__ import annotations

from typing import NamedTuple

from hillthread.state.scheduling import urgency as urgency_lib

__all__ = ["LoadReport", "LocalPrefill", "PeerPrefill", "TargetLoad"]

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
# Tokens that an engine computes before it turns to a more urgent prompt: one
# chunk of a chunked prefill.
_CHUNK_TOKENS = 2_048.0
# Rounding error allowed when the expected start of a prefill is compared with
# the current time.
_TIME_TOLERANCE_S = 1e-6


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
        urgency: 0, computed first, to 9.
    """

    sent_at: float
    prefill_tokens: float
    urgency: int = urgency_lib.LEAST_URGENT


class PeerPrefill(NamedTuple):
    """Prefill of an attempt that another router has sent.

    Attributes:
        done_at: Expected time of completion, in seconds.
        tokens: Expected uncached tokens.
        urgency: 0, computed first, to 9.
    """

    done_at: float
    tokens: float
    urgency: int = urgency_lib.LEAST_URGENT


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
        self._head_id = ""
        self._head_started_at = 0.0

    @property
    def inflight(self) -> int:
        """Number of this router's unfinished attempts."""
        return len(self.awaiting_first_token) + len(self.streaming)

    def start(self, attempt_id: str, prefill: LocalPrefill) -> None:
        """Adds an attempt that is about to be sent."""
        if not self.awaiting_first_token:
            self._head_id = attempt_id
            self._head_started_at = prefill.sent_at
        self.awaiting_first_token[attempt_id] = prefill
        self._delay_less_urgent(
            prefill.prefill_tokens, prefill.urgency, prefill.sent_at
        )

    def note_first_token(self, attempt_id: str, now: float) -> None:
        """Records that the prefill of an attempt is done."""
        if self.awaiting_first_token.pop(attempt_id, None) is not None:
            self.streaming.add(attempt_id)
            self._head_id = self._pick_head()
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
        if attempt_id == self._head_id:
            self._head_id = self._pick_head()

    def update(self, report: LoadReport) -> None:
        """Stores a load report."""
        self.report = report
        self.inflight_at_report = self.inflight

    def add_peer_prefill(
        self,
        tokens: float,
        now: float,
        urgency: int = urgency_lib.LEAST_URGENT,
    ) -> None:
        """Adds prefill that another router has sent to the target."""
        self._expire_peer_prefills(now)
        ahead = (
            self.local_prefill_tokens(now, urgency)
            + self.peer_prefill_tokens(urgency)
            + self._less_urgent_tokens(now, urgency)
        )
        done_at = now + (ahead + tokens) / self.prefill_tokens_per_s
        self._delay_less_urgent(tokens, urgency, now)
        self.peer_prefills.append(PeerPrefill(done_at, tokens, urgency))

    def local_prefill_tokens(
        self, now: float, urgency: int = urgency_lib.LEAST_URGENT
    ) -> float:
        """Returns this router's prefill tokens that are still to be computed.

        The attempt that the engine computes counts as computing since the one
        before it was done.

        Args:
            now: Current time, in seconds.
            urgency: Less urgent prefills do not count.
        """
        total = sum(
            prefill.prefill_tokens
            for prefill in self.awaiting_first_token.values()
            if prefill.urgency <= urgency
        )
        head = self.awaiting_first_token.get(self._head_id)
        if head is None or head.urgency > urgency:
            return total
        return total - head.prefill_tokens + self._head_rest_tokens(head, now)

    def peer_prefill_tokens(
        self, urgency: int = urgency_lib.LEAST_URGENT
    ) -> float:
        """Returns the prefill tokens that other routers have announced."""
        return sum(
            prefill.tokens
            for prefill in self.peer_prefills
            if prefill.urgency <= urgency
        )

    def queued_tokens(
        self, now: float, urgency: int = urgency_lib.LEAST_URGENT
    ) -> float:
        """Returns the prefill tokens computed before a request sent now.

        For the requests of other routers the larger of two figures counts:
        their announcements, or the target's report, which lags behind these.
        Reports do not state urgencies, so they count only for the least urgent
        requests.

        Args:
            now: Current time, in seconds.
            urgency: Urgency of the request. Of the less urgent prompts only
                the chunk that is being computed delays it.
        """
        self._expire_peer_prefills(now)
        peers = self.peer_prefill_tokens(urgency)
        if urgency >= urgency_lib.LEAST_URGENT:
            reported = self._count_peer_waiting() * self.mean_prefill_tokens
            peers = max(peers, reported)
        return (
            self.local_prefill_tokens(now, urgency)
            + peers
            + self._less_urgent_tokens(now, urgency)
        )

    def backlog_tokens(self, now: float) -> float:
        """Returns the prefill tokens of all urgencies that are queued."""
        return self.queued_tokens(now)

    def count_requests(self) -> int:
        """Returns the number of requests of all routers on the target."""
        if self.report is None:
            return self.inflight
        reported = self.report.running + self.report.waiting
        return self.inflight + max(0, reported - self.inflight_at_report)

    def _pick_head(self) -> str:
        """Returns the attempt computed next: the most urgent, then oldest."""
        return min(
            self.awaiting_first_token,
            key=lambda each: self.awaiting_first_token[each].urgency,
            default="",
        )

    def _head_rest_tokens(self, head: LocalPrefill, now: float) -> float:
        """Returns the tokens left of this router's attempt being computed."""
        done = max(0.0, now - self._head_started_at) * self.prefill_tokens_per_s
        return head.prefill_tokens - min(
            done, head.prefill_tokens * _MAX_HEAD_DONE_SHARE
        )

    def _less_urgent_tokens(self, now: float, urgency: int) -> float:
        """Returns the tokens that a less urgent prompt computes before others.

        The engine computes one prompt at a time, so the prompts of this router
        and of others are not added up.
        """
        rest_tokens = [
            (prefill.done_at - now) * self.prefill_tokens_per_s
            for prefill in self.peer_prefills
            if prefill.urgency > urgency and self._is_computing(prefill, now)
        ]
        head = self.awaiting_first_token.get(self._head_id)
        if head is not None and head.urgency > urgency:
            rest_tokens.append(self._head_rest_tokens(head, now))
        return min(_CHUNK_TOKENS, max(rest_tokens, default=0.0))

    def _is_computing(self, prefill: PeerPrefill, now: float) -> bool:
        """Returns whether a prefill of another router should have begun."""
        return (
            prefill.done_at - now
            <= prefill.tokens / self.prefill_tokens_per_s + _TIME_TOLERANCE_S
        )

    def _delay_less_urgent(
        self, tokens: float, urgency: int, now: float
    ) -> None:
        """Moves less urgent prefills of other routers behind a new one."""
        delay_s = tokens / self.prefill_tokens_per_s
        self.peer_prefills = [
            prefill._replace(done_at=prefill.done_at + delay_s)
            if prefill.urgency > urgency
            and not self._is_computing(prefill, now)
            else prefill
            for prefill in self.peer_prefills
        ]

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
