"""Estimate response times and derive when an answer is overdue."""

from dataclasses import dataclass

from persimmonhall.ids import RouteName

SAMPLE_WEIGHT = 0.05
# Mean deviations above the mean: nearly all answers that arrive do so before this.
TIMEOUT_DEVIATIONS = 8.0
MIN_TIMEOUT_S = 0.25
DEFAULT_TIMEOUT_S = 2.0


@dataclass(slots=True)
class _Estimate:
    mean_s: float
    deviation_s: float


class ResponseTimes:
    """Average the response times of each route and their deviation."""

    def __init__(self):
        self._estimates: dict[RouteName, _Estimate] = {}

    def record(self, route: RouteName, response_time_s: float) -> None:
        """Record the response time of one answer."""
        estimate = self._estimates.get(route)
        if estimate is None:
            self._estimates[route] = _Estimate(response_time_s, response_time_s / 2)
            return
        error = response_time_s - estimate.mean_s
        estimate.mean_s += SAMPLE_WEIGHT * error
        estimate.deviation_s += SAMPLE_WEIGHT * (abs(error) - estimate.deviation_s)

    def mean_s(self, route: RouteName) -> float:
        """Return the mean response time of a route, 0 if unknown."""
        estimate = self._estimates.get(route)
        return estimate.mean_s if estimate is not None else 0.0

    def timeout_s(self, route: RouteName) -> float:
        """Return the time in seconds after which an answer counts as lost."""
        estimate = self._estimates.get(route)
        if estimate is None:
            return DEFAULT_TIMEOUT_S
        return max(
            MIN_TIMEOUT_S, estimate.mean_s + TIMEOUT_DEVIATIONS * estimate.deviation_s
        )
