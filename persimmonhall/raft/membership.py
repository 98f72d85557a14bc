"""Decide the next change of the replica set, one voter at a time."""

from collections.abc import Container
from dataclasses import replace

from persimmonhall.ids import ReplicaId
from persimmonhall.raft.messages import Member, ReplicaSet

MAX_VOTERS = 7


def with_joined(replicas: ReplicaSet, joined: Member) -> ReplicaSet:
    """Add a learner, or move a known member to its new address."""
    known = replicas.get(joined.id)
    if known is not None:
        moved = replace(known, address=joined.address)
        return _with_member(replicas, moved)
    kept = tuple(m for m in replicas.members if m.voter or m.name != joined.name)
    learner = replace(joined, voter=False)
    return replace(replicas, members=(*kept, learner))


def without(replicas: ReplicaSet, replica: ReplicaId) -> ReplicaSet:
    """Remove a member."""
    kept = tuple(m for m in replicas.members if m.id != replica)
    return replace(replicas, members=kept)


def next_change(
    replicas: ReplicaSet, caught_up: Container[ReplicaId]
) -> ReplicaSet | None:
    """Return the change that brings a caught-up learner nearer to a vote."""
    for member in replicas.members:
        if member.voter or member.id not in caught_up:
            continue
        for other in replicas.members:
            if other.name == member.name and other.id != member.id:
                return without(replicas, other.id)
        if len(replicas.voters) < MAX_VOTERS:
            return _with_member(replicas, replace(member, voter=True))
    return None


def _with_member(replicas: ReplicaSet, member: Member) -> ReplicaSet:
    members = tuple(member if m.id == member.id else m for m in replicas.members)
    return replace(replicas, members=members)
