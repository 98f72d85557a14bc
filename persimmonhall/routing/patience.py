"""Estimate response times and derive when an answer is overdue."""

from dataclasses import dataclass

from persimmonhall.ids import RouteName

WEIGHT = 0.05
# Mean deviations above the mean: nearly all answers that arrive do so before this.
DEVIATIONS = 8.0
LEAST_S = 0.25
UNKNOWN_S = 2.0


@dataclass(slots=True)
class _Usual:
    mean_s: float
    deviation_s: float


class Patience:
    """Average the response times of each route and their deviation."""

    def __init__(self):
        self._usual: dict[RouteName, _Usual] = {}

    def record(self, route: RouteName, took_s: float) -> None:
        """Record the response time of one answer."""
        usual = self._usual.get(route)
        if usual is None:
            self._usual[route] = _Usual(took_s, took_s / 2)
            return
        error = took_s - usual.mean_s
        usual.mean_s += WEIGHT * error
        usual.deviation_s += WEIGHT * (abs(error) - usual.deviation_s)

    def usual_s(self, route: RouteName) -> float:
        """Return the mean response time of a route, 0 if unknown."""
        usual = self._usual.get(route)
        return usual.mean_s if usual is not None else 0.0

    def seconds(self, route: RouteName) -> float:
        """Return the time in seconds after which an answer counts as lost."""
        usual = self._usual.get(route)
        if usual is None:
            return UNKNOWN_S
        return max(LEAST_S, usual.mean_s + DEVIATIONS * usual.deviation_s)
