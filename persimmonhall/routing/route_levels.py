"""Know what replies tell of the services behind each route.

The level says up to which rank they take root requests, the success which share of
the runs of the route ends well.
"""

import math
from dataclasses import dataclass

from persimmonhall.admission.success_rate import SuccessRates
from persimmonhall.ids import RouteName
from persimmonhall.routing.call_graph import CallGraph

# The gates of a service differ, and each reply is one of them: average over this time.
AVERAGE_S = 0.1
# Weight of a reply that follows the one before it at once.
LEAST_WEIGHT = 0.1
# Without replies a level is no longer known; it rises so that requests find out.
FRESH_S = 0.5
RISE_PER_S = 1.0
# Few roots of a route whose runs fail are let in, so that replies are rare.
SUCCESS_FRESH_S = 3.0
SUCCESS_RISE_PER_S = 0.05


@dataclass(slots=True)
class _Average:
    """Average one figure of replies; it rises once replies stop."""

    value: float
    at: float
    fresh_s: float
    rise_per_s: float

    def take(self, value: float, most: float, now: float) -> None:
        """Take in the figure of one reply."""
        known = self.aged(most, now)
        weight = max(LEAST_WEIGHT, min(1.0, (now - self.at) / AVERAGE_S))
        self.value = known + weight * (value - known)
        self.at = now

    def aged(self, most: float, now: float) -> float:
        """Return the average as it stands now."""
        rise = max(0.0, now - self.at - self.fresh_s) * self.rise_per_s
        return min(most, self.value + rise)


class RouteLevels:
    """Average the levels and successes that replies bring, for each route."""

    def __init__(self, graph: CallGraph):
        self._graph = graph
        self._levels: dict[RouteName, _Average] = {}
        self._successes: dict[RouteName, _Average] = {}
        self._reached: SuccessRates[RouteName] = SuccessRates()
        self._ranks = 1.0

    def set_ranks(self, ranks: int) -> None:
        """Take in how many ranks the release in force has."""
        self._ranks = float(ranks)

    def note(self, route: RouteName, level: float, now: float) -> None:
        """Take in the level that a reply brought."""
        average = self._levels.get(route)
        if average is None:
            self._levels[route] = _Average(level, now, FRESH_S, RISE_PER_S)
        else:
            average.take(level, self._ranks, now)

    def note_success(self, route: RouteName, success: float, now: float) -> None:
        """Take in the share of runs that end well, as a reply brought it."""
        average = self._successes.get(route)
        if average is not None:
            average.take(success, 1.0, now)
        elif success < 1.0:
            self._successes[route] = _Average(
                success, now, SUCCESS_FRESH_S, SUCCESS_RISE_PER_S
            )

    def level(self, route: RouteName, now: float) -> float:
        """Return the level of a route."""
        average = self._levels.get(route)
        return self._ranks if average is None else average.aged(self._ranks, now)

    def note_call(self, route: RouteName, is_run: bool) -> None:
        """Take in whether a call of the own backend server was run and answered."""
        self._reached.record(route, is_run)

    def success_by_calls(self, route: RouteName, now: float) -> float:
        """Return which share of the runs of a route its calls let end well.

        It is 0 while the calls are not known: then only runs can tell.
        """
        calls = self._graph.sure_calls_of(route)
        if not calls:
            return 0.0
        shares = (
            (self._reached.rate(called) * self.success(called, now)) ** times
            for called, times in calls.items()
        )
        return math.prod(shares)

    def success(self, route: RouteName, now: float) -> float:
        """Return which share of the runs of a route ends well."""
        average = self._successes.get(route)
        return 1.0 if average is None else average.aged(1.0, now)

    def level_below(self, route: RouteName, now: float) -> float:
        """Return the lowest level of the routes that runs of a route call."""
        levels = [self.level(called, now) for called in self._graph.calls_of(route)]
        return min(levels, default=self._ranks)
