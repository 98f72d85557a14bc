"""Queue requests in starting order and by their latest start."""

import heapq
from bisect import bisect_left, insort
from dataclasses import dataclass

from persimmonhall.admission.messages import Ticket
from persimmonhall.admission.order import OrderKey
from persimmonhall.ids import TicketId

MAX_STALE_ENTRIES = 64


@dataclass(frozen=True, slots=True)
class QueuedRequest:
    """Describe a queued request; times in monotonic seconds."""

    order_key: OrderKey
    ticket: Ticket
    arrived_at: float
    latest_start: float


class RequestQueue:
    """Find the first, the last and the overdue request without a full scan."""

    def __init__(self):
        self._order_keys: list[OrderKey] = []
        self._requests: dict[TicketId, QueuedRequest] = {}
        self._latest_starts: list[tuple[float, TicketId]] = []

    def __len__(self) -> int:
        """Return the number of queued requests."""
        return len(self._order_keys)

    def __contains__(self, ticket_id: TicketId) -> bool:
        """Return whether a request is queued."""
        return ticket_id in self._requests

    def add(self, request: QueuedRequest) -> int:
        """Add a request and return how many are ahead of it."""
        insort(self._order_keys, request.order_key)
        self._requests[request.ticket.id] = request
        heapq.heappush(self._latest_starts, (request.latest_start, request.ticket.id))
        self._drop_stale_entries()
        return bisect_left(self._order_keys, request.order_key)

    def remove(self, ticket_id: TicketId) -> QueuedRequest | None:
        """Remove and return a request, or return None if it isn't queued."""
        request = self._requests.pop(ticket_id, None)
        if request is not None:
            del self._order_keys[bisect_left(self._order_keys, request.order_key)]
        return request

    def pop_first(self) -> QueuedRequest:
        """Remove and return the request that starts first."""
        return self._requests.pop(self._order_keys.pop(0).ticket_id)

    @property
    def last(self) -> QueuedRequest:
        """Return the request that starts last."""
        return self._requests[self._order_keys[-1].ticket_id]

    def pop_overdue(self, now: float) -> QueuedRequest | None:
        """Remove and return a request whose latest start has passed, or None."""
        due = self.next_latest_start
        if due is None or due > now:
            return None
        return self.remove(self._latest_starts[0][1])

    @property
    def next_latest_start(self) -> float | None:
        """Return the minimum `latest_start` of all queued requests, or None."""
        while self._latest_starts and self._latest_starts[0][1] not in self._requests:
            heapq.heappop(self._latest_starts)
        return self._latest_starts[0][0] if self._latest_starts else None

    def _drop_stale_entries(self) -> None:
        if len(self._latest_starts) <= 2 * len(self._requests) + MAX_STALE_ENTRIES:
            return
        self._latest_starts = [
            entry for entry in self._latest_starts if entry[1] in self._requests
        ]
        heapq.heapify(self._latest_starts)
