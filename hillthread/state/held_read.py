"""How long a read of the store may be held so that a bound is still kept.

A read that is held brings a change as soon as there is one, unless its
connection falls silent, or the store does not answer it before its time is
over. What it waits for is then found by the next read, whose time has to be
within the bound as well.
"""

from __future__ import annotations

__all__ = ["LOST_AFTER_S", "longest_hold_s"]

# From the end of the time held until a read counts as lost, seconds: what the
# host believes ages meanwhile, and asking again costs one call.
LOST_AFTER_S = 0.6
# For the next read over a new connection, and for what is done with its answer
# on a host that is short of processor time, seconds.
_NEXT_READ_S = 0.3
# Of a short bound: a read that is not held at all costs a call each few ms.
_LEAST_SHARE = 0.25


def longest_hold_s(bound_s: float) -> float:
    """Returns how long a read may be held.

    Args:
        bound_s: From when the store took a change until it must be in force.
    """
    left_s = bound_s - LOST_AFTER_S - _NEXT_READ_S
    return max(left_s, bound_s * _LEAST_SHARE)
