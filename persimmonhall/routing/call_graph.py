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
DECAY_PER_INTERVAL = 0.5 ** (1 / HALF_LIFE_INTERVALS)
# With fewer intervals that have runs, any route is assumed to make any call.
MIN_INTERVALS = 30
SOLVE_EVERY_INTERVALS = 10
RIDGE_PENALTY = 1.0
# A route with fewer calls per run than one in five is treated as not making the call.
MIN_CALLS_PER_RUN = 0.2
# An estimate must exceed this many of its standard errors: that of a route with few
# runs is mostly noise while other routes make many calls.
MIN_STANDARD_ERRORS = 2.5
MAX_ROUTES = 12


class CallGraph:
    """Count runs and calls per interval and estimate the calls of one run."""

    def __init__(self):
        self._runs: dict[RouteName, float] = defaultdict(float)
        self._previous_runs: dict[RouteName, float] = {}
        self._calls: dict[RouteName, float] = defaultdict(float)
        self._run_products: dict[tuple[RouteName, RouteName], float] = defaultdict(
            float
        )
        self._run_call_products: dict[tuple[RouteName, RouteName], float] = defaultdict(
            float
        )
        self._calling_routes: dict[RouteName, None] = {}
        self._called_routes: dict[RouteName, None] = {}
        self._call_squares: dict[RouteName, float] = defaultdict(float)
        self._decayed_intervals = 0.0
        self._intervals = 0
        self._calls_per_run: dict[RouteName, dict[RouteName, float]] = {}
        self._significant_calls: dict[RouteName, tuple[RouteName, ...]] = {}

    @property
    def calls_per_run(self) -> dict[RouteName, dict[RouteName, float]]:
        """Return the estimated calls per run of each route, by called route."""
        return self._calls_per_run

    @property
    def has_calls(self) -> bool:
        """Return whether the backend server has ever made a call."""
        return bool(self._called_routes)

    def count_run(self, route: RouteName) -> None:
        """Count a run that the backend server starts."""
        self._runs[route] += 1

    def count_call(self, route: RouteName) -> None:
        """Count a call that the backend server makes."""
        self._calls[route] += 1

    def possible_calls(self, route: RouteName) -> tuple[RouteName, ...]:
        """Return the routes that runs of a route call, or all while that is unknown."""
        if self._intervals < MIN_INTERVALS or route not in self._significant_calls:
            return tuple(self._called_routes)
        return self._significant_calls[route]

    def significant_calls(self, route: RouteName) -> dict[RouteName, float]:
        """Return the significant calls per run of a route, by called route."""
        calls_per_run = self._calls_per_run.get(route, {})
        return {
            called: calls_per_run[called]
            for called in self._significant_calls.get(route, ())
        }

    def end_interval(self) -> None:
        """Add the counts of one interval; update the estimates every ten intervals."""
        # The calls of a run follow its start: about half fall into the next interval.
        runs = {
            route: 0.5 * (self._runs.get(route, 0) + self._previous_runs.get(route, 0))
            for route in {*self._runs, *self._previous_runs}
        }
        self._previous_runs = dict(self._runs)
        calls = dict(self._calls)
        self._runs.clear()
        self._calls.clear()
        if not any(runs.values()):
            return
        self._update_sums(runs, calls)
        self._intervals += 1
        if self._intervals % SOLVE_EVERY_INTERVALS == 0:
            self._solve()

    def _update_sums(self, runs: dict, calls: dict) -> None:
        for route in runs:
            if len(self._calling_routes) < MAX_ROUTES:
                self._calling_routes.setdefault(route)
        for route in calls:
            if len(self._called_routes) < MAX_ROUTES:
                self._called_routes.setdefault(route)
        for totals in (self._run_products, self._run_call_products, self._call_squares):
            for key in totals:
                totals[key] *= DECAY_PER_INTERVAL
        self._decayed_intervals = DECAY_PER_INTERVAL * self._decayed_intervals + 1
        for called, count in calls.items():
            self._call_squares[called] += count * count
        for a, runs_a in runs.items():
            if a not in self._calling_routes:
                continue
            for b, runs_b in runs.items():
                self._run_products[a, b] += runs_a * runs_b
            for called, count in calls.items():
                self._run_call_products[a, called] += runs_a * count

    def _solve(self) -> None:
        routes = list(self._calling_routes)
        inverse = _invert(
            [
                [self._run_products[a, b] + RIDGE_PENALTY * (a == b) for b in routes]
                for a in routes
            ]
        )
        calls_per_run: dict[RouteName, dict[RouteName, float]] = {r: {} for r in routes}
        significant: dict[RouteName, list[RouteName]] = {r: [] for r in routes}
        for called in self._called_routes:
            products = [self._run_call_products[route, called] for route in routes]
            estimates = [
                sum(i * p for i, p in zip(row, products, strict=True))
                for row in inverse
            ]
            explained = sum(c * p for c, p in zip(estimates, products, strict=True))
            residual_variance = max(0.0, self._call_squares[called] - explained) / max(
                1.0, self._decayed_intervals
            )
            for number, route in enumerate(routes):
                standard_error = math.sqrt(
                    residual_variance * max(0.0, inverse[number][number])
                )
                calls_per_run[route][called] = estimates[number]
                if estimates[number] > max(
                    MIN_CALLS_PER_RUN, MIN_STANDARD_ERRORS * standard_error
                ):
                    significant[route].append(called)
        self._calls_per_run = calls_per_run
        self._significant_calls = {
            route: tuple(called) for route, called in significant.items()
        }


def _invert(matrix: list[list[float]]) -> list[list[float]]:
    """Invert a matrix by Gauss-Jordan elimination with partial pivoting."""
    size = len(matrix)
    rows = [
        row + [float(number == other) for other in range(size)]
        for number, row in enumerate(matrix)
    ]
    for pivot in range(size):
        best = max(range(pivot, size), key=lambda row: abs(rows[row][pivot]))
        rows[pivot], rows[best] = rows[best], rows[pivot]
        divisor = rows[pivot][pivot] or RIDGE_PENALTY
        rows[pivot] = [value / divisor for value in rows[pivot]]
        for row in range(size):
            factor = rows[row][pivot]
            if row != pivot and factor:
                rows[row] = [
                    value - factor * base
                    for value, base in zip(rows[row], rows[pivot], strict=True)
                ]
    return [row[size:] for row in rows]
