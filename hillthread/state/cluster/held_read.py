"""How long a read of the store may be held so that a bound is still kept.

A read that is held brings a change as soon as there is one, unless its
connection falls silent, or the store does not answer it before its time is
over. What it waits for is then found by the next read, whose time has to be
within the bound as well.

Where one host reads for others, what these know is older by the time that it
holds their questions. Should it stand still, they notice when an answer is
overdue, and read the store themselves; what they know must be of use till then.
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

# From the end of the time held until a read counts as lost, seconds: what the
# host believes ages meanwhile, and asking again costs one call.
READ_LOST_AFTER_S = 0.6
# For the next read over a new connection, and for what is done with its answer
# on a host that is short of processor time, seconds.
_NEXT_READ_S = 0.3
# Of a short bound: a read that is not held at all costs a call each few ms.
_LEAST_SHARE = 0.25
# From the end of the time that a host holds a question until it counts as lost.
PEER_READ_LOST_AFTER_S = 0.5
# Between the look of the store at a topic and the taking in, and for a read of
# the store after another host was lost, seconds.
_WAY_S = 0.2
# A host holds a question no longer: it is the time after which others notice
# that it stands still. A question costs a call within a data centre.
_LONGEST_PEER_S = 1.0
# Of the age up to which a host is ready; the rest is for the reader's hold.
_PEER_SHARE = 0.35


class FeedHoldTimes(NamedTuple):
    """How long reads are held where one host reads for others, seconds.

    Attributes:
        peer_s: Of a host that answers others.
        reader_s: Of the store that answers that host.
    """

    peer_s: float
    reader_s: float


def compute_feed_holds(
    ready_age_s: float, greatest_age_s: float
) -> FeedHoldTimes:
    """Returns holds with which hosts that read from another one stay ready.

    Args:
        ready_age_s: What a host knows may be so old in ordinary times.
        greatest_age_s: It is of no use beyond this age; it reaches it at most
            when the host that reads for others stands still.
    """
    peer_s = min(_LONGEST_PEER_S, ready_age_s * _PEER_SHARE)
    ordinary_s = ready_age_s - peer_s - _WAY_S
    lost_s = greatest_age_s - peer_s - PEER_READ_LOST_AFTER_S - 2 * _WAY_S
    least_s = ready_age_s * _LEAST_SHARE
    return FeedHoldTimes(peer_s, max(least_s, min(ordinary_s, lost_s)))


def compute_max_hold_s(bound_s: float) -> float:
    """Returns how long a read may be held.

    Args:
        bound_s: From when the store took a change until it must be in force.
    """
    left_s = bound_s - READ_LOST_AFTER_S - _NEXT_READ_S
    return max(left_s, bound_s * _LEAST_SHARE)
