"""One version of the configuration, as the platform's operator wrote it."""

from __future__ import annotations

from collections.abc import Mapping
from typing import NamedTuple

from hillthread.state.config import caller_bounds
from hillthread.state.config import objects
from hillthread.state.config import routing_table

__all__ = ["SiteConfiguration"]


class SiteConfiguration(NamedTuple):
    """A configuration in the product's own terms.

    Attributes:
        version: Rises, not by even steps.
        decoded: All objects by key.
        bounds: On what callers send.
        has_tenants: Whether callers need keys on routes that are not public.
    """

    version: int
    decoded: Mapping[objects.ObjectKey, objects.ConfigurationObject]
    bounds: caller_bounds.CallerBounds
    has_tenants: bool

    def build_routing_table(self) -> routing_table.RoutingTable:
        """Returns the routing table of this version."""
        return routing_table.RoutingTable(self.version, self.decoded)
