"""Test how a leader sends its snapshot to a replica that is far behind."""

import random

from persimmonhall.raft.core import RaftCore
from persimmonhall.raft.log import TRAILING_ENTRIES
from persimmonhall.raft.messages import AppendReply, Member, SnapshotChunk
from persimmonhall.raft.state import PersistedState
from persimmonhall.raft.tests.test_core import make_core
from persimmonhall.raft.timing import ELECTION_TIMEOUT_S

PARTS = tuple(bytes([number]) * 300_000 for number in range(10))
START = 20.0
ROUND_TRIP_S = 0.02


class TransferFixture:
    """Run a leader that is its own majority, and a replica with an empty disk."""

    def __init__(self):
        self.now = START
        self.leader = make_core("a", "a")
        self.empty = RaftCore("b", PersistedState(), random.Random(1), START)
        self.sent_chunks = 0
        self.unsent = []
        self.leader.tick(self.now)
        self.sync(self.leader)
        self.commit(TRAILING_ENTRIES + 10)
        self.compact()
        self.leader.join(Member("b", "b", "b", False), self.now)

    def sync(self, core):
        """Sync what a core writes and return its messages."""
        messages = []
        while True:
            ready = core.take_ready(self.now)
            messages += ready.messages
            if not ready.writes:
                return messages
            core.mark_synced(ready.writes[-1].sequence, self.now)

    def commit(self, count):
        """Commit some entries, whose messages are sent with the next ones."""
        for _ in range(count):
            self.leader.propose(b"x")
        self.unsent += self.sync(self.leader)

    def compact(self):
        """Replace the log of the leader by a snapshot."""
        index = self.leader.commit_index
        self.leader.compact(self.leader.make_snapshot(index, PARTS))

    def send(self):
        """Return what the leader sends and count the parts of snapshots."""
        if self.now >= self.leader.next_tick:
            self.leader.tick(self.now)
        messages, self.unsent = self.unsent + self.sync(self.leader), []
        messages = [m.message for m in messages]
        chunks = [m for m in messages if isinstance(m, SnapshotChunk)]
        self.sent_chunks += sum(1 for chunk in chunks if chunk.parts)
        return messages

    def exchange(self):
        """Deliver all messages in both directions once."""
        for message in self.send():
            self.empty.step("a", message, self.now)
        for reply in self.sync(self.empty):
            if reply.to == "a":
                self.leader.step("b", reply.message, self.now)
        self.now += ROUND_TRIP_S


# Each read and heartbeat sent a large part again, and each reply to one the next part.
def test_reads_send_no_part_of_a_snapshot_twice():
    fixture = TransferFixture()
    for _ in range(10):
        fixture.exchange()
    assert fixture.sent_chunks == 1
    for number in range(20):
        fixture.leader.request_read_index(number)
        fixture.now += ELECTION_TIMEOUT_S / 30
        fixture.send()
    assert fixture.sent_chunks == 2
    for number in range(40):
        fixture.leader.request_read_index(100 + number)
        fixture.exchange()
    assert "b" in fixture.leader.replicas.voters
    assert fixture.sent_chunks <= len(PARTS) + 1


def test_lost_part_of_a_snapshot_is_sent_again():
    fixture = TransferFixture()
    for _ in range(3):
        fixture.exchange()
    fixture.send()
    for _ in range(120):
        fixture.exchange()
    assert "b" in fixture.leader.replicas.voters


# A replica with a new disk stayed a learner for as long as the changes went on.
def test_transfer_is_completed_though_newer_snapshots_are_made_meanwhile():
    fixture = TransferFixture()
    for _ in range(60):
        fixture.exchange()
        fixture.commit(TRAILING_ENTRIES // 10 + 1)
        fixture.compact()
    behind = fixture.leader.commit_index - fixture.empty.commit_index
    assert behind < TRAILING_ENTRIES
    assert fixture.sent_chunks <= len(PARTS) + 1


def test_replica_that_restarts_within_a_transfer_gets_all_parts():
    fixture = TransferFixture()
    for _ in range(5):
        fixture.exchange()
    fixture.empty = RaftCore("b", PersistedState(), random.Random(1), fixture.now)
    for _ in range(60):
        fixture.exchange()
    assert "b" in fixture.leader.replicas.voters


# While changes were committed faster than replies came back, no learner got a vote.
def test_replica_gets_its_vote_while_changes_are_committed_all_the_time():
    fixture = TransferFixture()
    for _ in range(60):
        fixture.exchange()
        fixture.commit(1)
    assert "b" in fixture.leader.replicas.voters


def test_replica_that_lags_by_more_than_a_heartbeat_gets_no_vote():
    fixture = TransferFixture()
    for _ in range(25):
        fixture.exchange()
    leader = fixture.leader
    lagging = AppendReply(leader.term, True, leader.commit_index, 0, 0)
    leader.join(Member("c", "c", "c", False), fixture.now)
    for _ in range(10):
        fixture.exchange()
    for _ in range(30):
        fixture.exchange()
        leader.step("c", lagging, fixture.now)
    assert leader.replicas.voters == ("a", "b")
    assert leader.promotion_obstacle("c", fixture.now) == "it is not caught up"
