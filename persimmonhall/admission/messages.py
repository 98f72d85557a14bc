"""Define the requests and decisions of the admission core."""

from dataclasses import dataclass
from enum import Enum
from typing import NewType

from persimmonhall.document.schema import Worth
from persimmonhall.errors import Refusal
from persimmonhall.ids import RootId, TicketId

RequestKind = NewType("RequestKind", str)


@dataclass(frozen=True)
class Ticket:
    """Describe a request to the admission core; deadline in monotonic seconds."""

    id: TicketId
    root: RootId
    worth: Worth
    deadline: float
    depth: int = 0
    kind: RequestKind = RequestKind("")


class Outcome(Enum):
    """Describe how a started request ended."""

    DONE = "done"
    FAILED = "failed"
    SHED = "shed"
    CANCELLED = "cancelled"
    NOT_RUN = "notRun"


@dataclass(frozen=True)
class Start:
    """Start a request now."""

    ticket_id: TicketId


@dataclass(frozen=True)
class Refuse:
    """Refuse a request permanently."""

    ticket_id: TicketId
    refusal: Refusal


Decision = Start | Refuse


def request_kind(method: str, target: str) -> RequestKind:
    """Group requests with similar service times by method and first path segment."""
    path = target.partition("?")[0]
    return RequestKind(f"{method} /{path[1:].partition('/')[0]}")
