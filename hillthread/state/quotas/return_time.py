"""Staggers the retry times of refused callers.

Callers that are refused together and given the same retry time would come back
together and be refused again. Each priority class therefore gets an interval of
its own, the most urgent class the first, and each caller a random time in it.
"""

from __future__ import annotations

from hillthread.state.scheduling import urgency as urgency_lib

__all__ = ["class_of_urgency", "staggered_retry_after_s"]

# Length of the interval of one class, as a share of the minimum wait. With
# three classes the last callers retry after 1.75 times the minimum.
_CLASS_INTERVAL_SHARE = 0.25
# All classes beyond this one share its interval, which bounds the wait.
_MAX_CLASS = 3


def class_of_urgency(urgency: int) -> float:
    """Returns the class of prompts by which their retries are staggered.

    The intervals of adjacent urgencies overlap, so that all ten fit into the
    time of the classes.
    """
    return _MAX_CLASS * urgency / urgency_lib.LEAST_URGENT


def staggered_retry_after_s(
    min_wait_s: float, priority: float, fraction: float
) -> float:
    """Returns the seconds after which a refused caller should retry.

    Args:
        min_wait_s: Minimum wait of the callers that are refused now.
        priority: Priority class of the request; 0 is the most urgent.
        fraction: Random number of the caller, from 0 up to 1.
    """
    class_index = min(max(0.0, priority), _MAX_CLASS)
    return min_wait_s * (1.0 + _CLASS_INTERVAL_SHARE * (class_index + fraction))
