"""Define log entries, the replica set and what replicas say to each other."""

from dataclasses import dataclass
from enum import Enum
from pathlib import Path

from persimmonhall.ids import LogIndex, NodeName, ReplicaId, Term
from persimmonhall.wire.codec import Union, load_schema

SCHEMA = load_schema(Path(__file__).with_name("messages.capnp"))
NO_VOTE = ReplicaId("")


class EntryKind(Enum):
    """Tell what an entry of the log holds."""

    NO_OP = "noOp"
    COMMAND = "command"
    REPLICAS = "replicas"


@dataclass(frozen=True)
class Entry:
    """Hold one position of the log."""

    index: LogIndex
    term: Term
    kind: EntryKind
    data: bytes = b""


@dataclass(frozen=True)
class Member:
    """Name one replica by the id of its disk, its VM and its address."""

    id: ReplicaId
    name: NodeName
    address: str
    voter: bool


@dataclass(frozen=True)
class ReplicaSet:
    """List the replicas of one cluster."""

    cluster: str = ""
    members: tuple[Member, ...] = ()

    @property
    def voters(self) -> tuple[ReplicaId, ...]:
        """Return the ids that count towards a quorum."""
        return tuple(m.id for m in self.members if m.voter)

    @property
    def quorum(self) -> int:
        """Return how many voters make a majority."""
        return len(self.voters) // 2 + 1

    def get(self, replica: ReplicaId) -> Member | None:
        """Return a member by id."""
        return next((m for m in self.members if m.id == replica), None)


@dataclass(frozen=True)
class Snapshot:
    """Hold the state that the log up to an index amounts to, in bounded parts."""

    index: LogIndex
    term: Term
    replicas: ReplicaSet
    parts: tuple[bytes, ...]


@dataclass(frozen=True)
class SnapshotHead:
    """Begin a written snapshot; its parts follow."""

    index: LogIndex
    term: Term
    replicas: ReplicaSet
    parts: int


@dataclass(frozen=True)
class SnapshotPart:
    """Hold one part of a written snapshot."""

    data: bytes


@dataclass(frozen=True)
class HardState:
    """Hold the term and the vote that a replica must not forget."""

    term: Term
    vote: ReplicaId


@dataclass(frozen=True)
class Vote:
    """Ask for a vote; a pre-vote only asks whether one would be granted."""

    term: Term
    last_index: LogIndex
    last_term: Term
    pre: bool = False
    transfer: bool = False


@dataclass(frozen=True)
class VoteReply:
    """Grant or deny a vote."""

    term: Term
    granted: bool
    pre: bool


@dataclass(frozen=True)
class Append:
    """Send the entries after a position; without entries, a heartbeat."""

    term: Term
    prev_index: LogIndex
    prev_term: Term
    entries: tuple[Entry, ...]
    commit: LogIndex
    round: int


@dataclass(frozen=True)
class AppendReply:
    """Tell up to where the log matches, or which position does not."""

    term: Term
    success: bool
    match: LogIndex
    rejected: LogIndex
    round: int


@dataclass(frozen=True)
class SnapshotChunk:
    """Send some parts of a snapshot; the offset counts parts."""

    term: Term
    index: LogIndex
    snapshot_term: Term
    replicas: ReplicaSet
    offset: int
    parts: tuple[bytes, ...]
    last: bool
    round: int


@dataclass(frozen=True)
class ChunkReply:
    """Tell which part of a snapshot is wanted next."""

    term: Term
    index: LogIndex
    offset: int
    round: int


@dataclass(frozen=True)
class TimeoutNow:
    """Ask a replica to start an election at once."""

    term: Term


Message = (
    Vote | VoteReply | Append | AppendReply | SnapshotChunk | ChunkReply | TimeoutNow
)

MESSAGES = Union(
    SCHEMA.Message,
    (Vote, VoteReply, Append, AppendReply, SnapshotChunk, ChunkReply, TimeoutNow),
)
RECORDS = Union(SCHEMA.Record, (HardState, Entry, SnapshotHead, SnapshotPart))
