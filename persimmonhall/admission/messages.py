"""Define what the admission core takes and decides."""

from dataclasses import dataclass
from enum import Enum

from persimmonhall.document.schema import Worth
from persimmonhall.errors import Refusal
from persimmonhall.ids import RootId, TicketId


@dataclass(frozen=True)
class Ticket:
    """Describe a request that asks to start; deadline in monotonic seconds."""

    id: TicketId
    root: RootId
    worth: Worth
    deadline: float


class Outcome(Enum):
    """Tell how a started request ended."""

    DONE = "done"
    FAILED = "failed"
    SHED = "shed"
    CANCELLED = "cancelled"


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
