"""Define what nodes tell each other of themselves and of others."""

from dataclasses import dataclass
from enum import Enum
from pathlib import Path

from persimmonhall.ids import LogIndex, NodeName, ServiceName, ZoneName
from persimmonhall.wire.codec import Union, decode, encode, load_schema

SCHEMA = load_schema(Path(__file__).with_name("messages.capnp"))


class MemberState(Enum):
    """Tell whether a node and its backend server take new calls."""

    EMPTY = "empty"
    READY = "ready"
    LEAVING = "leaving"


class Health(Enum):
    """Tell what peers hold of a node; a higher value wins at equal order."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3

    @property
    def is_gone(self) -> bool:
        """Tell whether the node counts as a member no more."""
        return self in (Health.DEAD, Health.LEFT)


@dataclass(frozen=True, slots=True)
class Member:
    """Describe one node; incarnation and version order its records."""

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
    def order(self) -> tuple[int, int]:
        """Return what tells the newer of two records."""
        return (self.incarnation, self.version)


@dataclass(frozen=True, slots=True)
class News:
    """Pair a record with the health that peers hold of the node."""

    member: Member
    health: Health = Health.ALIVE

    @property
    def rank(self) -> tuple[int, int, int]:
        """Return what tells the newer of two pieces of news of one node."""
        return (*self.member.order, self.health.value)


@dataclass(frozen=True, slots=True)
class Ping:
    """Probe a node; an empty target takes an answer from any node."""

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
    """Ask a node to probe a target and to pass its answer on."""

    sequence: int
    target: NodeName
    address: str
    reply_to: str


@dataclass(frozen=True, slots=True)
class Spread:
    """Pass news on without waiting for an answer."""

    sender: NodeName
    address: str
    documents: LogIndex
    news: tuple[News, ...]


Datagram = Ping | Ack | PingRequest | Spread


@dataclass(frozen=True, slots=True)
class CompareDigests:
    """Open a synchronisation with one digest per bucket of nodes."""

    digests: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class PushNews:
    """Give the answering side what it missed."""

    news: tuple[News, ...]


@dataclass(frozen=True, slots=True)
class Differences:
    """Answer with the buckets that differ and all news in them."""

    buckets: tuple[int, ...]
    news: tuple[News, ...]


DATAGRAMS = Union(SCHEMA.Datagram, (Ping, Ack, PingRequest, Spread))
SYNC_ASKS = Union(SCHEMA.SyncAsk, (CompareDigests, PushNews))


def encode_differences(differences: Differences) -> bytes:
    """Write differences as bytes."""
    return encode(SCHEMA.Differences, differences)


def decode_differences(data: bytes) -> Differences:
    """Read differences; raise ValueError on damaged bytes."""
    return decode(SCHEMA.Differences, Differences, data)
