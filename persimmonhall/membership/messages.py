"""Define the membership messages that nodes exchange."""

from dataclasses import dataclass
from enum import Enum
from pathlib import Path

from persimmonhall.ids import LogIndex, NodeName, ServiceName, ZoneName
from persimmonhall.wire.codec import UnionCodec, decode, encode, load_schema

SCHEMA = load_schema(Path(__file__).with_name("messages.capnp"))


class MemberState(Enum):
    """Describe whether a node and its backend server accept new calls."""

    EMPTY = "empty"
    READY = "ready"
    LEAVING = "leaving"


class Health(Enum):
    """Describe the health of a node; at equal record versions a higher value wins."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3

    @property
    def is_gone(self) -> bool:
        """Return whether the node no longer counts as a member."""
        return self in (Health.DEAD, Health.LEFT)


@dataclass(frozen=True, slots=True)
class Member:
    """Describe one node; its records are ordered by incarnation, then version."""

    node: NodeName
    zone: ZoneName
    region: str
    frames: str
    incarnation: int
    version: int
    service: ServiceName
    slots: int
    state: MemberState

    @property
    def version_key(self) -> tuple[int, int]:
        """Return the key by which records of one node are ordered."""
        return (self.incarnation, self.version)


@dataclass(frozen=True, slots=True)
class News:
    """Pair the record of a node with its health as seen by peers."""

    member: Member
    health: Health = Health.ALIVE

    @property
    def precedence(self) -> tuple[int, int, int]:
        """Return the key by which gossip updates of one node are ordered."""
        return (*self.member.version_key, self.health.value)


@dataclass(frozen=True, slots=True)
class Ping:
    """Probe a node; with an empty target any receiver answers."""

    sequence: int
    target: NodeName
    sender: Member
    documents: LogIndex
    news: tuple[News, ...]


@dataclass(frozen=True, slots=True)
class Ack:
    """Answer a probe."""

    sequence: int
    sender: Member
    documents: LogIndex
    news: tuple[News, ...]


@dataclass(frozen=True, slots=True)
class PingRequest:
    """Ask a node to probe a target and forward its ack."""

    sequence: int
    target: NodeName
    address: str
    reply_to: str


@dataclass(frozen=True, slots=True)
class Spread:
    """Propagate gossip updates without expecting an answer."""

    sender: NodeName
    address: str
    documents: LogIndex
    news: tuple[News, ...]


Datagram = Ping | Ack | PingRequest | Spread


@dataclass(frozen=True, slots=True)
class CompareDigests:
    """Start a synchronisation with one digest per bucket of nodes."""

    digests: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class PushNews:
    """Send the updates of the differing buckets back to the peer."""

    news: tuple[News, ...]


@dataclass(frozen=True, slots=True)
class Differences:
    """Answer with the buckets that differ and all updates in them."""

    buckets: tuple[int, ...]
    news: tuple[News, ...]


DATAGRAMS = UnionCodec(SCHEMA.Datagram, (Ping, Ack, PingRequest, Spread))
SYNC_REQUESTS = UnionCodec(SCHEMA.SyncAsk, (CompareDigests, PushNews))


def encode_differences(differences: Differences) -> bytes:
    """Encode differences as bytes."""
    return encode(SCHEMA.Differences, differences)


def decode_differences(data: bytes) -> Differences:
    """Decode differences; raise ValueError on damaged bytes."""
    return decode(SCHEMA.Differences, Differences, data)
