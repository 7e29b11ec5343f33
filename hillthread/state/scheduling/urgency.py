"""Combines the priorities of a tenant and a route into one urgency.

The tenant's priority takes precedence. The route's priority orders the requests
of tenants with equal priority: most tenants of a deployment have the same one,
so that without it engines serve short interactive prompts and long background
prompts in the order of arrival.
"""

from __future__ import annotations

__all__ = ["LEAST_URGENT", "compute_urgency"]

# Engines accept priorities from 0, the most urgent, to 9.
LEAST_URGENT = 9
# Levels of route priority that are distinguished within one tenant priority, so
# that three tenant priorities fit into the range of engines.
_ROUTE_LEVELS = 3


def compute_urgency(priority: int, route_priority: int) -> int:
    """Returns the urgency of a request, from 0, the most urgent, to 9.

    Args:
        priority: Priority class of the request: its tenant's, or else its
            route's; 0 first.
        route_priority: Priority of its route; 0 first.
    """
    route_level = min(max(0, route_priority), _ROUTE_LEVELS - 1)
    urgency = max(0, priority) * _ROUTE_LEVELS + route_level
    return min(LEAST_URGENT, urgency)
