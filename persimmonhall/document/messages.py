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


class PutOutcome(Enum):
    """Tell what became of a change."""

    ACCEPTED = "accepted"
    CONFLICT = "conflict"
    FORBIDDEN = "forbidden"


@dataclass(frozen=True)
class PutReply:
    """Answer a change with the revision in the log and who wrote it."""

    outcome: PutOutcome
    revision: Revision
    author: str


@dataclass(frozen=True)
class HeldDocument:
    """Hold one accepted revision of a document."""

    service: ServiceName
    revision: Revision
    text: str
    team: str
    author: str
    change_id: ChangeId
    index: LogIndex
