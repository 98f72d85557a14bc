"""Route the requests of callers and of the local backend server to gates."""

from collections.abc import Sequence

from persimmonhall.admission.room_wait import may_wait_again
from persimmonhall.call.call_dispatcher import CallDispatcher
from persimmonhall.call.in_flight_request import InFlightRequest
from persimmonhall.call.request_answers import RequestAnswers
from persimmonhall.call.request_checks import EntryChecks, RequestCheck
from persimmonhall.call.request_factory import RequestFactory
from persimmonhall.call.retry_policy import RetryPolicy
from persimmonhall.call.root_admission import RootAdmission
from persimmonhall.errors import ErrorKind, Ran, Refusal, refuse
from persimmonhall.event_time import current_time
from persimmonhall.events import Event
from persimmonhall.exposition import CallCounters
from persimmonhall.http.caller_server import Exchange
from persimmonhall.http.message_reader import Message
from persimmonhall.http.messages import FIRST_SERVER_ERROR_STATUS
from persimmonhall.ids import CallNumber, RouteName
from persimmonhall.process_pauses import BACKLOG_READ_S, ProcessPauses
from persimmonhall.release.active import ActiveRelease
from persimmonhall.routing.response_times import ResponseTimes
from persimmonhall.routing.route_knowledge import RouteKnowledge
from persimmonhall.routing.server_view import CallOutcome
from persimmonhall.timers import Timers
from persimmonhall.wire.call_frames import GateLoad, RoutedReply

# Rerouting a request that a gate has not sent to its server costs no server any work.
MAX_REROUTES = 3
MAX_OVERLOAD_REROUTES = 1
NO_LOAD = GateLoad(0, 0, 0, 0.0)
# Refusals of gates that other servers of the service may not share.
NOT_SENT_ERRORS = frozenset(
    {
        ErrorKind.LEAVING,
        ErrorKind.NO_SERVER,
        ErrorKind.CONNECT_FAILED,
        ErrorKind.RATE_LIMITED,
    }
)


class RoutedEntry:
    """Send each request to a gate, retry it where that is safe, and answer once.

    docs/design/request-path.md leads through the parts of this path.
    """

    def __init__(
        self,
        requests: RequestFactory,
        releases: ActiveRelease,
        knowledge: RouteKnowledge,
        admission: RootAdmission,
        checks: EntryChecks,
        dispatcher: CallDispatcher,
        retries: RetryPolicy,
        answers: RequestAnswers,
        response_times: ResponseTimes,
        timers: Timers,
        pauses: ProcessPauses,
    ):
        self._requests = requests
        self._releases = releases
        self._graph = knowledge.graph
        self._levels = knowledge.levels
        self._origins = knowledge.origins
        self._admission = admission
        self._checks = checks
        self._dispatcher = dispatcher
        self._retries = retries
        self._answers = answers
        self._response_times = response_times
        self._timers = timers
        self._pauses = pauses
        self.last_request_at = 0.0

    @property
    def counts(self) -> CallCounters:
        """Return the counts of requests by outcome."""
        return self._answers.counts

    @property
    def in_flight(self) -> int:
        """Return the number of requests that wait for the reply of a gate."""
        return self._dispatcher.in_flight

    def keep_routes(self, names: set[RouteName]) -> None:
        """Forget the routes that are not in the active release."""
        self._admission.keep_routes(names)

    def begin(self, message: Message, exchange: Exchange) -> None:
        """Route a request or refuse it."""
        now = self.last_request_at = current_time()
        request = self._read(message, exchange, now)
        if request is None:
            return
        request.service = self._releases.routes.choose_service(request.route)
        if request.deadline <= now:
            detail = "no time is left for the request"
            inputs = {"input_age_s": round(self._pauses.input_age_s(now), 2)}
            kind = ErrorKind.DEADLINE_EXCEEDED
            self._answers.refuse(request, kind, detail, Ran.NO, now, **inputs)
            return
        if request.is_nested:
            self._graph.count_call(request.route.name)
        if self._is_refused(request, self._checks.at_start, now):
            return
        self._answers.admit(request, now)
        self._retries.earn(request)
        self._send(request, now)

    def screen(self, message: Message, exchange: Exchange) -> None:
        """Refuse a request whose body is still arriving, if it can't be admitted."""
        now = current_time()
        request = self._read(message, exchange, now)
        if request is not None:
            self._is_refused(request, self._checks.at_head, now)

    def record_unread(self, refusal: Refusal) -> None:
        """Log a request that was refused before it could be read in full."""
        self._answers.record_unread(refusal)

    def may_send(self, number: CallNumber) -> bool:
        """Return whether a call that was held before it was sent may still be sent."""
        request = self._dispatcher.find(number)
        return request is not None and self._may_be_sent(request, current_time())

    def refuse_waiting(self) -> None:
        """Answer every request in progress, as this node is about to stop."""
        now = current_time()
        detail = "this node stops before the answer has come"
        for request in self._dispatcher.waiting_requests:
            ran = self._dispatcher.cancel(request, CallOutcome.CANCELLED)
            self._answers.refuse(request, ErrorKind.LEAVING, detail, ran, now)

    def abandon(self, exchange: Exchange) -> None:
        """Cancel a request whose caller has gone away."""
        request = exchange.context
        if not isinstance(request, InFlightRequest):
            return
        ran = self._dispatcher.cancel(request, CallOutcome.CANCELLED)
        self._answers.abandon(request, ran, exchange.end_reason)

    def handle_reply(self, reply: RoutedReply) -> None:
        """Handle the reply of a gate to a call."""
        now = current_time()
        request = self._dispatcher.take(reply, now)
        if request is None:
            return
        if reply.load.limit:
            self._record_load(request, reply.load, now)
        if reply.error is None:
            self._handle_answer(request, reply, now)
        elif reply.ran is Ran.NO:
            self._handle_refusal(request, reply, now)
        else:
            self._handle_lost_call(request, reply.error, reply.detail, now)

    def handle_link_failure(self, number: CallNumber, ran: Ran, detail: str) -> None:
        """Handle the failure of the link to a gate."""
        kind = ErrorKind.CONNECT_FAILED if ran is Ran.NO else ErrorKind.CONNECTION_LOST
        self.handle_reply(
            RoutedReply(number, NO_LOAD, error=kind, detail=detail, ran=ran)
        )

    def _read(
        self, message: Message, exchange: Exchange, now: float
    ) -> InFlightRequest | None:
        """Read a request; refuse it and return None if no route matches."""
        routes = self._releases.routes
        if routes is None:
            detail = "this node has not received a release yet"
            exchange.refuse(refuse(ErrorKind.NO_RELEASE, detail))
            return None
        head = self._requests.read(message)
        route = routes.find(head.host, message.target.decode("latin-1"))
        if route is None:
            self._answers.refuse_unrouted(exchange, head.attempt, head.host)
            return None
        return self._requests.make(message, exchange, head, route, routes, now)

    def _is_refused(
        self, request: InFlightRequest, checks: Sequence[RequestCheck], now: float
    ) -> bool:
        """Refuse a request if a check says so; return whether one does."""
        for check in checks:
            refusal = check.refusal(request, now)
            if refusal is not None:
                self._answers.refuse(
                    request,
                    refusal.kind,
                    refusal.detail,
                    Ran.NO,
                    now,
                    refusal.retry_after_s,
                    **refusal.inputs,
                )
                return True
        return False

    def _may_be_sent(self, request: InFlightRequest, now: float) -> bool:
        return not any(c.refusal(request, now) for c in self._checks.at_send)

    def _record_load(
        self, request: InFlightRequest, load: GateLoad, now: float
    ) -> None:
        route = request.route.name
        is_partial = load.is_rate_limited and request.has_alternative
        # The limit of one server does not show how loaded its service is.
        if not is_partial or not self._dispatcher.has_unlimited_server(
            request.service, now
        ):
            level = load.level_fraction * self._levels.rank_count
            self._levels.record_level(route, level, now)
        self._levels.record_success_rate(route, load.success_rate, now)
        if load.is_requested_by_callers:
            self._origins.mark_requested_by_callers(route)

    def _send(self, request: InFlightRequest, now: float) -> None:
        if self._is_refused(request, self._checks.at_send, now):
            return
        choice = self._dispatcher.choose(request, now)
        if choice is None:
            known = len(self._retries.servers_of(request))
            detail = (
                f"tried {len(request.tried_nodes)} of {known} servers of the service"
            )
            self._answers.refuse(request, ErrorKind.NO_SERVER, detail, Ran.NO, now)
            return
        self._set_timer(request, now)
        if request.is_logged:
            self._answers.log_event(
                Event.REQUEST_ROUTED,
                request,
                now,
                chosen=choice.member.node,
                reason=choice.reason.value,
                candidates=choice.candidates,
                release=self._releases.index,
            )
        request.has_alternative = (
            request.reroutes < MAX_REROUTES
            and self._retries.has_untried_server(request)
        )
        self._dispatcher.send(request, self.handle_reply, now)

    def _set_timer(self, request: InFlightRequest, now: float) -> None:
        request.cancel_timer()
        when = request.awaited_until
        if self._retries.is_retry_allowed(request):
            when = min(when, now + self._response_times.timeout_s(request.route.name))
        request.timer = self._timers.call_at(when, lambda: self._on_timer(request))

    def _on_timer(self, request: InFlightRequest) -> None:
        now = current_time()
        if self._pauses.input_age_s(now) > 0:
            # The reply may have arrived while this process was paused.
            request.timer = self._timers.call_at(
                now + BACKLOG_READ_S, lambda: self._on_timer(request)
            )
            return
        request.timer = None
        if now >= request.awaited_until:
            ran = self._dispatcher.cancel(request, CallOutcome.TIMED_OUT)
            detail = "no answer within the timeout of the caller or the route"
            kind = ErrorKind.DEADLINE_EXCEEDED
            self._answers.refuse(request, kind, detail, ran, now)
            return
        # A call that is given up for another one that can't be sent is broken off.
        if (
            now < request.deadline
            and self._may_be_sent(request, now)
            and self._retries.try_acquire_overdue(request, now)
        ):
            ran = self._dispatcher.cancel(request, CallOutcome.TIMED_OUT)
            request.may_have_run |= ran is not Ran.NO
            self._retry(request, "no answer within the response time estimate", now)
        else:
            when = request.awaited_until
            request.timer = self._timers.call_at(when, lambda: self._on_timer(request))

    def _handle_answer(
        self, request: InFlightRequest, reply: RoutedReply, now: float
    ) -> None:
        response_time_s = now - request.sent_at
        self._response_times.record(request.route.name, response_time_s)
        is_failure = reply.status >= FIRST_SERVER_ERROR_STATUS
        if is_failure and self._retries.try_acquire(request, now):
            request.may_have_run = True
            request.failed_answer = reply
            self._retry(request, f"the server answered {reply.status}", now)
            return
        self._answers.deliver(request, reply, now)

    def _handle_refusal(
        self, request: InFlightRequest, reply: RoutedReply, now: float
    ) -> None:
        kind = reply.error
        request.uncounted_refusals += kind is ErrorKind.RATE_LIMITED
        if kind in NOT_SENT_ERRORS and request.reroutes < MAX_REROUTES:
            request.reroutes += 1
            self._reroute(request, reply, now)
        elif kind is ErrorKind.OVERLOADED and self._may_offer_again(request, now):
            self._reroute(request, reply, now)
        elif kind is ErrorKind.NOT_EXECUTED and self._retries.try_acquire_unrun(
            request
        ):
            self._retry(request, reply.detail, now)
        else:
            self._answers.refuse(request, kind, reply.detail, Ran.NO, now)

    def _may_offer_again(self, request: InFlightRequest, now: float) -> bool:
        """Return whether another gate may take a request that one has no room for."""
        request.overloads += 1
        request.room_wait_s += now - request.sent_at
        objective_ms = request.route.latency_objective_ms
        return request.overloads <= MAX_OVERLOAD_REROUTES and (
            request.is_nested or may_wait_again(objective_ms, request.room_wait_s)
        )

    def _reroute(
        self, request: InFlightRequest, reply: RoutedReply, now: float
    ) -> None:
        """Send the request to another gate, as no server has received it yet."""
        if not self._retries.has_untried_server(request):
            self._answers.refuse(request, reply.error, reply.detail, Ran.NO, now)
            return
        self._send(request, now)

    def _handle_lost_call(
        self, request: InFlightRequest, kind: ErrorKind, detail: str, now: float
    ) -> None:
        request.may_have_run = True
        if self._retries.try_acquire(request, now):
            self._retry(request, detail, now)
        else:
            self._answers.refuse(request, kind, detail, Ran.UNKNOWN, now)

    def _retry(self, request: InFlightRequest, reason: str, now: float) -> None:
        request.retries += 1
        self.counts.resent += 1
        self._answers.log_event(
            Event.REQUEST_RESENT,
            request,
            now,
            reason=reason,
            tried=request.tried_nodes,
        )
        self._send(request, now)
