"""Order requests the same way at every gate of a call chain."""

from typing import NamedTuple

import xxhash

from persimmonhall.admission.messages import Ticket
from persimmonhall.document.schema import Worth
from persimmonhall.ids import RootId, TicketId

HASH_RANGE = 2**64
WORTHS_BY_RANK = tuple(Worth)


class OrderKey(NamedTuple):
    """Sort by worth, then nested calls before root requests, then the root's hash."""

    worth_rank: int
    is_root_request: bool
    root_hash: int
    ticket_id: TicketId


def order_key(ticket: Ticket) -> OrderKey:
    """Return the sort key of a ticket; the smallest starts first."""
    is_root_request = ticket.depth == 0
    return OrderKey(
        ticket.worth.rank, is_root_request, root_hash(ticket.root), ticket.id
    )


def root_hash(root: RootId) -> int:
    """Return the position of a root within its worth, the same on every node."""
    return xxhash.xxh3_64_intdigest(root.encode())


def root_hash_fraction(root: RootId) -> float:
    """Return the position of a root within its worth as a fraction in [0, 1)."""
    return root_hash(root) / HASH_RANGE


def demote(worth: Worth) -> Worth:
    """Return the worth one rank lower; the lowest stays."""
    return WORTHS_BY_RANK[min(worth.rank + 1, len(WORTHS_BY_RANK) - 1)]
