"""Staggers the retry times of refused callers.

Callers that are refused together and given the same retry time would come back
together and be refused again. Each priority class therefore gets an interval of
its own, the most urgent class the first, and each caller a random time in it.
"""

from __future__ import annotations

__all__ = ["staggered_retry_after_s"]

# Length of the interval of one class, as a share of the minimum wait. With
# three classes the last callers retry after 1.75 times the minimum.
_CLASS_INTERVAL_SHARE = 0.25
# All classes beyond this one share its interval, which bounds the wait.
_MAX_CLASS = 3


def staggered_retry_after_s(
    min_wait_s: float, priority: int, fraction: float
) -> float:
    """Returns the seconds after which a refused caller should retry.

    Args:
        min_wait_s: Minimum wait of the callers that are refused now.
        priority: Priority class of the request; 0 is the most urgent.
        fraction: Random number of the caller, from 0 up to 1.
    """
    class_index = min(max(0, priority), _MAX_CLASS)
    return min_wait_s * (1.0 + _CLASS_INTERVAL_SHARE * (class_index + fraction))
