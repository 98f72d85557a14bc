"""Track the admission level and success rate that replies report for each route.

The level is the rank up to which the services behind a route admit root requests.
The success rate is the fraction of the runs of a route that succeed.
"""

import math
from dataclasses import dataclass

from persimmonhall.admission.success import SuccessShares
from persimmonhall.ids import RouteName
from persimmonhall.routing.call_graph import CallGraph

# Each reply reports one gate of a service, and they differ: average over this time.
AVERAGE_S = 0.1
# Minimum weight of a reply, used if it immediately follows another.
LEAST_WEIGHT = 0.1
# Without replies for this long a level is outdated; it rises so that requests
# are admitted and their replies report the current one.
FRESH_S = 0.5
RISE_PER_S = 1.0
# Few root requests are admitted while the runs of a route fail, so replies are rare.
SUCCESS_FRESH_S = 3.0
SUCCESS_RISE_PER_S = 0.05


@dataclass(slots=True)
class _Average:
    """Average a value from replies; let it rise once replies stop."""

    value: float
    at: float
    fresh_s: float
    rise_per_s: float

    def take(self, value: float, most: float, now: float) -> None:
        """Add the value of one reply."""
        known = self.aged(most, now)
        weight = max(LEAST_WEIGHT, min(1.0, (now - self.at) / AVERAGE_S))
        self.value = known + weight * (value - known)
        self.at = now

    def aged(self, most: float, now: float) -> float:
        """Return the average, raised by the time since the last reply."""
        rise = max(0.0, now - self.at - self.fresh_s) * self.rise_per_s
        return min(most, self.value + rise)


class RouteLevels:
    """Average the levels and success rates from replies, for each route."""

    def __init__(self, graph: CallGraph):
        self._graph = graph
        self._levels: dict[RouteName, _Average] = {}
        self._successes: dict[RouteName, _Average] = {}
        self._reached: SuccessShares[RouteName] = SuccessShares()
        self._ranks = 1.0

    def set_ranks(self, ranks: int) -> None:
        """Set the number of ranks of the active release."""
        self._ranks = float(ranks)

    def note(self, route: RouteName, level: float, now: float) -> None:
        """Record the level from a reply."""
        average = self._levels.get(route)
        if average is None:
            self._levels[route] = _Average(level, now, FRESH_S, RISE_PER_S)
        else:
            average.take(level, self._ranks, now)

    def note_success(self, route: RouteName, success: float, now: float) -> None:
        """Record the success rate from a reply."""
        average = self._successes.get(route)
        if average is not None:
            average.take(success, 1.0, now)
        elif success < 1.0:
            self._successes[route] = _Average(
                success, now, SUCCESS_FRESH_S, SUCCESS_RISE_PER_S
            )

    def level(self, route: RouteName, now: float) -> float:
        """Return the level of a route, the number of ranks if unknown."""
        average = self._levels.get(route)
        return self._ranks if average is None else average.aged(self._ranks, now)

    def note_call(self, route: RouteName, is_run: bool) -> None:
        """Record whether a call of the local backend server was run and answered."""
        self._reached.end(route, is_run)

    def success_by_calls(self, route: RouteName, now: float) -> float:
        """Return the success rate of a route predicted from that of its calls.

        It is 0 while the calls are unknown: only the runs show the rate then.
        """
        calls = self._graph.sure_calls_of(route)
        if not calls:
            return 0.0
        shares = (
            (self._reached.share(called) * self.success(called, now)) ** times
            for called, times in calls.items()
        )
        return math.prod(shares)

    def success(self, route: RouteName, now: float) -> float:
        """Return the success rate of a route, 1 if unknown."""
        average = self._successes.get(route)
        return 1.0 if average is None else average.aged(1.0, now)

    def level_below(self, route: RouteName, now: float) -> float:
        """Return the lowest level of the routes that a route calls."""
        levels = [self.level(called, now) for called in self._graph.calls_of(route)]
        return min(levels, default=self._ranks)
