"""Test the membership changes that make a replica with a new disk a voter."""

from persimmonhall.raft.log import decode_replicas, encode_replicas
from persimmonhall.raft.membership import (
    MAX_REMOVED,
    MAX_VOTERS,
    as_settled,
    next_change,
    with_joined_member,
    without_member,
)
from persimmonhall.raft.messages import RECORDS, Member, ReplicaSet, SnapshotHead


def make_set(*members: tuple[str, bool]) -> ReplicaSet:
    """Create a replica set; an id is NAME#DISK."""
    return ReplicaSet(
        "cluster", tuple(Member(i, i.partition("#")[0], i, v) for i, v in members)
    )


def ids_and_votes(replicas: ReplicaSet) -> list[tuple[str, bool]]:
    """Return the id of each member and whether it is a voter."""
    return [(m.id, m.voter) for m in replicas.members]


THREE_VOTERS = (("a#1", True), ("b#1", True), ("c#1", True))


def test_new_disk_replaces_old_disk_one_change_at_a_time():
    replicas = with_joined_member(
        make_set(*THREE_VOTERS), Member("c#2", "c", "new", False)
    )
    assert ids_and_votes(replicas) == [*THREE_VOTERS, ("c#2", False)]
    assert next_change(replicas, {"a#1", "b#1"}) is None
    removed = next_change(replicas, {"c#2"})
    assert ids_and_votes(removed) == [*THREE_VOTERS[:2], ("c#2", False)]
    promoted = next_change(removed, {"c#2"})
    assert ids_and_votes(promoted) == [*THREE_VOTERS[:2], ("c#2", True)]
    assert next_change(promoted, {"c#2"}) is None


def test_second_disk_loss_replaces_stale_learner():
    replicas = make_set(*THREE_VOTERS, ("c#2", False))
    joined = with_joined_member(replicas, Member("c#3", "c", "new", False))
    assert ids_and_votes(joined) == [*THREE_VOTERS, ("c#3", False)]


def test_rejoin_updates_address_and_keeps_vote():
    moved = with_joined_member(
        make_set(*THREE_VOTERS), Member("b#1", "b", "moved", False)
    )
    assert ids_and_votes(moved) == list(THREE_VOTERS)
    assert moved.get("b#1").address == "moved"


# A control VM that was only paused was left out for good while its process ran on.
def test_replica_gets_back_in_unless_it_was_removed_for_good():
    rest = without_member(make_set(*THREE_VOTERS), "c#1", may_rejoin=True)
    returning = Member("c#1", "c", "c#1", True)
    assert with_joined_member(rest, returning).learners == ("c#1",)
    rest = without_member(make_set(*THREE_VOTERS), "c#1")
    assert with_joined_member(rest, returning) == rest
    replaced = next_change(make_set(*THREE_VOTERS, ("c#2", False)), {"c#2"})
    assert with_joined_member(replaced, returning) == replaced
    assert decode_replicas(encode_replicas(replaced)).removed == ("c#1",)


def test_list_of_removed_replicas_is_limited_and_kept_by_snapshots():
    replicas = make_set(*THREE_VOTERS)
    names = [f"r{number}#1" for number in range(MAX_REMOVED + 1)]
    for name in names:
        replicas = without_member(replicas, name)
    assert replicas.removed == tuple(names[1:])
    head = SnapshotHead(5, 2, replicas, 0)
    assert RECORDS.decode(RECORDS.encode(head)).replicas == replicas


def test_number_of_voters_is_limited():
    voters = tuple((f"r{n}#1", True) for n in range(MAX_VOTERS))
    assert next_change(make_set(*voters, ("new#1", False)), {"new#1"}) is None


# The growth of a set was known only to processes that had seen it.
def test_growth_since_the_set_settled_is_part_of_the_set():
    settled = as_settled(make_set(*THREE_VOTERS))
    joined = with_joined_member(settled, Member("d#1", "d", "new", False))
    assert (joined.surplus_voters, joined.has_learners) == (0, True)
    grown = decode_replicas(encode_replicas(next_change(joined, {"d#1"})))
    assert (grown.surplus_voters, grown.has_learners) == (1, False)
    assert without_member(grown, "a#1").surplus_voters == 0
    assert make_set(*THREE_VOTERS).surplus_voters == 0
