"""Queue the calls at a gate by urgency and choose which one to refuse."""

from collections import deque
from dataclasses import dataclass, field
from typing import Generic, TypeVar

T = TypeVar("T")

# Rank of the calls of a running request: refusing one wastes the work of the others.
NESTED_RANK = -1


@dataclass(eq=False)
class QueuedCall(Generic[T]):
    """Describe one queued call; times are seconds of the event loop's clock.

    Calls start in the order of `target_start`. A call that has not started by
    `latest_start` is refused.
    """

    item: T
    rank: int
    target_start: float
    latest_start: float
    is_removed: bool = field(default=False)


class UrgencyQueue(Generic[T]):
    """Start calls by target start; under overload refuse the least urgent rank."""

    def __init__(self):
        self._queues_by_rank: dict[int, deque[QueuedCall[T]]] = {}
        self._count = 0

    def __len__(self) -> int:
        """Return the number of queued calls."""
        return self._count

    def add(self, call: QueuedCall[T]) -> None:
        """Add a call at the end of its rank's queue."""
        self._queues_by_rank.setdefault(call.rank, deque()).append(call)
        self._count += 1

    def remove(self, call: QueuedCall[T]) -> None:
        """Remove a call from any position; ignore one that was removed before."""
        if not call.is_removed:
            call.is_removed = True
            self._count -= 1

    def pop_first(self) -> QueuedCall[T] | None:
        """Remove and return the call to start next, or None."""
        best: QueuedCall[T] | None = None
        for queue in self._queues_by_rank.values():
            while queue and queue[0].is_removed:
                queue.popleft()
            if queue and (best is None or queue[0].target_start < best.target_start):
                best = queue[0]
        if best is not None:
            self.remove(best)
        return best

    def pop_least_urgent(self, below_rank: int) -> QueuedCall[T] | None:
        """Remove and return the newest call of the least urgent rank below a rank."""
        for rank in sorted(self._queues_by_rank, reverse=True):
            if rank <= below_rank:
                return None
            queue = self._queues_by_rank[rank]
            while queue and queue[-1].is_removed:
                queue.pop()
            if queue:
                call = queue.pop()
                self.remove(call)
                return call
        return None

    def pop_overdue(self, now: float) -> list[QueuedCall[T]]:
        """Remove and return the calls whose latest start has passed."""
        overdue = []
        for queue in self._queues_by_rank.values():
            overdue += [
                call
                for call in queue
                if not call.is_removed and call.latest_start <= now
            ]
        for call in overdue:
            self.remove(call)
        return overdue

    def pop_all(self) -> list[QueuedCall[T]]:
        """Remove and return all calls."""
        calls = [
            call
            for queue in self._queues_by_rank.values()
            for call in queue
            if not call.is_removed
        ]
        for call in calls:
            self.remove(call)
        self._queues_by_rank.clear()
        return calls
