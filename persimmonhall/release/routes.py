"""Find the route of a request and choose a service by the route's weights."""

import math
import random
from collections import defaultdict
from dataclasses import dataclass

from persimmonhall.ids import RouteKey, ServiceName
from persimmonhall.release.schema import Organisation, Release, Route

# Each node starts the weighted round robin at a random one of these positions: from
# the same one, all nodes would send their first requests to the largest weight.
START_POSITIONS = 100
# What a reply of a gate can tell of; with more priorities, neighbours share a rank.
MAX_RANKS = 64


@dataclass
class _WeightedTarget:
    """Track the weighted round robin credit of a service on one route."""

    service: ServiceName
    weight: float
    credit: float = 0.0


class RouteTable:
    """Look up the routes of one release by host and path."""

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
            host, path_prefix = route.key
            self._hosts[host][path_prefix] = route
        self._longest_prefix = max(
            (len(route.path_prefix) for route in release.routes), default=0
        )
        # Names label routes; two routes may have the same.
        self._targets_by_route: dict[RouteKey, list[_WeightedTarget]] = {
            route.key: self._make_targets(route, previous) for route in release.routes
        }
        self._services = frozenset(
            target.service for route in release.routes for target in route.targets
        )
        priorities = {
            _priority_of(route, organisation)
            for route in release.routes
            for organisation in _organisations_of(route, release)
        }
        steps = max(1, math.ceil(len(priorities) / MAX_RANKS))
        self._ranks_by_priority = {
            priority: number // steps
            for number, priority in enumerate(sorted(priorities))
        }
        self._rank_count = 1 + max(self._ranks_by_priority.values(), default=0)

    @property
    def release(self) -> Release:
        """Return the release that the table was built from."""
        return self._release

    @property
    def services(self) -> frozenset[ServiceName]:
        """Return the services that are targets of routes."""
        return self._services

    @property
    def rank_count(self) -> int:
        """Return the number of different priorities, at least 1."""
        return self._rank_count

    def rank_of(self, route: Route, organisation: Organisation | None = None) -> int:
        """Return the rank of requests of an organisation, 0 for the most urgent."""
        priority = _priority_of(route, organisation)
        return self._ranks_by_priority.get(priority, self._rank_count - 1)

    def find(self, host: str, target: str) -> Route | None:
        """Return the route with the longest matching path prefix, or None."""
        routes = self._hosts.get(host.partition(":")[0].lower())
        if routes is None:
            return None
        # Prefixes end with a slash, so only parts of the path up to a slash can match.
        path = target.partition("?")[0]
        slash = path.rfind("/", 0, self._longest_prefix)
        while slash >= 0:
            route = routes.get(path[: slash + 1])
            if route is not None:
                return route
            slash = path.rfind("/", 0, slash)
        return None

    def choose_service(self, route: Route) -> ServiceName:
        """Return the service of the next request by smooth weighted round robin."""
        targets = self._targets_by_route[route.key]
        if len(targets) == 1:
            return targets[0].service
        return _choose_target(targets).service

    def _make_targets(
        self, route: Route, previous: "RouteTable | None"
    ) -> list[_WeightedTarget]:
        """Reuse the previous credits so that frequent releases preserve the weights."""
        targets = [_WeightedTarget(t.service, t.weight) for t in route.targets]
        previous_targets = (
            previous._targets_by_route.get(route.key, [])
            if previous is not None
            else []
        )
        if [(s.service, s.weight) for s in previous_targets] == [
            (s.service, s.weight) for s in targets
        ]:
            return previous_targets
        if len(targets) > 1:
            for _ in range(self._rng.randrange(START_POSITIONS)):
                _choose_target(targets)
        return targets


def _organisations_of(
    route: Route, release: Release
) -> tuple[Organisation | None, ...]:
    """Return whose requests a route runs; None for those without a key."""
    return (None,) if route.is_public else release.organisations or (None,)


def _priority_of(route: Route, organisation: Organisation | None) -> tuple[int, int]:
    """Return the pair by which requests are ordered, the most urgent first."""
    if organisation is None or organisation.priority is None:
        return route.priority, route.priority
    return organisation.priority, route.priority


def _choose_target(targets: list[_WeightedTarget]) -> _WeightedTarget:
    """Add each weight to its credit; deduct the total from the highest one."""
    total = 0.0
    for target in targets:
        target.credit += target.weight
        total += target.weight
    chosen = max(targets, key=lambda target: target.credit)
    chosen.credit -= total
    return chosen
