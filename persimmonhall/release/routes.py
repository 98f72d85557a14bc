"""Find the route of a request and the service that its share falls to."""

import random
from collections import defaultdict
from dataclasses import dataclass

from persimmonhall.ids import RouteName, ServiceName
from persimmonhall.release.schema import Release, Route

# Steps that shares may have gone through before the first request: nodes that all
# began alike would send the largest share too much.
PHASES = 100


@dataclass
class _Share:
    """Count how far a service lags behind its share of a route's requests."""

    service: ServiceName
    weight: float
    credit: float = 0.0


class RouteTable:
    """Hold the routes of one release for lookups by host and path."""

    def __init__(
        self,
        release: Release,
        rng: random.Random,
        previous: "RouteTable | None" = None,
    ):
        self._release = release
        self._rng = rng
        self._hosts: dict[str, dict[str, Route]] = defaultdict(dict)
        for route in release.routes:
            self._hosts[route.host.lower()][route.path_prefix] = route
        self._longest_prefix = max(
            (len(route.path_prefix) for route in release.routes), default=0
        )
        self._shares: dict[RouteName, list[_Share]] = {
            route.name: self._shares_of(route, previous) for route in release.routes
        }
        self._services = frozenset(
            target.service for route in release.routes for target in route.targets
        )
        priorities = sorted({route.priority for route in release.routes})
        self._ranks = {priority: rank for rank, priority in enumerate(priorities)}

    @property
    def release(self) -> Release:
        """Return the release that the table was built from."""
        return self._release

    @property
    def services(self) -> frozenset[ServiceName]:
        """Return the services that routes lead to."""
        return self._services

    @property
    def ranks(self) -> int:
        """Return how many different priorities the routes have."""
        return max(1, len(self._ranks))

    def rank_of(self, route: Route) -> int:
        """Return the place of a route's priority among all, 0 for the most urgent."""
        return self._ranks[route.priority]

    def find(self, host: str, target: str) -> Route | None:
        """Return the route with the longest prefix of the path, if there is any."""
        routes = self._hosts.get(host.partition(":")[0].lower())
        if routes is None:
            return None
        # Prefixes end with a slash, so that only these parts of the path may be one.
        path = target.partition("?")[0]
        slash = path.rfind("/", 0, self._longest_prefix)
        while slash >= 0:
            route = routes.get(path[: slash + 1])
            if route is not None:
                return route
            slash = path.rfind("/", 0, slash)
        return None

    def choose_service(self, route: Route) -> ServiceName:
        """Return the service whose share is furthest behind."""
        shares = self._shares[route.name]
        if len(shares) == 1:
            return shares[0].service
        return _choose(shares).service

    def _shares_of(self, route: Route, previous: "RouteTable | None") -> list[_Share]:
        """Go on where the release before stood, so that many releases keep shares."""
        shares = [_Share(t.service, t.weight) for t in route.targets]
        known = previous._shares.get(route.name, []) if previous is not None else []
        if [(s.service, s.weight) for s in known] == [
            (s.service, s.weight) for s in shares
        ]:
            return known
        if len(shares) > 1:
            for _ in range(self._rng.randrange(PHASES)):
                _choose(shares)
        return shares


def _choose(shares: list[_Share]) -> _Share:
    """Take the share that is furthest behind."""
    total = 0.0
    for share in shares:
        share.credit += share.weight
        total += share.weight
    chosen = max(shares, key=lambda share: share.credit)
    chosen.credit -= total
    return chosen
