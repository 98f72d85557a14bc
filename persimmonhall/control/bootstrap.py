"""Make the first state of a new cluster."""

import uuid

from persimmonhall.address import Address
from persimmonhall.ids import LogIndex, NodeName, ReplicaId, Term
from persimmonhall.raft.log import encode_replicas
from persimmonhall.raft.messages import (
    NO_VOTE,
    Entry,
    EntryKind,
    HardState,
    Member,
    ReplicaSet,
)
from persimmonhall.raft.state import PersistedState


def new_disk_id(name: NodeName) -> ReplicaId:
    """Make an id that no other disk has."""
    return ReplicaId(f"{name}#{uuid.uuid4().hex}")


def first_state(
    replica_id: ReplicaId, name: NodeName, address: Address
) -> PersistedState:
    """Return the log of a cluster with this replica as its only voter."""
    member = Member(replica_id, name, str(address), True)
    replicas = ReplicaSet(uuid.uuid4().hex, (member,))
    data = encode_replicas(replicas)
    entry = Entry(LogIndex(1), Term(1), EntryKind.REPLICAS, data)
    return PersistedState(HardState(Term(1), NO_VOTE), None, (entry,))
