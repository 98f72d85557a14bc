"""Queue requests in starting order and by their latest start."""

import heapq
from bisect import bisect_left, insort
from dataclasses import dataclass

from persimmonhall.admission.messages import Ticket
from persimmonhall.admission.order import Order
from persimmonhall.ids import TicketId

STALE_ENTRIES = 64


@dataclass(frozen=True, slots=True)
class Waiting:
    """Describe a queued request; times in monotonic seconds."""

    order: Order
    ticket: Ticket
    arrived: float
    latest_start: float


class WaitingLine:
    """Find the first, the last and the overdue request without a full scan."""

    def __init__(self):
        self._orders: list[Order] = []
        self._waiting: dict[TicketId, Waiting] = {}
        self._due: list[tuple[float, TicketId]] = []

    def __len__(self) -> int:
        """Return the number of queued requests."""
        return len(self._orders)

    def __contains__(self, ticket: TicketId) -> bool:
        """Return whether a request is queued."""
        return ticket in self._waiting

    def add(self, waiting: Waiting) -> int:
        """Add a request and return how many are ahead of it."""
        insort(self._orders, waiting.order)
        self._waiting[waiting.ticket.id] = waiting
        heapq.heappush(self._due, (waiting.latest_start, waiting.ticket.id))
        self._drop_stale()
        return bisect_left(self._orders, waiting.order)

    def remove(self, ticket: TicketId) -> Waiting | None:
        """Remove and return a request, or return None if it isn't queued."""
        waiting = self._waiting.pop(ticket, None)
        if waiting is not None:
            del self._orders[bisect_left(self._orders, waiting.order)]
        return waiting

    def pop_best(self) -> Waiting:
        """Remove and return the request that starts first."""
        return self._waiting.pop(self._orders.pop(0).ticket)

    @property
    def worst(self) -> Waiting:
        """Return the request that starts last."""
        return self._waiting[self._orders[-1].ticket]

    def pop_overdue(self, now: float) -> Waiting | None:
        """Remove and return a request whose latest start has passed, or None."""
        due = self.next_due
        if due is None or due > now:
            return None
        return self.remove(self._due[0][1])

    @property
    def next_due(self) -> float | None:
        """Return the minimum `latest_start` of all queued requests, or None."""
        while self._due and self._due[0][1] not in self._waiting:
            heapq.heappop(self._due)
        return self._due[0][0] if self._due else None

    def _drop_stale(self) -> None:
        if len(self._due) <= 2 * len(self._waiting) + STALE_ENTRIES:
            return
        self._due = [entry for entry in self._due if entry[1] in self._waiting]
        heapq.heapify(self._due)
