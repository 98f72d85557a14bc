"""Track the admission level and success rate that replies report for each route.

The level is the rank up to which the services behind a route admit root requests.
The success rate is the fraction of the runs of a route that succeed.
"""

import math
from dataclasses import dataclass

from persimmonhall.admission.level import rescale_level
from persimmonhall.admission.success_rate import SuccessRates
from persimmonhall.ids import RouteName
from persimmonhall.routing.call_graph import CallGraph

# Each reply reports one gate of a service, and they differ: average over this time.
AVERAGING_TIME_S = 0.1
# Reports of other nodes are averages themselves, and several arrive each second.
MERGE_AVERAGING_TIME_S = 0.2
# Minimum weight of a reply, used if it immediately follows another.
MIN_SAMPLE_WEIGHT = 0.1
# Without replies for this long a level is outdated; it rises so that requests
# are admitted and their replies report the current one.
LEVEL_FRESH_S = 0.5
LEVEL_RISE_PER_S = 1.0
# Without replies for this long nothing is known: the node may be cut off.
LEVEL_FORGOTTEN_S = 2.0
# Few root requests are admitted while the runs of a route fail, so replies are rare.
SUCCESS_FRESH_S = 3.0
SUCCESS_RISE_PER_S = 0.05


@dataclass(slots=True)
class _Average:
    """Average a value from replies; let it rise once replies stop."""

    value: float
    updated_at: float
    fresh_s: float
    rise_per_s: float

    def add(
        self,
        value: float,
        max_value: float,
        now: float,
        averaging_s: float = AVERAGING_TIME_S,
    ) -> None:
        """Add the value of one reply."""
        current = self.value_at(max_value, now)
        weight = max(MIN_SAMPLE_WEIGHT, min(1.0, (now - self.updated_at) / averaging_s))
        self.value = current + weight * (value - current)
        self.updated_at = now

    def value_at(self, max_value: float, now: float) -> float:
        """Return the average, raised by the time since the last reply."""
        rise = max(0.0, now - self.updated_at - self.fresh_s) * self.rise_per_s
        return min(max_value, self.value + rise)


class RouteLevels:
    """Average the levels and success rates from replies, for each route."""

    def __init__(self, graph: CallGraph):
        self._graph = graph
        self._levels: dict[RouteName, _Average] = {}
        # Only from replies to this node, without what other nodes have observed.
        self._observed_levels: dict[RouteName, _Average] = {}
        self._success_rates: dict[RouteName, _Average] = {}
        self._answered_rates: SuccessRates[RouteName] = SuccessRates()
        self._rank_count = 1.0

    @property
    def rank_count(self) -> float:
        """Return the number of ranks of the active release."""
        return self._rank_count

    def set_ranks(self, ranks: int) -> None:
        """Set the number of ranks of the active release."""
        if ranks == self._rank_count:
            return
        for levels in (self._levels, self._observed_levels):
            for average in levels.values():
                value = rescale_level(average.value, self._rank_count, ranks)
                average.value = value
        self._rank_count = float(ranks)

    def record_level(self, route: RouteName, level: float, now: float) -> None:
        """Record the level from a reply."""
        for levels in (self._levels, self._observed_levels):
            average = levels.get(route)
            if average is None:
                levels[route] = _Average(level, now, LEVEL_FRESH_S, LEVEL_RISE_PER_S)
            else:
                average.add(level, self._rank_count, now)

    def observed_levels(self, now: float) -> dict[RouteName, float]:
        """Return the levels that replies to this node reported recently."""
        return {
            route: average.value_at(self._rank_count, now)
            for route, average in self._observed_levels.items()
            if now - average.updated_at <= LEVEL_FRESH_S
        }

    def merge_level(self, route: RouteName, level: float, now: float) -> None:
        """Merge the level that another node has observed."""
        average = self._levels.get(route)
        if average is None:
            self._levels[route] = _Average(level, now, LEVEL_FRESH_S, LEVEL_RISE_PER_S)
        else:
            average.add(level, self._rank_count, now, MERGE_AVERAGING_TIME_S)

    def record_success_rate(
        self, route: RouteName, success_rate: float, now: float
    ) -> None:
        """Record the success rate from a reply."""
        average = self._success_rates.get(route)
        if average is not None:
            average.add(success_rate, 1.0, now)
        elif success_rate < 1.0:
            self._success_rates[route] = _Average(
                success_rate, now, SUCCESS_FRESH_S, SUCCESS_RISE_PER_S
            )

    def level(self, route: RouteName, now: float) -> float:
        """Return the level of a route, the number of ranks if unknown."""
        average = self._levels.get(route)
        return (
            self._rank_count
            if average is None
            else average.value_at(self._rank_count, now)
        )

    def known_level(self, route: RouteName, now: float) -> float | None:
        """Return the level of a route, None if it was not reported for long."""
        average = self._levels.get(route)
        if average is None or now - average.updated_at > LEVEL_FORGOTTEN_S:
            return None
        return average.value_at(self._rank_count, now)

    def is_rationing(self, now: float) -> bool:
        """Return whether requests of any route are refused."""
        return any(
            average.value_at(self._rank_count, now) < self._rank_count
            for average in self._levels.values()
        )

    def record_call(self, route: RouteName, is_answered: bool) -> None:
        """Record whether a call of the local backend server was run and answered."""
        self._answered_rates.record(route, is_answered)

    def success_rate_from_calls(self, route: RouteName, now: float) -> float:
        """Return the success rate of a route predicted from that of its calls.

        It is 0 while the calls are unknown: only the runs show the rate then.
        """
        calls = self._graph.significant_calls(route)
        if not calls:
            return 0.0
        success_rates = (
            (self._answered_rates.rate(called) * self.success_rate(called, now))
            ** times
            for called, times in calls.items()
        )
        return math.prod(success_rates)

    def success_rate(self, route: RouteName, now: float) -> float:
        """Return the success rate of a route, 1 if unknown."""
        average = self._success_rates.get(route)
        return 1.0 if average is None else average.value_at(1.0, now)

    def min_called_level(self, route: RouteName, now: float) -> float:
        """Return the lowest level of the routes that a route calls."""
        levels = [
            self.level(called, now) for called in self._graph.possible_calls(route)
        ]
        return min(levels, default=self._rank_count)
