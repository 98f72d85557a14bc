"""Define what nodes tell each other of themselves."""

from dataclasses import dataclass
from enum import Enum
from pathlib import Path

from persimmonhall.ids import NodeName, ServiceName, ZoneName
from persimmonhall.wire.codec import decode, encode, load_schema

SCHEMA = load_schema(Path(__file__).with_name("messages.capnp"))


class MemberState(Enum):
    """Tell whether a node and its backend server take new calls."""

    EMPTY = "empty"
    READY = "ready"
    LEAVING = "leaving"


@dataclass(frozen=True)
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


@dataclass(frozen=True)
class Gossip:
    """Carry the members that a node knows."""

    members: tuple[Member, ...]


def encode_gossip(gossip: Gossip) -> bytes:
    """Write gossip as bytes."""
    return encode(SCHEMA.Gossip, gossip)


def decode_gossip(data: bytes) -> Gossip:
    """Read gossip; raise ValueError on damaged bytes."""
    return decode(SCHEMA.Gossip, Gossip, data)
