"""When callers that were refused may come back, and in which order.

Callers that were refused together and told the same time would come back
together, and be refused again. Each class gets a span of its own, the most
urgent the first, and each caller a moment within it.
"""

from __future__ import annotations

__all__ = ["staggered_retry_after_s"]

# Length of the span of one class, as a share of the least time. With three
# classes the last come back after 1.75 times the least.
_SPAN_SHARE = 0.25
# Classes beyond this one share its span: nobody is to wait for long.
_LAST_SPAN = 3


def staggered_retry_after_s(
    least_s: float, priority: int, draw: float
) -> float:
    """Returns after how long a caller should come back, seconds.

    Args:
        least_s: When the first of those refused now may come back.
        priority: Class of the request, 0 first.
        draw: From 0 up to 1, drawn for each caller.
    """
    span = min(max(0, priority), _LAST_SPAN)
    return least_s * (1.0 + _SPAN_SHARE * (span + draw))
