"""Measure the load of a gate and report it with each reply."""

import math

from persimmonhall.admission.level import LevelController, WorkFractions
from persimmonhall.admission.success_rate import SuccessRates
from persimmonhall.ids import RouteName
from persimmonhall.routing.route_knowledge import RouteKnowledge
from persimmonhall.routing.server_speed import ServerSpeed
from persimmonhall.wire.call_frames import GateLoad

RUN_TIME_WEIGHT = 0.1


class GateLoadMeter:
    """Average run times, adjust the level and make the load reports of one gate."""

    def __init__(self, knowledge: RouteKnowledge):
        self._graph = knowledge.graph
        self._levels = knowledge.levels
        self._origins = knowledge.origins
        self._level_controller = LevelController(1)
        self._work_fractions: WorkFractions[RouteName] = WorkFractions()
        self._success_rates: SuccessRates[RouteName] = SuccessRates()
        self._run_s_by_route: dict[RouteName, float] = {}
        self.speed = ServerSpeed()
        self.mean_run_s = 0.0

    @property
    def level(self) -> float:
        """Return up to which rank this gate alone would admit root requests."""
        return self._level_controller.level

    def set_ranks(self, ranks: int) -> None:
        """Set the number of priority ranks of the active release."""
        self._level_controller.set_ranks(ranks)

    def expected_run_s(self, route: RouteName) -> float:
        """Return the expected run time of a call in seconds, 0 if unknown."""
        return self._run_s_by_route.get(route, 0.0)

    def is_small(self, route: RouteName) -> bool:
        """Return whether a route causes little of the work of this gate."""
        return self._work_fractions.is_small(route)

    def add_work(self, route: RouteName) -> None:
        """Count the expected work of an arriving call."""
        run_s = self.expected_run_s(route)
        self._level_controller.add_work(run_s)
        self._work_fractions.add_work(route, run_s)

    def record_answer(
        self, route: RouteName, run_s: float, now: float, *, is_success: bool
    ) -> None:
        """Record the run time and the success of a call that was answered."""
        if is_success:
            self.speed.record(route, run_s, now)
        self._success_rates.record(route, is_success)
        mean_run_s = self._run_s_by_route.get(route, run_s)
        self._run_s_by_route[route] = mean_run_s + RUN_TIME_WEIGHT * (
            run_s - mean_run_s
        )
        # The first answer counts in full: a mean that rises from zero looks like a
        # server with a low rate limit that is overloaded.
        weight = RUN_TIME_WEIGHT if self.mean_run_s else 1.0
        self.mean_run_s += weight * (run_s - self.mean_run_s)

    def step(self, queued: int, capacity: float, elapsed_s: float, now: float) -> None:
        """Adjust the level to the load since the last step."""
        common_level = self._common_level(now)
        self._level_controller.step(
            queued, capacity, elapsed_s, self.mean_run_s, common_level
        )
        self._work_fractions.update()

    def own_levels(self, now: float) -> dict[RouteName, float]:
        """Return the levels that replies report now, of the routes run here."""
        return {route: self._level_for(route, now) for route in self._run_s_by_route}

    def make_report(
        self,
        route: RouteName,
        in_flight: int,
        queued: int,
        capacity: float,
        *,
        is_rate_limited: bool,
        now: float,
    ) -> GateLoad:
        """Return the load, with the lowest level of the gate and the route's calls."""
        return GateLoad(
            in_flight,
            queued,
            math.ceil(capacity),
            self._level_for(route, now) / self._levels.rank_count,
            self._origins.is_requested_by_callers(route),
            self._success_rate(route, now),
            is_rate_limited,
            self.speed.slowdown(now, in_flight),
            self.speed.usual_s(route),
        )

    def _common_level(self, now: float) -> float | None:
        """Return the mean level of the gates of this service, None if unknown."""
        route = self._work_fractions.largest
        return None if route is None else self._levels.known_level(route, now)

    def _level_for(self, route: RouteName, now: float) -> float:
        local_level = self._level_controller.level + self.is_small(route)
        return min(local_level, self._levels.min_called_level(route, now))

    def _success_rate(self, route: RouteName, now: float) -> float:
        """Return the success rate of a route, 1 if the server makes no calls.

        While runs fail, few are admitted, so that a recovery shows first in the calls.
        """
        if not self._graph.has_calls:
            return 1.0
        rate_from_calls = self._levels.success_rate_from_calls(route, now)
        return max(self._success_rates.rate(route), rate_from_calls)
