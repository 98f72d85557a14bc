"""Keep the requests that wait, in order and by the time they must start."""

import heapq
from bisect import bisect_left, insort
from dataclasses import dataclass

from persimmonhall.admission.messages import Ticket
from persimmonhall.admission.order import Order
from persimmonhall.ids import TicketId

STALE_ENTRIES = 64


@dataclass(frozen=True, slots=True)
class Waiting:
    """Hold a queued ticket; times in monotonic seconds."""

    order: Order
    ticket: Ticket
    arrived: float
    latest_start: float


class WaitingLine:
    """Find the best, the worst and the overdue ticket without a full scan."""

    def __init__(self):
        self._orders: list[Order] = []
        self._waiting: dict[TicketId, Waiting] = {}
        self._due: list[tuple[float, TicketId]] = []

    def __len__(self) -> int:
        """Return the number of tickets that wait."""
        return len(self._orders)

    def __contains__(self, ticket: TicketId) -> bool:
        """Tell whether a ticket waits."""
        return ticket in self._waiting

    def add(self, waiting: Waiting) -> int:
        """Take in a ticket and return how many stand before it."""
        insort(self._orders, waiting.order)
        self._waiting[waiting.ticket.id] = waiting
        heapq.heappush(self._due, (waiting.latest_start, waiting.ticket.id))
        self._drop_stale()
        return bisect_left(self._orders, waiting.order)

    def remove(self, ticket: TicketId) -> Waiting | None:
        """Take out a ticket, or return None if it does not wait."""
        waiting = self._waiting.pop(ticket, None)
        if waiting is not None:
            del self._orders[bisect_left(self._orders, waiting.order)]
        return waiting

    def pop_best(self) -> Waiting:
        """Take out the ticket that starts first."""
        return self._waiting.pop(self._orders.pop(0).ticket)

    @property
    def worst(self) -> Waiting:
        """Return the ticket that starts last."""
        return self._waiting[self._orders[-1].ticket]

    def pop_overdue(self, now: float) -> Waiting | None:
        """Take out a ticket whose latest start has passed."""
        due = self.next_due
        if due is None or due > now:
            return None
        return self.remove(self._due[0][1])

    @property
    def next_due(self) -> float | None:
        """Return the earliest latest start of all tickets."""
        while self._due and self._due[0][1] not in self._waiting:
            heapq.heappop(self._due)
        return self._due[0][0] if self._due else None

    def _drop_stale(self) -> None:
        if len(self._due) <= 2 * len(self._waiting) + STALE_ENTRIES:
            return
        self._due = [entry for entry in self._due if entry[1] in self._waiting]
        heapq.heapify(self._due)
