"""Predicts how long an engine takes to load weights.

The end of a load is known from the engine's reports, each of which costs the
engine a request. Knowing how long recent loads took, the first report can be
read shortly before the end is expected: a load then needs one or two reports
in place of five, and its end is known earlier than by reading at a fixed
interval.
"""

from __future__ import annotations

__all__ = ["LoadTimes"]

# Interval between reports while the time of a load is unknown. Loads take 0.6
# to 0.8 s.
_DEFAULT_INTERVAL_S = 0.2
# Interval between reports around the expected end of a load.
_INTERVAL_S = 0.1
# Weight of a new time in the moving average. Concurrent loads slow each other
# down, so the prediction has to follow within one rollout.
_WEIGHT = 0.5
# Factor by which the prediction is reduced after a load whose first report
# showed its end, and which may have ended earlier.
_REDUCTION = 0.9


class LoadTimes:
    """Learns the time after which a load is seen to have ended.

    Attributes:
        expected_s: Expected time from the start of a load to the report that
            shows its end, in seconds; None before the first load.
    """

    def __init__(self):
        self.expected_s: float | None = None

    def add(self, seconds: float, reports: int) -> None:
        """Adds a load that has ended.

        Args:
            seconds: Time from its start to the report that showed its end.
            reports: Number of reports that were read.
        """
        if self.expected_s is None:
            self.expected_s = seconds
        elif reports == 1:
            self.expected_s *= _REDUCTION
        else:
            self.expected_s += _WEIGHT * (seconds - self.expected_s)

    def next_pause_s(self, elapsed_s: float) -> float:
        """Returns the time until the next report is to be read.

        Args:
            elapsed_s: Time since the load began.
        """
        if self.expected_s is None:
            return _DEFAULT_INTERVAL_S
        return max(_INTERVAL_S, self.expected_s - elapsed_s)
