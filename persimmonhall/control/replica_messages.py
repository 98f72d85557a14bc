"""Define what control VMs say to each other."""

from dataclasses import dataclass
from pathlib import Path

from persimmonhall.control.messages import Declined
from persimmonhall.ids import LogIndex, NodeName, ReplicaId
from persimmonhall.wire.codec import Union, load_schema

SCHEMA = load_schema(Path(__file__).with_name("replica.capnp"))


@dataclass(frozen=True)
class Packet:
    """Carry one message of the replication protocol."""

    cluster: str
    sender: ReplicaId
    reply_to: str
    recipient: ReplicaId
    message: bytes


@dataclass(frozen=True)
class Join:
    """Ask to be taken into the replica set, or to be known by a new address."""

    id: ReplicaId
    name: NodeName
    address: str
    relayed: bool = False


@dataclass(frozen=True)
class Forward:
    """Ask the leader to append a command."""

    command: bytes


@dataclass(frozen=True)
class ReadIndex:
    """Ask the leader which index a read must wait for."""


@dataclass(frozen=True)
class Remove:
    """Ask the leader to remove a replica."""

    name: NodeName


@dataclass(frozen=True)
class Received:
    """Answer with the cluster that the replica belongs to, if any."""

    cluster: str


@dataclass(frozen=True)
class Forwarded:
    """Answer with the reply of an accepted command."""

    reply: bytes


@dataclass(frozen=True)
class ReadAt:
    """Answer with the index that a read must wait for."""

    index: LogIndex


PEER_ASKS = Union(SCHEMA.Ask, (Packet, Join, Forward, ReadIndex, Remove))
PEER_REPLIES = Union(SCHEMA.Reply, (Received, Forwarded, ReadAt, Declined))
