"""Make the state of a request from its message by the active release."""

from persimmonhall.call.call_dispatcher import LocalNode
from persimmonhall.call.in_flight_request import InFlightRequest, time_budget_s
from persimmonhall.call.request_reader import RequestHead, RequestReader
from persimmonhall.events import is_sampled
from persimmonhall.http.caller_server import Exchange
from persimmonhall.http.message_reader import Message
from persimmonhall.organisation.active_keys import ActiveKeys
from persimmonhall.organisation.keyring import digest_key
from persimmonhall.process_pauses import ProcessPauses
from persimmonhall.release.routes import RouteTable
from persimmonhall.release.schema import Organisation, Route
from persimmonhall.routing.route_origins import RouteOrigins


class RequestFactory:
    """Read requests and find out whose they are and where they go."""

    def __init__(
        self,
        reader: RequestReader,
        keys: ActiveKeys,
        origins: RouteOrigins,
        pauses: ProcessPauses,
        local: LocalNode,
    ):
        self._reader = reader
        self._keys = keys
        self._origins = origins
        self._pauses = pauses
        self._local = local

    def read(self, message: Message) -> RequestHead:
        """Read the headers of a request."""
        return self._reader.read(message, has_keys=self._keys.are_required)

    def make(
        self,
        message: Message,
        exchange: Exchange,
        head: RequestHead,
        route: Route,
        routes: RouteTable,
        now: float,
    ) -> InFlightRequest:
        """Make the state of a request; its service is not chosen yet."""
        request = InFlightRequest(exchange, route, now)
        exchange.context = request
        request.attempt = head.attempt
        lines = head.lines
        if not route.is_public and head.key is not None:
            request.key_digest = digest_key(head.key)
            request.organisation = self._keys.keyring.find(request.key_digest)
            if request.organisation is not None:
                lines += self._reader.organisation_line(request.organisation.name)
        request.rank = routes.rank_of(route, request.organisation)
        request.is_nested = self._is_nested(route, request.organisation)
        request.is_head = message.method == "HEAD"
        request.is_logged = is_sampled(head.attempt)
        budget_s = time_budget_s(head.caller_timeout_ms, route)
        age_s = self._pauses.input_age_s(now)
        request.awaited_until = now + budget_s
        request.deadline = request.awaited_until - age_s
        if head.caller_timeout_ms:
            request.caller_timeout_s = head.caller_timeout_ms / 1000
            request.caller_deadline = now + request.caller_timeout_s - age_s
        request.head = b"%s %s HTTP/1.1\r\n%s" % (
            message.method.encode(),
            message.target,
            lines,
        )
        if message.is_complete:
            request.body = message.body if message.body_size else b""
        return request

    def _is_nested(self, route: Route, organisation: Organisation | None) -> bool:
        """Return whether a request is a call made by a running request."""
        if self._origins.is_requested_by_callers(route.name):
            return False
        # Backend servers have no keys.
        is_of_caller = organisation is not None or any(
            target.service == self._local.service for target in route.targets
        )
        if is_of_caller:
            self._origins.mark_requested_by_callers(route.name)
        return not is_of_caller
