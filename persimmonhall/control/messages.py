"""Define the messages between nodes and control VMs."""

from dataclasses import dataclass
from pathlib import Path

from persimmonhall.control.declined import Declined
from persimmonhall.departure.messages import (
    DepartureRecorded,
    Departures,
    ListDepartures,
    RecordDeparture,
)
from persimmonhall.document.messages import HeldDocument, PutDocument, PutReply
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
    ConfirmRelease,
    PutRelease,
    PutReleaseReply,
    ReleaseConfirmed,
    ReleaseSeen,
    WatchRelease,
)
from persimmonhall.wire.codec import UnionCodec, load_schema

SCHEMA = load_schema(Path(__file__).with_name("messages.capnp"))


@dataclass(frozen=True)
class FetchDocuments:
    """Request the documents accepted after an index."""

    after: LogIndex


@dataclass(frozen=True)
class Documents:
    """Return documents and the log index up to which they are complete.

    They are current unless the control VM has lost contact with the leader.
    """

    index: LogIndex
    items: tuple[HeldDocument, ...]
    current: bool = True


@dataclass(frozen=True)
class Submit:
    """Request that a command be appended to the log."""

    command: bytes


@dataclass(frozen=True)
class Submitted:
    """Return the reply to an accepted command."""

    reply: bytes


@dataclass(frozen=True)
class NoOp:
    """Change nothing; a new leader commits one to learn what is committed."""


@dataclass(frozen=True)
class NoReply:
    """Reply to a command that returns no value."""


OnceCommand = ClaimKey | FinishKey | ReleaseKey | ElapseTime | LoseClaims
Command = PutDocument | PutRelease | RecordDeparture | NoOp | OnceCommand
CommandReply = PutReply | PutReleaseReply | NoReply | ClaimReply

COMMANDS = UnionCodec(
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
        RecordDeparture,
    ),
)
COMMAND_REPLIES = UnionCodec(
    SCHEMA.CommandReply, (PutReply, NoReply, ClaimReply, PutReleaseReply)
)
REQUESTS = UnionCodec(
    SCHEMA.Ask,
    (
        FetchDocuments,
        Submit,
        WatchRelease,
        ConfirmRelease,
        RecordDeparture,
        ListDepartures,
    ),
)
REPLIES = UnionCodec(
    SCHEMA.Reply,
    (
        Documents,
        Submitted,
        Declined,
        ReleaseSeen,
        ReleaseConfirmed,
        DepartureRecorded,
        Departures,
    ),
)
