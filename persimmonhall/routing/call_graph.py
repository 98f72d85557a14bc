"""Estimate how many calls a run of each route makes, from counts alone.

Calls carry no chain: a node sees only how many runs of each route its backend
server started and how many calls it made in the same interval. The counts of
different routes vary independently, so that ridge regression over many intervals
yields the calls of each route.
"""

import math
from collections import defaultdict

from persimmonhall.ids import RouteName

INTERVAL_S = 0.1
# Old intervals decay: a release or a new server version may change the calls.
HALF_LIFE_INTERVALS = 200
KEEP = 0.5 ** (1 / HALF_LIFE_INTERVALS)
# With fewer intervals that have runs, any route is assumed to make any call.
LEAST_INTERVALS = 30
SOLVE_EVERY = 10
RIDGE = 1.0
# A route with fewer calls per run than one in five is treated as not making the call.
LEAST_CALLS = 0.2
# An estimate must exceed this many of its standard errors: that of a route with few
# runs is mostly noise while other routes make many calls.
SURE = 2.5
MAX_ROUTES = 12


class CallGraph:
    """Count runs and calls per interval and estimate the calls of one run."""

    def __init__(self):
        self._runs: dict[RouteName, float] = defaultdict(float)
        self._previous: dict[RouteName, float] = {}
        self._calls: dict[RouteName, float] = defaultdict(float)
        self._pairs: dict[tuple[RouteName, RouteName], float] = defaultdict(float)
        self._products: dict[tuple[RouteName, RouteName], float] = defaultdict(float)
        self._routes: dict[RouteName, None] = {}
        self._called: dict[RouteName, None] = {}
        self._squares: dict[RouteName, float] = defaultdict(float)
        self._seen = 0.0
        self._intervals = 0
        self._weights: dict[RouteName, dict[RouteName, float]] = {}
        self._sure: dict[RouteName, tuple[RouteName, ...]] = {}

    @property
    def weights(self) -> dict[RouteName, dict[RouteName, float]]:
        """Return the estimated calls per run of each route, by called route."""
        return self._weights

    @property
    def has_calls(self) -> bool:
        """Return whether the backend server has ever made a call."""
        return bool(self._called)

    def count_run(self, route: RouteName) -> None:
        """Count a run that the backend server starts."""
        self._runs[route] += 1

    def count_call(self, route: RouteName) -> None:
        """Count a call that the backend server makes."""
        self._calls[route] += 1

    def calls_of(self, route: RouteName) -> tuple[RouteName, ...]:
        """Return the routes that runs of a route call, or all while that is unknown."""
        if self._intervals < LEAST_INTERVALS or route not in self._sure:
            return tuple(self._called)
        return self._sure[route]

    def sure_calls_of(self, route: RouteName) -> dict[RouteName, float]:
        """Return the significant calls per run of a route, by called route."""
        weights = self._weights.get(route, {})
        return {called: weights[called] for called in self._sure.get(route, ())}

    def end_interval(self) -> None:
        """Add the counts of one interval; update the estimates every ten intervals."""
        # The calls of a run follow its start: about half fall into the next interval.
        runs = {
            route: 0.5 * (self._runs.get(route, 0) + self._previous.get(route, 0))
            for route in {*self._runs, *self._previous}
        }
        self._previous = dict(self._runs)
        calls = dict(self._calls)
        self._runs.clear()
        self._calls.clear()
        if not any(runs.values()):
            return
        self._remember(runs, calls)
        self._intervals += 1
        if self._intervals % SOLVE_EVERY == 0:
            self._solve()

    def _remember(self, runs: dict, calls: dict) -> None:
        for route in runs:
            if len(self._routes) < MAX_ROUTES:
                self._routes.setdefault(route)
        for route in calls:
            if len(self._called) < MAX_ROUTES:
                self._called.setdefault(route)
        for totals in (self._pairs, self._products, self._squares):
            for key in totals:
                totals[key] *= KEEP
        self._seen = KEEP * self._seen + 1
        for called, count in calls.items():
            self._squares[called] += count * count
        for a, runs_a in runs.items():
            if a not in self._routes:
                continue
            for b, runs_b in runs.items():
                self._pairs[a, b] += runs_a * runs_b
            for called, count in calls.items():
                self._products[a, called] += runs_a * count

    def _solve(self) -> None:
        routes = list(self._routes)
        inverse = _inverse(
            [[self._pairs[a, b] + RIDGE * (a == b) for b in routes] for a in routes]
        )
        weights: dict[RouteName, dict[RouteName, float]] = {r: {} for r in routes}
        sure: dict[RouteName, list[RouteName]] = {r: [] for r in routes}
        for called in self._called:
            products = [self._products[route, called] for route in routes]
            counts = [
                sum(i * p for i, p in zip(row, products, strict=True))
                for row in inverse
            ]
            explained = sum(c * p for c, p in zip(counts, products, strict=True))
            left = max(0.0, self._squares[called] - explained) / max(1.0, self._seen)
            for number, route in enumerate(routes):
                error = math.sqrt(left * max(0.0, inverse[number][number]))
                weights[route][called] = counts[number]
                if counts[number] > max(LEAST_CALLS, SURE * error):
                    sure[route].append(called)
        self._weights = weights
        self._sure = {route: tuple(called) for route, called in sure.items()}


def _inverse(matrix: list[list[float]]) -> list[list[float]]:
    """Invert a matrix by Gauss-Jordan elimination with partial pivoting."""
    size = len(matrix)
    rows = [
        row + [float(number == other) for other in range(size)]
        for number, row in enumerate(matrix)
    ]
    for pivot in range(size):
        best = max(range(pivot, size), key=lambda row: abs(rows[row][pivot]))
        rows[pivot], rows[best] = rows[best], rows[pivot]
        divisor = rows[pivot][pivot] or RIDGE
        rows[pivot] = [value / divisor for value in rows[pivot]]
        for row in range(size):
            factor = rows[row][pivot]
            if row != pivot and factor:
                rows[row] = [
                    value - factor * base
                    for value, base in zip(rows[row], rows[pivot], strict=True)
                ]
    return [row[size:] for row in rows]
