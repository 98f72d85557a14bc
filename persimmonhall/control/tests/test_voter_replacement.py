"""Test when an unresponsive control VM is removed from the replica set."""

from types import SimpleNamespace

import pytest

from persimmonhall.control.voter_replacement import (
    REMOVE_AFTER_S,
    REPLACEMENT_WINDOW_S,
    STABLE_AFTER_S,
    UNRESPONSIVE_AFTER_S,
    ReplacedVoterRemover,
)
from persimmonhall.raft.messages import Member, ReplicaSet
from persimmonhall.raft.role import Role

UNRESPONSIVE_S = UNRESPONSIVE_AFTER_S + 0.1
REMOVABLE_S = REMOVE_AFTER_S + 0.1
THREE_VOTERS = {"a": 0, "b": 0, "c": 0}
FOUR_VOTERS = THREE_VOTERS | {"d": 0}
NOW = 100.0
LATER = NOW + STABLE_AFTER_S


class FakeCore:
    """Imitate a leader whose voters last replied a given time ago."""

    def __init__(self):
        self.role = Role.LEADER
        self.time_since_reply = {}
        self.learners = ()
        self.settled_voters = 0
        self.removed = []

    @property
    def replicas(self):
        """Return the replica set."""
        names = (*self.time_since_reply, *self.learners)
        members = tuple(Member(n, n, n, n in self.time_since_reply) for n in names)
        return ReplicaSet("cluster", members, self.settled_voters)

    def time_since_reply_s(self, peer, now):
        """Return the seconds since a peer's last reply."""
        return self.time_since_reply[peer]

    def remove(self, replica, now, *, may_rejoin):
        """Record the removal of a voter, which may only be paused."""
        assert may_rejoin
        self.removed.append(replica)
        return True

    def settle(self, now):
        """Write the number of voters to the log."""
        self.settled_voters = len(self.time_since_reply)
        return True


class RemoverFixture:
    """Present successive states of a replica set to one replica."""

    def __init__(self):
        self.core = FakeCore()
        self.restart()

    def restart(self):
        """Start the process of the replica again; its log is kept."""
        self._remover = ReplacedVoterRemover(
            self.core, SimpleNamespace(wake=lambda: None)
        )

    def settle(self, time_since_reply=THREE_VOTERS):
        """Check a set twice, so long apart that it settles."""
        self.check(NOW, time_since_reply)
        self.check(LATER, time_since_reply)

    def check(self, now, time_since_reply, role=Role.LEADER):
        """Run one check at a time and return the removed voters."""
        self.core.time_since_reply = time_since_reply
        self.core.role = role
        self._remover.step(now)
        return self.core.removed


def test_unresponsive_voter_is_removed_after_another_joined():
    """Remove it only after it has been unresponsive for long enough."""
    fixture = RemoverFixture()
    fixture.settle()
    assert fixture.check(LATER, FOUR_VOTERS | {"c": UNRESPONSIVE_S}) == []
    assert fixture.check(LATER + 1, FOUR_VOTERS | {"c": REMOVABLE_S}) == ["c"]


def test_voter_stopped_after_its_replacement_joined_is_removed():
    """Cover a planned replacement: all voters respond when the new one joins."""
    fixture = RemoverFixture()
    fixture.settle()
    fixture.check(LATER, FOUR_VOTERS)
    assert fixture.check(LATER + 5, FOUR_VOTERS | {"a": REMOVABLE_S}) == ["a"]


# A kill of all control VMs left a set of four with one gone: no disk could be lost.
def test_replaced_voter_is_removed_after_all_replicas_have_restarted():
    """Know from the log alone that the set has grown, and however late one stops."""
    fixture = RemoverFixture()
    fixture.settle()
    fixture.check(LATER, FOUR_VOTERS)
    fixture.restart()
    fixture.check(LATER + 1, FOUR_VOTERS | {"a": UNRESPONSIVE_S})
    assert fixture.check(LATER + 5, FOUR_VOTERS | {"a": REMOVABLE_S}) == ["a"]
    late = RemoverFixture()
    late.settle()
    for number in range(60):
        late.check(LATER + number, FOUR_VOTERS)
    late.restart()
    assert late.check(LATER + 65, FOUR_VOTERS | {"a": REMOVABLE_S}) == ["a"]


def test_new_leader_removes_the_replaced_leader():
    """Know of the growth though another replica led at that time."""
    fixture = RemoverFixture()
    fixture.settle()
    assert fixture.check(LATER, FOUR_VOTERS, Role.FOLLOWER) == []
    assert (
        fixture.check(LATER + 6, FOUR_VOTERS | {"a": REMOVABLE_S}, Role.FOLLOWER) == []
    )
    assert fixture.check(LATER + 7, FOUR_VOTERS | {"a": REMOVABLE_S}) == ["a"]


# With a leader lost every few seconds, a replaced voter stayed: the next lost disk left
# no majority.
def test_leader_that_leads_for_three_seconds_removes_the_replaced_voter():
    """Count the silence from the election: the leader knows of no earlier one."""
    fixture = RemoverFixture()
    fixture.settle()
    fixture.check(LATER, FOUR_VOTERS)
    fixture.restart()
    for silent_s in (0.0, 1.0, 2.0, 3.0):
        fixture.check(LATER + silent_s, FOUR_VOTERS | {"a": silent_s})
    assert "a" in fixture.core.removed


def test_followers_neither_settle_nor_remove():
    """Leave both to the leader, whose view of the voters counts."""
    fixture = RemoverFixture()
    fixture.check(NOW, THREE_VOTERS, Role.FOLLOWER)
    fixture.check(LATER, THREE_VOTERS, Role.FOLLOWER)
    assert fixture.core.settled_voters == 0


def test_unresponsive_initial_voter_of_four_is_kept():
    """Keep a voter that was not replaced, even in a set of four."""
    fixture = RemoverFixture()
    for number, names in enumerate(("a", "ab", "abc", "abcd")):
        fixture.check(NOW + number, dict.fromkeys(names, 0))
    fixture.check(NOW + 3 + STABLE_AFTER_S, FOUR_VOTERS)
    assert fixture.check(NOW + 20, FOUR_VOTERS | {"c": REMOVABLE_S}) == []


@pytest.mark.parametrize(
    "last",
    [
        FOUR_VOTERS | {"c": REMOVABLE_S, "d": REMOVABLE_S},
        FOUR_VOTERS | {"a": UNRESPONSIVE_S, "c": REMOVABLE_S},
        FOUR_VOTERS | {"c": REMOVE_AFTER_S - 0.1},
    ],
)
def test_no_voter_is_removed_beside_another_unresponsive_one_or_too_early(last):
    """Remove none while another is unresponsive, and none too early."""
    fixture = RemoverFixture()
    fixture.settle()
    fixture.check(LATER, FOUR_VOTERS)
    assert fixture.check(LATER + 5, last) == []


def test_voter_unresponsive_after_the_replacement_window_is_kept():
    """Treat a later loss of contact as an ordinary failure, not as a replacement."""
    fixture = RemoverFixture()
    fixture.settle()
    fixture.check(LATER, FOUR_VOTERS)
    fixture.check(LATER + REPLACEMENT_WINDOW_S, FOUR_VOTERS)
    assert (
        fixture.check(
            LATER + REPLACEMENT_WINDOW_S + 5, FOUR_VOTERS | {"a": REMOVABLE_S}
        )
        == []
    )


def test_rejoining_wiped_voter_is_no_replacement():
    """Keep a voter that is down while another rejoins with an empty disk."""
    fixture = RemoverFixture()
    fixture.settle(FOUR_VOTERS)
    fixture.core.learners = ("c2",)
    for second in range(1, 9):
        fixture.check(LATER + second, {"a": 0, "b": 0, "d": 0})
    fixture.core.learners = ()
    fixture.check(LATER + 9, {"a": 0, "b": UNRESPONSIVE_S, "d": 0, "c2": 0})
    down = {"a": 0, "b": REMOVABLE_S, "d": 0, "c2": 0}
    assert fixture.check(LATER + 14, down) == []


def test_second_replacement_is_detected():
    """Detect growth relative to the set after the first removal."""
    fixture = RemoverFixture()
    fixture.settle()
    fixture.check(LATER, FOUR_VOTERS | {"c": UNRESPONSIVE_S})
    fixture.check(LATER + 4, FOUR_VOTERS | {"c": REMOVABLE_S})
    three = {"a": 0, "b": 0, "d": 0}
    fixture.check(LATER + 5, three)
    fixture.check(LATER + 20, three | {"b": UNRESPONSIVE_S, "e": 0})
    assert fixture.check(LATER + 24, three | {"b": REMOVABLE_S, "e": 0}) == ["c", "b"]


def test_two_replaced_voters_are_removed_one_by_one():
    """Cover a second replacement before the first voter is gone."""
    fixture = RemoverFixture()
    fixture.settle()
    five = FOUR_VOTERS | {"e": 0}
    fixture.check(LATER, five)
    gone = five | {"a": REMOVABLE_S + 1, "b": REMOVABLE_S}
    assert fixture.check(LATER + 5, gone) == ["a"]
    rest = {"b": REMOVABLE_S + 1, "c": 0, "d": 0, "e": 0}
    assert fixture.check(LATER + 6, rest) == ["a", "b"]
