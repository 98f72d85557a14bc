"""Simulate one replica: Raft core, disk and state machine."""

import random
from dataclasses import dataclass, field

from harness.explorer.checker import Checker
from harness.explorer.disk import Disk
from harness.explorer.state_machine import RevisionMachine
from persimmonhall.control.join_rule import JoinRule
from persimmonhall.ids import LogIndex, ReplicaId, Term
from persimmonhall.raft.core import RaftCore
from persimmonhall.raft.leader import Leader
from persimmonhall.raft.messages import Entry, EntryKind, Snapshot
from persimmonhall.raft.outbox import OutgoingMessage
from persimmonhall.raft.role import Role
from persimmonhall.raft.state import PersistedState

SNAPSHOT_INTERVAL_ENTRIES = 40
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
    peer_exit_hints: bool = False


FULL_VARIANT = Variant(core=SmallChunkCore, slow_snapshots=True, peer_exit_hints=True)


@dataclass
class PendingProposal:
    """Describe a proposal whose entry is not applied yet."""

    term: Term
    change: str


@dataclass
class SimulatedReplica:
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
    is_disk_full: bool = False
    is_retrying: bool = False
    pending: dict[LogIndex, PendingProposal] = field(default_factory=dict)
    reads: dict[int, LogIndex] = field(default_factory=dict)

    def __post_init__(self):
        self.disk = self.variant.disk(self.stored)
        self.start(self.stored, self.now)

    def start(self, stored: PersistedState, now: float) -> None:
        """Start from the persisted state."""
        self.up = True
        self.is_retrying = False
        self.machine = RevisionMachine()
        self.pending, self.reads = {}, {}
        self._due_reads: list[tuple[int, LogIndex]] = []
        self._snapshot_in_progress: tuple[LogIndex, tuple[bytes, ...]] | None = None
        self._snapshot_done_index = LogIndex(0)
        self.core = self.variant.core(self.replica_id, stored, self.rng, now)
        self.join_rule = JoinRule(self.core, self.name)

    def crash(self) -> PersistedState:
        """Stop immediately and return the state that the disk retains."""
        self.up = False
        return self.disk.crash(self.rng)

    def propose(self, change: str, key: str, expected_revision: int) -> None:
        """Propose a change if this replica leads."""
        index = self.core.propose(f"{change} {key} {expected_revision}".encode())
        if index is not None:
            self.pending[index] = PendingProposal(self.core.term, change)

    def read(self, number: int) -> None:
        """Start a read if this replica accepts it."""
        if self.core.request_read_index(number):
            self.reads[number] = self.checker.answered_index

    def process_ready(self, now: float) -> tuple[tuple[OutgoingMessage, ...], bool]:
        """Process the core's output; return messages and whether to sync."""
        ready = self.core.take_ready(now)
        if self.core.role is Role.LEADER:
            self.checker.record_leader(self.replica_id, self.core.term)
        self.disk.write(ready.writes)
        for item in ready.committed:
            self._apply(item)
        for read in ready.reads:
            self._due_reads.append((read.read_id, read.index))
        self._serve_reads()
        self._compact()
        return ready.messages, bool(ready.writes)

    def _apply(self, item: Entry | Snapshot) -> None:
        if isinstance(item, Snapshot):
            if item.parts:
                self.machine.restore(item)
            self.machine.index = item.index
            self.checker.record_applied(
                self.replica_id, item.index, self.machine.checksum
            )
            return
        answer = self.machine.apply(item)
        self.checker.record_applied(self.replica_id, item.index, self.machine.checksum)
        if item.kind is EntryKind.REPLICAS:
            self.checker.replica_set_index = max(
                self.checker.replica_set_index, item.index
            )
        pending = self.pending.pop(item.index, None)
        if pending is not None and pending.term == item.term:
            self.checker.record_answer(pending.change, answer, item.index)

    def _serve_reads(self) -> None:
        due, self._due_reads = self._due_reads, []
        for number, index in due:
            if index > self.machine.index:
                self._due_reads.append((number, index))
            elif number in self.reads:
                min_index = self.reads.pop(number)
                self.checker.check_read(self.replica_id, self.machine.index, min_index)

    def _compact(self) -> None:
        index = self.machine.index
        if self._snapshot_in_progress is None:
            if index < self.core.snapshot_index + SNAPSHOT_INTERVAL_ENTRIES:
                return
            self._snapshot_in_progress = (index, self.machine.snapshot_parts())
            self._snapshot_done_index = index
            if self.variant.slow_snapshots:
                self._snapshot_done_index += self.rng.randint(
                    0, MAX_ENTRIES_DURING_SNAPSHOT
                )
        if index >= self._snapshot_done_index:
            snapshot = self.core.make_snapshot(*self._snapshot_in_progress)
            if snapshot is not None:
                self.core.compact(snapshot)
            self._snapshot_in_progress = None
