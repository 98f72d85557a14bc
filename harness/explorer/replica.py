"""Simulate one replica: Raft core, disk and state machine."""

import random
from dataclasses import dataclass, field

from harness.explorer.checker import Checker
from harness.explorer.disk import Disk
from harness.explorer.machine import Machine
from persimmonhall.ids import LogIndex, ReplicaId, Term
from persimmonhall.raft.core import RaftCore
from persimmonhall.raft.leader import Leader
from persimmonhall.raft.messages import Entry, EntryKind, Snapshot
from persimmonhall.raft.outbox import OutgoingMessage
from persimmonhall.raft.role import Role
from persimmonhall.raft.state import PersistedState

SNAPSHOT_ENTRIES = 40
MAX_ENTRIES_DURING_SNAPSHOT = 30


class SmallChunkLeader(Leader):
    """Send snapshots in chunks of 700 bytes, so that one takes several."""

    max_chunk_bytes = 700


class SmallChunkCore(RaftCore):
    """Send snapshots in small chunks as leader."""

    leader_class = SmallChunkLeader


@dataclass
class Variant:
    """Configure the parts of a replica; tests replace them with broken ones."""

    core: type[RaftCore] = RaftCore
    disk: type[Disk] = Disk
    new_id_after_disk_loss: bool = True
    slow_snapshots: bool = False
    hints: bool = False


FULL = Variant(core=SmallChunkCore, slow_snapshots=True, hints=True)


@dataclass
class Pending:
    """Describe a proposal whose entry is not applied yet."""

    term: Term
    change: str


@dataclass
class SimReplica:
    """Run one replica; the cluster passes it inputs and the time."""

    name: str
    replica_id: ReplicaId
    stored: PersistedState
    variant: Variant
    checker: Checker
    rng: random.Random
    now: float
    up: bool = True
    frozen: bool = False
    sync_s: float = 0.005
    pending: dict[LogIndex, Pending] = field(default_factory=dict)
    reads: dict[int, LogIndex] = field(default_factory=dict)

    def __post_init__(self):
        self.disk = self.variant.disk(self.stored)
        self.boot(self.stored, self.now)

    def boot(self, stored: PersistedState, now: float) -> None:
        """Start from the persisted state."""
        self.up = True
        self.machine = Machine()
        self.pending, self.reads = {}, {}
        self._due_reads: list[tuple[int, LogIndex]] = []
        self._writing: tuple[LogIndex, tuple[bytes, ...]] | None = None
        self._written_at = LogIndex(0)
        self.core = self.variant.core(self.replica_id, stored, self.rng, now)

    def crash(self) -> PersistedState:
        """Stop immediately and return the state that the disk retains."""
        self.up = False
        return self.disk.crash(self.rng)

    def propose(self, change: str, key: str, expected: int) -> None:
        """Propose a change if this replica leads."""
        index = self.core.propose(f"{change} {key} {expected}".encode())
        if index is not None:
            self.pending[index] = Pending(self.core.term, change)

    def read(self, number: int) -> None:
        """Start a read if this replica accepts it."""
        if self.core.request_read_index(number):
            self.reads[number] = self.checker.acknowledged

    def take(self, now: float) -> tuple[tuple[OutgoingMessage, ...], bool]:
        """Process the core's output; return messages and whether to sync."""
        ready = self.core.take_ready(now)
        if self.core.role is Role.LEADER:
            self.checker.leads(self.replica_id, self.core.term)
        self.disk.write(ready.writes)
        for item in ready.committed:
            self._apply(item)
        for read in ready.reads:
            self._due_reads.append((read.read_id, read.index))
        self._serve()
        self._compact()
        return ready.messages, bool(ready.writes)

    def _apply(self, item: Entry | Snapshot) -> None:
        if isinstance(item, Snapshot):
            if item.parts:
                self.machine.restore(item)
            self.machine.index = item.index
            self.checker.applied(self.replica_id, item.index, self.machine.chain)
            return
        answer = self.machine.apply(item)
        self.checker.applied(self.replica_id, item.index, self.machine.chain)
        if item.kind is EntryKind.REPLICAS:
            self.checker.replicas_index = max(self.checker.replicas_index, item.index)
        pending = self.pending.pop(item.index, None)
        if pending is not None and pending.term == item.term:
            self.checker.answered(pending.change, answer, item.index)

    def _serve(self) -> None:
        due, self._due_reads = self._due_reads, []
        for number, index in due:
            if index > self.machine.index:
                self._due_reads.append((number, index))
            elif number in self.reads:
                least = self.reads.pop(number)
                self.checker.served(self.replica_id, self.machine.index, least)

    def _compact(self) -> None:
        index = self.machine.index
        if self._writing is None:
            if index < self.core.snapshot_index + SNAPSHOT_ENTRIES:
                return
            self._writing = (index, self.machine.state())
            self._written_at = index
            if self.variant.slow_snapshots:
                self._written_at += self.rng.randint(0, MAX_ENTRIES_DURING_SNAPSHOT)
        if index >= self._written_at:
            snapshot = self.core.make_snapshot(*self._writing)
            if snapshot is not None:
                self.core.compact(snapshot)
            self._writing = None
