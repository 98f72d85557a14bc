"""Decide which root requests an entry admits."""

import random

from persimmonhall.admission.level import admitted_fraction
from persimmonhall.admission.returns import Place, ReturnPlan, Standing, Wait
from persimmonhall.admission.success_rate import PROBE_FRACTION, is_unlikely_to_succeed
from persimmonhall.call.caller_identity import caller_of
from persimmonhall.call.in_flight_request import InFlightRequest
from persimmonhall.call.request_checks import CheckRefusal
from persimmonhall.errors import ErrorKind
from persimmonhall.events import Event, EventLog
from persimmonhall.ids import RouteName
from persimmonhall.pooling.fair_shares import FairShares
from persimmonhall.routing.response_times import ResponseTimes
from persimmonhall.routing.route_levels import RouteLevels

# Fractions of the latency objective: a resend within it can still be in time, and the
# spread keeps callers that were refused together from resending together.
MIN_RETRY_AFTER_FRACTION = 0.2
MAX_RETRY_AFTER_FRACTION = 0.7


class RootAdmission:
    """Refuse requests that are unlikely to succeed or to finish in time."""

    def __init__(
        self,
        levels: RouteLevels,
        response_times: ResponseTimes,
        rng: random.Random,
        shares: FairShares,
        returns: ReturnPlan[RouteName],
        log: EventLog,
    ):
        self._returns = returns
        self._log = log
        self._shares = shares
        self._levels = levels
        self._response_times = response_times
        self._rng = rng

    def keep_routes(self, names: set[RouteName]) -> None:
        """Forget the routes that are not in the active release."""
        self._returns.keep(names)

    def refusal(self, request: InFlightRequest, now: float) -> CheckRefusal | None:
        """Return why a root request is refused, None if the request is admitted."""
        if request.is_nested:
            return None
        route = request.route
        success_rate = self._levels.success_rate(route.name, now)
        if (
            is_unlikely_to_succeed(success_rate)
            and self._rng.random() >= PROBE_FRACTION
        ):
            detail = f"nearly all runs of route {route.name} fail as their calls fail"
            inputs = {"success": round(success_rate, 3)}
            wait_s = self.draw_retry_after_s(request)
            return CheckRefusal(ErrorKind.OVERLOADED, detail, inputs, wait_s)
        return self._level_refusal(request, now)

    def plan_return(self, request: InFlightRequest, now: float) -> Place | None:
        """Return when the caller of a refused request is to return.

        None if it could not be recognised then.
        """
        caller = caller_of(request)
        if caller is None:
            return None
        fraction = self._fraction_of_rank(request, now)
        return self._returns.plan(
            request.route.name,
            caller,
            self._wait_of(request),
            now,
            fraction=fraction,
            weight=self._fair_fraction(request, fraction) / fraction,
        )

    def draw_retry_after_s(self, request: InFlightRequest) -> float:
        """Return a random time in seconds after which a refused caller may resend."""
        spread = MAX_RETRY_AFTER_FRACTION - MIN_RETRY_AFTER_FRACTION
        fraction = MIN_RETRY_AFTER_FRACTION + spread * self._rng.random()
        return fraction * request.route.latency_objective_ms / 1000

    def _wait_of(self, request: InFlightRequest) -> Wait:
        """Return the wait after which an answer can still meet the objective."""
        route = request.route
        objective_s = route.latency_objective_ms / 1000
        min_s = MIN_RETRY_AFTER_FRACTION * objective_s
        spare_s = objective_s - self._response_times.mean_s(route.name)
        max_s = min(MAX_RETRY_AFTER_FRACTION * objective_s, spare_s)
        return Wait(min_s, max(min_s, max_s))

    def _level_refusal(
        self, request: InFlightRequest, now: float
    ) -> CheckRefusal | None:
        route = request.route.name
        if request.organisation is not None:
            self._returns.count_asked(route, now)
        rank_fraction = self._fraction_of_rank(request, now)
        if rank_fraction >= 1.0:
            return None
        fraction = self._fair_fraction(request, rank_fraction)
        standing, place = self._standing_of(request, now)
        inputs = {
            "level": round(self._levels.level(route, now), 2),
            "fraction": round(fraction, 3),
            "standing": standing.value,
        }
        if standing is Standing.EARLY:
            detail = "the caller returns before the time that it was told"
            wait_s = place.at - now
            return CheckRefusal(ErrorKind.OVERLOADED, detail, inputs, wait_s)
        if standing is Standing.PROMISED:
            self._returns.keep_promise(route, fraction)
            self._log.emit(
                Event.REQUEST_RETURNED,
                request=request.attempt,
                route=route,
                late_ms=round((now - place.at) * 1000, 1),
                **inputs,
            )
            return None
        if self._returns.draw(route, fraction):
            return None
        detail = f"the services behind route {route} are overloaded"
        return CheckRefusal(ErrorKind.OVERLOADED, detail, inputs)

    def _standing_of(
        self, request: InFlightRequest, now: float
    ) -> tuple[Standing, Place | None]:
        caller = caller_of(request) if len(self._returns) else None
        if caller is None:
            return Standing.NEW, None
        return self._returns.standing(caller, now)

    def _fraction_of_rank(self, request: InFlightRequest, now: float) -> float:
        level = self._levels.level(request.route.name, now)
        return admitted_fraction(level, request.rank)

    def _fair_fraction(self, request: InFlightRequest, fraction: float) -> float:
        if fraction >= 1.0:
            return fraction
        return self._shares.fraction_of(request.organisation, fraction)
