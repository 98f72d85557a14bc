"""Route the requests of callers and of the local backend server to gates."""

import itertools
import random
from collections.abc import Callable
from dataclasses import dataclass

import trio

from persimmonhall.call.crash_suspects import CrashSuspects
from persimmonhall.call.in_flight_request import (
    InFlightRequest,
    parse_milliseconds,
    time_budget_s,
)
from persimmonhall.call.root_admission import RootAdmission
from persimmonhall.call.routed_gate import RoutedGate
from persimmonhall.call.server_notices import NoticeMemory
from persimmonhall.dialect import HeaderNames
from persimmonhall.errors import ErrorKind, Ran, Refusal, refuse
from persimmonhall.events import Event, EventLog, is_sampled
from persimmonhall.exposition import CallCounters
from persimmonhall.http.caller_server import Exchange
from persimmonhall.http.message_reader import Message
from persimmonhall.http.messages import (
    FIRST_SERVER_ERROR_STATUS,
    HOP_BY_HOP_HEADERS,
    LENGTH_HEADERS,
)
from persimmonhall.ids import AttemptId, CallNumber, NodeName, ServiceName
from persimmonhall.membership.effects import address_of
from persimmonhall.membership.messages import Member
from persimmonhall.membership.table import MemberTable
from persimmonhall.process_pauses import BACKLOG_READ_S, ProcessPauses
from persimmonhall.release.active import ActiveRelease
from persimmonhall.release.schema import Route
from persimmonhall.routing.call_graph import CallGraph
from persimmonhall.routing.response_times import ResponseTimes
from persimmonhall.routing.route_levels import RouteLevels
from persimmonhall.routing.route_origins import RouteOrigins
from persimmonhall.routing.router import Observation, Router
from persimmonhall.routing.server_view import CallOutcome
from persimmonhall.routing.service_retry_budget import ServiceRetryBudget
from persimmonhall.timers import Timers
from persimmonhall.wire.call_frames import GateLoad, RoutedCall, RoutedReply
from persimmonhall.wire.call_link import CallLinkPool

# Rerouting a request that a gate has not sent to its server costs no server any work.
MAX_REROUTES = 3
MAX_OVERLOAD_REROUTES = 1
# A service whose level is less than this below the rank count has spare capacity.
SPARE_CAPACITY_LEVEL_MARGIN = 0.3
DEADLINE_STATUS = 504
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
OUTCOME_BY_ERROR = {
    ErrorKind.LEAVING: CallOutcome.UNAVAILABLE,
    ErrorKind.NO_SERVER: CallOutcome.UNAVAILABLE,
    ErrorKind.CONNECT_FAILED: CallOutcome.UNREACHABLE,
    ErrorKind.CONNECTION_LOST: CallOutcome.LOST,
    ErrorKind.ANSWER_CUT: CallOutcome.LOST,
    ErrorKind.NOT_EXECUTED: CallOutcome.FAILED,
}


@dataclass(frozen=True)
class LocalNode:
    """Identify this node and the service of its backend server."""

    node: NodeName
    service: ServiceName


class RoutedEntry:
    """Send each request to a gate, retry it where that is safe, and answer once."""

    def __init__(
        self,
        local: LocalNode,
        headers: HeaderNames,
        releases: ActiveRelease,
        table: MemberTable,
        router: Router,
        gate: RoutedGate,
        links: Callable[[], CallLinkPool],
        retry_budget: ServiceRetryBudget,
        graph: CallGraph,
        levels: RouteLevels,
        origins: RouteOrigins,
        timers: Timers,
        rng: random.Random,
        log: EventLog,
        suspects: CrashSuspects | None = None,
        pauses: ProcessPauses | None = None,
    ):
        self._suspects = suspects
        self._pauses = pauses or ProcessPauses()
        self._local = local
        self._headers = headers
        self._dropped_headers = frozenset(
            {
                *HOP_BY_HOP_HEADERS,
                *LENGTH_HEADERS,
                b"expect",
                headers.deadline_ms,
                headers.expected_instance,
                headers.caller_service,
            }
        )
        self._caller_service_line = b"%s: %s\r\n" % (
            headers.caller_service,
            local.service.encode(),
        )
        self._releases = releases
        self._table = table
        self._router = router
        self._gate = gate
        self._links = links
        self._retry_budget = retry_budget
        self._graph = graph
        self._levels = levels
        self._origins = origins
        self._timers = timers
        self._log = log
        self._response_times = ResponseTimes()
        self._admission = RootAdmission(levels, self._response_times, rng)
        self._call_numbers = itertools.count(1)
        self._waiting_requests: dict[CallNumber, InFlightRequest] = {}
        self._notices = NoticeMemory()
        self.counts = CallCounters()
        self.last_request_at = 0.0

    @property
    def in_flight(self) -> int:
        """Return the number of requests that wait for the reply of a gate."""
        return len(self._waiting_requests)

    def set_shutdown_deadline(self, deadline: float) -> None:
        """Refuse new requests that may still run at the deadline."""
        self._admission.shutdown_deadline = deadline

    def begin(self, message: Message, exchange: Exchange) -> None:
        """Route a request or refuse it."""
        routes = self._releases.routes
        if routes is None:
            detail = "this node has not received a release yet"
            exchange.refuse(refuse(ErrorKind.NO_RELEASE, detail))
            return
        host, attempt, caller_timeout_ms, lines = self._read_headers(message)
        target = message.target.decode("latin-1")
        route = routes.find(host, target)
        if route is None:
            self._refuse_unrouted(exchange, attempt, host)
            return
        now = self.last_request_at = trio.current_time()
        request = InFlightRequest(exchange, route, now)
        exchange.context = request
        request.attempt = attempt
        request.rank = routes.rank_of(route)
        request.service = routes.choose_service(route)
        request.is_nested = self._is_nested(route)
        request.is_head = message.method == "HEAD"
        request.is_logged = is_sampled(attempt)
        input_age_s = self._pauses.input_age_s(now)
        request.deadline = now + time_budget_s(caller_timeout_ms, route) - input_age_s
        request.head = b"%s %s HTTP/1.1\r\n%s" % (
            message.method.encode(),
            message.target,
            lines,
        )
        request.body = message.body if message.body_size else b""
        if request.deadline <= now:
            kind, detail = (
                ErrorKind.DEADLINE_EXCEEDED,
                "no time is left for the request",
            )
            inputs = {"input_age_s": round(input_age_s, 2)}
            self._finish_refused(request, kind, detail, Ran.NO, now, **inputs)
            return
        if request.is_nested:
            self._graph.count_call(route.name)
        else:
            refusal = self._admission.refusal(route, request.rank, now)
            if refusal is not None:
                kind, detail, inputs = refusal
                self._finish_refused(request, kind, detail, Ran.NO, now, **inputs)
                return
        if self._suspects is not None:
            refusal = self._suspects.refusal(
                request.service, request.head, request.body
            )
            if refusal is not None:
                self._finish_refused(
                    request, refusal.kind, refusal.detail, refusal.ran, now
                )
                return
        self._retry_budget.earn(request.service, self._node_count)
        self._send(request, now)

    def refuse_waiting(self) -> None:
        """Answer every request in progress, as this node is about to stop."""
        now = trio.current_time()
        detail = "this node stops before the answer has come"
        for request in tuple(self._waiting_requests.values()):
            ran = self._cancel_call(request, CallOutcome.CANCELLED)
            self._finish_refused(request, ErrorKind.LEAVING, detail, ran, now)

    def abandon(self, exchange: Exchange) -> None:
        """Cancel a request whose caller has gone away."""
        request = exchange.context
        if not isinstance(request, InFlightRequest):
            return
        self._cancel_call(request, CallOutcome.CANCELLED)
        now = trio.current_time()
        reason = exchange.end_reason
        self.counts.record("abandoned", request.route.name, now - request.arrived_at)
        self._log_event(Event.REQUEST_ABANDONED, request, now, reason=reason)

    def handle_reply(self, reply: RoutedReply) -> None:
        """Handle the reply of a gate to a call."""
        request = self._waiting_requests.pop(reply.number, None)
        if request is None:
            return
        now = trio.current_time()
        member, request.member = request.member, None
        self._record_outcome(request, member, reply, now)
        if reply.notice or not self._notices.is_empty:
            self._notices.record(
                member.node, reply.notice, is_answer=reply.error is None
            )
        if reply.load.limit:
            self._record_level(request, reply.load, now)
            self._levels.record_success_rate(
                request.route.name, reply.load.success_rate, now
            )
            if reply.load.is_requested_by_callers:
                self._origins.mark_requested_by_callers(request.route.name)
        if reply.error is None:
            self._handle_answer(request, reply, now)
        elif reply.ran is Ran.NO:
            self._handle_refusal(request, reply, now)
        else:
            self._handle_lost_call(request, reply.error, reply.detail, now)

    def _record_level(
        self, request: InFlightRequest, load: GateLoad, now: float
    ) -> None:
        is_partial = load.is_rate_limited and request.has_alternative
        if is_partial and self._router.has_unlimited_server(request.service, now):
            # The limit of one server does not show how loaded its service is.
            return
        self._levels.record_level(request.route.name, load.level, now)

    def handle_link_failure(self, number: CallNumber, ran: Ran, detail: str) -> None:
        """Handle the failure of the link to a gate."""
        kind = ErrorKind.CONNECT_FAILED if ran is Ran.NO else ErrorKind.CONNECTION_LOST
        self.handle_reply(
            RoutedReply(number, NO_LOAD, error=kind, detail=detail, ran=ran)
        )

    @property
    def _node_count(self) -> int:
        return self._table.member_count

    def _read_headers(
        self, message: Message
    ) -> tuple[str, AttemptId, float | None, bytes]:
        """Return host, attempt, caller timeout and the header lines to pass on."""
        names = self._headers
        host = attempt = ""
        caller_timeout_ms: float | None = None
        lines = []
        for name, value in message.headers:
            if name == b"host":
                host = value.decode("latin-1")
            elif name == names.attempt:
                attempt = value.decode("latin-1")
            elif name == names.deadline_ms:
                caller_timeout_ms = parse_milliseconds(value)
            if name not in self._dropped_headers:
                lines.append(b"%s: %s\r\n" % (name, value))
        lines.append(self._caller_service_line)
        return host, AttemptId(attempt), caller_timeout_ms, b"".join(lines)

    def _is_nested(self, route: Route) -> bool:
        """Return whether a request is a call made by a running request."""
        if self._origins.is_requested_by_callers(route.name):
            return False
        if any(target.service == self._local.service for target in route.targets):
            self._origins.mark_requested_by_callers(route.name)
            return False
        return True

    def _refuse_unrouted(
        self, exchange: Exchange, attempt: AttemptId, host: str
    ) -> None:
        refusal = refuse(ErrorKind.UNKNOWN_ROUTE, f"no route of host {host!r} matches")
        self._log.emit(
            Event.REQUEST_REFUSED,
            request=attempt,
            error=refusal.kind.value,
            reason=refusal.detail,
            release=self._releases.index,
        )
        exchange.refuse(refusal)

    def _send(self, request: InFlightRequest, now: float) -> None:
        route = request.route
        choice = self._router.choose(
            request.service, request.tried_nodes, now, can_probe=route.is_idempotent
        )
        if choice is None:
            known = len(self._table.servers_of(request.service))
            detail = (
                f"tried {len(request.tried_nodes)} of {known} servers of the service"
            )
            self._finish_refused(request, ErrorKind.NO_SERVER, detail, Ran.NO, now)
            return
        member = request.member = choice.member
        request.tried_nodes.append(member.node)
        request.call_number = CallNumber(next(self._call_numbers))
        request.sent_at = now
        self._waiting_requests[request.call_number] = request
        self._set_timer(request, now)
        if request.is_logged:
            self._log_event(
                Event.REQUEST_ROUTED,
                request,
                now,
                chosen=member.node,
                reason=choice.reason.value,
                candidates=choice.candidates,
                release=self._releases.index,
            )
        request.has_alternative = (
            request.reroutes < MAX_REROUTES and self._has_untried_server(request)
        )
        call = RoutedCall(
            request.call_number,
            request.service,
            route.name,
            request.attempt,
            request.rank,
            request.is_nested,
            route.is_idempotent,
            request.is_head,
            len(request.tried_nodes) - request.uncounted_refusals > 1,
            max(0, int((request.deadline - now) * 1000)),
            route.latency_objective_ms,
            request.head,
            request.body,
            request.has_alternative,
            b"" if self._notices.is_empty else self._notices.recall(member.node),
        )
        if member.node == self._local.node:
            self._gate.begin(self, call, self.handle_reply)
        else:
            self._links().send(address_of(member.frames), call)

    def _set_timer(self, request: InFlightRequest, now: float) -> None:
        if request.timer is not None:
            request.timer.cancel()
        when = request.deadline
        if self._is_retry_allowed(request):
            when = min(when, now + self._response_times.timeout_s(request.route.name))
        request.timer = self._timers.call_at(when, lambda: self._on_timer(request))

    def _on_timer(self, request: InFlightRequest) -> None:
        now = trio.current_time()
        if self._pauses.input_age_s(now) > 0:
            # The reply may have arrived while this process was paused.
            request.timer = self._timers.call_at(
                now + BACKLOG_READ_S, lambda: self._on_timer(request)
            )
            return
        request.timer = None
        if now >= request.deadline:
            ran = self._cancel_call(request, CallOutcome.TIMED_OUT)
            detail = "no answer within the timeout of the caller or the route"
            kind = ErrorKind.DEADLINE_EXCEEDED
            self._finish_refused(request, kind, detail, ran, now)
            return
        if self._has_spare_capacity(request, now) and self._spend_retry_budget(request):
            ran = self._cancel_call(request, CallOutcome.TIMED_OUT)
            request.may_have_run |= ran is not Ran.NO
            self._retry(request, "no answer within the response time estimate", now)
        else:
            when = request.deadline
            request.timer = self._timers.call_at(when, lambda: self._on_timer(request))

    def _cancel_call(self, request: InFlightRequest, outcome: CallOutcome) -> Ran:
        """Cancel the call in progress; return whether its server may have run it."""
        if request.timer is not None:
            request.timer.cancel()
            request.timer = None
        if self._waiting_requests.pop(request.call_number, None) is None:
            return Ran.NO
        member = request.member
        now = trio.current_time()
        if member.node == self._local.node:
            is_unsent = self._gate.cancel(self, request.call_number)
        else:
            address = address_of(member.frames)
            is_unsent = self._links().cancel(address, request.call_number)
        observation = Observation(
            outcome, request.route.name, now - request.sent_at, None
        )
        self._router.observe(request.service, member.node, observation, now)
        return Ran.NO if is_unsent else Ran.UNKNOWN

    def _record_outcome(
        self, request: InFlightRequest, member: Member, reply: RoutedReply, now: float
    ) -> None:
        if reply.error is not None:
            outcome = OUTCOME_BY_ERROR.get(reply.error, CallOutcome.REFUSED)
        elif reply.status >= FIRST_SERVER_ERROR_STATUS:
            outcome = CallOutcome.FAILED
        else:
            outcome = CallOutcome.DONE
        load = reply.load if reply.load.limit else None
        observation = Observation(
            outcome, request.route.name, now - request.sent_at, load
        )
        self._router.observe(request.service, member.node, observation, now)

    def _handle_answer(
        self, request: InFlightRequest, reply: RoutedReply, now: float
    ) -> None:
        response_time_s = now - request.sent_at
        self._response_times.record(request.route.name, response_time_s)
        if reply.status >= FIRST_SERVER_ERROR_STATUS and self._try_acquire_retry(
            request, now
        ):
            request.may_have_run = True
            request.failed_answer = reply
            self._retry(request, f"the server answered {reply.status}", now)
            return
        self._deliver(request, reply, now)

    def _deliver(
        self, request: InFlightRequest, reply: RoutedReply, now: float
    ) -> None:
        if request.is_logged or reply.status >= FIRST_SERVER_ERROR_STATUS:
            self._log_event(
                Event.REQUEST_ANSWERED,
                request,
                now,
                status=reply.status,
                server=request.tried_nodes[-1],
                run_ms=round(reply.run_s * 1000, 1),
                bytes=len(reply.body),
            )
        self._release_exchange(request)
        if request.is_nested:
            self._levels.record_call(request.route.name, True)
        age_s = now - request.arrived_at
        self.counts.record(f"status_{reply.status}", request.route.name, age_s)
        request.exchange.answer(reply.status, reply.head, reply.body)

    def _handle_refusal(
        self, request: InFlightRequest, reply: RoutedReply, now: float
    ) -> None:
        kind = reply.error
        request.uncounted_refusals += kind is ErrorKind.RATE_LIMITED
        if kind in NOT_SENT_ERRORS and request.reroutes < MAX_REROUTES:
            request.reroutes += 1
            self._reroute(request, reply, now)
        elif kind is ErrorKind.OVERLOADED and request.overloads < MAX_OVERLOAD_REROUTES:
            request.overloads += 1
            self._reroute(request, reply, now)
        elif kind is ErrorKind.NOT_EXECUTED and self._try_acquire_unrun_retry(request):
            self._retry(request, reply.detail, now)
        else:
            self._finish_refused(request, kind, reply.detail, Ran.NO, now)

    def _reroute(
        self, request: InFlightRequest, reply: RoutedReply, now: float
    ) -> None:
        """Send the request to another gate, as no server has received it yet."""
        if not self._has_untried_server(request):
            self._finish_refused(request, reply.error, reply.detail, Ran.NO, now)
            return
        self._send(request, now)

    def _handle_lost_call(
        self, request: InFlightRequest, kind: ErrorKind, detail: str, now: float
    ) -> None:
        request.may_have_run = True
        if self._try_acquire_retry(request, now):
            self._retry(request, detail, now)
        else:
            self._finish_refused(request, kind, detail, Ran.UNKNOWN, now)

    def _retry(self, request: InFlightRequest, reason: str, now: float) -> None:
        request.retries += 1
        self.counts.resent += 1
        self._log_event(
            Event.REQUEST_RESENT,
            request,
            now,
            reason=reason,
            tried=request.tried_nodes,
        )
        self._send(request, now)

    def _is_retry_allowed(self, request: InFlightRequest) -> bool:
        """Return whether the route allows a retry at another server."""
        is_allowed = request.retries + 1 < request.route.max_servers
        return (
            request.route.is_idempotent
            and is_allowed
            and self._has_untried_server(request)
        )

    def _try_acquire_retry(self, request: InFlightRequest, now: float) -> bool:
        has_time = request.deadline - now > self._response_times.mean_s(
            request.route.name
        )
        is_allowed = (
            has_time
            and self._is_retry_allowed(request)
            and self._has_spare_capacity(request, now)
        )
        return is_allowed and self._spend_retry_budget(request)

    def _try_acquire_unrun_retry(self, request: InFlightRequest) -> bool:
        is_allowed = request.retries + 1 < request.route.max_servers
        return (
            is_allowed
            and self._has_untried_server(request)
            and self._spend_retry_budget(request)
        )

    def _has_untried_server(self, request: InFlightRequest) -> bool:
        return len(self._table.servers_of(request.service)) > len(request.tried_nodes)

    def _has_spare_capacity(self, request: InFlightRequest, now: float) -> bool:
        """Return whether the services behind a route have spare capacity."""
        max_level = self._releases.routes.rank_count
        return (
            self._levels.level(request.route.name, now)
            > max_level - SPARE_CAPACITY_LEVEL_MARGIN
        )

    def _spend_retry_budget(self, request: InFlightRequest) -> bool:
        return self._retry_budget.spend(request.service, self._node_count)

    def _finish_refused(
        self,
        request: InFlightRequest,
        kind: ErrorKind,
        detail: str,
        ran: Ran,
        now: float,
        **inputs: object,
    ) -> None:
        if request.failed_answer is not None:
            self._deliver(request, request.failed_answer, now)
            return
        if request.may_have_run:
            ran = Ran.UNKNOWN
        refusal = Refusal(
            kind, detail, ran, self._admission.draw_retry_after_s(request.route)
        )
        self._log_event(
            Event.REQUEST_REFUSED,
            request,
            now,
            error=kind.value,
            reason=detail,
            ran=ran.value,
            retry_after_s=round(refusal.retry_after_s, 3),
            tried=request.tried_nodes,
            left_ms=round((request.deadline - now) * 1000),
            **inputs,
        )
        self._release_exchange(request)
        if request.is_nested:
            self._levels.record_call(request.route.name, False)
        self.counts.record(kind.value, request.route.name, now - request.arrived_at)
        request.exchange.refuse(refusal)

    def _release_exchange(self, request: InFlightRequest) -> None:
        request.exchange.context = None
        if request.timer is not None:
            request.timer.cancel()
            request.timer = None

    def _log_event(
        self, event: Event, request: InFlightRequest, now: float, **fields
    ) -> None:
        self._log.emit(
            event,
            request=request.attempt,
            route=request.route.name,
            service=request.service,
            rank=request.rank,
            nested=request.is_nested,
            age_ms=round((now - request.arrived_at) * 1000, 1),
            **fields,
        )
