"""Define the gossip updates about requests that crash backend servers."""

from dataclasses import dataclass
from enum import Enum
from pathlib import Path

from persimmonhall.ids import DeathId, Fingerprint, ServiceName
from persimmonhall.wire.codec import decode, encode, load_schema

SCHEMA = load_schema(Path(__file__).with_name("crashes.capnp"))


class Suspicion(Enum):
    """List how a request is treated after deaths of backend servers that ran it."""

    NONE = "none"
    SUSPECT = "suspect"
    QUARANTINED = "quarantined"


@dataclass(frozen=True)
class Death:
    """Describe one death of a backend server and its age in milliseconds."""

    id: DeathId
    age_ms: int
    cleared: bool = False


@dataclass(frozen=True)
class Suspect:
    """Describe a request that was in flight when backend servers died."""

    fingerprint: Fingerprint
    service: ServiceName
    request: str
    deaths: tuple[Death, ...]


@dataclass(frozen=True)
class SuspectNews:
    """Carry some suspects and the digest of the sender's whole table."""

    digest: int
    suspects: tuple[Suspect, ...]


def encode_news(news: SuspectNews) -> bytes:
    """Encode a gossip update."""
    return encode(SCHEMA.SuspectNews, news)


def decode_news(data: bytes) -> SuspectNews:
    """Decode a gossip update; raise ValueError on damaged bytes."""
    return decode(SCHEMA.SuspectNews, SuspectNews, data)
