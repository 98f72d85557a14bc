"""Create the initial state of a new cluster."""

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
    """Return a new, unique disk id."""
    return ReplicaId(f"{name}#{uuid.uuid4().hex}")


def make_initial_state(
    replica_id: ReplicaId, name: NodeName, address: Address
) -> PersistedState:
    """Return the initial log of a cluster whose only voter is this replica."""
    member = Member(replica_id, name, str(address), True)
    replicas = ReplicaSet(uuid.uuid4().hex, (member,))
    data = encode_replicas(replicas)
    entry = Entry(LogIndex(1), Term(1), EntryKind.REPLICAS, data)
    return PersistedState(HardState(Term(1), NO_VOTE), None, (entry,))
