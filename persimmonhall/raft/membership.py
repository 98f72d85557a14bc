"""Compute changes of the replica set, at most one voter per change."""

from collections.abc import Container
from dataclasses import replace

from persimmonhall.ids import ReplicaId
from persimmonhall.raft.messages import Member, ReplicaSet

MAX_VOTERS = 7
MAX_REMOVED = 50


def with_joined_member(replicas: ReplicaSet, joined: Member) -> ReplicaSet:
    """Add a learner that was not removed, or update the address of a member."""
    known = replicas.get(joined.id)
    if known is not None:
        moved = replace(known, address=joined.address)
        return _with_replaced_member(replicas, moved)
    if joined.id in replicas.removed:
        return replicas
    kept = tuple(m for m in replicas.members if m.voter or m.name != joined.name)
    learner = replace(joined, voter=False)
    return replace(replicas, members=(*kept, learner))


def without_member(
    replicas: ReplicaSet, replica: ReplicaId, *, may_rejoin: bool = False
) -> ReplicaSet:
    """Return the replica set without a member, by default for good."""
    kept = tuple(m for m in replicas.members if m.id != replica)
    removed = replicas.removed
    if not may_rejoin and replica not in removed:
        removed = (*removed, replica)[-MAX_REMOVED:]
    return replace(replicas, members=kept, removed=removed)


def as_settled(replicas: ReplicaSet) -> ReplicaSet:
    """Return the replica set with its voters counted as the settled ones."""
    return replace(replicas, settled_voters=len(replicas.voters))


def next_change(
    replicas: ReplicaSet, caught_up: Container[ReplicaId]
) -> ReplicaSet | None:
    """Return the next change towards promoting a caught-up learner, if there is one."""
    for member in replicas.members:
        if member.voter or member.id not in caught_up:
            continue
        for other in replicas.members:
            if other.name == member.name and other.id != member.id:
                return without_member(replicas, other.id)
        if len(replicas.voters) < MAX_VOTERS:
            return _with_replaced_member(replicas, replace(member, voter=True))
    return None


def _with_replaced_member(replicas: ReplicaSet, member: Member) -> ReplicaSet:
    members = tuple(member if m.id == member.id else m for m in replicas.members)
    return replace(replicas, members=members)
