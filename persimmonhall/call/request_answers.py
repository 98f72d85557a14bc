"""Send the final answer to a request, once; count and log it."""

from collections.abc import Sequence

from persimmonhall.call.in_flight_request import InFlightRequest
from persimmonhall.call.request_checks import RequestObserver
from persimmonhall.call.root_admission import RootAdmission
from persimmonhall.errors import ErrorKind, Ran, Refusal, refuse
from persimmonhall.event_time import current_time
from persimmonhall.events import Event, EventLog
from persimmonhall.exposition import CallCounters
from persimmonhall.http.caller_server import Exchange
from persimmonhall.http.messages import FIRST_SERVER_ERROR_STATUS
from persimmonhall.ids import AttemptId
from persimmonhall.release.active import ActiveRelease
from persimmonhall.routing.route_levels import RouteLevels
from persimmonhall.wire.call_frames import RoutedReply

# Refusals for lack of room, which opens again.
PLANNED_KINDS = frozenset(
    {ErrorKind.OVERLOADED, ErrorKind.RATE_LIMITED, ErrorKind.NOT_EXECUTED}
)


class RequestAnswers:
    """Deliver the answers of servers and refuse requests."""

    def __init__(
        self,
        releases: ActiveRelease,
        admission: RootAdmission,
        levels: RouteLevels,
        log: EventLog,
        observers: Sequence[RequestObserver] = (),
    ):
        self._releases = releases
        self._admission = admission
        self._levels = levels
        self._log = log
        self._observers = observers
        self.counts = CallCounters()

    def admit(self, request: InFlightRequest, now: float) -> None:
        """Record that all checks have admitted a request."""
        request.is_admitted = True
        for observer in self._observers:
            observer.request_admitted(request, now)

    def deliver(self, request: InFlightRequest, reply: RoutedReply, now: float) -> None:
        """Send the answer of a server."""
        if request.is_logged or reply.status >= FIRST_SERVER_ERROR_STATUS:
            self.log_event(
                Event.REQUEST_ANSWERED,
                request,
                now,
                status=reply.status,
                server=request.tried_nodes[-1],
                run_ms=round(reply.run_s * 1000, 1),
                bytes=len(reply.body),
            )
        self._end(request, Ran.YES, now)
        if request.is_nested:
            self._levels.record_call(request.route.name, True)
        age_s = now - request.arrived_at
        self.counts.record(f"status_{reply.status}", request.route.name, age_s)
        request.exchange.answer(reply.status, reply.head, reply.body)

    def refuse(
        self,
        request: InFlightRequest,
        kind: ErrorKind,
        detail: str,
        ran: Ran,
        now: float,
        retry_after_s: float | None = None,
        **inputs: object,
    ) -> None:
        """Send a refusal, or the answer of the server that failed before if any."""
        if request.failed_answer is not None:
            self.deliver(request, request.failed_answer, now)
            return
        if request.may_have_run:
            ran = Ran.UNKNOWN
        if retry_after_s is None:
            is_planned = _is_planned(request, kind, ran)
            place = self._admission.plan_return(request, now) if is_planned else None
            if place is not None:
                retry_after_s = place.at - now
                inputs["is_promised"] = place.is_promised
            else:
                retry_after_s = self._admission.draw_retry_after_s(request)
        refusal = Refusal(kind, detail, ran, retry_after_s)
        self.log_event(
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
        self._end(request, ran, now)
        if request.is_nested:
            self._levels.record_call(request.route.name, False)
        self.counts.record(kind.value, request.route.name, now - request.arrived_at)
        request.exchange.refuse(refusal)

    def refuse_unrouted(
        self, exchange: Exchange, attempt: AttemptId, host: str
    ) -> None:
        """Refuse a request that no route matches."""
        refusal = refuse(ErrorKind.UNKNOWN_ROUTE, f"no route of host {host!r} matches")
        self._log.emit(
            Event.REQUEST_REFUSED,
            request=attempt,
            error=refusal.kind.value,
            reason=refusal.detail,
            release=self._releases.index,
        )
        exchange.refuse(refusal)

    def record_unread(self, refusal: Refusal) -> None:
        """Count and log a refusal of a request whose route is not known."""
        self.counts.outcomes[refusal.kind.value] += 1
        self._log.emit(
            Event.REQUEST_REFUSED,
            error=refusal.kind.value,
            reason=refusal.detail,
            ran=refusal.ran.value,
        )

    def abandon(self, request: InFlightRequest, ran: Ran, reason: str) -> None:
        """Count and log a request whose caller has gone away."""
        now = current_time()
        self._end(request, Ran.UNKNOWN if request.may_have_run else ran, now)
        self.counts.record("abandoned", request.route.name, now - request.arrived_at)
        self.log_event(Event.REQUEST_ABANDONED, request, now, reason=reason)

    def _end(self, request: InFlightRequest, ran: Ran, now: float) -> None:
        request.release_exchange()
        if request.is_admitted:
            for observer in self._observers:
                observer.request_ended(request, ran, now)

    def log_event(
        self, event: Event, request: InFlightRequest, now: float, **fields: object
    ) -> None:
        """Log one line about a request."""
        self._log.emit(
            event,
            request=request.attempt,
            route=request.route.name,
            service=request.service,
            rank=request.rank,
            organisation=request.organisation and request.organisation.name,
            nested=request.is_nested,
            age_ms=round((now - request.arrived_at) * 1000, 1),
            **fields,
        )


def _is_planned(request: InFlightRequest, kind: ErrorKind, ran: Ran) -> bool:
    """Return whether the return of a refused caller is planned."""
    return ran is Ran.NO and kind in PLANNED_KINDS and not request.is_nested
