"""Define log entries, the replica set and the messages between replicas."""

from dataclasses import dataclass
from enum import Enum
from pathlib import Path

from persimmonhall.ids import LogIndex, NodeName, ReplicaId, Term
from persimmonhall.wire.codec import UnionCodec, load_schema

SCHEMA = load_schema(Path(__file__).with_name("messages.capnp"))
NO_VOTE = ReplicaId("")


class EntryKind(Enum):
    """Enumerate the kinds of log entries."""

    NO_OP = "noOp"
    COMMAND = "command"
    REPLICAS = "replicas"


@dataclass(frozen=True)
class Entry:
    """Represent one entry of the log."""

    index: LogIndex
    term: Term
    kind: EntryKind
    data: bytes = b""


@dataclass(frozen=True)
class Member:
    """Describe one replica: the id of its disk, the name of its VM, its address."""

    id: ReplicaId
    name: NodeName
    address: str
    voter: bool


@dataclass(frozen=True)
class ReplicaSet:
    """List the replicas of one cluster.

    The number of voters that the set had when it last settled is 0 until it has.
    Replicas that were removed for good, the latest last, don't get back in.
    """

    cluster: str = ""
    members: tuple[Member, ...] = ()
    settled_voters: int = 0
    removed: tuple[ReplicaId, ...] = ()

    @property
    def voters(self) -> tuple[ReplicaId, ...]:
        """Return the ids of the members that count towards a quorum."""
        return tuple(m.id for m in self.members if m.voter)

    @property
    def learners(self) -> tuple[ReplicaId, ...]:
        """Return the ids of the members that are still to be caught up."""
        return tuple(m.id for m in self.members if not m.voter)

    @property
    def quorum(self) -> int:
        """Return the number of voters in a majority."""
        return len(self.voters) // 2 + 1

    @property
    def surplus_voters(self) -> int:
        """Return by how many voters the set has grown since it settled."""
        return len(self.voters) - self.settled_voters if self.settled_voters else 0

    @property
    def has_learners(self) -> bool:
        """Return whether a member is still to be caught up."""
        return bool(self.learners)

    def get(self, replica: ReplicaId) -> Member | None:
        """Return a member by id, or None."""
        return next((m for m in self.members if m.id == replica), None)


@dataclass(frozen=True)
class Snapshot:
    """Hold the applied state at a log index, in parts of bounded size."""

    index: LogIndex
    term: Term
    replicas: ReplicaSet
    parts: tuple[bytes, ...]


@dataclass(frozen=True)
class SnapshotHead:
    """Represent the first record of a snapshot file, with the number of parts."""

    index: LogIndex
    term: Term
    replicas: ReplicaSet
    parts: int


@dataclass(frozen=True)
class SnapshotPart:
    """Represent the record of one part in a snapshot file."""

    data: bytes


@dataclass(frozen=True)
class HardState:
    """Hold the term and the vote, which must survive a restart."""

    term: Term
    vote: ReplicaId


@dataclass(frozen=True)
class Vote:
    """Request a vote, or with `pre` ask whether it would be granted."""

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
    """Send the entries after an index; a heartbeat if there are none."""

    term: Term
    prev_index: LogIndex
    prev_term: Term
    entries: tuple[Entry, ...]
    commit: LogIndex
    round: int


@dataclass(frozen=True)
class AppendReply:
    """Report the match index, or the previous index that was rejected."""

    term: Term
    success: bool
    match: LogIndex
    rejected: LogIndex
    round: int


@dataclass(frozen=True)
class SnapshotChunk:
    """Send parts of a snapshot; the offset is a number of parts."""

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
    """Request the part of a snapshot that is needed next."""

    term: Term
    index: LogIndex
    offset: int
    round: int


@dataclass(frozen=True)
class TimeoutNow:
    """Request that a replica starts an election immediately."""

    term: Term


Message = (
    Vote | VoteReply | Append | AppendReply | SnapshotChunk | ChunkReply | TimeoutNow
)

MESSAGES = UnionCodec(
    SCHEMA.Message,
    (Vote, VoteReply, Append, AppendReply, SnapshotChunk, ChunkReply, TimeoutNow),
)
RECORDS = UnionCodec(SCHEMA.Record, (HardState, Entry, SnapshotHead, SnapshotPart))
