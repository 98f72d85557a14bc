"""Implement the Raft state machine of one replica, without any I/O."""

import random

from persimmonhall.ids import LogIndex, ReplicaId, Term
from persimmonhall.raft.follower import Follower
from persimmonhall.raft.leader import Leader
from persimmonhall.raft.messages import (
    NO_VOTE,
    Append,
    AppendReply,
    ChunkReply,
    Member,
    Message,
    ReplicaSet,
    Snapshot,
    SnapshotChunk,
    TimeoutNow,
    Vote,
    VoteReply,
)
from persimmonhall.raft.outbox import Ready
from persimmonhall.raft.role import Role
from persimmonhall.raft.state import PersistedState, ReplicaState
from persimmonhall.raft.timing import (
    ELECTION_TIMEOUT_JITTER_S,
    ELECTION_TIMEOUT_S,
    LEADER_EXIT_ELECTION_DELAY_S,
    LEADER_EXIT_ELECTION_JITTER_S,
)


class RaftCore:
    """Run the Raft protocol for one replica; the caller performs all I/O."""

    leader_class = Leader

    def __init__(
        self,
        replica_id: ReplicaId,
        stored: PersistedState,
        rng: random.Random,
        now: float,
    ):
        self._state = ReplicaState(replica_id, stored)
        self._follower = Follower(self._state)
        self._rng = rng
        self._role = Role.FOLLOWER
        self._leader: Leader | None = None
        self._leader_id: ReplicaId | None = None
        self._last_leader_contact_at = -ELECTION_TIMEOUT_S
        self._votes: dict[ReplicaId, bool] = {}
        self._self_vote_sequence = 0
        self._reset_election_timeout(now)
        if self.replicas.voters == (replica_id,):
            self._election_timeout_at = now

    @property
    def id(self) -> ReplicaId:
        """Return the replica id, which belongs to its disk."""
        return self._state.id

    @property
    def term(self) -> Term:
        """Return the current term."""
        return self._state.term

    @property
    def role(self) -> Role:
        """Return the current role."""
        return self._role

    @property
    def leader_id(self) -> ReplicaId | None:
        """Return the leader of the current term, if known."""
        return self._leader_id

    @property
    def commit_index(self) -> LogIndex:
        """Return the highest index known to be committed."""
        return self._state.commit_index

    @property
    def last_index(self) -> LogIndex:
        """Return the index of the last log entry."""
        return self._state.log.last_index

    @property
    def snapshot_index(self) -> LogIndex:
        """Return the index of the latest snapshot."""
        return self._state.log.snapshot.index

    @property
    def replicas(self) -> ReplicaSet:
        """Return the latest replica set of the log, committed or not."""
        return self._state.replicas

    @property
    def replicas_index(self) -> LogIndex:
        """Return the log index of the latest replica set."""
        return self._state.log.replicas_index

    @property
    def is_set_committed(self) -> bool:
        """Return whether the latest replica set is known to be committed."""
        return self.replicas_index <= self.commit_index

    @property
    def is_caught_up(self) -> bool:
        """Return whether it has all that its leader reported as committed."""
        return self.commit_index >= self._follower.reported_commit

    @property
    def match_indexes(self) -> dict[ReplicaId, LogIndex]:
        """Return the match index of each peer; empty unless this replica leads."""
        return self._leader.match_indexes if self._leader else {}

    def time_since_reply_s(self, peer: ReplicaId, now: float) -> float:
        """Return the seconds since a peer's last reply; 0 unless this replica leads."""
        return self._leader.time_since_reply_s(peer, now) if self._leader else 0.0

    def promotion_obstacle(self, learner: ReplicaId, now: float) -> str:
        """Return why a learner gets no vote now; empty if nothing prevents it."""
        return self._leader.promotion_obstacle(learner, now) if self._leader else ""

    @property
    def accepts_proposals(self) -> bool:
        """Return whether this replica leads and is not transferring leadership."""
        return self._leader is not None and not self._leader.is_transferring

    @property
    def next_tick(self) -> float:
        """Return the time at which `tick` must be called next."""
        return self._leader.next_tick if self._leader else self._election_timeout_at

    def tick(self, now: float) -> None:
        """Process due timers: heartbeats, quorum check, election timeout."""
        if self._leader is not None:
            self._leader.tick(now)
            if self._leader.is_removed or not self._leader.has_quorum(now):
                self._become_follower(self.term, None, now)
        elif now >= self._election_timeout_at:
            self._reset_election_timeout(now)
            if self._can_campaign():
                self._start_pre_vote()
            else:
                self._leader_id = None

    def step(self, sender: ReplicaId, message: Message, now: float) -> None:
        """Process a message from another replica."""
        if isinstance(message, Vote):
            self._on_vote(sender, message, now)
            return
        if isinstance(message, VoteReply) and message.pre and message.granted:
            self._on_vote_reply(sender, message, now)
            return
        if message.term > self.term:
            self._become_follower(message.term, None, now)
        if message.term < self.term:
            self._on_stale_message(sender, message)
            return
        self._on_current_message(sender, message, now)

    def report_peer_exit(self, peer: ReplicaId, now: float) -> None:
        """Start an election early if a peer that has probably exited was the leader."""
        if self._leader is not None or peer != self._leader_id:
            return
        # A false report is harmless: replicas in contact with the leader grant no vote.
        self._leader_id = None
        self._last_leader_contact_at = -ELECTION_TIMEOUT_S
        jitter_s = self._rng.random() * LEADER_EXIT_ELECTION_JITTER_S
        self._election_timeout_at = min(
            self._election_timeout_at, now + LEADER_EXIT_ELECTION_DELAY_S + jitter_s
        )

    def propose(self, data: bytes) -> LogIndex | None:
        """Append a command and return its index, or None if not accepting proposals."""
        return self._leader.propose(data) if self.accepts_proposals else None

    def request_read_index(self, read_id: int) -> bool:
        """Request a linearizable read; return False unless this replica leads."""
        if self._leader is None:
            return False
        self._leader.request_read_index(read_id)
        return True

    def join(self, member: Member, now: float) -> None:
        """Add a replica as a learner, or update its address, if this replica leads."""
        if self._leader is not None:
            self._leader.join(member, now)

    def remove(
        self, replica: ReplicaId, now: float, *, may_rejoin: bool = False
    ) -> bool:
        """Propose to remove a member, by default for good; False if not possible."""
        return self._leader is not None and self._leader.remove(
            replica, now, may_rejoin=may_rejoin
        )

    def settle(self, now: float) -> bool:
        """Propose that the set has its intended voters; False if not possible now."""
        return self._leader is not None and self._leader.settle(now)

    def transfer_leadership(self, now: float) -> bool:
        """Start a leadership transfer; return False unless one was started."""
        return self._leader is not None and self._leader.transfer_leadership(now)

    def make_snapshot(
        self, index: LogIndex, parts: tuple[bytes, ...]
    ) -> Snapshot | None:
        """Return a snapshot at an applied index, or None if it is not newer."""
        if index <= self.snapshot_index:
            return None
        return self._state.make_snapshot(index, parts)

    def compact(self, snapshot: Snapshot) -> None:
        """Replace the log up to the snapshot's index by the snapshot."""
        # A snapshot from the leader may have been installed in the meantime.
        if snapshot.index > self.snapshot_index:
            retained_index = self._leader.retained_index if self._leader else None
            self._state.compact(snapshot, retained_index)

    def mark_synced(self, sequence: int, now: float) -> None:
        """Record that the writes up to a sequence number are synced to disk."""
        self._state.mark_synced(sequence)
        if self._role is Role.CANDIDATE and sequence >= self._self_vote_sequence:
            self._count_vote(self.id, True, now)

    def take_ready(self, now: float) -> Ready:
        """Return the pending writes, messages, committed items and confirmed reads."""
        if self._leader is not None:
            self._leader.flush(now)
        return self._state.take_ready()

    def _can_campaign(self) -> bool:
        state = self._state
        if self.id in state.replicas.voters:
            return True
        # Until its removal is committed, this replica may have the most complete log.
        is_uncommitted = state.log.replicas_index > state.commit_index
        return is_uncommitted and self.id in state.log.previous_replicas.voters

    def _has_recent_leader_contact(self, now: float) -> bool:
        return (
            self._leader is not None
            or now < self._last_leader_contact_at + ELECTION_TIMEOUT_S
        )

    def _reset_election_timeout(self, now: float) -> None:
        jitter_s = self._rng.random() * ELECTION_TIMEOUT_JITTER_S
        self._election_timeout_at = now + ELECTION_TIMEOUT_S + jitter_s

    def _become_follower(
        self, term: Term, leader: ReplicaId | None, now: float
    ) -> None:
        if term > self.term:
            self._state.set_term(term)
        if self._leader is not None:
            self._last_leader_contact_at = -ELECTION_TIMEOUT_S
            self._reset_election_timeout(now)
        self._role = Role.FOLLOWER
        self._leader = None
        self._leader_id = leader

    def _start_pre_vote(self) -> None:
        """Request pre-votes to find out whether an election could be won."""
        self._role = Role.PRE_CANDIDATE
        self._leader_id = None
        self._votes = {self.id: True}
        self._request_votes(Term(self.term + 1), pre=True)
        if self._has_vote_majority():
            self._start_election(transfer=False)

    def _start_election(self, *, transfer: bool) -> None:
        """Increment the term and request votes."""
        self._role = Role.CANDIDATE
        self._leader_id = None
        self._votes = {}
        self._state.set_term(Term(self.term + 1), self.id)
        self._self_vote_sequence = self._state.outbox.sequence
        self._request_votes(self.term, pre=False, transfer=transfer)

    def _request_votes(self, term: Term, *, pre: bool, transfer: bool = False) -> None:
        log = self._state.log
        vote = Vote(term, log.last_index, log.last_term, pre, transfer)
        for voter in self.replicas.voters:
            if voter != self.id:
                self._state.outbox.send_after_sync(voter, vote)

    def _on_vote(self, sender: ReplicaId, vote: Vote, now: float) -> None:
        if self._has_recent_leader_contact(now) and not vote.transfer:
            return
        if vote.term > self.term and not vote.pre:
            self._become_follower(vote.term, None, now)
        log = self._state.log
        is_up_to_date = (vote.last_term, vote.last_index) >= (
            log.last_term,
            log.last_index,
        )
        if vote.pre:
            granted = is_up_to_date and vote.term > self.term
        else:
            is_vote_available = self._state.vote in (NO_VOTE, sender)
            granted = is_up_to_date and is_vote_available and vote.term == self.term
        if granted and not vote.pre:
            self._state.set_term(self.term, sender)
            self._reset_election_timeout(now)
        term = vote.term if granted else self.term
        reply = VoteReply(term, granted, vote.pre)
        self._state.outbox.send_after_sync(sender, reply)

    def _on_vote_reply(self, sender: ReplicaId, reply: VoteReply, now: float) -> None:
        expected_role = Role.PRE_CANDIDATE if reply.pre else Role.CANDIDATE
        expected_term = self.term + 1 if reply.pre else self.term
        if self._role is expected_role and reply.term == expected_term:
            self._count_vote(sender, reply.granted, now)

    def _count_vote(self, voter: ReplicaId, granted: bool, now: float) -> None:
        self._votes[voter] = granted
        if not self._has_vote_majority():
            return
        if self._role is Role.PRE_CANDIDATE:
            self._start_election(transfer=False)
        else:
            self._become_leader(now)

    def _has_vote_majority(self) -> bool:
        granted = [v for v in self.replicas.voters if self._votes.get(v)]
        return len(granted) >= self.replicas.quorum

    def _become_leader(self, now: float) -> None:
        self._role = Role.LEADER
        self._leader_id = self.id
        self._leader = self.leader_class(self._state, now)

    def _on_stale_message(self, sender: ReplicaId, message: Message) -> None:
        # The newer term in the reply makes the outdated leader step down.
        if isinstance(message, Append | SnapshotChunk):
            zero = LogIndex(0)
            # The receiver may lead the newer term by now: a round of the older one
            # would confirm reads that this replica has not confirmed.
            reply = AppendReply(self.term, False, zero, zero, 0)
            self._state.outbox.send_after_sync(sender, reply)

    def _on_current_message(
        self, sender: ReplicaId, message: Message, now: float
    ) -> None:
        match message:
            case Append() | SnapshotChunk():
                self._on_leader_message(sender, message, now)
            case VoteReply():
                self._on_vote_reply(sender, message, now)
            case AppendReply() if self._leader is not None:
                self._leader.on_append_reply(sender, message, now)
            case ChunkReply() if self._leader is not None:
                self._leader.on_chunk_reply(sender, message, now)
            case TimeoutNow() if self._leader is None and self._can_campaign():
                self._start_election(transfer=True)

    def _on_leader_message(
        self, sender: ReplicaId, message: Append | SnapshotChunk, now: float
    ) -> None:
        if self._role is Role.LEADER:
            raise AssertionError(f"two leaders in term {self.term}")
        self._become_follower(self.term, sender, now)
        self._last_leader_contact_at = now
        self._reset_election_timeout(now)
        if isinstance(message, Append):
            self._follower.on_append(sender, message)
        else:
            self._follower.on_chunk(sender, message)
