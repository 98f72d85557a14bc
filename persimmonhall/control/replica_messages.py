"""Define the messages between control VMs."""

from dataclasses import dataclass
from pathlib import Path

from persimmonhall.control.messages import Declined
from persimmonhall.ids import LogIndex, NodeName, ReplicaId
from persimmonhall.wire.codec import UnionCodec, load_schema

SCHEMA = load_schema(Path(__file__).with_name("replica.capnp"))


@dataclass(frozen=True)
class Packet:
    """Hold one Raft message and its addressing."""

    cluster: str
    sender: ReplicaId
    reply_to: str
    recipient: ReplicaId
    message: bytes


@dataclass(frozen=True)
class Join:
    """Request to join the replica set or to change the address in it.

    The cluster is empty if the replica belongs to none yet.
    """

    id: ReplicaId
    name: NodeName
    address: str
    relayed: bool = False
    cluster: str = ""


@dataclass(frozen=True)
class Forward:
    """Request that the leader append a command."""

    command: bytes


@dataclass(frozen=True)
class ReadIndex:
    """Request the index that a read must wait for from the leader."""


@dataclass(frozen=True)
class Remove:
    """Request that the leader remove a replica."""

    name: NodeName


@dataclass(frozen=True)
class Received:
    """Return the cluster that the replica belongs to, if any."""

    cluster: str


@dataclass(frozen=True)
class Forwarded:
    """Return the reply to an accepted command."""

    reply: bytes


@dataclass(frozen=True)
class ReadAt:
    """Return the index that a read must wait for."""

    index: LogIndex


PEER_REQUESTS = UnionCodec(SCHEMA.Ask, (Packet, Join, Forward, ReadIndex, Remove))
PEER_REPLIES = UnionCodec(SCHEMA.Reply, (Received, Forwarded, ReadAt, Declined))
