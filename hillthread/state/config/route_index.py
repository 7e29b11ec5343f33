"""Index of routes by host and longest path prefix."""

from __future__ import annotations

from collections.abc import Iterable

from hillthread.state.config import objects

__all__ = ["RouteIndex"]


class RouteIndex:
    """Routes by host, then by path prefix.

    Prefixes end at slashes, so a lookup takes one step for each level of the
    path, independent of the number of routes.
    """

    def __init__(self, routes: Iterable[objects.Route]):
        self._by_host: dict[str, dict[str, objects.Route]] = {}
        for route in routes:
            prefixes = self._by_host.setdefault(route.host.lower(), {})
            prefixes.setdefault(route.path_prefix, route)

    def find(self, host: str, path: str) -> objects.Route | None:
        """Returns the route with the longest prefix of `path`, or None.

        Args:
            host: The `Host` header; a port is ignored.
            path: Path of the request without the query.
        """
        name = host.partition(":")[0].strip().lower()
        prefixes = self._by_host.get(name)
        if prefixes is None:
            return None
        end = path.rfind("/") + 1
        while end > 0:
            route = prefixes.get(path[:end])
            if route is not None:
                return route
            end = path.rfind("/", 0, end - 1) + 1
        return None
