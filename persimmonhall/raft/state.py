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
from persimmonhall.raft.outbox import ConfirmedRead, Outbox, Ready


@dataclass(frozen=True)
class PersistedState:
    """Hold the state that a replica reads from its disk at the start."""

    hard_state: HardState = HardState(Term(0), NO_VOTE)
    snapshot: Snapshot | None = None
    entries: tuple[Entry, ...] = ()
    # Whether it is durable, or only will be after the first write.
    is_synced: bool = True


class ReplicaState:
    """Hold term, vote, log and commit index, and queue the writes of changes."""

    def __init__(self, replica_id: ReplicaId, stored: PersistedState):
        self._id = replica_id
        self._term = stored.hard_state.term
        self._vote = stored.hard_state.vote
        self._log = Log(stored.snapshot, stored.entries)
        self._commit_index = self._log.snapshot.index
        self._outbox = Outbox()
        self._committed: list[Entry | Snapshot] = []
        self._unsynced_appends: deque[tuple[int, LogIndex]] = deque()
        self._synced_index = self._log.last_index
        self._term_write_sequence = 0
        self.reads: list[ConfirmedRead] = []
        if not stored.is_synced:
            self._write_stored_state()
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
    def commit_index(self) -> LogIndex:
        """Return the highest index known to be committed."""
        return self._commit_index

    @property
    def synced_index(self) -> LogIndex:
        """Return the highest index that is synced to the local disk."""
        return self._synced_index

    @property
    def is_term_synced(self) -> bool:
        """Return whether the current term is synced to disk."""
        return self._outbox.synced_sequence >= self._term_write_sequence

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
        self._outbox.add_write(self._hard_state())
        self._term_write_sequence = self._outbox.sequence

    def append(self, entries: tuple[Entry, ...]) -> None:
        """Append entries, replacing all existing ones from the first one's index on."""
        before = LogIndex(entries[0].index - 1)
        if before < self._commit_index:
            raise AssertionError(f"committed entry {before + 1} must not be replaced")
        self._log.append(entries)
        self._outbox.add_write(self._hard_state(), entries)
        self._synced_index = min(self._synced_index, before)
        while self._unsynced_appends and self._unsynced_appends[-1][1] > before:
            self._unsynced_appends.pop()
        self._unsynced_appends.append((self._outbox.sequence, self._log.last_index))

    def commit_to(self, index: LogIndex) -> None:
        """Advance the commit index and pass the committed entries on to be applied."""
        if index > self._commit_index:
            self._committed.extend(self._log.entries_between(self._commit_index, index))
            self._commit_index = index

    def make_snapshot(self, index: LogIndex, parts: tuple[bytes, ...]) -> Snapshot:
        """Return a snapshot of the state at an applied index."""
        term = self._log.term_at(index)
        return Snapshot(index, term, self._log.replicas_at(index), parts)

    def compact(
        self, snapshot: Snapshot, retained_index: LogIndex | None = None
    ) -> None:
        """Replace the log up to the snapshot's index by the snapshot."""
        self._log.compact(snapshot, retained_index)
        self._write_snapshot(snapshot)

    def install_snapshot(self, snapshot: Snapshot) -> None:
        """Install a snapshot from the leader."""
        if self._log.term_at(snapshot.index) == snapshot.term:
            self._log.compact(snapshot)
        else:
            self._log.reset(snapshot)
            self._unsynced_appends.clear()
            self._synced_index = LogIndex(0)
        self._commit_index = snapshot.index
        self._committed.append(snapshot)
        self._write_snapshot(snapshot)
        self._unsynced_appends.append((self._outbox.sequence, self._log.last_index))

    def mark_synced(self, sequence: int) -> None:
        """Record that the writes up to a sequence number are synced to disk."""
        while self._unsynced_appends and self._unsynced_appends[0][0] <= sequence:
            self._synced_index = self._unsynced_appends.popleft()[1]
        self._outbox.mark_synced(sequence)

    def take_ready(self) -> Ready:
        """Return the pending writes, messages, committed items and confirmed reads."""
        committed, self._committed = tuple(self._committed), []
        reads, self.reads = tuple(self.reads), []
        writes = self._outbox.take_writes()
        messages = self._outbox.take_messages()
        return Ready(writes, messages, committed, reads)

    def _write_stored_state(self) -> None:
        """Queue a write, until which nothing that was read counts as synced."""
        self.set_term(self._term, self._vote)
        self._synced_index = LogIndex(0)
        self._unsynced_appends.append((self._outbox.sequence, self._log.last_index))

    def _write_snapshot(self, snapshot: Snapshot) -> None:
        rest = self._log.entries_between(snapshot.index, self._log.last_index)
        self._outbox.add_write(self._hard_state(), rest, snapshot)

    def _hard_state(self) -> HardState:
        return HardState(self._term, self._vote)
