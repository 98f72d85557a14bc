"""Track the executions on the local backend server that are still awaited."""

from collections.abc import Iterator
from contextlib import contextmanager

import trio

MAX_CANCELLED_EXECUTIONS = 10_000


class ExecutionTracker:
    """Hold the deadlines of running executions and the cancelled ones."""

    def __init__(self):
        self._deadlines: dict[str, float] = {}
        self._cancelled: dict[str, None] = {}

    @contextmanager
    def track(self, execution: str, deadline: float) -> Iterator[None]:
        """Track an execution until it ends and remember it if it is cancelled."""
        self._deadlines[execution] = deadline
        try:
            yield
        except trio.Cancelled:
            self._mark_cancelled(execution)
            raise
        finally:
            del self._deadlines[execution]

    def remaining_ms(self, execution: str, now: float) -> int | None:
        """Return the time left for calls of an execution; None if it is unknown."""
        if execution in self._cancelled:
            return 0
        deadline = self._deadlines.get(execution)
        return None if deadline is None else max(0, int((deadline - now) * 1000))

    def _mark_cancelled(self, execution: str) -> None:
        self._cancelled[execution] = None
        if len(self._cancelled) > MAX_CANCELLED_EXECUTIONS:
            del self._cancelled[next(iter(self._cancelled))]
