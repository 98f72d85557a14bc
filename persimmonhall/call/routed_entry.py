"""Route the requests of callers and of the own backend server to gates."""

import itertools
import random
from collections.abc import Callable
from dataclasses import dataclass

import trio

from persimmonhall.call.crash_suspects import CrashSuspects
from persimmonhall.call.flight import Flight, milliseconds, usable_s
from persimmonhall.call.root_admission import RootAdmission
from persimmonhall.call.routed_gate import RoutedGate
from persimmonhall.dialect import HeaderNames
from persimmonhall.errors import ErrorKind, Ran, Refusal, refuse
from persimmonhall.events import Event, EventLog, is_sampled
from persimmonhall.exposition import CallCounts
from persimmonhall.http.callers import Exchange
from persimmonhall.http.messages import FIRST_SERVER_ERROR, HOP_BY_HOP, LENGTH_HEADERS
from persimmonhall.http.reading import Message
from persimmonhall.ids import AttemptId, CallNumber, NodeName, ServiceName
from persimmonhall.membership.effects import address_of
from persimmonhall.membership.messages import Member
from persimmonhall.membership.table import MemberTable
from persimmonhall.release.in_force import ReleaseInForce
from persimmonhall.release.schema import Route
from persimmonhall.routing.call_graph import CallGraph
from persimmonhall.routing.response_times import ResponseTimes
from persimmonhall.routing.route_levels import RouteLevels
from persimmonhall.routing.route_origins import RouteOrigins
from persimmonhall.routing.router import Observation, Router
from persimmonhall.routing.server_view import CallOutcome
from persimmonhall.routing.service_retry_budget import ServiceRetryBudget
from persimmonhall.timers import Timers
from persimmonhall.wire.call_link import CallLinks
from persimmonhall.wire.calls import GateLoad, RoutedCall, RoutedReply

# Gates that had not sent a request on may pass it to others at no cost for a server.
MAX_REROUTES = 3
MAX_OVERLOAD_REROUTES = 1
# Below the most urgent level by less than this, a service is not short of room.
ROOM_SLACK = 0.3
DEADLINE_STATUS = 504
NO_LOAD = GateLoad(0, 0, 0, 0.0)
CLOSED_GATE = frozenset(
    {ErrorKind.LEAVING, ErrorKind.NO_SERVER, ErrorKind.CONNECT_FAILED}
)
OUTCOMES = {
    ErrorKind.LEAVING: CallOutcome.UNAVAILABLE,
    ErrorKind.NO_SERVER: CallOutcome.UNAVAILABLE,
    ErrorKind.CONNECT_FAILED: CallOutcome.UNREACHABLE,
    ErrorKind.CONNECTION_LOST: CallOutcome.LOST,
    ErrorKind.ANSWER_CUT: CallOutcome.LOST,
    ErrorKind.NOT_EXECUTED: CallOutcome.FAILED,
}


@dataclass(frozen=True)
class OwnNode:
    """Name this node and the service of the backend server next to it."""

    node: NodeName
    service: ServiceName


class RoutedEntry:
    """Send each request to a gate, again where that is safe, and answer once."""

    def __init__(
        self,
        own: OwnNode,
        headers: HeaderNames,
        releases: ReleaseInForce,
        table: MemberTable,
        router: Router,
        gate: RoutedGate,
        links: Callable[[], CallLinks],
        budget: ServiceRetryBudget,
        graph: CallGraph,
        levels: RouteLevels,
        origins: RouteOrigins,
        timers: Timers,
        rng: random.Random,
        log: EventLog,
        suspects: CrashSuspects | None = None,
    ):
        self._suspects = suspects
        self._own = own
        self._headers = headers
        self._dropped = frozenset(
            {
                *HOP_BY_HOP,
                *LENGTH_HEADERS,
                b"expect",
                headers.deadline_ms,
                headers.expected_instance,
                headers.caller_service,
            }
        )
        self._caller_line = b"%s: %s\r\n" % (
            headers.caller_service,
            own.service.encode(),
        )
        self._releases = releases
        self._table = table
        self._router = router
        self._gate = gate
        self._links = links
        self._budget = budget
        self._graph = graph
        self._levels = levels
        self._origins = origins
        self._timers = timers
        self._log = log
        self._patience = ResponseTimes()
        self._admission = RootAdmission(levels, self._patience, rng)
        self._numbers = itertools.count(1)
        self._flights: dict[CallNumber, Flight] = {}
        self.counts = CallCounts()
        self.asked_at = 0.0

    @property
    def in_flight(self) -> int:
        """Return how many requests wait for a gate."""
        return len(self._flights)

    def stop_at(self, when: float) -> None:
        """Begin no request from now on that may still run at a time."""
        self._admission.stops_at = when

    def begin(self, message: Message, exchange: Exchange) -> None:
        """Take in a request."""
        routes = self._releases.routes
        if routes is None:
            detail = "this node has not heard of a release yet"
            exchange.refuse(refuse(ErrorKind.NO_RELEASE, detail))
            return
        host, attempt, wait_ms, lines = self._read_headers(message)
        target = message.target.decode("latin-1")
        route = routes.find(host, target)
        if route is None:
            self._refuse_unrouted(exchange, attempt, host)
            return
        now = self.asked_at = trio.current_time()
        flight = Flight(exchange, route, now)
        exchange.context = flight
        flight.attempt = attempt
        flight.rank = routes.rank_of(route)
        flight.service = routes.choose_service(route)
        flight.is_nested = self._is_nested(route)
        flight.is_head = message.method == "HEAD"
        flight.is_logged = is_sampled(attempt)
        flight.deadline = now + usable_s(wait_ms, route)
        flight.head = b"%s %s HTTP/1.1\r\n%s" % (
            message.method.encode(),
            message.target,
            lines,
        )
        flight.body = message.body if message.size else b""
        if flight.is_nested:
            self._graph.count_call(route.name)
        else:
            refusal = self._admission.refusal(route, flight.rank, now)
            if refusal is not None:
                kind, detail, inputs = refusal
                self._finish_refused(flight, kind, detail, Ran.NO, now, **inputs)
                return
        if self._suspects is not None:
            refusal = self._suspects.refusal(flight.service, flight.head, flight.body)
            if refusal is not None:
                self._finish_refused(
                    flight, refusal.kind, refusal.detail, refusal.ran, now
                )
                return
        self._budget.earn(flight.service, self._members)
        self._send(flight, now)

    def abandon(self, exchange: Exchange) -> None:
        """Stop working on a request whose caller is gone."""
        flight = exchange.context
        if not isinstance(flight, Flight):
            return
        self._stop_waiting(flight, CallOutcome.CANCELLED)
        now = trio.current_time()
        reason = exchange.end_reason
        self.counts.note("abandoned", flight.route.name, now - flight.arrived)
        self._note(Event.REQUEST_ABANDONED, flight, now, reason=reason)

    def take_reply(self, reply: RoutedReply) -> None:
        """Take in what a gate says of a call."""
        flight = self._flights.pop(reply.number, None)
        if flight is None:
            return
        now = trio.current_time()
        member, flight.member = flight.member, None
        self._observe(flight, member, reply, now)
        if reply.load.limit:
            self._levels.record_level(flight.route.name, reply.load.level, now)
            self._levels.record_success_rate(flight.route.name, reply.load.success, now)
            if reply.load.is_asked_by_callers:
                self._origins.mark_requested_by_callers(flight.route.name)
        if reply.error is None:
            self._take_answer(flight, reply, now)
        elif reply.ran is Ran.NO:
            self._take_refusal(flight, reply, now)
        else:
            self._take_loss(flight, reply.error, reply.detail, now)

    def take_link_failure(self, number: CallNumber, ran: Ran, detail: str) -> None:
        """Take in that the link to a gate has failed."""
        kind = ErrorKind.CONNECT_FAILED if ran is Ran.NO else ErrorKind.CONNECTION_LOST
        self.take_reply(
            RoutedReply(number, NO_LOAD, error=kind, detail=detail, ran=ran)
        )

    @property
    def _members(self) -> int:
        return len(self._table.peers()) + 1

    def _read_headers(
        self, message: Message
    ) -> tuple[str, AttemptId, float | None, bytes]:
        """Return host, attempt, waiting time and the lines that are passed on."""
        names = self._headers
        host = attempt = ""
        wait_ms: float | None = None
        lines = []
        for name, value in message.headers:
            if name == b"host":
                host = value.decode("latin-1")
            elif name == names.attempt:
                attempt = value.decode("latin-1")
            elif name == names.deadline_ms:
                wait_ms = milliseconds(value)
            if name not in self._dropped:
                lines.append(b"%s: %s\r\n" % (name, value))
        lines.append(self._caller_line)
        return host, AttemptId(attempt), wait_ms, b"".join(lines)

    def _is_nested(self, route: Route) -> bool:
        """Tell whether a request is a call of a request that runs already."""
        if self._origins.is_requested_by_callers(route.name):
            return False
        if any(target.service == self._own.service for target in route.targets):
            self._origins.mark_requested_by_callers(route.name)
            return False
        return True

    def _refuse_unrouted(
        self, exchange: Exchange, attempt: AttemptId, host: str
    ) -> None:
        refusal = refuse(ErrorKind.UNKNOWN_ROUTE, f"no route of host {host!r} fits")
        self._log.emit(
            Event.REQUEST_REFUSED,
            request=attempt,
            error=refusal.kind.value,
            reason=refusal.detail,
            release=self._releases.index,
        )
        exchange.refuse(refusal)

    def _send(self, flight: Flight, now: float) -> None:
        route = flight.route
        choice = self._router.choose(
            flight.service, flight.tried, now, can_probe=route.is_idempotent
        )
        if choice is None:
            known = len(self._table.servers_of(flight.service))
            detail = f"{len(flight.tried)} of {known} servers of the service tried"
            self._finish_refused(flight, ErrorKind.NO_SERVER, detail, Ran.NO, now)
            return
        member = flight.member = choice.member
        flight.tried.append(member.node)
        flight.number = CallNumber(next(self._numbers))
        flight.sent_at = now
        self._flights[flight.number] = flight
        self._set_timer(flight, now)
        if flight.is_logged:
            self._note(
                Event.REQUEST_ROUTED,
                flight,
                now,
                chosen=member.node,
                reason=choice.reason.value,
                candidates=choice.candidates,
                release=self._releases.index,
            )
        call = RoutedCall(
            flight.number,
            flight.service,
            route.name,
            flight.attempt,
            flight.rank,
            flight.is_nested,
            route.is_idempotent,
            flight.is_head,
            len(flight.tried) > 1,
            max(0, int((flight.deadline - now) * 1000)),
            route.latency_objective_ms,
            flight.head,
            flight.body,
        )
        if member.node == self._own.node:
            self._gate.begin(self, call, self.take_reply)
        else:
            self._links().send(address_of(member.frames), call)

    def _set_timer(self, flight: Flight, now: float) -> None:
        if flight.timer is not None:
            flight.timer.cancel()
        when = flight.deadline
        if self._may_resend(flight):
            when = min(when, now + self._patience.timeout_s(flight.route.name))
        flight.timer = self._timers.call_at(when, lambda: self._on_timer(flight))

    def _on_timer(self, flight: Flight) -> None:
        now = trio.current_time()
        flight.timer = None
        if now >= flight.deadline:
            self._stop_waiting(flight, CallOutcome.TIMED_OUT)
            # The timer runs only while a gate has the request.
            detail = "no answer within the time that the caller or the route gives"
            kind = ErrorKind.DEADLINE_EXCEEDED
            self._finish_refused(flight, kind, detail, Ran.UNKNOWN, now)
            return
        if self._has_room(flight, now) and self._spend(flight):
            self._stop_waiting(flight, CallOutcome.TIMED_OUT)
            flight.may_have_run = True
            self._resend(flight, "no answer in several times the usual time", now)
        else:
            when = flight.deadline
            flight.timer = self._timers.call_at(when, lambda: self._on_timer(flight))

    def _stop_waiting(self, flight: Flight, outcome: CallOutcome) -> None:
        """Cancel the call that is under way, if there is one."""
        if flight.timer is not None:
            flight.timer.cancel()
            flight.timer = None
        if self._flights.pop(flight.number, None) is None:
            return
        member = flight.member
        now = trio.current_time()
        if member.node == self._own.node:
            self._gate.cancel(self, flight.number)
        else:
            self._links().cancel(address_of(member.frames), flight.number)
        seen = Observation(outcome, flight.route.name, now - flight.sent_at, None)
        self._router.observe(flight.service, member.node, seen, now)

    def _observe(
        self, flight: Flight, member: Member, reply: RoutedReply, now: float
    ) -> None:
        if reply.error is not None:
            outcome = OUTCOMES.get(reply.error, CallOutcome.REFUSED)
        elif reply.status >= FIRST_SERVER_ERROR:
            outcome = CallOutcome.FAILED
        else:
            outcome = CallOutcome.DONE
        load = reply.load if reply.load.limit else None
        seen = Observation(outcome, flight.route.name, now - flight.sent_at, load)
        self._router.observe(flight.service, member.node, seen, now)

    def _take_answer(self, flight: Flight, reply: RoutedReply, now: float) -> None:
        took_s = now - flight.sent_at
        self._patience.record(flight.route.name, took_s)
        if reply.status >= FIRST_SERVER_ERROR and self._may_try_again(flight, now):
            flight.may_have_run = True
            flight.failed_answer = reply
            self._resend(flight, f"the server answered {reply.status}", now)
            return
        self._deliver(flight, reply, now)

    def _deliver(self, flight: Flight, reply: RoutedReply, now: float) -> None:
        if flight.is_logged or reply.status >= FIRST_SERVER_ERROR:
            self._note(
                Event.REQUEST_ANSWERED,
                flight,
                now,
                status=reply.status,
                server=flight.tried[-1],
                run_ms=round(reply.run_s * 1000, 1),
                bytes=len(reply.body),
            )
        self._clear(flight)
        if flight.is_nested:
            self._levels.record_call(flight.route.name, True)
        age_s = now - flight.arrived
        self.counts.note(f"status_{reply.status}", flight.route.name, age_s)
        flight.exchange.answer(reply.status, reply.head, reply.body)

    def _take_refusal(self, flight: Flight, reply: RoutedReply, now: float) -> None:
        kind = reply.error
        if kind in CLOSED_GATE and flight.reroutes < MAX_REROUTES:
            flight.reroutes += 1
            self._send_on(flight, reply, now)
        elif kind is ErrorKind.OVERLOADED and flight.overloads < MAX_OVERLOAD_REROUTES:
            flight.overloads += 1
            self._send_on(flight, reply, now)
        elif kind is ErrorKind.NOT_EXECUTED and self._may_try_unrun(flight):
            self._resend(flight, reply.detail, now)
        else:
            self._finish_refused(flight, kind, reply.detail, Ran.NO, now)

    def _send_on(self, flight: Flight, reply: RoutedReply, now: float) -> None:
        """Try the gate of another server, as no server has seen the request."""
        if not self._has_other(flight):
            self._finish_refused(flight, reply.error, reply.detail, Ran.NO, now)
            return
        self._send(flight, now)

    def _take_loss(
        self, flight: Flight, kind: ErrorKind, detail: str, now: float
    ) -> None:
        flight.may_have_run = True
        if self._may_try_again(flight, now):
            self._resend(flight, detail, now)
        else:
            self._finish_refused(flight, kind, detail, Ran.UNKNOWN, now)

    def _resend(self, flight: Flight, reason: str, now: float) -> None:
        flight.sends += 1
        self.counts.resent += 1
        self._note(
            Event.REQUEST_RESENT,
            flight,
            now,
            reason=reason,
            tried=flight.tried,
        )
        self._send(flight, now)

    def _may_resend(self, flight: Flight) -> bool:
        """Tell whether the kind of request and its route allow another server."""
        is_allowed = flight.sends + 1 < flight.route.max_servers
        return flight.route.is_idempotent and is_allowed and self._has_other(flight)

    def _may_try_again(self, flight: Flight, now: float) -> bool:
        has_time = flight.deadline - now > self._patience.mean_s(flight.route.name)
        may = has_time and self._may_resend(flight) and self._has_room(flight, now)
        return may and self._spend(flight)

    def _may_try_unrun(self, flight: Flight) -> bool:
        is_allowed = flight.sends + 1 < flight.route.max_servers
        return is_allowed and self._has_other(flight) and self._spend(flight)

    def _has_other(self, flight: Flight) -> bool:
        return len(self._table.servers_of(flight.service)) > len(flight.tried)

    def _has_room(self, flight: Flight, now: float) -> bool:
        """Tell whether the services behind a route are far from full."""
        full = self._releases.routes.ranks
        return self._levels.level(flight.route.name, now) > full - ROOM_SLACK

    def _spend(self, flight: Flight) -> bool:
        return self._budget.spend(flight.service, self._members)

    def _finish_refused(
        self,
        flight: Flight,
        kind: ErrorKind,
        detail: str,
        ran: Ran,
        now: float,
        **inputs: object,
    ) -> None:
        if flight.failed_answer is not None:
            self._deliver(flight, flight.failed_answer, now)
            return
        if flight.may_have_run:
            ran = Ran.UNKNOWN
        refusal = Refusal(kind, detail, ran, self._admission.return_s(flight.route))
        self._note(
            Event.REQUEST_REFUSED,
            flight,
            now,
            error=kind.value,
            reason=detail,
            ran=ran.value,
            retry_after_s=round(refusal.retry_after_s, 3),
            tried=flight.tried,
            left_ms=round((flight.deadline - now) * 1000),
            **inputs,
        )
        self._clear(flight)
        if flight.is_nested:
            self._levels.record_call(flight.route.name, False)
        self.counts.note(kind.value, flight.route.name, now - flight.arrived)
        flight.exchange.refuse(refusal)

    def _clear(self, flight: Flight) -> None:
        flight.exchange.context = None
        if flight.timer is not None:
            flight.timer.cancel()
            flight.timer = None

    def _note(self, event: Event, flight: Flight, now: float, **fields) -> None:
        self._log.emit(
            event,
            request=flight.attempt,
            route=flight.route.name,
            service=flight.service,
            rank=flight.rank,
            nested=flight.is_nested,
            age_ms=round((now - flight.arrived) * 1000, 1),
            **fields,
        )
