"""Define what nodes and control VMs say to each other."""

from dataclasses import dataclass
from pathlib import Path

from persimmonhall.document.messages import HeldDocument, PutDocument, PutReply
from persimmonhall.errors import ErrorKind, Ran
from persimmonhall.ids import LogIndex
from persimmonhall.once.messages import (
    ClaimKey,
    ClaimReply,
    ElapseTime,
    FinishKey,
    LoseClaims,
    ReleaseKey,
)
from persimmonhall.release.messages import (
    PutRelease,
    PutReleaseReply,
    ReleaseSeen,
    WatchRelease,
)
from persimmonhall.wire.codec import Union, load_schema

SCHEMA = load_schema(Path(__file__).with_name("messages.capnp"))


@dataclass(frozen=True)
class FetchDocuments:
    """Ask for the documents accepted after an index."""

    after: LogIndex


@dataclass(frozen=True)
class Documents:
    """Answer with documents and the index they reach up to.

    They are current unless the control VM has lost touch with the leader.
    """

    index: LogIndex
    items: tuple[HeldDocument, ...]
    current: bool = True


@dataclass(frozen=True)
class Submit:
    """Ask to append a command to the log."""

    command: bytes


@dataclass(frozen=True)
class Submitted:
    """Answer with the reply of an accepted command."""

    reply: bytes


@dataclass(frozen=True)
class Declined:
    """Answer that the ask could not be served."""

    kind: ErrorKind
    detail: str
    ran: Ran


@dataclass(frozen=True)
class NoOp:
    """Change nothing; a new leader commits one to learn what is committed."""


@dataclass(frozen=True)
class NoReply:
    """Answer a command that has no reply of its own."""


OnceCommand = ClaimKey | FinishKey | ReleaseKey | ElapseTime | LoseClaims
Command = PutDocument | PutRelease | NoOp | OnceCommand
CommandReply = PutReply | PutReleaseReply | NoReply | ClaimReply

COMMANDS = Union(
    SCHEMA.Command,
    (
        PutDocument,
        NoOp,
        ClaimKey,
        FinishKey,
        ReleaseKey,
        ElapseTime,
        LoseClaims,
        PutRelease,
    ),
)
COMMAND_REPLIES = Union(
    SCHEMA.CommandReply, (PutReply, NoReply, ClaimReply, PutReleaseReply)
)
ASKS = Union(SCHEMA.Ask, (FetchDocuments, Submit, WatchRelease))
REPLIES = Union(SCHEMA.Reply, (Documents, Submitted, Declined, ReleaseSeen))
