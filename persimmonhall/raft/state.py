"""Hold the replica state that all roles share."""

from collections import deque
from dataclasses import dataclass

from persimmonhall.ids import LogIndex, ReplicaId, Term
from persimmonhall.raft.log import Log
from persimmonhall.raft.messages import (
    NO_VOTE,
    Entry,
    HardState,
    ReplicaSet,
    Snapshot,
)
from persimmonhall.raft.outbox import Outbox, ReadReady, Ready


@dataclass(frozen=True)
class Stored:
    """Hold the state that a replica reads from its disk at the start."""

    state: HardState = HardState(Term(0), NO_VOTE)
    snapshot: Snapshot | None = None
    entries: tuple[Entry, ...] = ()


class ReplicaState:
    """Hold term, vote, log and commit index, and queue the writes of changes."""

    def __init__(self, replica_id: ReplicaId, stored: Stored):
        self._id = replica_id
        self._term = stored.state.term
        self._vote = stored.state.vote
        self._log = Log(stored.snapshot, stored.entries)
        self._commit = self._log.snapshot.index
        self._outbox = Outbox()
        self._committed: list[Entry | Snapshot] = []
        self._appends: deque[tuple[int, LogIndex]] = deque()
        self._stable = self._log.last_index
        self._term_sequence = 0
        self.reads: list[ReadReady] = []
        if stored.snapshot is not None:
            self._committed.append(stored.snapshot)

    @property
    def id(self) -> ReplicaId:
        """Return the replica id, which belongs to its disk."""
        return self._id

    @property
    def term(self) -> Term:
        """Return the current term."""
        return self._term

    @property
    def vote(self) -> ReplicaId:
        """Return the candidate that received the vote in the current term."""
        return self._vote

    @property
    def log(self) -> Log:
        """Return the log."""
        return self._log

    @property
    def commit(self) -> LogIndex:
        """Return the highest index known to be committed."""
        return self._commit

    @property
    def stable(self) -> LogIndex:
        """Return the highest index that is synced to the local disk."""
        return self._stable

    @property
    def term_synced(self) -> bool:
        """Return whether the current term is synced to disk."""
        return self._outbox.synced_sequence >= self._term_sequence

    @property
    def outbox(self) -> Outbox:
        """Return the outbox of pending messages and writes."""
        return self._outbox

    @property
    def replicas(self) -> ReplicaSet:
        """Return the latest replica set of the log, committed or not."""
        return self._log.replicas

    def set_term(self, term: Term, vote: ReplicaId = NO_VOTE) -> None:
        """Set the term and the vote and queue their write."""
        self._term, self._vote = term, vote
        self._outbox.persist(self._hard_state())
        self._term_sequence = self._outbox.sequence

    def append(self, entries: tuple[Entry, ...]) -> None:
        """Append entries, replacing all existing ones from the first one's index on."""
        before = LogIndex(entries[0].index - 1)
        if before < self._commit:
            raise AssertionError(f"committed entry {before + 1} must not be replaced")
        self._log.append(entries)
        self._outbox.persist(self._hard_state(), entries)
        self._stable = min(self._stable, before)
        while self._appends and self._appends[-1][1] > before:
            self._appends.pop()
        self._appends.append((self._outbox.sequence, self._log.last_index))

    def commit_to(self, index: LogIndex) -> None:
        """Advance the commit index and pass the committed entries on to be applied."""
        if index > self._commit:
            self._committed.extend(self._log.between(self._commit, index))
            self._commit = index

    def snapshot_at(self, index: LogIndex, parts: tuple[bytes, ...]) -> Snapshot:
        """Return a snapshot of the state at an applied index."""
        term = self._log.term_at(index)
        return Snapshot(index, term, self._log.replicas_at(index), parts)

    def compact(self, snapshot: Snapshot) -> None:
        """Replace the log up to the snapshot's index by the snapshot."""
        self._log.compact(snapshot)
        self._persist_snapshot(snapshot)

    def install(self, snapshot: Snapshot) -> None:
        """Install a snapshot from the leader."""
        if self._log.term_at(snapshot.index) == snapshot.term:
            self._log.compact(snapshot)
        else:
            self._log.reset(snapshot)
            self._appends.clear()
            self._stable = LogIndex(0)
        self._commit = snapshot.index
        self._committed.append(snapshot)
        self._persist_snapshot(snapshot)
        self._appends.append((self._outbox.sequence, self._log.last_index))

    def synced(self, sequence: int) -> None:
        """Record that the writes up to a sequence number are synced to disk."""
        while self._appends and self._appends[0][0] <= sequence:
            self._stable = self._appends.popleft()[1]
        self._outbox.synced(sequence)

    def take(self) -> Ready:
        """Return the pending writes, messages, committed items and confirmed reads."""
        committed, self._committed = tuple(self._committed), []
        reads, self.reads = tuple(self.reads), []
        persists = self._outbox.take_persists()
        messages = self._outbox.take_messages()
        return Ready(persists, messages, committed, reads)

    def _persist_snapshot(self, snapshot: Snapshot) -> None:
        rest = self._log.between(snapshot.index, self._log.last_index)
        self._outbox.persist(self._hard_state(), rest, snapshot)

    def _hard_state(self) -> HardState:
        return HardState(self._term, self._vote)
