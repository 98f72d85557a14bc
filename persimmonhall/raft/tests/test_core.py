"""Test elections, commits and the order of syncs and replies in the Raft core."""

import random

import pytest

from persimmonhall.raft.core import Core
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
from persimmonhall.raft.state import Stored
from persimmonhall.raft.timing import ELECTION_S, LOST_LEADER_S, LOST_LEADER_SPREAD_S

LATER = 20.0


def make_core(name: str, *names: str) -> Core:
    """Create the core of one of some voters in term 1."""
    members = tuple(Member(n, n, n, True) for n in names)
    data = encode_replicas(ReplicaSet("cluster", members))
    first = Entry(1, 1, EntryKind.REPLICAS, data)
    stored = Stored(HardState(1, ""), None, (first,))
    return Core(name, stored, random.Random(1), 0.0)


def promises(messages) -> list:
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
def test_promise_is_held_back_until_the_sync(message):
    core = make_core("a", "a", "b", "c")
    core.step("b", message, LATER)
    ready = core.take(LATER)
    assert ready.persists
    assert promises(ready.messages) == []
    core.synced(ready.persists[-1].sequence, LATER)
    assert len(promises(core.take(LATER).messages)) == 1


def test_vote_goes_to_one_candidate_of_a_term():
    core = make_core("a", "a", "b", "c")
    for candidate in ("b", "c"):
        core.step(candidate, Vote(2, 1, 1), LATER)
    ready = core.take(LATER)
    core.synced(ready.persists[-1].sequence, LATER)
    replies = [m for m in core.take(LATER).messages if m.message.granted]
    assert [m.to for m in replies] == ["b"]


def test_sole_voter_commits_only_what_is_synced():
    core = make_core("a", "a")
    core.tick(0.0)
    core.synced(core.take(0.0).persists[-1].sequence, 0.0)
    assert core.role is Role.LEADER
    index = core.propose(b"x")
    ready = core.take(0.0)
    assert core.commit < index
    core.synced(ready.persists[-1].sequence, 0.0)
    core.take(0.0)
    assert core.commit == index


def test_leader_without_its_majority_steps_down():
    core = make_core("a", "a", "b", "c")
    core.tick(LATER)
    core.step("b", VoteReply(2, True, True), LATER)
    core.synced(core.take(LATER).persists[-1].sequence, LATER)
    core.step("b", VoteReply(2, True, False), LATER)
    assert core.role is Role.LEADER
    core.tick(LATER + 5)
    assert core.role is Role.FOLLOWER
    assert core.propose(b"x") is None


def test_replica_that_hears_a_leader_grants_no_vote():
    core = make_core("a", "a", "b", "c")
    core.step("b", Append(2, 1, 1, (), 1, 0), LATER)
    core.take(LATER)
    core.step("c", Vote(3, 9, 2), LATER + 0.1)
    assert core.term == 2


def test_lost_leader_brings_the_election_forward():
    core = make_core("a", "a", "b", "c")
    core.step("b", Append(2, 1, 1, (), 1, 0), LATER)
    core.lost("c", LATER)
    assert core.next_tick >= LATER + ELECTION_S
    core.lost("b", LATER)
    assert core.next_tick <= LATER + LOST_LEADER_S + LOST_LEADER_SPREAD_S
    core.tick(core.next_tick)
    assert core.role is Role.PRE_CANDIDATE


@pytest.mark.parametrize(("lost", "granted"), [("b", True), ("c", False)])
def test_pre_vote_is_granted_early_only_by_who_lost_the_leader(lost, granted):
    core = make_core("a", "a", "b", "c")
    core.step("b", Append(1, 1, 1, (), 1, 0), LATER)
    core.take(LATER)
    core.lost(lost, LATER)
    core.step("c", Vote(2, 1, 1, pre=True), LATER)
    replies = [m.message for m in core.take(LATER).messages]
    assert replies == ([VoteReply(2, True, True)] if granted else [])


def test_leader_that_is_still_there_stays_after_a_wrong_hint():
    core = make_core("a", "a", "b", "c")
    heartbeat = Append(1, 1, 1, (), 1, 0)
    core.step("b", heartbeat, LATER)
    core.lost("b", LATER)
    core.step("b", heartbeat, LATER)
    assert core.leader_id == "b"
    assert core.next_tick >= LATER + ELECTION_S
