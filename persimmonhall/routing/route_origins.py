"""Distinguish routes that callers request from those that only servers call.

Callers run on every machine, also on those that host a route's own service, but a
server never calls its own service. So a route that is requested on a machine of its
own service is requested by callers; any other is called by requests that run.
"""

from persimmonhall.ids import RouteName


class RouteOrigins:
    """Track the routes that callers request, seen locally or reported by replies."""

    def __init__(self):
        self._requested_by_callers: set[RouteName] = set()

    def mark_requested_by_callers(self, route: RouteName) -> None:
        """Record that callers request a route."""
        self._requested_by_callers.add(route)

    def is_requested_by_callers(self, route: RouteName) -> bool:
        """Return whether callers are known to request a route."""
        return route in self._requested_by_callers

    def keep(self, routes: set[RouteName]) -> None:
        """Forget the routes that are not in the active release."""
        self._requested_by_callers &= routes
