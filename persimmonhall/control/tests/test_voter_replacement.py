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
        self.removed = []

    @property
    def replicas(self):
        """Return the replica set."""
        return SimpleNamespace(voters=tuple(self.time_since_reply))

    def time_since_reply_s(self, peer, now):
        """Return the seconds since a peer's last reply."""
        return self.time_since_reply[peer]

    def remove(self, replica, now):
        """Record the removal of a voter."""
        self.removed.append(replica)
        return True


class RemoverFixture:
    """Present successive states of a replica set to one replica."""

    def __init__(self):
        self.core = FakeCore()
        self._remover = ReplacedVoterRemover(
            self.core, SimpleNamespace(wake=lambda: None)
        )

    def check(self, now, time_since_reply, role=Role.LEADER):
        """Run one check at a time and return the removed voters."""
        self.core.time_since_reply = time_since_reply
        self.core.role = role
        self._remover.step(now)
        return self.core.removed


def test_unresponsive_voter_is_removed_after_another_joined():
    """Remove it only after it has been unresponsive for long enough."""
    fixture = RemoverFixture()
    fixture.check(NOW, THREE_VOTERS)
    assert fixture.check(LATER, FOUR_VOTERS | {"c": UNRESPONSIVE_S}) == []
    assert fixture.check(LATER + 1, FOUR_VOTERS | {"c": REMOVABLE_S}) == ["c"]


def test_voter_stopped_after_its_replacement_joined_is_removed():
    """Cover a planned replacement: all voters respond when the new one joins."""
    fixture = RemoverFixture()
    fixture.check(NOW, THREE_VOTERS)
    fixture.check(LATER, FOUR_VOTERS)
    assert fixture.check(LATER + 5, FOUR_VOTERS | {"a": REMOVABLE_S}) == ["a"]


def test_new_leader_removes_the_replaced_leader():
    """Track the set while another replica leads."""
    fixture = RemoverFixture()
    fixture.check(NOW, THREE_VOTERS, Role.FOLLOWER)
    assert fixture.check(LATER, FOUR_VOTERS, Role.FOLLOWER) == []
    assert (
        fixture.check(LATER + 6, FOUR_VOTERS | {"a": REMOVABLE_S}, Role.FOLLOWER) == []
    )
    assert fixture.check(LATER + 7, FOUR_VOTERS | {"a": REMOVABLE_S}) == ["a"]


def test_unresponsive_initial_voter_of_four_is_kept():
    """Keep a voter that was not replaced, even in a set of four."""
    fixture = RemoverFixture()
    for number, names in enumerate(("a", "ab", "abc", "abcd")):
        fixture.check(NOW + number, dict.fromkeys(names, 0))
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
    fixture.check(NOW, THREE_VOTERS)
    fixture.check(LATER, FOUR_VOTERS)
    assert fixture.check(LATER + 5, last) == []


def test_voter_unresponsive_after_the_replacement_window_is_kept():
    """Treat a later loss of contact as an ordinary failure, not as a replacement."""
    fixture = RemoverFixture()
    fixture.check(NOW, THREE_VOTERS)
    fixture.check(LATER, FOUR_VOTERS)
    assert (
        fixture.check(LATER + REPLACEMENT_WINDOW_S, FOUR_VOTERS | {"a": REMOVABLE_S})
        == []
    )


def test_rejoining_wiped_voter_is_no_replacement():
    """Keep a voter that is down while another rejoins with an empty disk."""
    fixture = RemoverFixture()
    four = FOUR_VOTERS | {"b": UNRESPONSIVE_S}
    fixture.check(NOW, four)
    fixture.check(LATER, {"a": 0, "b": UNRESPONSIVE_S, "d": 0})
    fixture.check(LATER + 0.5, {"a": 0, "b": UNRESPONSIVE_S, "d": 0, "c2": 0})
    assert fixture.check(LATER + 5, {"a": 0, "b": REMOVABLE_S, "d": 0, "c2": 0}) == []


def test_second_replacement_is_detected():
    """Detect growth relative to the set after the first removal."""
    fixture = RemoverFixture()
    fixture.check(NOW, THREE_VOTERS)
    fixture.check(LATER, FOUR_VOTERS | {"c": UNRESPONSIVE_S})
    fixture.check(LATER + 4, FOUR_VOTERS | {"c": REMOVABLE_S})
    three = {"a": 0, "b": 0, "d": 0}
    fixture.check(LATER + 5, three)
    fixture.check(LATER + 5 + STABLE_AFTER_S, three)
    fixture.check(LATER + 20, three | {"b": UNRESPONSIVE_S, "e": 0})
    assert fixture.check(LATER + 24, three | {"b": REMOVABLE_S, "e": 0}) == ["c", "b"]
