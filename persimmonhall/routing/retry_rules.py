"""Decide whether a reply is final or the call may be rerouted or retried."""

from enum import Enum

from persimmonhall.call.messages import Answered, Reply
from persimmonhall.errors import ErrorKind, Ran

SERVER_UNAVAILABLE = frozenset({ErrorKind.LEAVING, ErrorKind.NO_SERVER})
FAILED_BEFORE_RUN = frozenset({ErrorKind.CONNECT_FAILED, ErrorKind.CONNECTION_LOST})
FAILED_IN_RUN = frozenset({ErrorKind.CONNECTION_LOST, ErrorKind.ANSWER_CUT})
FIRST_ERROR_STATUS = 400


class RetryDecision(Enum):
    """Classify what may follow a reply."""

    FINAL = "final"
    REROUTE = "reroute"
    RETRY = "retry"


def decide_retry(reply: Reply, *, idempotent: bool) -> RetryDecision:
    """Allow a retry only if it is safe to run again and no overload caused it."""
    if isinstance(reply, Answered):
        return RetryDecision.FINAL
    if reply.ran is Ran.NO:
        if reply.kind in SERVER_UNAVAILABLE:
            return RetryDecision.REROUTE
        is_allowed = reply.kind in FAILED_BEFORE_RUN
    else:
        is_allowed = idempotent and reply.kind in FAILED_IN_RUN
    return RetryDecision.RETRY if is_allowed else RetryDecision.FINAL


def has_failed(reply: Reply) -> bool:
    """Return whether the caller is likely to resend the request after this reply."""
    return not isinstance(reply, Answered) or reply.status >= FIRST_ERROR_STATUS
