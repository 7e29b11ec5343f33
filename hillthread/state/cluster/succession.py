"""Computes when a host tries to take over the duty of a lease's holder.

A live holder acts at once when there is work and renews its lease, which the
other hosts can read. They check after a short delay, the first-ranked hosts for
the duty first. The log shows them when the lease expires at the latest.
"""

from __future__ import annotations

from typing import NamedTuple

__all__ = [
    "WATCHING_HOST_COUNT",
    "LeaseStanding",
    "compute_first_try_at",
    "compute_next_try_at",
]

# Delay that gives a live holder time for its renewal. A renewal takes some ms,
# and all hosts learn of new work within 0.2 s of each other.
_HOLDER_DELAY_S = 0.5
# Additional delay of each rank.
_RANK_DELAY_S = 0.1
# Upper limit of a random delay, so that hosts do not try at the same moment.
_JITTER_S = 0.05
# Delay until the holder tries again after a failed renewal.
_HOLDER_RETRY_S = 0.5
# A host counts the remaining time of a lease from when it read the last record.
# The first-ranked hosts, which would take over first, therefore read the log at
# this interval; the others read it when the lease may have expired.
WATCHING_HOST_COUNT = 3
_WATCH_INTERVAL_S = 0.8


class LeaseStanding(NamedTuple):
    """What a host knows of a lease.

    Attributes:
        rank: Rank of the host for the duty, 0 first.
        is_holder: Whether it is the last holder, as far as it has read.
        has_holder: Whether any host is known to hold the lease.
        contend_at: Earliest time to contend for the lease, in seconds; minus
            infinity when there is no limit or it is unknown.
    """

    rank: int
    is_holder: bool
    has_holder: bool
    contend_at: float


def compute_first_try_at(
    standing: LeaseStanding, now: float, jitter: float
) -> float:
    """Returns when to try first after new work has arrived.

    Args:
        standing: What this host knows of the lease.
        now: Current time, in seconds.
        jitter: Random number from 0 to 1, drawn by each host for each call.
    """
    if standing.is_holder:
        return now
    delay_s = _HOLDER_DELAY_S if standing.has_holder else 0.0
    return now + delay_s + _compute_turn_delay_s(standing.rank, jitter)


def compute_next_try_at(
    standing: LeaseStanding, now: float, jitter: float
) -> float:
    """Returns when to try again after a try that did not yield the lease.

    Args:
        standing: What this host knows of the lease.
        now: Current time, in seconds.
        jitter: Random number from 0 to 1, drawn by each host for each call.
    """
    if standing.is_holder:
        return now + _HOLDER_RETRY_S
    at = max(now + _HOLDER_DELAY_S, standing.contend_at)
    at += _compute_turn_delay_s(standing.rank, jitter)
    if standing.rank < WATCHING_HOST_COUNT:
        return min(at, now + _WATCH_INTERVAL_S)
    return at


def _compute_turn_delay_s(rank: int, jitter: float) -> float:
    return rank * _RANK_DELAY_S + jitter * _JITTER_S
