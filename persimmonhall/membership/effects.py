"""Define what the core asks the shell to do."""

from dataclasses import dataclass
from functools import lru_cache

from persimmonhall.address import Address, parse_address
from persimmonhall.ids import LogIndex, NodeName
from persimmonhall.membership.messages import Datagram, News

CACHED_ADDRESSES = 4096


@lru_cache(CACHED_ADDRESSES)
def address_of(text: str) -> Address:
    """Return the address that a checked record names."""
    return parse_address(text).unwrap()


@dataclass(frozen=True, slots=True)
class Send:
    """Ask the shell to send a datagram."""

    address: Address
    datagram: Datagram


@dataclass(frozen=True, slots=True)
class Synchronise:
    """Ask the shell to compare all news with a node."""

    address: Address


@dataclass(frozen=True, slots=True)
class HealthChanged:
    """Tell that the health held of a node changed."""

    news: News


@dataclass(frozen=True, slots=True)
class DocumentsSeen:
    """Tell how far the documents of a node reach."""

    sender: NodeName
    address: Address
    documents: LogIndex


Effect = Send | Synchronise | HealthChanged | DocumentsSeen
