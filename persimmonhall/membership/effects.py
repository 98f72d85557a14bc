"""Define the effects that the membership core returns to its caller."""

from dataclasses import dataclass
from functools import lru_cache

from persimmonhall.address import Address, parse_address
from persimmonhall.ids import LogIndex, NodeName
from persimmonhall.membership.messages import Datagram, Departure, News

MAX_CACHED_ADDRESSES = 4096


@lru_cache(MAX_CACHED_ADDRESSES)
def address_of(text: str) -> Address:
    """Return the parsed form of an address that was checked on receipt."""
    return parse_address(text).unwrap()


@dataclass(frozen=True, slots=True)
class Send:
    """Request that a datagram is sent."""

    address: Address
    datagram: Datagram


@dataclass(frozen=True, slots=True)
class Synchronise:
    """Request a full synchronisation with a node."""

    address: Address


@dataclass(frozen=True, slots=True)
class HealthChanged:
    """Report a change in the known health of a node."""

    news: News


@dataclass(frozen=True, slots=True)
class DocumentIndexReport:
    """Report the index of the latest document that a node has."""

    sender: NodeName
    address: Address
    document_index: LogIndex


@dataclass(frozen=True, slots=True)
class PeerAnswered:
    """Report the answer to a ping; its sender has the record that came with it."""

    sequence: int


@dataclass(frozen=True, slots=True)
class DepartureLearned:
    """Report a departure that peers have kept for this node."""

    departure: Departure


Effect = (
    Send
    | Synchronise
    | HealthChanged
    | DocumentIndexReport
    | PeerAnswered
    | DepartureLearned
)
