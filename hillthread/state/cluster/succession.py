"""When a host steps in to do what another one holds the lease for.

A holder that lives acts at once when there is something to do, and shows it by
a renewal. Others look after a short patience, the hosts that rank first for the
duty first; what they read tells when the lease is over at the latest.
"""

from __future__ import annotations

from typing import NamedTuple

__all__ = [
    "WATCHING_HOST_COUNT",
    "LeaseStanding",
    "compute_first_try_at",
    "compute_next_try_at",
]

# A renewal takes some ms, and the news of what is to be done reach all hosts
# within 0.2 s of each other.
_HOLDER_PATIENCE_S = 0.5
_RANK_PATIENCE_S = 0.1
# Hosts that are equal otherwise do not ask at the same moment.
_SPREAD_S = 0.05
# The holder's own next try when its renewal has failed.
_HOLDER_RETRY_S = 0.5
# How long a lease still lasts counts from when its last record was read: those
# who would follow first read it so often, the others when it may be over.
WATCHING_HOST_COUNT = 3
_WATCH_S = 0.8


class LeaseStanding(NamedTuple):
    """How a host stands towards a lease.

    Attributes:
        rank: Its place among the hosts for the duty, 0 first.
        is_holder: It is the last holder, as far as it has read.
        has_holder: Anybody is known to hold it.
        contend_at: Seconds, from when it may be contended; minus infinity when
            nothing hinders that, or when that is not known.
    """

    rank: int
    is_holder: bool
    has_holder: bool
    contend_at: float


def compute_first_try_at(
    standing: LeaseStanding, now: float, luck: float
) -> float:
    """Returns when to try first, after there has come something to do.

    Args:
        standing: Of this host.
        now: Seconds.
        luck: From 0 to 1, drawn anew by each host each time.
    """
    if standing.is_holder:
        return now
    patience_s = _HOLDER_PATIENCE_S if standing.has_holder else 0.0
    return now + patience_s + _turn_s(standing.rank, luck)


def compute_next_try_at(
    standing: LeaseStanding, now: float, luck: float
) -> float:
    """Returns when to try again, after a try that did not bring the lease.

    Args:
        standing: Of this host.
        now: Seconds.
        luck: From 0 to 1, drawn anew by each host each time.
    """
    if standing.is_holder:
        return now + _HOLDER_RETRY_S
    at = max(now + _HOLDER_PATIENCE_S, standing.contend_at)
    at += _turn_s(standing.rank, luck)
    if standing.rank < WATCHING_HOST_COUNT:
        return min(at, now + _WATCH_S)
    return at


def _turn_s(rank: int, luck: float) -> float:
    return rank * _RANK_PATIENCE_S + luck * _SPREAD_S
