"""Test elections, commits and the order of syncs and replies in the Raft core."""

import random
from dataclasses import replace

import pytest

from persimmonhall.raft.core import RaftCore
from persimmonhall.raft.log import encode_replicas
from persimmonhall.raft.messages import (
    Append,
    AppendReply,
    Entry,
    EntryKind,
    HardState,
    Member,
    ReplicaSet,
    SnapshotChunk,
    Vote,
    VoteReply,
)
from persimmonhall.raft.role import Role
from persimmonhall.raft.state import PersistedState
from persimmonhall.raft.timing import (
    ELECTION_TIMEOUT_S,
    LEADER_EXIT_ELECTION_DELAY_S,
    LEADER_EXIT_ELECTION_JITTER_S,
)

NOW = 20.0


def make_core(name: str, *names: str) -> RaftCore:
    """Create the core of one of some voters in term 1."""
    members = tuple(Member(n, n, n, True) for n in names)
    data = encode_replicas(ReplicaSet("cluster", members))
    first = Entry(1, 1, EntryKind.REPLICAS, data)
    stored = PersistedState(HardState(1, ""), None, (first,))
    return RaftCore(name, stored, random.Random(1), 0.0)


def acknowledgements(messages) -> list:
    """Return the replies that are only valid if their writes survive a crash."""
    return [
        m.message
        for m in messages
        if (isinstance(m.message, VoteReply) and m.message.granted)
        or (isinstance(m.message, AppendReply) and m.message.match > 1)
    ]


ENTRY = Entry(2, 2, EntryKind.COMMAND, b"x")
CHUNK = SnapshotChunk(2, 9, 2, ReplicaSet(), 0, (b"state",), True, 0)


@pytest.mark.parametrize(
    "message",
    [Vote(2, 1, 1), Append(2, 1, 1, (ENTRY,), 2, 0), CHUNK],
    ids=["vote", "append", "snapshot"],
)
def test_acknowledgement_waits_for_sync(message):
    core = make_core("a", "a", "b", "c")
    core.step("b", message, NOW)
    ready = core.take_ready(NOW)
    assert ready.writes
    assert acknowledgements(ready.messages) == []
    core.mark_synced(ready.writes[-1].sequence, NOW)
    assert len(acknowledgements(core.take_ready(NOW).messages)) == 1


# A voter with a full disk was taken for one that had failed, and was retired for good.
@pytest.mark.parametrize(
    "message",
    [Append(2, 1, 1, (ENTRY,), 2, 0), Append(2, 9, 2, (), 9, 0), CHUNK],
    ids=["append", "mismatch", "snapshot"],
)
def test_follower_answers_while_its_term_is_not_synced(message):
    """Show the leader that it runs, and confirm neither entries nor reads."""
    leader, follower = make_core("b", "a", "b", "c"), make_core("a", "a", "b", "c")
    leader.tick(NOW)
    leader.step("c", VoteReply(2, True, True), NOW)
    leader.mark_synced(leader.take_ready(NOW).writes[-1].sequence, NOW)
    leader.step("c", VoteReply(2, True, False), NOW)
    leader.request_read_index(1)
    follower.step("b", message, NOW)
    for _ in range(2):
        follower.step("b", Append(2, 9, 2, (), 1, 0), NOW)
    messages = follower.take_ready(NOW).messages
    assert acknowledgements(messages) == []
    for reply in messages:
        leader.step("a", reply.message, NOW + 5)
    assert leader.time_since_reply_s("a", NOW + 5) == 0
    ready = leader.take_ready(NOW + 5)
    assert (ready.committed, ready.reads) == ((), ())


def test_state_read_from_a_full_disk_is_acknowledged_after_its_first_write():
    entries = tuple(Entry(i, 1, EntryKind.COMMAND, b"x") for i in range(1, 4))
    stored = PersistedState(HardState(1, "b"), None, entries, is_synced=False)
    core = RaftCore("a", stored, random.Random(1), 0.0)
    core.step("b", Append(1, 3, 1, (), 1, 0), NOW)
    core.step("c", Vote(1, 3, 1), NOW + 5)
    ready = core.take_ready(NOW + 5)
    assert acknowledgements(ready.messages) == []
    core.mark_synced(ready.writes[-1].sequence, NOW + 5)
    replies = [m.message for m in core.take_ready(NOW + 5).messages]
    assert [r.match for r in replies if isinstance(r, AppendReply)] == [3]
    assert [r.granted for r in replies if isinstance(r, VoteReply)] == [False]


def test_grants_one_vote_per_term():
    core = make_core("a", "a", "b", "c")
    for candidate in ("b", "c"):
        core.step(candidate, Vote(2, 1, 1), NOW)
    ready = core.take_ready(NOW)
    core.mark_synced(ready.writes[-1].sequence, NOW)
    replies = [m for m in core.take_ready(NOW).messages if m.message.granted]
    assert [m.to for m in replies] == ["b"]


def test_single_voter_commits_only_synced_entries():
    core = make_core("a", "a")
    core.tick(0.0)
    core.mark_synced(core.take_ready(0.0).writes[-1].sequence, 0.0)
    assert core.role is Role.LEADER
    index = core.propose(b"x")
    ready = core.take_ready(0.0)
    assert core.commit_index < index
    core.mark_synced(ready.writes[-1].sequence, 0.0)
    core.take_ready(0.0)
    assert core.commit_index == index


def test_leader_without_quorum_steps_down():
    core = make_core("a", "a", "b", "c")
    core.tick(NOW)
    core.step("b", VoteReply(2, True, True), NOW)
    core.mark_synced(core.take_ready(NOW).writes[-1].sequence, NOW)
    core.step("b", VoteReply(2, True, False), NOW)
    assert core.role is Role.LEADER
    core.tick(NOW + 5)
    assert core.role is Role.FOLLOWER
    assert core.propose(b"x") is None


def test_replica_with_recent_leader_contact_grants_no_vote():
    core = make_core("a", "a", "b", "c")
    core.step("b", Append(2, 1, 1, (), 1, 0), NOW)
    core.take_ready(NOW)
    core.step("c", Vote(3, 9, 2), NOW + 0.1)
    assert core.term == 2


def test_reported_leader_exit_starts_election_early():
    core = make_core("a", "a", "b", "c")
    core.step("b", Append(2, 1, 1, (), 1, 0), NOW)
    core.report_peer_exit("c", NOW)
    assert core.next_tick >= NOW + ELECTION_TIMEOUT_S
    core.report_peer_exit("b", NOW)
    assert (
        core.next_tick
        <= NOW + LEADER_EXIT_ELECTION_DELAY_S + LEADER_EXIT_ELECTION_JITTER_S
    )
    core.tick(core.next_tick)
    assert core.role is Role.PRE_CANDIDATE


@pytest.mark.parametrize(("lost", "granted"), [("b", True), ("c", False)])
def test_pre_vote_is_granted_early_only_after_leader_exit_report(lost, granted):
    core = make_core("a", "a", "b", "c")
    core.step("b", Append(1, 1, 1, (), 1, 0), NOW)
    core.take_ready(NOW)
    core.report_peer_exit(lost, NOW)
    core.step("c", Vote(2, 1, 1, pre=True), NOW)
    replies = [m.message for m in core.take_ready(NOW).messages]
    assert replies == ([VoteReply(2, True, True)] if granted else [])


def test_leader_is_kept_after_false_exit_report():
    core = make_core("a", "a", "b", "c")
    heartbeat = Append(1, 1, 1, (), 1, 0)
    core.step("b", heartbeat, NOW)
    core.report_peer_exit("b", NOW)
    core.step("b", heartbeat, NOW)
    assert core.leader_id == "b"
    assert core.next_tick >= NOW + ELECTION_TIMEOUT_S


def read_every_100_ms(core: RaftCore, start: float, seconds: float) -> None:
    """Request reads and tick when due, as the driver does."""
    for number in range(round(seconds / 0.1)):
        now = start + number * 0.1
        if now >= core.next_tick:
            core.tick(now)
        core.request_read_index(number)
        ready = core.take_ready(now)
        if ready.writes:
            core.mark_synced(ready.writes[-1].sequence, now)


def test_leader_that_is_read_often_adds_a_replica():
    core = make_core("a", "a")
    read_every_100_ms(core, 0.0, 0.5)
    core.join(Member("b", "b", "b", False), 0.5)
    read_every_100_ms(core, 0.5, 0.2)
    core.step("b", AppendReply(core.term, True, core.commit_index, 0, 0), 0.7)
    read_every_100_ms(core, 0.7, 0.5)
    assert set(core.replicas.voters) == {"a", "b"}


def test_leader_that_is_read_often_steps_down_without_a_majority():
    core = make_core("a", "a", "b", "c")
    core.tick(NOW)
    core.step("b", VoteReply(2, True, True), NOW)
    ready = core.take_ready(NOW)
    core.mark_synced(ready.writes[-1].sequence, NOW)
    core.step("b", VoteReply(2, True, False), NOW)
    assert core.role is Role.LEADER
    core.take_ready(NOW)
    core.step("b", AppendReply(2, True, 2, 0, 0), NOW)
    core.step("c", AppendReply(2, True, 2, 0, 0), NOW)
    assert core.take_ready(NOW).committed
    read_every_100_ms(core, NOW, 2 * ELECTION_TIMEOUT_S)
    assert core.role is not Role.LEADER


def test_reply_to_a_leader_of_an_older_term_confirms_no_read():
    """The same replica may lead the newer term and count rounds anew."""
    core = make_core("b", "a", "b", "c")
    core.step("a", Vote(3, 1, 1), NOW)
    core.mark_synced(core.take_ready(NOW).writes[-1].sequence, NOW)
    core.step("a", Append(2, 1, 1, (), 1, 7), NOW)
    [reply] = [m.message for m in core.take_ready(NOW).messages][-1:]
    assert reply == AppendReply(3, False, 0, 0, 0)


def test_replica_that_lacks_committed_entries_is_not_caught_up():
    core = make_core("a", "a", "b", "c")
    core.step("b", Append(2, 1, 1, (), 1, 0), NOW)
    assert core.is_caught_up
    core.step("b", Append(2, 4, 2, (), 4, 0), NOW)
    assert not core.is_caught_up
    entries = tuple(Entry(n, 2, EntryKind.COMMAND, b"x") for n in (2, 3, 4))
    core.step("b", Append(2, 1, 1, entries, 4, 0), NOW)
    assert core.is_caught_up
    core.step("b", replace(CHUNK, last=False), NOW)
    assert not core.is_caught_up
    core.step("b", replace(CHUNK, offset=1), NOW)
    assert core.is_caught_up


# A replica that was left out believed in its last leader for good, and so in its state.
def test_replica_without_a_vote_forgets_a_silent_leader():
    core = make_core("d", "a", "b", "c")
    core.step("b", Append(2, 1, 1, (), 1, 0), NOW)
    assert core.leader_id == "b"
    core.tick(core.next_tick)
    assert (core.leader_id, core.role) == (None, Role.FOLLOWER)
