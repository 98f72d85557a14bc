"""Test what is logged about the replica set."""

import pytest
from absl import logging

from persimmonhall.control.replica_set_log import (
    LEADERLESS_S,
    PROMOTED_WITHIN_S,
    ReplicaSetLog,
)
from persimmonhall.raft.messages import AppendReply, Member, VoteReply
from persimmonhall.raft.tests.test_core import make_core

NOW = 20.0


@pytest.fixture
def lines(monkeypatch):
    """Collect the lines that are logged."""
    collected = []
    for level in ("info", "warning"):
        monkeypatch.setattr(
            logging, level, lambda text, *args: collected.append(text % args)
        )
    return collected


def sync(core, now):
    """Sync what a core has to write."""
    writes = core.take_ready(now).writes
    if writes:
        core.mark_synced(writes[-1].sequence, now)
        core.take_ready(now)


def make_leader():
    """Return the leader of a and b."""
    core = make_core("a", "a", "b")
    core.tick(NOW)
    core.step("b", VoteReply(2, True, True), NOW)
    sync(core, NOW)
    core.step("b", VoteReply(2, True, False), NOW)
    sync(core, NOW)
    acknowledge(core, "b", NOW)
    return core


def acknowledge(core, peer, now):
    """Acknowledge the whole log for a peer."""
    core.step(peer, AppendReply(2, True, core.last_index, 0, 0), now)
    sync(core, now)


def test_each_change_of_the_set_is_logged_and_why_a_learner_waits(lines):
    core = make_leader()
    log = ReplicaSetLog(core)
    log.step(NOW)
    assert "committed=True term=2 voters=a,b learners=none" in lines.pop()
    core.join(Member("c", "c", "c", False), NOW)
    log.step(NOW)
    assert "committed=False" in lines[0] and "added=c promoted=none" in lines.pop()
    sync(core, NOW)
    late = NOW + PROMOTED_WITHIN_S
    log.step(late)
    assert "not promoted id=c" in lines[0] and "does not reply" in lines.pop()
    core.step("c", AppendReply(2, True, 1, 0, 0), late)
    acknowledge(core, "b", late)
    log.step(late)
    assert "committed=True" in lines.pop(0)
    assert "reason=it is not caught up match=1 commit=3" in lines.pop()
    log.step(late + 0.1)
    assert not lines
    acknowledge(core, "c", late)
    core.tick(core.next_tick)
    log.step(late)
    assert "promoted=c" in lines.pop()


def test_replica_that_has_no_leader_is_logged_once(lines):
    log = ReplicaSetLog(make_core("a", "a", "b", "c"))
    for now in (0.0, 1.0, LEADERLESS_S, LEADERLESS_S + 1):
        log.step(now)
    assert [line for line in lines if "replica without leader id=a" in line] == lines[
        1:
    ]
    assert len(lines) == 2
