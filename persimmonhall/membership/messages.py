"""Define the membership messages that nodes exchange."""

import struct
from dataclasses import dataclass
from enum import Enum, IntEnum
from functools import lru_cache
from pathlib import Path

from returns.result import Failure

from persimmonhall.address import parse_address
from persimmonhall.ids import InstanceId, LogIndex, NodeName, ServiceName, ZoneName
from persimmonhall.wire.codec import (
    Packer,
    UnionCodec,
    decode,
    encode,
    load_schema,
    register_packer,
)

SCHEMA = load_schema(Path(__file__).with_name("messages.capnp"))
# Health, state, incarnation, version, slots and the lengths of the five texts.
NEWS_HEADER = struct.Struct("<BBQQI5B")
# The key of a departure, birth and sequence; the instance follows to the end.
DEPARTURE_HEADER = struct.Struct("<QQqq")
MAX_DEPARTURE_NUMBER = 2**63 - 1
MAX_TEXT_BYTES = 255
# Well below what a record can hold; no server has as many.
MAX_SLOTS = 1_000_000
# The same news passes a node several times, in datagrams of different peers.
MAX_CACHED_NEWS = 8192


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
class Departure:
    """Name the last report up to which an instance is known to leave its node.

    It is kept by all members for the node, which forgets it when it restarts. The
    departures of a node are ordered by the version of the record that announced them.
    """

    announced_by: tuple[int, int]
    instance: InstanceId
    born_ms: int
    sequence: int


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
    departure: Departure | None = None

    @property
    def version_key(self) -> tuple[int, int]:
        """Return the key by which records of one node are ordered."""
        return (self.incarnation, self.version)

    def knows_later_departure(self, other: "Member") -> bool:
        """Return whether another record of the node lacks the departure of this one."""
        if self.departure is None:
            return False
        if other.departure is None:
            return True
        return self.departure.announced_by > other.departure.announced_by


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


class ReportTopic(IntEnum):
    """Identify what a report is about, and so the module that reads it."""

    LEVELS = 0
    COUNTS = 1
    TOTALS = 2
    HEALTH = 3
    SUSPECTS = 4


@dataclass(frozen=True, slots=True)
class NodeReport:
    """Carry what a node has observed; the payload is defined by the topic's module.

    Reports may be lost, repeated and reordered.
    """

    topic: int
    sender: NodeName
    payload: bytes


Datagram = Ping | Ack | PingRequest | Spread | NodeReport


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


@lru_cache(MAX_CACHED_NEWS)
def pack_news(news: News) -> bytes:
    """Encode the record and health of a node; raise ValueError if a text is long."""
    member = news.member
    texts = [
        text.encode()
        for text in (
            member.node,
            member.zone,
            member.region,
            member.frames,
            member.service,
        )
    ]
    if any(len(text) > MAX_TEXT_BYTES for text in texts):
        raise ValueError(f"a text of {member} is over {MAX_TEXT_BYTES} bytes")
    header = NEWS_HEADER.pack(
        news.health.value,
        _STATES.index(member.state),
        member.incarnation,
        member.version,
        member.slots,
        *map(len, texts),
    )
    return b"".join((header, *texts, _pack_departure(member.departure)))


def _pack_departure(departure: Departure | None) -> bytes:
    if departure is None:
        return b""
    instance = departure.instance.encode()
    header = DEPARTURE_HEADER.pack(
        *departure.announced_by, departure.born_ms, departure.sequence
    )
    return header + instance


def _unpack_departure(data: bytes) -> Departure | None:
    if not data:
        return None
    *announced_by, born_ms, sequence = DEPARTURE_HEADER.unpack_from(data)
    instance = data[DEPARTURE_HEADER.size :]
    if not 0 < len(instance) <= MAX_TEXT_BYTES:
        raise ValueError(f"an instance id of {len(instance)} bytes")
    return Departure(
        tuple(announced_by), InstanceId(instance.decode()), born_ms, sequence
    )


@lru_cache(MAX_CACHED_NEWS)
def unpack_news(data: bytes) -> News:
    """Decode the record and health of a node; raise ValueError on damaged bytes."""
    try:
        health, state, incarnation, version, slots, *sizes = NEWS_HEADER.unpack_from(
            data
        )
        texts, start = [], NEWS_HEADER.size
        for size in sizes:
            texts.append(data[start : start + size].decode())
            start += size
        node, zone, region, frames, service = texts
        if start > len(data):
            raise ValueError(f"{len(data)} bytes instead of {start}")
        if max(incarnation, version) > MAX_DEPARTURE_NUMBER:
            # Its node could not raise the number to refute the record.
            raise ValueError("an incarnation or version is out of range")
        member = Member(
            NodeName(node),
            ZoneName(zone),
            region,
            frames,
            incarnation,
            version,
            ServiceName(service),
            slots,
            _STATES[state],
            _unpack_departure(data[start:]),
        )
        news = News(member, Health(health))
    except (struct.error, IndexError, ValueError) as error:
        raise ValueError(f"damaged message: {error}") from error
    match parse_address(frames):
        case Failure(reason):
            raise ValueError(reason)
    return news


def _pack_member(member: Member) -> bytes:
    return pack_news(News(member))


def _unpack_member(data: bytes) -> Member:
    return unpack_news(data).member


_STATES = tuple(MemberState)
register_packer(News, Packer(pack_news, unpack_news))
register_packer(Member, Packer(_pack_member, _unpack_member))
DATAGRAMS = UnionCodec(SCHEMA.Datagram, (Ping, Ack, PingRequest, Spread, NodeReport))
SYNC_REQUESTS = UnionCodec(SCHEMA.SyncAsk, (CompareDigests, PushNews))


def encode_differences(differences: Differences) -> bytes:
    """Encode differences as bytes."""
    return encode(SCHEMA.Differences, differences)


def decode_differences(data: bytes) -> Differences:
    """Decode differences; raise ValueError on damaged bytes."""
    return decode(SCHEMA.Differences, Differences, data)
