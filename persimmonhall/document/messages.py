"""Define the commands and replies that concern documents."""

from dataclasses import dataclass
from enum import Enum

from persimmonhall.ids import ChangeId, LogIndex, Revision, ServiceName


@dataclass(frozen=True)
class PutDocument:
    """Replace a document whose current revision is the one expected."""

    change_id: ChangeId
    service: ServiceName
    expected_revision: Revision
    text: str
    author: str
    team: str
    at_ms: int = 0


class PutOutcome(Enum):
    """List the possible outcomes of a change."""

    ACCEPTED = "accepted"
    CONFLICT = "conflict"
    FORBIDDEN = "forbidden"


@dataclass(frozen=True)
class PutReply:
    """Answer a change with the revision in the log and its author."""

    outcome: PutOutcome
    revision: Revision
    author: str


@dataclass(frozen=True)
class HeldDocument:
    """Represent one accepted revision of a document."""

    service: ServiceName
    revision: Revision
    text: str
    team: str
    author: str
    change_id: ChangeId
    index: LogIndex


@dataclass(frozen=True)
class KnownReply:
    """Store the first reply to a change, to be returned when it is resent."""

    change_id: ChangeId
    outcome: PutOutcome
    revision: Revision
    author: str


@dataclass(frozen=True)
class HistoryEntry:
    """Record who put a revision and when, by the clock of its control VM."""

    service: ServiceName
    revision: Revision
    author: str
    team: str
    change_id: ChangeId
    index: LogIndex
    at_ms: int


@dataclass(frozen=True)
class TableState:
    """Represent rows of the document table in a snapshot."""

    documents: tuple[HeldDocument, ...]
    replies: tuple[KnownReply, ...]
    history: tuple[HistoryEntry, ...]
