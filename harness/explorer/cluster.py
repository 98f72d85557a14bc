"""Simulate replicas, clients and faults in virtual time from one seed."""

import heapq
import itertools
import random
from collections.abc import Callable
from dataclasses import dataclass

from harness.explorer.checker import Checker, ViolationError
from harness.explorer.replica import SimulatedReplica, Variant
from persimmonhall.ids import LogIndex, NodeName, ReplicaId, Term
from persimmonhall.raft.driver import DISK_FULL_RETRY_S
from persimmonhall.raft.log import encode_replicas
from persimmonhall.raft.messages import (
    NO_VOTE,
    Entry,
    EntryKind,
    HardState,
    Member,
    Message,
    ReplicaSet,
)
from persimmonhall.raft.role import Role
from persimmonhall.raft.state import PersistedState

JOIN_INTERVAL_S = 0.5
RESEND_INTERVAL_S = 0.7
FROZEN_RETRY_S = 0.05
MAX_STEPS = 50_000
SLOW_SYNC_PROBABILITY = 0.05
EXIT_HINT_PROBABILITY = 0.8
MAX_EXIT_HINT_DELAY_S = 0.05
CLUSTER = "explorer"


@dataclass
class NetworkFaults:
    """Set the message delay and the probabilities of loss, duplicates and lateness."""

    loss: float = 0.0
    duplicates: float = 0.0
    delay_s: float = 0.002
    late: float = 0.0


class SimulatedCluster:
    """Simulate a cluster of replicas with an event queue in virtual time."""

    def __init__(self, seed: int, variant: Variant, voters: int = 3):
        self.rng = random.Random(seed)
        self._hint_rng = random.Random(seed + 2)
        self.now = 0.0
        self.steps = 0
        self.checker = Checker()
        self.faults = NetworkFaults()
        self.cuts: set[tuple[str, str]] = set()
        self.replicas: dict[str, SimulatedReplica] = {}
        self.removed: set[ReplicaId] = set()
        self._variant = variant
        self._events: list[tuple[float, int, Callable, tuple]] = []
        self._numbers = itertools.count()
        self._disk_numbers = itertools.count(1)
        self._ticks: dict[str, float] = {}
        names = [f"r{n}" for n in range(1, voters + 1)]
        self._bootstrap(names)

    @property
    def leader(self) -> SimulatedReplica | None:
        """Return the leader of the highest term among running replicas."""
        leaders = [
            r for r in self.replicas.values() if r.up and r.core.role is Role.LEADER
        ]
        return max(leaders, key=lambda r: r.core.term, default=None)

    def _bootstrap(self, names: list[str]) -> None:
        members = tuple(
            Member(self._new_id(name), NodeName(name), name, True) for name in names
        )
        data = encode_replicas(ReplicaSet(CLUSTER, members))
        first = Entry(LogIndex(1), Term(1), EntryKind.REPLICAS, data)
        stored = PersistedState(HardState(Term(1), NO_VOTE), None, (first,))
        for member in members:
            self.add_replica(member.name, member.id, stored)

    def _new_id(self, name: str) -> ReplicaId:
        return ReplicaId(f"{name}#{next(self._disk_numbers)}")

    def add_replica(
        self, name: str, replica_id: ReplicaId, stored: PersistedState
    ) -> None:
        """Start a replica."""
        seed = self.rng.getrandbits(32)
        rng = random.Random(seed)
        self.replicas[name] = SimulatedReplica(
            name, replica_id, stored, self._variant, self.checker, rng, self.now
        )
        self._schedule_tick(self.replicas[name])
        self._ask_to_join(self.replicas[name])

    def add_empty(self, name: str) -> None:
        """Start a replica with an empty disk; it asks to join as a learner."""
        keeps_id = name in self.replicas and not self._variant.new_id_after_disk_loss
        known = self.replicas[name].replica_id if keeps_id else self._new_id(name)
        self.add_replica(name, known, PersistedState())

    def call_at(self, when: float, function: Callable, *args) -> None:
        """Schedule an event."""
        heapq.heappush(self._events, (when, next(self._numbers), function, args))

    def run_until(self, end: float) -> None:
        """Process all events up to a time."""
        while self._events and self._events[0][0] <= end:
            self.now, _, function, args = heapq.heappop(self._events)
            function(*args)
        self.now = end

    def handle_output(self, replica: SimulatedReplica) -> None:
        """Send messages, start syncs and schedule the tick that an input led to."""
        self.steps += 1
        if self.steps > MAX_STEPS:
            raise ViolationError(f"more than {MAX_STEPS} steps: possible message storm")
        messages, writes = replica.process_ready(self.now)
        for outgoing in messages:
            self._send(replica, outgoing.to, outgoing.message)
        if writes:
            delay = replica.sync_s * (0.5 + self.rng.random())
            if self.rng.random() < SLOW_SYNC_PROBABILITY:
                delay += self.rng.random()
            self.call_at(self.now + delay, self._sync, replica, replica.core)
        self._schedule_tick(replica)

    def send_change(
        self, number: int, attempts: int = 6, leader_probability: float = 0.6
    ) -> None:
        """Send a change and resend it until it is answered or attempts run out."""
        change = f"c{number}"
        if change in self.checker.answers or attempts == 0:
            return
        key, expected_revision = f"k{number % 5}.{number // 10}", 0
        replica = self.rng.choice(list(self.replicas.values()))
        next_attempt = (number, attempts - 1, leader_probability)
        self.call_at(self.now + RESEND_INTERVAL_S, self.send_change, *next_attempt)
        target = self.leader if self.rng.random() < leader_probability else replica
        if target is not None and target.up and not target.frozen:
            target.propose(change, key, expected_revision)
            target.read(number * 10 + attempts)
            self.handle_output(target)

    def crash(self, name: str, down_s: float) -> None:
        """Crash a replica and restart it later."""
        replica = self.replicas[name]
        if replica.up:
            stored = replica.crash()
            self._send_exit_hints(replica)
            self.call_at(self.now + down_s, self._restart, replica, stored)

    def send_exit_hint(self, replica: SimulatedReplica, ended: ReplicaId) -> None:
        """Report to a replica that the process of another ended, true or not."""
        if replica.up and not replica.frozen:
            replica.core.report_peer_exit(ended, self.now)
            self.handle_output(replica)

    def send_false_exit_hint(self) -> None:
        """Report to a random replica that the process of its leader ended."""
        replica = self._hint_rng.choice(list(self.replicas.values()))
        if replica.up and replica.core.leader_id is not None:
            self.send_exit_hint(replica, replica.core.leader_id)

    def _send_exit_hints(self, crashed: SimulatedReplica) -> None:
        if not self._variant.peer_exit_hints:
            return
        for other in self.replicas.values():
            if other is not crashed and self._hint_rng.random() < EXIT_HINT_PROBABILITY:
                later = self.now + self._hint_rng.random() * MAX_EXIT_HINT_DELAY_S
                self.call_at(later, self.send_exit_hint, other, crashed.replica_id)

    def freeze(self, name: str, seconds: float) -> None:
        """Suspend a replica for some seconds."""
        replica = self.replicas[name]
        replica.frozen = True
        self.call_at(self.now + seconds, self._resume, replica)

    def lose_disk(self, name: str) -> None:
        """Restart a replica with an empty disk."""
        self.replicas[name].up = False
        self.add_empty(name)

    def can_lose_disk(self, name: str) -> bool:
        """Return whether a quorum of intact disks would remain."""
        intact = {r.replica_id for r in self.replicas.values()}
        intact.discard(self.replicas[name].replica_id)
        for replica in self.replicas.values():
            if replica.core.replicas_index >= self.checker.replica_set_index:
                replicas = replica.core.replicas
                if len(intact & set(replicas.voters)) < replicas.quorum:
                    return False
        return True

    def repair(self) -> None:
        """End all network faults and restore the sync time of disks."""
        self.faults = NetworkFaults()
        self.cuts.clear()
        for replica in self.replicas.values():
            replica.sync_s = 0.005

    def check_end(self) -> None:
        """Check that all members have applied every answered change."""
        leader = self.leader
        if leader is None:
            raise ViolationError("no leader after all faults ended")
        for replica in self.replicas.values():
            if leader.core.replicas.get(replica.replica_id) is not None:
                self.checker.check_complete(replica.replica_id, replica.machine.index)

    def check_members(self) -> None:
        """Check that all running replicas vote, except those that were removed."""
        if self.leader is None:
            raise ViolationError("no leader after all faults ended")
        voters = self.leader.core.replicas.voters
        for replica in self.replicas.values():
            expected = replica.up and replica.replica_id not in self.removed
            if expected and replica.replica_id not in voters:
                raise ViolationError(f"{replica.replica_id} stayed out of the set")

    def _restart(self, replica: SimulatedReplica, stored: PersistedState) -> None:
        if self.replicas[replica.name] is not replica or replica.up:
            return
        replica.start(stored, self.now)
        self.handle_output(replica)

    def _resume(self, replica: SimulatedReplica) -> None:
        replica.frozen = False
        if replica.up:
            replica.read(next(self._numbers))
            self.handle_output(replica)

    def _sync(self, replica: SimulatedReplica, core: object) -> None:
        if not replica.up or replica.core is not core:
            return
        if replica.is_disk_full:
            if not replica.is_retrying:
                replica.is_retrying = True
                self._retry_sync(replica, core)
            return
        sequence = replica.disk.sync()
        if sequence is not None:
            self._report_sync(replica, core, sequence)

    def _retry_sync(self, replica: SimulatedReplica, core: object) -> None:
        """Hand over leadership and try again, as the driver does."""
        if not replica.up or replica.core is not core:
            return
        if not replica.is_disk_full:
            replica.is_retrying = False
            self._sync(replica, core)
            return
        self.call_at(self.now + DISK_FULL_RETRY_S, self._retry_sync, replica, core)
        if replica.core.transfer_leadership(self.now):
            self.handle_output(replica)

    def _report_sync(
        self, replica: SimulatedReplica, core: object, sequence: int
    ) -> None:
        if not replica.up or replica.core is not core:
            return
        if replica.frozen:
            later = self.now + FROZEN_RETRY_S
            self.call_at(later, self._report_sync, replica, core, sequence)
            return
        replica.core.mark_synced(sequence, self.now)
        self.handle_output(replica)

    def _schedule_tick(self, replica: SimulatedReplica) -> None:
        due = max(replica.core.next_tick, self.now)
        if self._ticks.get(replica.replica_id) != due:
            self._ticks[replica.replica_id] = due
            self.call_at(due, self._tick, replica, replica.core, due)

    def _tick(self, replica: SimulatedReplica, core: object, due: float) -> None:
        current = self._ticks.get(replica.replica_id) == due
        if not replica.up or replica.core is not core or not current:
            return
        if replica.frozen:
            later = self.now + FROZEN_RETRY_S
            self._ticks[replica.replica_id] = later
            self.call_at(later, self._tick, replica, core, later)
            return
        replica.core.tick(self.now)
        self._ticks.pop(replica.replica_id, None)
        self.handle_output(replica)

    def _send(self, sender: SimulatedReplica, to: ReplicaId, message: Message) -> None:
        name = to.partition("#")[0]
        faults, rng = self.faults, self.rng
        if (sender.name, name) in self.cuts or rng.random() < faults.loss:
            return
        copies = 2 if rng.random() < faults.duplicates else 1
        for _ in range(copies):
            delay = faults.delay_s * (0.5 + rng.random())
            if rng.random() < faults.late:
                delay += rng.random()
            self.call_at(
                self.now + delay, self._deliver, sender.replica_id, to, message
            )

    def _deliver(self, sender: ReplicaId, to: ReplicaId, message: Message) -> None:
        replica = self.replicas.get(to.partition("#")[0])
        if replica is None or not replica.up or replica.replica_id != to:
            return
        if replica.frozen:
            self.call_at(self.now + FROZEN_RETRY_S, self._deliver, sender, to, message)
            return
        replica.core.step(sender, message, self.now)
        self.handle_output(replica)

    def _ask_to_join(self, replica: SimulatedReplica) -> None:
        if self.replicas[replica.name] is not replica:
            return
        if replica.up and not replica.frozen and replica.join_rule.must_ask(self.now):
            self._send_join(replica)
        self.call_at(self.now + JOIN_INTERVAL_S, self._ask_to_join, replica)

    def _send_join(self, replica: SimulatedReplica) -> None:
        name = replica.name
        member = Member(replica.replica_id, NodeName(name), name, False)
        for other in self.replicas.values():
            cut = (name, other.name) in self.cuts
            if other.up and not other.frozen and not cut:
                other.core.join(member, self.now)
                self.handle_output(other)
