"""One version of the configuration that the platform's operator wrote."""

from __future__ import annotations

from collections.abc import Mapping
from typing import NamedTuple

from hillthread.state.config import caller_bounds
from hillthread.state.config import objects
from hillthread.state.config import routing_table

__all__ = ["SiteConfiguration"]


class SiteConfiguration(NamedTuple):
    """The platform's configuration as objects of this program.

    Attributes:
        version: Version number, which increases by varying steps.
        decoded: All objects by key.
        bounds: Bounds on the requests of callers.
        has_tenants: Whether callers need keys on routes that are not public.
    """

    version: int
    decoded: Mapping[objects.ObjectKey, objects.ConfigurationObject]
    bounds: caller_bounds.CallerBounds
    has_tenants: bool

    def build_routing_table(self) -> routing_table.RoutingTable:
        """Returns the routing table of this version."""
        return routing_table.RoutingTable(self.version, self.decoded)
