"""Track one request at its entry from its arrival to its final answer."""

from persimmonhall.http.callers import Exchange
from persimmonhall.ids import CallNumber, NodeName
from persimmonhall.membership.messages import Member
from persimmonhall.release.schema import Route
from persimmonhall.timers import Timer
from persimmonhall.wire.calls import RoutedReply

# Reserved for sending the final answer: a caller stops waiting at its deadline.
ANSWER_MARGIN_S = 0.03
MARGIN_SHARE = 0.1


class Flight:
    """Hold the state of one request at its entry."""

    __slots__ = (
        "exchange",
        "attempt",
        "route",
        "rank",
        "service",
        "is_nested",
        "is_head",
        "arrived",
        "deadline",
        "head",
        "body",
        "tried",
        "member",
        "number",
        "sent_at",
        "sends",
        "reroutes",
        "overloads",
        "may_have_run",
        "timer",
        "failed_answer",
        "is_logged",
    )

    def __init__(self, exchange: Exchange, route: Route, now: float):
        self.exchange = exchange
        self.route = route
        self.arrived = now
        self.tried: list[NodeName] = []
        self.member: Member | None = None
        self.number = CallNumber(0)
        self.sent_at = now
        self.sends = 0
        self.reroutes = 0
        self.overloads = 0
        self.may_have_run = False
        self.timer: Timer | None = None
        # Stored while another server is tried; delivered if that attempt fails.
        self.failed_answer: RoutedReply | None = None


def milliseconds(value: bytes) -> float | None:
    """Parse a number of milliseconds; return None if it is invalid."""
    try:
        return max(0.0, float(value))
    except ValueError:
        # Without a valid value the timeout of the route applies.
        return None


def usable_s(wait_ms: float | None, route: Route) -> float:
    """Return the time for the request in seconds, less the margin for its answer."""
    whole_s = min(wait_ms or route.timeout_ms, route.timeout_ms) / 1000
    return whole_s - min(ANSWER_MARGIN_S, MARGIN_SHARE * whole_s)
