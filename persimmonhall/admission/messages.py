"""Define what the admission core takes and decides."""

from dataclasses import dataclass
from enum import Enum
from typing import NewType

from persimmonhall.document.schema import Worth
from persimmonhall.errors import Refusal
from persimmonhall.ids import RootId, TicketId

RequestKind = NewType("RequestKind", str)


@dataclass(frozen=True)
class Ticket:
    """Describe a request that asks to start; deadline in monotonic seconds."""

    id: TicketId
    root: RootId
    worth: Worth
    deadline: float
    depth: int = 0
    kind: RequestKind = RequestKind("")


class Outcome(Enum):
    """Tell how a started request ended."""

    DONE = "done"
    FAILED = "failed"
    SHED = "shed"
    CANCELLED = "cancelled"
    NOT_RUN = "notRun"


@dataclass(frozen=True)
class Start:
    """Let a request start now."""

    ticket: TicketId


@dataclass(frozen=True)
class Refuse:
    """Refuse a request for good."""

    ticket: TicketId
    refusal: Refusal


Verdict = Start | Refuse


def kind_of(method: str, target: str) -> RequestKind:
    """Group requests whose service times are alike: method and first segment."""
    path = target.partition("?")[0]
    return RequestKind(f"{method} /{path[1:].partition('/')[0]}")
