"""Send the calls of an entry to gates and match the replies with their requests."""

import itertools
from collections.abc import Callable
from dataclasses import dataclass

from persimmonhall.admission.room_wait import objective_left_ms
from persimmonhall.call.in_flight_request import InFlightRequest
from persimmonhall.call.routed_gate import RoutedGate
from persimmonhall.call.server_notices import NoticeMemory
from persimmonhall.call.shutdown_window import ShutdownWindow
from persimmonhall.errors import ErrorKind, Ran
from persimmonhall.event_time import current_time
from persimmonhall.http.messages import FIRST_SERVER_ERROR_STATUS
from persimmonhall.ids import CallNumber, NodeName, ServiceName
from persimmonhall.membership.effects import address_of
from persimmonhall.routing.router import Choice, Observation, Router
from persimmonhall.routing.server_view import CallOutcome
from persimmonhall.wire.call_frames import RoutedCall, RoutedReply
from persimmonhall.wire.call_link_pool import CallLinkPool

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


class CallDispatcher:
    """Choose the server of each call, send the call and wait for its reply."""

    def __init__(
        self,
        local: LocalNode,
        router: Router,
        gate: RoutedGate,
        links: Callable[[], CallLinkPool],
        shutdown: ShutdownWindow,
    ):
        self._local = local
        self._router = router
        self._gate = gate
        self._links = links
        self._shutdown = shutdown
        self._call_numbers = itertools.count(1)
        self._waiting_requests: dict[CallNumber, InFlightRequest] = {}
        self._notices = NoticeMemory()

    @property
    def waiting_requests(self) -> tuple[InFlightRequest, ...]:
        """Return the requests that wait for the reply of a gate."""
        return tuple(self._waiting_requests.values())

    @property
    def in_flight(self) -> int:
        """Return the number of requests that wait for the reply of a gate."""
        return len(self._waiting_requests)

    def find(self, number: CallNumber) -> InFlightRequest | None:
        """Return the request that waits for the reply to a call."""
        return self._waiting_requests.get(number)

    def choose(self, request: InFlightRequest, now: float) -> Choice | None:
        """Choose a server that the request was not sent to, None if there is none."""
        choice = self._router.choose(
            request.service,
            request.tried_nodes,
            now,
            path=request.route.name,
            can_probe=request.route.is_idempotent,
        )
        if choice is not None:
            request.member = choice.member
            request.tried_nodes.append(choice.member.node)
            request.call_number = CallNumber(next(self._call_numbers))
            request.sent_at = now
            self._waiting_requests[request.call_number] = request
        return choice

    def send(
        self,
        request: InFlightRequest,
        on_reply: Callable[[RoutedReply], None],
        now: float,
    ) -> None:
        """Send the call of a request to the server that was chosen."""
        member = request.member
        call = self._make_call(request, now)
        if member.node == self._local.node:
            self._gate.begin(self, call, on_reply)
        else:
            self._links().send(address_of(member.frames), call)

    def take(self, reply: RoutedReply, now: float) -> InFlightRequest | None:
        """Return the request of a reply and record the outcome of its call.

        None if the request no longer waits for it.
        """
        request = self._waiting_requests.pop(reply.number, None)
        if request is None:
            return None
        member, request.member = request.member, None
        load = reply.load if reply.load.limit else None
        observation = Observation(
            _outcome_of(reply),
            request.route.name,
            now - request.sent_at,
            load,
            reply.run_s,
        )
        self._router.observe(request.service, member.node, observation, now)
        if reply.notice or not self._notices.is_empty:
            self._notices.record(
                member.node, reply.notice, is_answer=reply.error is None
            )
        return request

    def cancel(self, request: InFlightRequest, outcome: CallOutcome) -> Ran:
        """Cancel the call in progress; return whether its server may have run it."""
        request.cancel_timer()
        if self._waiting_requests.pop(request.call_number, None) is None:
            return Ran.NO
        member = request.member
        now = current_time()
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

    def has_unlimited_server(self, service: ServiceName, now: float) -> bool:
        """Return whether a server is not known to limit its rate."""
        return self._router.has_unlimited_server(service, now)

    def _make_call(self, request: InFlightRequest, now: float) -> RoutedCall:
        route = request.route
        objective_ms = route.latency_objective_ms
        if not request.is_nested:
            objective_ms = objective_left_ms(objective_ms, request.room_wait_s)
        deadline = self._shutdown.work_deadline(request.deadline)
        notice = b""
        if not self._notices.is_empty:
            notice = self._notices.recall(request.member.node)
        return RoutedCall(
            request.call_number,
            request.service,
            route.name,
            request.attempt,
            request.rank,
            request.is_nested,
            route.is_idempotent,
            request.is_head,
            len(request.tried_nodes) - request.uncounted_refusals > 1,
            max(0, int((deadline - now) * 1000)),
            objective_ms,
            request.head,
            request.body,
            request.has_alternative,
            notice,
        )


def _outcome_of(reply: RoutedReply) -> CallOutcome:
    if reply.error is not None:
        return OUTCOME_BY_ERROR.get(reply.error, CallOutcome.REFUSED)
    if reply.status >= FIRST_SERVER_ERROR_STATUS:
        return CallOutcome.FAILED
    return CallOutcome.DONE
