"""Check when a silent control VM is taken out of the set."""

from types import SimpleNamespace

import pytest

from persimmonhall.control.retiring import (
    AWAY_S,
    SETTLED_S,
    SILENT_S,
    SPARE_S,
    Retiring,
)
from persimmonhall.raft.role import Role

AWAY = AWAY_S + 0.1
GONE = SILENT_S + 0.1
THREE = {"a": 0, "b": 0, "c": 0}
FOUR = THREE | {"d": 0}
NOW = 100.0
LATER = NOW + SETTLED_S


class FakeCore:
    """Lead a set whose voters are silent for given times."""

    def __init__(self):
        self.role = Role.LEADER
        self.silent = {}
        self.removed = []

    @property
    def replicas(self):
        """Return the set."""
        return SimpleNamespace(voters=tuple(self.silent))

    def time_since_reply_s(self, peer, now):
        """Return how long a peer is silent."""
        return self.silent[peer]

    def remove(self, replica, now):
        """Remove a voter."""
        self.removed.append(replica)
        return True


class Scene:
    """Show states of a set to one replica."""

    def __init__(self):
        self.core = FakeCore()
        self._retiring = Retiring(self.core, SimpleNamespace(wake=lambda: None))

    def see(self, at, silent, role=Role.LEADER):
        """Look at the set at a time."""
        self.core.silent = silent
        self.core.role = role
        self._retiring.step(at)
        return self.core.removed


def test_voter_that_is_gone_is_removed_after_another_came():
    """Take it out once it has been silent for long."""
    scene = Scene()
    scene.see(NOW, THREE)
    assert scene.see(LATER, FOUR | {"c": AWAY}) == []
    assert scene.see(LATER + 1, FOUR | {"c": GONE}) == ["c"]


def test_voter_that_is_stopped_after_its_successor_came_is_removed():
    """See a planned replacement, in which nobody is away when the new one comes."""
    scene = Scene()
    scene.see(NOW, THREE)
    scene.see(LATER, FOUR)
    assert scene.see(LATER + 5, FOUR | {"a": GONE}) == ["a"]


def test_follower_that_leads_after_the_one_that_is_gone_removes_it():
    """Watch the set while another leads."""
    scene = Scene()
    scene.see(NOW, THREE, Role.FOLLOWER)
    assert scene.see(LATER, FOUR, Role.FOLLOWER) == []
    assert scene.see(LATER + 6, FOUR | {"a": GONE}, Role.FOLLOWER) == []
    assert scene.see(LATER + 7, FOUR | {"a": GONE}) == ["a"]


def test_four_founders_keep_one_that_is_frozen():
    """Keep a voter for which none has come, however many there are."""
    scene = Scene()
    for number, names in enumerate(("a", "ab", "abc", "abcd")):
        scene.see(NOW + number, dict.fromkeys(names, 0))
    assert scene.see(NOW + 20, FOUR | {"c": GONE}) == []


@pytest.mark.parametrize(
    "last",
    [
        FOUR | {"c": GONE, "d": GONE},
        FOUR | {"a": AWAY, "c": GONE},
        FOUR | {"c": SILENT_S - 0.1},
    ],
)
def test_one_of_two_that_are_away_stays(last):
    """Remove none beside another that is away, and none too early."""
    scene = Scene()
    scene.see(NOW, THREE)
    scene.see(LATER, FOUR)
    assert scene.see(LATER + 5, last) == []


def test_voter_that_falls_silent_long_after_stays():
    """Take what happens later for a fault like any other."""
    scene = Scene()
    scene.see(NOW, THREE)
    scene.see(LATER, FOUR)
    assert scene.see(LATER + SPARE_S, FOUR | {"a": GONE}) == []


def test_wiped_voter_beside_one_that_is_away_is_no_newcomer():
    """Keep a voter that is down while another comes back with an empty disk."""
    scene = Scene()
    four = FOUR | {"b": AWAY}
    scene.see(NOW, four)
    scene.see(LATER, {"a": 0, "b": AWAY, "d": 0})
    scene.see(LATER + 0.5, {"a": 0, "b": AWAY, "d": 0, "c2": 0})
    assert scene.see(LATER + 5, {"a": 0, "b": GONE, "d": 0, "c2": 0}) == []


def test_second_replacement_is_found_too():
    """Count from the set as it is once the first one was retired."""
    scene = Scene()
    scene.see(NOW, THREE)
    scene.see(LATER, FOUR | {"c": AWAY})
    scene.see(LATER + 4, FOUR | {"c": GONE})
    three = {"a": 0, "b": 0, "d": 0}
    scene.see(LATER + 5, three)
    scene.see(LATER + 5 + SETTLED_S, three)
    scene.see(LATER + 20, three | {"b": AWAY, "e": 0})
    assert scene.see(LATER + 24, three | {"b": GONE, "e": 0}) == ["c", "b"]
