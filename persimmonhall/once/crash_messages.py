"""Define what nodes tell each other of requests that crash backend servers."""

from dataclasses import dataclass
from enum import Enum
from pathlib import Path

from persimmonhall.ids import DeathId, Fingerprint, ServiceName
from persimmonhall.wire.codec import decode, encode, load_schema

SCHEMA = load_schema(Path(__file__).with_name("crashes.capnp"))


class Suspicion(Enum):
    """Tell how a request is treated because of backend servers that died."""

    NONE = "none"
    SUSPECT = "suspect"
    QUARANTINED = "quarantined"


@dataclass(frozen=True)
class Death:
    """Record one death of a backend server and how long ago it was."""

    id: DeathId
    age_ms: int
    cleared: bool = False


@dataclass(frozen=True)
class Suspect:
    """Name a request that was in flight at deaths."""

    fingerprint: Fingerprint
    service: ServiceName
    request: str
    deaths: tuple[Death, ...]


@dataclass(frozen=True)
class SuspectNews:
    """Carry suspects and the digest of all that the sender knows."""

    digest: int
    suspects: tuple[Suspect, ...]


def encode_news(news: SuspectNews) -> bytes:
    """Write news as bytes."""
    return encode(SCHEMA.SuspectNews, news)


def decode_news(data: bytes) -> SuspectNews:
    """Read news; raise ValueError on damaged bytes."""
    return decode(SCHEMA.SuspectNews, SuspectNews, data)
