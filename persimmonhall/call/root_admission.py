"""Decide which requests of callers an entry begins."""

import math
import random
from typing import NamedTuple

from persimmonhall.admission.level import admitted_fraction
from persimmonhall.admission.success_rate import PROBE_FRACTION, is_unlikely_to_succeed
from persimmonhall.errors import ErrorKind
from persimmonhall.release.schema import Route
from persimmonhall.routing.response_times import ResponseTimes
from persimmonhall.routing.route_levels import RouteLevels

# Of the latency objective: a return within it can still be in time, and the spread
# keeps those refused together from returning together.
LEAST_RETURN_SHARE = 0.2
MOST_RETURN_SHARE = 0.7


class RootRefusal(NamedTuple):
    """Say why a request is not begun, with the figure that decided."""

    kind: ErrorKind
    detail: str
    inputs: dict[str, float]


class RootAdmission:
    """Refuse requests before they run that would not end well, or not in time."""

    def __init__(
        self, levels: RouteLevels, patience: ResponseTimes, rng: random.Random
    ):
        self._levels = levels
        self._patience = patience
        self._rng = rng
        # When a stop breaks off what still runs.
        self.stops_at = math.inf

    def refusal(self, route: Route, rank: int, now: float) -> RootRefusal | None:
        """Return why a request is refused, None if it is let in."""
        if now + self._patience.timeout_s(route.name) > self.stops_at:
            detail = "this node stops before an answer could be there"
            return RootRefusal(ErrorKind.LEAVING, detail, {})
        success = self._levels.success_rate(route.name, now)
        if is_unlikely_to_succeed(success) and self._rng.random() >= PROBE_FRACTION:
            detail = f"nearly all runs of route {route.name} fail with their calls"
            inputs = {"success": round(success, 3)}
            return RootRefusal(ErrorKind.OVERLOADED, detail, inputs)
        level = self._levels.level(route.name, now)
        share = admitted_fraction(level, rank)
        if share < 1.0 and self._rng.random() >= share:
            detail = f"the services of route {route.name} are short of room"
            return RootRefusal(ErrorKind.OVERLOADED, detail, {"level": round(level, 2)})
        return None

    def return_s(self, route: Route) -> float:
        """Draw after how long the caller of a refused request may come back."""
        spread = MOST_RETURN_SHARE - LEAST_RETURN_SHARE
        share = LEAST_RETURN_SHARE + spread * self._rng.random()
        return share * route.latency_objective_ms / 1000
