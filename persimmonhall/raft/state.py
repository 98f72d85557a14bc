"""Hold what every role of a replica shares."""

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
    """Hold what a replica reads back from its disk."""

    state: HardState = HardState(Term(0), NO_VOTE)
    snapshot: Snapshot | None = None
    entries: tuple[Entry, ...] = ()


class ReplicaState:
    """Change term, vote, log and commit index, and record the writes."""

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
        """Return the id of the replica's disk."""
        return self._id

    @property
    def term(self) -> Term:
        """Return the current term."""
        return self._term

    @property
    def vote(self) -> ReplicaId:
        """Return whom the replica voted for in the current term."""
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
        """Return the highest index that is synced to the own disk."""
        return self._stable

    @property
    def term_synced(self) -> bool:
        """Tell whether the current term is on disk."""
        return self._outbox.synced_sequence >= self._term_sequence

    @property
    def outbox(self) -> Outbox:
        """Return the messages and writes under way."""
        return self._outbox

    @property
    def replicas(self) -> ReplicaSet:
        """Return the newest replica set of the log."""
        return self._log.replicas

    def set_term(self, term: Term, vote: ReplicaId = NO_VOTE) -> None:
        """Record a term and a vote."""
        self._term, self._vote = term, vote
        self._outbox.persist(self._hard_state())
        self._term_sequence = self._outbox.sequence

    def append(self, entries: tuple[Entry, ...]) -> None:
        """Append entries, replacing what stands from the first one on."""
        before = LogIndex(entries[0].index - 1)
        if before < self._commit:
            raise AssertionError(f"entry {before + 1} is committed and was replaced")
        self._log.append(entries)
        self._outbox.persist(self._hard_state(), entries)
        self._stable = min(self._stable, before)
        while self._appends and self._appends[-1][1] > before:
            self._appends.pop()
        self._appends.append((self._outbox.sequence, self._log.last_index))

    def commit_to(self, index: LogIndex) -> None:
        """Release entries up to an index to the state machine."""
        if index > self._commit:
            self._committed.extend(self._log.between(self._commit, index))
            self._commit = index

    def snapshot_at(self, index: LogIndex, parts: tuple[bytes, ...]) -> Snapshot:
        """Return the state at an applied index as a snapshot."""
        term = self._log.term_at(index)
        return Snapshot(index, term, self._log.replicas_at(index), parts)

    def compact(self, snapshot: Snapshot) -> None:
        """Replace the log up to an index by the state it amounts to."""
        self._log.compact(snapshot)
        self._persist_snapshot(snapshot)

    def install(self, snapshot: Snapshot) -> None:
        """Take over a snapshot from the leader."""
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
        """Record that writes up to a number are on disk."""
        while self._appends and self._appends[0][0] <= sequence:
            self._stable = self._appends.popleft()[1]
        self._outbox.synced(sequence)

    def take(self) -> Ready:
        """Return what is to be written, sent, applied and read."""
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
