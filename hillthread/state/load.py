"""How busy each target is: its lagging report and our own work since."""

from __future__ import annotations

from typing import NamedTuple

__all__ = ["LoadReport", "OwnWork", "TargetLoad"]

_RATE_STEP = 0.1
_RATE_RANGE = 4.0
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


class OwnWork(NamedTuple):
    """One attempt of ours that the target has not finished.

    Attributes:
        sent_at: Seconds.
        ahead_tokens: Prefill queued before it, as estimated when it was sent.
        prefill_tokens: Its own expected uncached tokens.
    """

    sent_at: float
    ahead_tokens: float
    prefill_tokens: float


class TargetLoad:
    """The load of one target as one router sees it.

    Attributes:
        report: The last report, or None.
        prefill_rate: Tokens a second, learned from first-token times.
    """

    def __init__(self, prefill_rate: float):
        self.first_guess = prefill_rate
        self.prefill_rate = prefill_rate
        self.report: LoadReport | None = None
        self.waiting_first: dict[str, OwnWork] = {}
        self.streaming: set[str] = set()
        self.own_at_report = 0
        self.mean_prefill = 0.0

    @property
    def inflight(self) -> int:
        """Our own unfinished attempts."""
        return len(self.waiting_first) + len(self.streaming)

    def start(self, attempt_id: str, work: OwnWork) -> None:
        """Notes an attempt that is about to be sent."""
        self.waiting_first[attempt_id] = work
        if self.mean_prefill == 0.0:
            self.mean_prefill = work.prefill_tokens
        self.mean_prefill += 0.05 * (work.prefill_tokens - self.mean_prefill)

    def first_token(self, attempt_id: str, now: float) -> None:
        """Notes that an attempt's prefill is done and learns the rate."""
        work = self.waiting_first.pop(attempt_id, None)
        if work is None:
            return
        self.streaming.add(attempt_id)
        tokens = work.ahead_tokens + work.prefill_tokens
        if tokens < _MIN_WORK_TOKENS or now <= work.sent_at:
            return
        measured = tokens / (now - work.sent_at)
        low = self.first_guess / _RATE_RANGE
        high = self.first_guess * _RATE_RANGE
        measured = min(high, max(low, measured))
        self.prefill_rate += _RATE_STEP * (measured - self.prefill_rate)

    def finish(self, attempt_id: str) -> None:
        """Notes that an attempt has ended in any way."""
        self.waiting_first.pop(attempt_id, None)
        self.streaming.discard(attempt_id)

    def update(self, report: LoadReport) -> None:
        """Takes in a load report."""
        self.report = report
        self.own_at_report = self.inflight

    def queued_tokens(self) -> float:
        """Returns prefill tokens ahead of a request sent now."""
        own = sum(work.prefill_tokens for work in self.waiting_first.values())
        return own + self._others_waiting() * self.mean_prefill

    def occupied(self) -> int:
        """Returns requests on the target, ours and others'."""
        if self.report is None:
            return self.inflight
        reported = self.report.running + self.report.waiting
        return self.inflight + max(0, reported - self.own_at_report)

    def _others_waiting(self) -> int:
        if self.report is None:
            return 0
        return max(0, self.report.waiting - len(self.waiting_first))
