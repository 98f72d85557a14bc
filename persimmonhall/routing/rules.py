"""Decide whether a reply is final or the call may be rerouted or retried."""

from enum import Enum

from persimmonhall.call.messages import Answered, Reply
from persimmonhall.errors import ErrorKind, Ran

TURNED_AWAY = frozenset({ErrorKind.LEAVING, ErrorKind.NO_SERVER})
FAILED_BEFORE_RUN = frozenset({ErrorKind.CONNECT_FAILED, ErrorKind.CONNECTION_LOST})
FAILED_IN_RUN = frozenset({ErrorKind.CONNECTION_LOST, ErrorKind.ANSWER_CUT})
FIRST_ERROR_STATUS = 400


class Ruling(Enum):
    """Classify what may follow a reply."""

    FINAL = "final"
    REROUTE = "reroute"
    RETRY = "retry"


def rule_on(reply: Reply, *, idempotent: bool) -> Ruling:
    """Allow a retry only if it is safe to run again and no overload caused it."""
    if isinstance(reply, Answered):
        return Ruling.FINAL
    if reply.ran is Ran.NO:
        if reply.kind in TURNED_AWAY:
            return Ruling.REROUTE
        allowed = reply.kind in FAILED_BEFORE_RUN
    else:
        allowed = idempotent and reply.kind in FAILED_IN_RUN
    return Ruling.RETRY if allowed else Ruling.FINAL


def has_failed(reply: Reply) -> bool:
    """Return whether the caller is likely to resend the request after this reply."""
    return not isinstance(reply, Answered) or reply.status >= FIRST_ERROR_STATUS
