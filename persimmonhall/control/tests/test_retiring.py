"""Check when a silent control VM is taken out of the set."""

from types import SimpleNamespace

import pytest

from persimmonhall.control.retiring import SILENT_S, Retiring
from persimmonhall.raft.role import Role

FOUNDERS = 3


class FakeCore:
    """Lead a set whose voters are silent for given times."""

    def __init__(self, silent, role=Role.LEADER):
        self.role = role
        self.replicas = SimpleNamespace(voters=tuple(silent))
        self.removed = []
        self._silent = silent

    def silent_s(self, peer, now):
        """Return how long a peer is silent."""
        return self._silent[peer]

    def remove(self, replica, now):
        """Remove a voter."""
        self.removed.append(replica)
        return True


def retire(silent, **changes):
    """Return what is removed from a set."""
    core = FakeCore(silent, **changes)
    Retiring(core, SimpleNamespace(wake=lambda: None), FOUNDERS).step(0.0)
    return core.removed


def test_replaced_voter_is_removed():
    """Take out the one that is gone after a fourth has come for it."""
    assert retire({"a": 0, "b": 0, "c": SILENT_S + 1, "d": 0.1}) == ["c"]


@pytest.mark.parametrize(
    "silent",
    [
        {"a": 0, "b": 0, "c": SILENT_S + 1},
        {"a": 0, "b": 0, "c": SILENT_S - 1, "d": 0},
        {"a": 0, "b": 0, "c": SILENT_S + 1, "d": SILENT_S + 1},
    ],
)
def test_voter_without_successor_or_beside_another_stays(silent):
    """Keep a founder's place, one that may come back, and any one of two."""
    assert retire(silent) == []


def test_only_the_leader_removes():
    """Leave it to the replica that leads."""
    silent = {"a": 0, "b": 0, "c": SILENT_S + 1, "d": 0}
    assert retire(silent, role=Role.FOLLOWER) == []
