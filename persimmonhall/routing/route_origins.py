"""Tell routes that callers ask for from those that only servers call.

Callers are on every machine, so they are on those of a route's own service too; a
server never calls its own service. So a route that is asked for next to its own
service is asked for by callers, and any other is called by requests that run.
"""

from persimmonhall.ids import RouteName


class RouteOrigins:
    """Remember the routes that callers ask for, from here and from replies."""

    def __init__(self):
        self._asked: set[RouteName] = set()

    def mark(self, route: RouteName) -> None:
        """Note that callers ask for a route."""
        self._asked.add(route)

    def is_asked_by_callers(self, route: RouteName) -> bool:
        """Tell whether callers are known to ask for a route."""
        return route in self._asked

    def keep(self, routes: set[RouteName]) -> None:
        """Forget the routes that are not in the release in force."""
        self._asked &= routes
