"""Queue the calls at a gate by urgency and choose which one to refuse."""

from collections import deque
from dataclasses import dataclass, field
from typing import Generic, TypeVar

T = TypeVar("T")

# Rank of the calls of a running request: refusing one wastes the work of the others.
NESTED_RANK = -1


@dataclass(eq=False)
class Waiting(Generic[T]):
    """Describe one queued call; times are seconds of the event loop's clock.

    Calls start in the order of `target_start`. A call that has not started by
    `latest_start` is refused.
    """

    item: T
    rank: int
    start_by: float
    latest_start: float
    is_gone: bool = field(default=False)


class UrgencyLine(Generic[T]):
    """Start calls by target start; under overload refuse the least urgent rank."""

    def __init__(self):
        self._ranks: dict[int, deque[Waiting[T]]] = {}
        self._count = 0

    def __len__(self) -> int:
        """Return the number of queued calls."""
        return self._count

    def add(self, waiting: Waiting[T]) -> None:
        """Add a call at the end of its rank's queue."""
        self._ranks.setdefault(waiting.rank, deque()).append(waiting)
        self._count += 1

    def remove(self, waiting: Waiting[T]) -> None:
        """Remove a call from any position; ignore one that was removed before."""
        if not waiting.is_gone:
            waiting.is_gone = True
            self._count -= 1

    def pop_first(self) -> Waiting[T] | None:
        """Remove and return the call to start next, or None."""
        best: Waiting[T] | None = None
        for line in self._ranks.values():
            while line and line[0].is_gone:
                line.popleft()
            if line and (best is None or line[0].start_by < best.start_by):
                best = line[0]
        if best is not None:
            self.remove(best)
        return best

    def pop_least_urgent(self, than: int) -> Waiting[T] | None:
        """Remove and return the newest call of the least urgent rank below a rank."""
        for rank in sorted(self._ranks, reverse=True):
            if rank <= than:
                return None
            line = self._ranks[rank]
            while line and line[-1].is_gone:
                line.pop()
            if line:
                waiting = line.pop()
                self.remove(waiting)
                return waiting
        return None

    def pop_overdue(self, now: float) -> list[Waiting[T]]:
        """Remove and return the calls whose latest start has passed."""
        overdue = []
        for line in self._ranks.values():
            overdue += [w for w in line if not w.is_gone and w.latest_start <= now]
        for waiting in overdue:
            self.remove(waiting)
        return overdue

    def pop_all(self) -> list[Waiting[T]]:
        """Remove and return all calls."""
        waiting = [w for line in self._ranks.values() for w in line if not w.is_gone]
        for item in waiting:
            self.remove(item)
        self._ranks.clear()
        return waiting
