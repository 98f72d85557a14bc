"""Decide whether a request is sent to another server after its call has failed."""

from persimmonhall.call.in_flight_request import InFlightRequest
from persimmonhall.call.shutdown_window import ShutdownWindow
from persimmonhall.membership.messages import Member
from persimmonhall.membership.table import MemberTable
from persimmonhall.release.active import ActiveRelease
from persimmonhall.routing.response_times import ResponseTimes
from persimmonhall.routing.route_levels import RouteLevels
from persimmonhall.routing.service_retry_budget import ServiceRetryBudget

# A service whose level is less than this below the rank count has spare capacity.
SPARE_CAPACITY_LEVEL_MARGIN = 0.3


class RetryPolicy:
    """Allow retries within the route's limit, the budget and the spare capacity."""

    def __init__(
        self,
        table: MemberTable,
        releases: ActiveRelease,
        levels: RouteLevels,
        response_times: ResponseTimes,
        budget: ServiceRetryBudget,
        shutdown: ShutdownWindow,
    ):
        self._table = table
        self._releases = releases
        self._levels = levels
        self._response_times = response_times
        self._budget = budget
        self._shutdown = shutdown

    def earn(self, request: InFlightRequest) -> None:
        """Count a request, which fills the budget of its service."""
        self._budget.earn(request.service, self._table.member_count)

    def servers_of(self, request: InFlightRequest) -> tuple[Member, ...]:
        """Return the known servers of the service of a request."""
        return self._table.servers_of(request.service)

    def has_untried_server(self, request: InFlightRequest) -> bool:
        """Return whether the service has a server that the request was not sent to."""
        return len(self.servers_of(request)) > len(request.tried_nodes)

    def is_retry_allowed(self, request: InFlightRequest) -> bool:
        """Return whether the route allows a retry of a request that may have run."""
        return request.route.is_idempotent and self._has_attempt_left(request)

    def try_acquire_overdue(self, request: InFlightRequest, now: float) -> bool:
        """Take a retry from the budget for a request whose answer is overdue.

        The other servers may have left since the request was sent, and may refuse it:
        a process that stops must not end a run without another one in its place.
        """
        return (
            not self._shutdown.is_set
            and self.is_retry_allowed(request)
            and self._has_spare_capacity(request, now)
            and self._spend(request)
        )

    def try_acquire(self, request: InFlightRequest, now: float) -> bool:
        """Take a retry of a request that may have run; return False if not allowed."""
        mean_s = self._response_times.mean_s(request.route.name)
        return (
            request.deadline - now > mean_s
            and self.is_retry_allowed(request)
            and self._has_spare_capacity(request, now)
            and self._spend(request)
        )

    def try_acquire_unrun(self, request: InFlightRequest) -> bool:
        """Take a retry of a request that has not run; return False if not allowed."""
        return self._has_attempt_left(request) and self._spend(request)

    def _has_attempt_left(self, request: InFlightRequest) -> bool:
        is_within_limit = request.retries + 1 < request.route.max_servers
        return is_within_limit and self.has_untried_server(request)

    def _has_spare_capacity(self, request: InFlightRequest, now: float) -> bool:
        """Return whether the services behind a route have spare capacity."""
        max_level = self._releases.routes.rank_count
        return (
            self._levels.level(request.route.name, now)
            > max_level - SPARE_CAPACITY_LEVEL_MARGIN
        )

    def _spend(self, request: InFlightRequest) -> bool:
        return self._budget.spend(request.service, self._table.member_count)
