"""How busy each target is: its lagging report and our own work since."""

from __future__ import annotations

from typing import NamedTuple

__all__ = ["LoadReport", "LocalPrefill", "TargetLoad"]

# Weight of a new measurement in the learned prefill rate.
_RATE_STEP = 0.1
# Weight of a new request in the mean prefill of a request.
_MEAN_STEP = 0.05
# At most this part of the first waiting prefill counts as done before its first
# token shows it.
_HEAD_SHARE = 0.7
# The learned rate stays within this factor of the configured one.
_RATE_RANGE = 4.0
# Shorter prefills take too little time to measure a rate by.
_MIN_WORK_TOKENS = 256


class LoadReport(NamedTuple):
    """What a target said of its load.

    Attributes:
        taken_at: Seconds, on the reader's clock, when it was read.
        running: Requests being computed.
        waiting: Requests queued in the engine.
        inserted_tokens: Tokens put into the cache since the engine started.
        cache_tokens: Size of its prefix cache, 0 when not told.
    """

    taken_at: float
    running: int
    waiting: int
    inserted_tokens: float
    cache_tokens: int = 0


class LocalPrefill(NamedTuple):
    """One attempt of ours that the target has not finished.

    Attributes:
        sent_at: Seconds.
        prefill_tokens: Its own expected uncached tokens.
    """

    sent_at: float
    prefill_tokens: float


class PeerPrefill(NamedTuple):
    """Prefill that another router has sent.

    Attributes:
        done_at: Seconds, when it is expected to be done.
        tokens: Expected uncached tokens.
    """

    done_at: float
    tokens: float


class TargetLoad:
    """The load of one target as one router sees it.

    Attributes:
        report: The last report, or None.
        prefill_rate: Tokens a second, learned from first-token times.
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
        self._head_since = 0.0

    @property
    def inflight(self) -> int:
        """Our own unfinished attempts."""
        return len(self.awaiting_first_token) + len(self.streaming)

    def start(self, attempt_id: str, work: LocalPrefill) -> None:
        """Notes an attempt that is about to be sent."""
        if not self.awaiting_first_token:
            self._head_since = work.sent_at
        self.awaiting_first_token[attempt_id] = work

    def note_first_token(self, attempt_id: str, now: float) -> None:
        """Notes that an attempt's prefill is done."""
        if self.awaiting_first_token.pop(attempt_id, None) is not None:
            self.streaming.add(attempt_id)
            self._head_since = now

    def learn_prefill_rate(self, computed_tokens: int, seconds: float) -> None:
        """Learns the prefill rate from a request that had no queue ahead.

        Args:
            computed_tokens: Prompt tokens that were not cached.
            seconds: From sending it to its first token.
        """
        if computed_tokens < _MIN_WORK_TOKENS or seconds <= 0:
            return
        measured = computed_tokens / seconds
        low = self.initial_prefill_tokens_per_s / _RATE_RANGE
        high = self.initial_prefill_tokens_per_s * _RATE_RANGE
        measured = min(high, max(low, measured))
        self.prefill_tokens_per_s += _RATE_STEP * (
            measured - self.prefill_tokens_per_s
        )

    def learn_mean_prefill(self, computed_tokens: int) -> None:
        """Learns how much prefill a request of the others may be."""
        step = _MEAN_STEP * (computed_tokens - self.mean_prefill_tokens)
        self.mean_prefill_tokens += step

    def finish(self, attempt_id: str) -> None:
        """Notes that an attempt has ended in any way."""
        self.awaiting_first_token.pop(attempt_id, None)
        self.streaming.discard(attempt_id)

    def update(self, report: LoadReport) -> None:
        """Takes in a load report."""
        self.report = report
        self.inflight_at_report = self.inflight

    def add_peer_prefill(self, tokens: float, now: float) -> None:
        """Notes prefill that another router has sent to the target."""
        self._expire_peers(now)
        ahead = self.local_prefill_tokens(now) + self.peer_prefill_tokens()
        done_at = now + (ahead + tokens) / self.prefill_tokens_per_s
        self.peer_prefills.append(PeerPrefill(done_at, tokens))

    def local_prefill_tokens(self, now: float) -> float:
        """Returns our own prefill still to be computed.

        The first in line is being computed since the one before it was done.
        """
        total = sum(
            work.prefill_tokens for work in self.awaiting_first_token.values()
        )
        head = next(iter(self.awaiting_first_token.values()), None)
        if head is None:
            return 0.0
        done = max(0.0, now - self._head_since) * self.prefill_tokens_per_s
        return total - min(done, head.prefill_tokens * _HEAD_SHARE)

    def peer_prefill_tokens(self) -> float:
        """Returns the prefill of other routers, as far as they told."""
        return sum(work.tokens for work in self.peer_prefills)

    def queued_tokens(self, now: float) -> float:
        """Returns prefill tokens ahead of a request sent now.

        What other routers tell comes sooner than the target's report, which
        lags; the larger of the two is taken.
        """
        self._expire_peers(now)
        reported = self._others_waiting() * self.mean_prefill_tokens
        return self.local_prefill_tokens(now) + max(
            self.peer_prefill_tokens(), reported
        )

    def count_requests(self) -> int:
        """Returns requests on the target, ours and others'."""
        if self.report is None:
            return self.inflight
        reported = self.report.running + self.report.waiting
        return self.inflight + max(0, reported - self.inflight_at_report)

    def _expire_peers(self, now: float) -> None:
        """Drops what is done, also behind work that was to take longer."""
        if any(work.done_at <= now for work in self.peer_prefills):
            self.peer_prefills = [
                work for work in self.peer_prefills if work.done_at > now
            ]

    def _others_waiting(self) -> int:
        if self.report is None:
            return 0
        return max(0, self.report.waiting - len(self.awaiting_first_token))
