"""Order the calls that wait at a gate and choose the one to give up."""

from collections import deque
from dataclasses import dataclass, field
from typing import Generic, TypeVar

T = TypeVar("T")

# Rank of the calls of a request that runs already: refusing one wastes the others.
NESTED_RANK = -1


@dataclass(eq=False)
class Waiting(Generic[T]):
    """Hold one call; times are seconds of the loop's clock.

    `start_by` orders the calls: it is when the call would like to have started.
    After `latest_start` it is refused.
    """

    item: T
    rank: int
    start_by: float
    latest_start: float
    is_gone: bool = field(default=False)


class UrgencyLine(Generic[T]):
    """Start first what should have started first; give up the least urgent rank."""

    def __init__(self):
        self._ranks: dict[int, deque[Waiting[T]]] = {}
        self._count = 0

    def __len__(self) -> int:
        """Return the number of calls that wait."""
        return self._count

    def add(self, waiting: Waiting[T]) -> None:
        """Take in a call."""
        self._ranks.setdefault(waiting.rank, deque()).append(waiting)
        self._count += 1

    def remove(self, waiting: Waiting[T]) -> None:
        """Take out a call, wherever it stands."""
        if not waiting.is_gone:
            waiting.is_gone = True
            self._count -= 1

    def pop_first(self) -> Waiting[T] | None:
        """Take out the call that should start first."""
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
        """Take out the newest call of the least urgent rank below a rank."""
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
        """Take out the calls that can no longer start in time."""
        overdue = []
        for line in self._ranks.values():
            overdue += [w for w in line if not w.is_gone and w.latest_start <= now]
        for waiting in overdue:
            self.remove(waiting)
        return overdue

    def pop_all(self) -> list[Waiting[T]]:
        """Take out every call."""
        waiting = [w for line in self._ranks.values() for w in line if not w.is_gone]
        for item in waiting:
            self.remove(item)
        self._ranks.clear()
        return waiting
