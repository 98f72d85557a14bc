"""Replicate and commit entries and change the replica set as the leader."""

from persimmonhall.ids import LogIndex, ReplicaId
from persimmonhall.raft.log import encode_replicas
from persimmonhall.raft.membership import (
    as_settled,
    next_change,
    with_joined_member,
    without_member,
)
from persimmonhall.raft.messages import (
    Append,
    AppendReply,
    ChunkReply,
    Entry,
    EntryKind,
    Member,
    ReplicaSet,
    SnapshotChunk,
    TimeoutNow,
)
from persimmonhall.raft.outbox import ConfirmedRead
from persimmonhall.raft.progress import Progress
from persimmonhall.raft.reads import PendingReads
from persimmonhall.raft.state import ReplicaState
from persimmonhall.raft.timing import ELECTION_TIMEOUT_S, HEARTBEAT_INTERVAL_S

MAX_APPEND_BYTES = 256 * 1024
MAX_CHUNK_BYTES = 256 * 1024
MAX_UNACKNOWLEDGED_ENTRIES = 4096


class Leader:
    """Hold the state that a replica needs only while it is the leader."""

    max_append_bytes = MAX_APPEND_BYTES
    max_chunk_bytes = MAX_CHUNK_BYTES

    def __init__(self, state: ReplicaState, now: float):
        self._state = state
        self._progress: dict[ReplicaId, Progress] = {}
        self._reads = PendingReads()
        self._heartbeat_due_at = now
        self._transfer_target: ReplicaId | None = None
        self._transfer_deadline = now
        self._update_peers(now)
        self._term_start_index = self._append(EntryKind.NO_OP, b"")
        self._last_heartbeat_commit = self._term_start_index
        self._send_heartbeats(now)

    @property
    def next_tick(self) -> float:
        """Return the time at which the next heartbeat is due."""
        return self._heartbeat_due_at

    @property
    def is_transferring(self) -> bool:
        """Return whether a leadership transfer is in progress."""
        return self._transfer_target is not None

    @property
    def match_indexes(self) -> dict[ReplicaId, LogIndex]:
        """Return the match index of each peer."""
        return {peer: p.match_index for peer, p in self._progress.items()}

    @property
    def retained_index(self) -> LogIndex | None:
        """Return the index after which peers need the log at the end of a transfer."""
        progress = self._progress.values()
        indexes = [p.snapshot.index for p in progress if p.snapshot is not None]
        return min(indexes, default=None)

    @property
    def is_removed(self) -> bool:
        """Return whether this replica is no voter of the committed replica set."""
        state = self._state
        is_committed = state.log.replicas_index <= state.commit_index
        return is_committed and state.id not in state.replicas.voters

    def has_quorum(self, now: float) -> bool:
        """Return whether a majority has replied within the election timeout."""
        state = self._state
        active = [p for p in state.replicas.voters if self._is_active(p, now)]
        return len(active) >= state.replicas.quorum

    def time_since_reply_s(self, peer: ReplicaId, now: float) -> float:
        """Return the seconds since a peer's last reply; 0 if it is no peer."""
        progress = self._progress.get(peer)
        return now - progress.last_reply_at if progress is not None else 0.0

    def promotion_obstacle(self, learner: ReplicaId, now: float) -> str:
        """Return why a learner gets no vote now; empty if nothing prevents it."""
        state = self._state
        if not self._has_replied_recently(learner, now):
            return "it does not reply"
        if not self._is_caught_up(learner, now):
            return "it is not caught up"
        replicas = next_change(state.replicas, {learner})
        if replicas is None:
            return "the set has as many voters as it may have"
        return self._change_obstacle(replicas, now)

    def tick(self, now: float) -> None:
        """Send heartbeats, continue membership changes and time out a transfer."""
        if self._transfer_target is not None and now >= self._transfer_deadline:
            self._transfer_target = None
        if now >= self._heartbeat_due_at:
            self._propose_next_change(now)
            self._last_heartbeat_commit = self._state.commit_index
            self._send_heartbeats(now)

    def propose(self, data: bytes) -> LogIndex:
        """Append a command and return its index."""
        return self._append(EntryKind.COMMAND, data)

    def request_read_index(self, read_id: int) -> None:
        """Queue a read until a heartbeat round has confirmed leadership."""
        self._reads.add(read_id)

    def join(self, member: Member, now: float) -> None:
        """Add a learner or update an address, unless a change is in progress."""
        replicas = with_joined_member(self._state.replicas, member)
        if replicas != self._state.replicas:
            self._propose_replicas(replicas, now)

    def remove(self, replica: ReplicaId, now: float, *, may_rejoin: bool) -> bool:
        """Propose to remove a member; return False if that is not possible now."""
        replicas = without_member(self._state.replicas, replica, may_rejoin=may_rejoin)
        return self._propose_replicas(replicas, now)

    def settle(self, now: float) -> bool:
        """Propose to count the present voters as the settled ones."""
        return self._propose_replicas(as_settled(self._state.replicas), now)

    def transfer_leadership(self, now: float) -> bool:
        """Start a transfer to the active voter with the most complete log."""
        voters = [
            p
            for p in self._state.replicas.voters
            if p != self._state.id and self._is_active(p, now)
        ]
        if not voters:
            return False
        self._transfer_target = max(voters, key=lambda p: self._progress[p].match_index)
        self._transfer_deadline = now + ELECTION_TIMEOUT_S
        self._maybe_finish_transfer()
        return True

    def flush(self, now: float) -> None:
        """Send new entries, start a read round, and advance the commit index."""
        if (
            self._reads.has_unassigned
            and self._state.commit_index >= self._term_start_index
        ):
            self._reads.start_round(self._state.commit_index)
            # Must not postpone the tick: frequent reads would stop what it does.
            self._send_to_peers(now)
        for peer, progress in self._progress.items():
            while self._can_send_entries(progress):
                self._send_append(peer, progress, now)
        self._advance_commit_index()
        self._confirm_reads()

    def on_append_reply(self, peer: ReplicaId, reply: AppendReply, now: float) -> None:
        """Update the progress of a peer after its reply to an append."""
        progress = self._record_reply(peer, reply.round, now)
        if progress is None:
            return
        if reply.success:
            progress.acknowledge(reply.match)
            self._advance_commit_index()
            self._maybe_finish_transfer()
        elif progress.reject(reply.rejected, reply.match):
            self._send_append(peer, progress, now)

    def on_chunk_reply(self, peer: ReplicaId, reply: ChunkReply, now: float) -> None:
        """Send the next chunk of a snapshot."""
        progress = self._record_reply(peer, reply.round, now)
        if progress is None or progress.snapshot is None:
            return
        is_expected = reply.index == progress.snapshot.index
        if is_expected and progress.request_part(reply.offset, now):
            self._send_snapshot_chunk(peer, progress, now)

    def _record_reply(
        self, peer: ReplicaId, round_number: int, now: float
    ) -> Progress | None:
        progress = self._progress.get(peer)
        if progress is not None:
            progress.last_reply_at = now
            progress.has_replied = True
            progress.acknowledged_round = max(progress.acknowledged_round, round_number)
        return progress

    def _is_active(self, peer: ReplicaId, now: float) -> bool:
        if peer == self._state.id:
            return True
        progress = self._progress.get(peer)
        return (
            progress is not None and now < progress.last_reply_at + ELECTION_TIMEOUT_S
        )

    def _append(self, kind: EntryKind, data: bytes) -> LogIndex:
        state = self._state
        index = LogIndex(state.log.last_index + 1)
        state.append((Entry(index, state.term, kind, data),))
        return index

    def _propose_replicas(self, replicas: ReplicaSet, now: float) -> bool:
        if self._change_obstacle(replicas, now):
            return False
        self._append(EntryKind.REPLICAS, encode_replicas(replicas))
        self._update_peers(now)
        return True

    def _change_obstacle(self, replicas: ReplicaSet, now: float) -> str:
        """Return why the set can't change now; empty if it can."""
        state = self._state
        if state.log.replicas_index > state.commit_index:
            return "another change is in progress"
        if state.commit_index < self._term_start_index:
            return "no entry of this term is committed"
        if not self._would_have_quorum(replicas, now):
            return "no majority of the new set answers"
        return ""

    def _would_have_quorum(self, replicas: ReplicaSet, now: float) -> bool:
        answering = [v for v in replicas.voters if self._has_replied_recently(v, now)]
        return len(answering) >= replicas.quorum

    def _has_replied_recently(self, peer: ReplicaId, now: float) -> bool:
        """Return whether a peer has replied recently; new peers start as active."""
        progress = self._progress.get(peer)
        has_replied = peer == self._state.id or (
            progress is not None and progress.has_replied
        )
        return has_replied and self._is_active(peer, now)

    def _update_peers(self, now: float) -> None:
        state = self._state
        peers = [m.id for m in state.replicas.members if m.id != state.id]
        next_index = LogIndex(state.log.last_index + 1)
        self._progress = {
            peer: self._progress.get(peer) or Progress(next_index, now)
            for peer in peers
        }

    def _propose_next_change(self, now: float) -> None:
        state = self._state
        caught_up = {p for p in self._progress if self._is_caught_up(p, now)}
        replicas = next_change(state.replicas, caught_up)
        if replicas is not None:
            self._propose_replicas(replicas, now)

    def _is_caught_up(self, peer: ReplicaId, now: float) -> bool:
        # Replies lag behind the commit index of now for as long as changes go on.
        match_index = self._progress[peer].match_index
        return match_index >= self._last_heartbeat_commit and self._is_active(peer, now)

    def _send_heartbeats(self, now: float) -> None:
        self._heartbeat_due_at = now + HEARTBEAT_INTERVAL_S
        for peer, progress in self._progress.items():
            if not self._is_active(peer, now):
                # The snapshot would be kept for as long as the peer is gone.
                progress.end_transfer()
        self._send_to_peers(now)

    def _send_to_peers(self, now: float) -> None:
        for peer, progress in self._progress.items():
            self._send_append(peer, progress, now)

    def _can_send_entries(self, progress: Progress) -> bool:
        unacknowledged = progress.next_index - progress.match_index
        return (
            not progress.is_probing
            and not progress.is_in_transfer
            and self._state.log.first_index <= progress.next_index
            and progress.next_index <= self._state.log.last_index
            and unacknowledged <= MAX_UNACKNOWLEDGED_ENTRIES
        )

    def _send_append(self, peer: ReplicaId, progress: Progress, now: float) -> None:
        state = self._state
        prev = LogIndex(progress.next_index - 1)
        prev_term = state.log.term_at(prev)
        if prev_term is None:
            self._send_snapshot_chunk(peer, progress, now)
            return
        progress.end_transfer()
        entries: tuple[Entry, ...] = ()
        if self._can_send_entries(progress):
            entries = state.log.entries_after(prev, self.max_append_bytes)
        append = Append(
            state.term, prev, prev_term, entries, state.commit_index, self._reads.round
        )
        state.outbox.send(peer, append)
        progress.next_index = LogIndex(prev + len(entries) + 1)

    def _send_snapshot_chunk(
        self, peer: ReplicaId, progress: Progress, now: float
    ) -> None:
        """Send the next parts, or none as a heartbeat while they are on their way."""
        state = self._state
        if progress.snapshot is None:
            progress.start_transfer(state.log.snapshot)
        snapshot, offset = progress.snapshot, progress.chunk_offset
        is_heartbeat = progress.is_part_on_its_way(now)
        parts: tuple[bytes, ...] = ()
        if not is_heartbeat:
            parts = _parts_from(snapshot.parts, offset, self.max_chunk_bytes)
            progress.chunk_sent_at = now
        chunk = SnapshotChunk(
            term=state.term,
            index=snapshot.index,
            snapshot_term=snapshot.term,
            replicas=snapshot.replicas,
            offset=offset,
            parts=parts,
            last=not is_heartbeat and offset + len(parts) >= len(snapshot.parts),
            round=self._reads.round,
        )
        state.outbox.send(peer, chunk)

    def _advance_commit_index(self) -> None:
        state = self._state
        voters = state.replicas.voters
        matches = sorted((self._match_index(v) for v in voters), reverse=True)
        index = matches[state.replicas.quorum - 1] if matches else LogIndex(0)
        if index > state.commit_index and self._can_commit(index):
            state.commit_to(index)

    def _match_index(self, voter: ReplicaId) -> LogIndex:
        if voter == self._state.id:
            return self._state.synced_index
        return self._progress[voter].match_index

    def _can_commit(self, index: LogIndex) -> bool:
        # An entry of an older term may still be overwritten even if a majority has it.
        return self._state.log.term_at(index) == self._state.term

    def _confirm_reads(self) -> None:
        state = self._state
        rounds = {
            p: progress.acknowledged_round for p, progress in self._progress.items()
        }
        rounds[state.id] = self._reads.round
        acknowledged = sorted((rounds[v] for v in state.replicas.voters), reverse=True)
        if not acknowledged:
            return
        acknowledged_round = acknowledged[state.replicas.quorum - 1]
        for read_id, index in self._reads.take_confirmed(acknowledged_round):
            state.reads.append(ConfirmedRead(read_id, index))

    def _maybe_finish_transfer(self) -> None:
        target = self._transfer_target
        if target is None or target not in self._progress:
            return
        if self._progress[target].match_index == self._state.log.last_index:
            self._state.outbox.send(target, TimeoutNow(self._state.term))


def _parts_from(
    parts: tuple[bytes, ...], offset: int, max_bytes: int
) -> tuple[bytes, ...]:
    """Return the parts from an offset on, at least one, up to a size in bytes."""
    size = 0
    for end in range(offset, len(parts)):
        size += len(parts[end])
        if end > offset and size > max_bytes:
            return parts[offset:end]
    return parts[offset:]
