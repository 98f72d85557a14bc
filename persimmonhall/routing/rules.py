"""Decide what may follow a reply: nothing, another server or a retry."""

from enum import Enum

from persimmonhall.call.messages import Answered, Reply
from persimmonhall.errors import ErrorKind, Ran

TURNED_AWAY = frozenset({ErrorKind.LEAVING, ErrorKind.NO_SERVER})
FAILED_BEFORE_RUN = frozenset({ErrorKind.CONNECT_FAILED, ErrorKind.CONNECTION_LOST})
FAILED_IN_RUN = frozenset({ErrorKind.CONNECTION_LOST, ErrorKind.ANSWER_CUT})
FIRST_ERROR_STATUS = 400


class Ruling(Enum):
    """Tell what may follow a reply."""

    FINAL = "final"
    REROUTE = "reroute"
    RETRY = "retry"


def rule_on(reply: Reply, *, idempotent: bool) -> Ruling:
    """Allow a retry only where it repeats no run and meets no overload."""
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
    """Tell whether its caller is likely to send the request again."""
    return not isinstance(reply, Answered) or reply.status >= FIRST_ERROR_STATUS
