"""Know up to which rank the services behind each route take root requests."""

from dataclasses import dataclass

from persimmonhall.ids import RouteName
from persimmonhall.routing.call_graph import CallGraph

# The gates of a service differ, and each reply is one of them: average over this time.
AVERAGE_S = 0.1
# Weight of a reply that follows the one before it at once.
LEAST_WEIGHT = 0.1
# Without replies a level is no longer known; it rises so that requests find out.
FRESH_S = 0.5
RISE_PER_S = 1.0


@dataclass(slots=True)
class _Seen:
    level: float
    at: float


class RouteLevels:
    """Average the levels that replies bring, for each route."""

    def __init__(self, graph: CallGraph):
        self._graph = graph
        self._seen: dict[RouteName, _Seen] = {}
        self._ranks = 1.0

    def set_ranks(self, ranks: int) -> None:
        """Take in how many ranks the release in force has."""
        self._ranks = float(ranks)

    def note(self, route: RouteName, level: float, now: float) -> None:
        """Take in the level that a reply brought."""
        seen = self._seen.get(route)
        if seen is None:
            self._seen[route] = _Seen(level, now)
            return
        known = self._aged(seen, now)
        weight = max(LEAST_WEIGHT, min(1.0, (now - seen.at) / AVERAGE_S))
        seen.level = known + weight * (level - known)
        seen.at = now

    def level(self, route: RouteName, now: float) -> float:
        """Return the level of a route."""
        seen = self._seen.get(route)
        return self._ranks if seen is None else self._aged(seen, now)

    def level_below(self, route: RouteName, now: float) -> float:
        """Return the lowest level of the routes that runs of a route call."""
        levels = [self.level(called, now) for called in self._graph.calls_of(route)]
        return min(levels, default=self._ranks)

    def _aged(self, seen: _Seen, now: float) -> float:
        rise = max(0.0, now - seen.at - FRESH_S) * RISE_PER_S
        return min(self._ranks, seen.level + rise)
