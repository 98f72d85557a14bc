"""Check when a silent control VM is taken out of the set."""

from types import SimpleNamespace

import pytest

from persimmonhall.control.retiring import AWAY_S, SILENT_S, Retiring
from persimmonhall.raft.role import Role

AWAY = AWAY_S + 0.1
GONE = SILENT_S + 0.1
FOUNDERS = {"a": 0, "b": 0, "c": 0}


class FakeCore:
    """Lead a set whose voters are silent for given times."""

    def __init__(self, role=Role.LEADER):
        self.role = role
        self.silent = {}
        self.removed = []

    @property
    def replicas(self):
        """Return the set."""
        return SimpleNamespace(voters=tuple(self.silent))

    def silent_s(self, peer, now):
        """Return how long a peer is silent."""
        return self.silent[peer]

    def remove(self, replica, now):
        """Remove a voter."""
        self.removed.append(replica)
        return True


def retire(*steps, **changes):
    """Look at one state of the set after the other and return what is removed."""
    core = FakeCore(**changes)
    retiring = Retiring(core, SimpleNamespace(wake=lambda: None))
    for silent in steps:
        core.silent = silent
        retiring.step(0.0)
    return core.removed


def test_replaced_voter_is_removed():
    """Take out the one that was gone when a fourth came, once it is silent long."""
    gone = FOUNDERS | {"c": AWAY}
    assert retire(FOUNDERS, gone, gone | {"d": 0}) == []
    assert retire(gone, gone | {"d": 0}, FOUNDERS | {"c": GONE, "d": 0}) == ["c"]


def test_four_founders_keep_one_that_is_frozen():
    """Keep a voter for which none has come, however many there are."""
    four = FOUNDERS | {"d": 0}
    assert retire(FOUNDERS, four, four | {"c": GONE}) == []
    assert retire(four, four | {"c": GONE}) == []


@pytest.mark.parametrize(
    "last",
    [
        FOUNDERS | {"c": GONE, "d": GONE},
        FOUNDERS | {"a": AWAY, "c": GONE, "d": 0},
        FOUNDERS | {"c": SILENT_S - 0.1, "d": 0},
    ],
)
def test_one_of_two_that_are_away_stays(last):
    """Remove none beside another that is away, and none too early."""
    gone = FOUNDERS | {"c": AWAY}
    assert retire(gone, gone | {"d": 0}, last) == []


def test_voter_that_was_heard_of_again_stays():
    """Forget that it was away when the new one came."""
    gone = FOUNDERS | {"c": AWAY}
    back = FOUNDERS | {"d": 0}
    assert retire(gone, gone | {"d": 0}, back, back | {"c": GONE}) == []


def test_wiped_voter_under_its_own_address_takes_no_other_with_it():
    """See a set in which one identity follows another as one that has not grown."""
    wiped = {"a": 0, "b": GONE, "c2": 0}
    assert retire(FOUNDERS | {"b": AWAY}, wiped, wiped) == []


def test_wiped_voter_beside_one_that_is_away_is_no_newcomer():
    """Keep a voter that is down while another comes back with an empty disk."""
    four = FOUNDERS | {"d": 0, "b": AWAY}
    without = {"a": 0, "b": AWAY, "d": 0}
    again = without | {"c2": 0}
    assert retire(four, without, again, again | {"b": GONE}) == []


def test_second_replacement_is_found_too():
    """Count from the set as it is once the first one was retired."""
    gone = FOUNDERS | {"c": AWAY}
    four = FOUNDERS | {"c": GONE, "d": 0}
    first = (gone, gone | {"d": 0}, four)
    three = {"a": 0, "b": AWAY, "d": 0}
    second = (three, three | {"e": 0}, three | {"b": GONE, "e": 0})
    assert retire(*first, *second) == ["c", "b"]


def test_only_the_leader_removes():
    """Leave it to the replica that leads."""
    gone = FOUNDERS | {"c": AWAY}
    four = FOUNDERS | {"c": GONE, "d": 0}
    assert retire(gone, gone | {"d": 0}, four, role=Role.FOLLOWER) == []
