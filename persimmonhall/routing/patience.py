"""Know how long an answer usually takes, and when one is overdue."""

from dataclasses import dataclass

from persimmonhall.ids import RouteName

WEIGHT = 0.05
# Mean deviations beyond the mean: of answers that come at all, nearly all do before.
DEVIATIONS = 8.0
LEAST_S = 0.25
UNKNOWN_S = 2.0


@dataclass(slots=True)
class _Usual:
    mean_s: float
    deviation_s: float


class Patience:
    """Average how long answers take on each route."""

    def __init__(self):
        self._usual: dict[RouteName, _Usual] = {}

    def record(self, route: RouteName, took_s: float) -> None:
        """Take in how long one answer took."""
        usual = self._usual.get(route)
        if usual is None:
            self._usual[route] = _Usual(took_s, took_s / 2)
            return
        error = took_s - usual.mean_s
        usual.mean_s += WEIGHT * error
        usual.deviation_s += WEIGHT * (abs(error) - usual.deviation_s)

    def usual_s(self, route: RouteName) -> float:
        """Return how long an answer usually takes, 0 if that is not known."""
        usual = self._usual.get(route)
        return usual.mean_s if usual is not None else 0.0

    def seconds(self, route: RouteName) -> float:
        """Return after how long an answer is taken for lost."""
        usual = self._usual.get(route)
        if usual is None:
            return UNKNOWN_S
        return max(LEAST_S, usual.mean_s + DEVIATIONS * usual.deviation_s)
