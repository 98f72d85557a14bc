"""Map replies to the outcomes by which a router judges servers."""

from persimmonhall.call.messages import Answered, Reply
from persimmonhall.errors import ErrorKind, Ran
from persimmonhall.routing.server_view import CallOutcome

FIRST_SERVER_ERROR_STATUS = 500
OUTCOME_BY_ERROR = {
    ErrorKind.LEAVING: CallOutcome.UNAVAILABLE,
    ErrorKind.NO_SERVER: CallOutcome.UNAVAILABLE,
    ErrorKind.CONNECT_FAILED: CallOutcome.UNREACHABLE,
    ErrorKind.CONNECTION_LOST: CallOutcome.LOST,
    ErrorKind.ANSWER_CUT: CallOutcome.LOST,
    ErrorKind.DEADLINE_EXCEEDED: CallOutcome.TIMED_OUT,
}


def outcome_of(reply: Reply) -> CallOutcome:
    """Return the outcome that a reply means for the router."""
    if not isinstance(reply, Answered):
        if reply.kind is ErrorKind.DEADLINE_EXCEEDED and reply.ran is Ran.NO:
            return CallOutcome.REFUSED
        return OUTCOME_BY_ERROR.get(reply.kind, CallOutcome.REFUSED)
    if reply.status >= FIRST_SERVER_ERROR_STATUS:
        return CallOutcome.FAILED
    return CallOutcome.DONE
