"""Computes hold times of long-poll reads under a bound on staleness.

The store holds a read until there is a change or the hold time is over. If the
connection falls silent or the store does not answer in time, the change is
found only by the next read, which has to complete within the bound as well.

If one host reads for others, their knowledge is older by the time for which it
holds their reads. If that host hangs, the others notice an overdue answer and
read the store themselves; their knowledge must stay usable until then.
"""

from __future__ import annotations

from typing import NamedTuple

__all__ = [
    "READ_LOST_AFTER_S",
    "PEER_READ_LOST_AFTER_S",
    "FeedHoldTimes",
    "compute_feed_holds",
    "compute_max_hold_s",
]

# Time from the end of a hold until the read counts as lost. A longer one lets
# the host's knowledge age; a shorter one costs a needless call to the store.
READ_LOST_AFTER_S = 0.6
# Time for the next read over a new connection and for processing its answer on
# a host that is short of processor time.
_NEXT_READ_S = 0.3
# Least hold time as a share of a short bound: reads that are not held cost a
# call every few ms.
_MIN_HOLD_SHARE = 0.25
# Time from the end of a host's hold until a read from it counts as lost.
PEER_READ_LOST_AFTER_S = 0.5
# Time from the store's lookup until a page is applied; also the time for a read
# of the store after the reading host was lost.
_PROCESSING_S = 0.2
# Longest hold of a host that reads for others. The others notice only after
# this time that it hangs; each of their reads costs a call within the data
# centre.
_MAX_PEER_HOLD_S = 1.0
# Hold of the reading host as a share of the age up to which a host is ready.
# The rest of that age is for the store's hold and for processing.
_PEER_HOLD_SHARE = 0.35


class FeedHoldTimes(NamedTuple):
    """Hold times when one host reads the store for others, in seconds.

    Attributes:
        peer_s: Hold of the reading host when others read from it.
        reader_s: Hold of the store when the reading host reads from it.
    """

    peer_s: float
    reader_s: float


def compute_feed_holds(
    ready_age_s: float, greatest_age_s: float
) -> FeedHoldTimes:
    """Returns the longest holds under which all hosts stay ready.

    Args:
        ready_age_s: Age of the knowledge up to which a host is ready; not
            exceeded in normal operation.
        greatest_age_s: Age beyond which the knowledge is unusable; reached at
            most when the reading host hangs.
    """
    peer_s = min(_MAX_PEER_HOLD_S, ready_age_s * _PEER_HOLD_SHARE)
    normal_hold_s = ready_age_s - peer_s - _PROCESSING_S
    failover_hold_s = (
        greatest_age_s - peer_s - PEER_READ_LOST_AFTER_S - 2 * _PROCESSING_S
    )
    min_hold_s = ready_age_s * _MIN_HOLD_SHARE
    return FeedHoldTimes(
        peer_s, max(min_hold_s, min(normal_hold_s, failover_hold_s))
    )


def compute_max_hold_s(bound_s: float) -> float:
    """Returns the longest hold time of a read.

    Args:
        bound_s: Time from the acceptance of a change by the store until the
            change must be in force.
    """
    remaining_s = bound_s - READ_LOST_AFTER_S - _NEXT_READ_S
    return max(remaining_s, bound_s * _MIN_HOLD_SHARE)
