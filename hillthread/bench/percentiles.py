"""Percentiles of measured values."""

from __future__ import annotations

from collections.abc import Sequence

__all__ = ["percentile"]


def percentile(ordered: Sequence[float], share: float) -> float:
    """Returns the value below which a share of `ordered` lies."""
    if not ordered:
        return float("nan")
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]
