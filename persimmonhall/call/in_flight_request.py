"""Track one request at its entry from its arrival to its final answer."""

import math

from persimmonhall.http.caller_server import Exchange
from persimmonhall.ids import CallNumber, KeyDigest, NodeName, ServiceName
from persimmonhall.membership.messages import Member
from persimmonhall.release.schema import Organisation, Route
from persimmonhall.timers import Timer
from persimmonhall.wire.call_frames import RoutedReply

# Reserved for sending the final answer: a caller stops waiting at its deadline.
ANSWER_MARGIN_S = 0.03
ANSWER_MARGIN_FRACTION = 0.1


class InFlightRequest:
    """Hold the state of one request at its entry."""

    __slots__ = (
        "exchange",
        "attempt",
        "route",
        "rank",
        "service",
        "is_nested",
        "is_head",
        "arrived_at",
        "deadline",
        "awaited_until",
        "caller_timeout_s",
        "caller_deadline",
        "head",
        "body",
        "tried_nodes",
        "member",
        "call_number",
        "sent_at",
        "retries",
        "reroutes",
        "overloads",
        "room_wait_s",
        "uncounted_refusals",
        "has_alternative",
        "may_have_run",
        "timer",
        "failed_answer",
        "is_logged",
        "organisation",
        "is_admitted",
        "key_digest",
    )

    def __init__(self, exchange: Exchange, route: Route, now: float):
        self.exchange = exchange
        self.route = route
        self.arrived_at = now
        self.service = ServiceName("")
        # Until when servers may work on the request, and until when the caller may
        # still wait: input of a process that was paused may be older than it seems.
        self.deadline = self.awaited_until = math.inf
        # Stated by the caller, also beyond the timeout of the route; None if it is not.
        self.caller_timeout_s: float | None = None
        self.caller_deadline = math.inf
        self.body = b""
        self.tried_nodes: list[NodeName] = []
        self.member: Member | None = None
        self.call_number = CallNumber(0)
        self.sent_at = now
        self.retries = 0
        self.reroutes = 0
        self.overloads = 0
        # At gates that refused the request for lack of room.
        self.room_wait_s = 0.0
        # By gates that did not count the work of the request as theirs.
        self.uncounted_refusals = 0
        self.has_alternative = False
        self.may_have_run = False
        self.timer: Timer | None = None
        # Stored while another server is tried; delivered if that attempt fails.
        self.failed_answer: RoutedReply | None = None
        # Whose key the request carries; None on public routes and for nested calls.
        self.organisation: Organisation | None = None
        self.is_admitted = False
        # Of the key that the request carries, None without a key.
        self.key_digest: KeyDigest | None = None

    def cancel_timer(self) -> None:
        """Cancel the timer of the call in progress."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None

    def release_exchange(self) -> None:
        """Separate the request from its exchange before the final answer is sent."""
        self.exchange.context = None
        self.cancel_timer()


def parse_milliseconds(value: bytes) -> float | None:
    """Parse a number of milliseconds; return None if it is invalid."""
    try:
        return max(0.0, float(value))
    except ValueError:
        # Without a valid value the timeout of the route applies.
        return None


def time_budget_s(caller_timeout_ms: float | None, route: Route) -> float:
    """Return the time for the request in seconds, less the margin for its answer."""
    timeout_s = min(caller_timeout_ms or route.timeout_ms, route.timeout_ms) / 1000
    return timeout_s - min(ANSWER_MARGIN_S, ANSWER_MARGIN_FRACTION * timeout_s)
