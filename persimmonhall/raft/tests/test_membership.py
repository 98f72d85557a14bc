"""Test the membership changes that make a replica with a new disk a voter."""

from persimmonhall.raft.membership import MAX_VOTERS, next_change, with_joined
from persimmonhall.raft.messages import Member, ReplicaSet


def make_set(*members: tuple[str, bool]) -> ReplicaSet:
    """Create a replica set; an id is NAME#DISK."""
    return ReplicaSet(
        "cluster", tuple(Member(i, i.partition("#")[0], i, v) for i, v in members)
    )


def ids(replicas: ReplicaSet) -> list[tuple[str, bool]]:
    """Return the id of each member and whether it is a voter."""
    return [(m.id, m.voter) for m in replicas.members]


THREE = (("a#1", True), ("b#1", True), ("c#1", True))


def test_new_disk_replaces_the_old_one_a_voter_at_a_time():
    replicas = with_joined(make_set(*THREE), Member("c#2", "c", "new", False))
    assert ids(replicas) == [*THREE, ("c#2", False)]
    assert next_change(replicas, {"a#1", "b#1"}) is None
    removed = next_change(replicas, {"c#2"})
    assert ids(removed) == [*THREE[:2], ("c#2", False)]
    promoted = next_change(removed, {"c#2"})
    assert ids(promoted) == [*THREE[:2], ("c#2", True)]
    assert next_change(promoted, {"c#2"}) is None


def test_disk_lost_again_while_learning_leaves_no_learner_behind():
    replicas = make_set(*THREE, ("c#2", False))
    joined = with_joined(replicas, Member("c#3", "c", "new", False))
    assert ids(joined) == [*THREE, ("c#3", False)]


def test_joining_again_moves_the_address_and_keeps_the_vote():
    moved = with_joined(make_set(*THREE), Member("b#1", "b", "moved", False))
    assert ids(moved) == list(THREE)
    assert moved.get("b#1").address == "moved"


def test_voters_are_bounded():
    voters = tuple((f"r{n}#1", True) for n in range(MAX_VOTERS))
    assert next_change(make_set(*voters, ("new#1", False)), {"new#1"}) is None
