"""Track the executions on the local backend server that are still awaited."""

from collections.abc import Iterator
from contextlib import contextmanager

import trio

MAX_GIVEN_UP = 10_000


class Executions:
    """Hold the deadlines of running executions and the cancelled ones."""

    def __init__(self):
        self._deadlines: dict[str, float] = {}
        self._given_up: dict[str, None] = {}

    @contextmanager
    def running(self, execution: str, deadline: float) -> Iterator[None]:
        """Track an execution until it ends and remember it if it is cancelled."""
        self._deadlines[execution] = deadline
        try:
            yield
        except trio.Cancelled:
            self._give_up(execution)
            raise
        finally:
            del self._deadlines[execution]

    def left_ms(self, execution: str, now: float) -> int | None:
        """Return the time left for calls of an execution; None if it is unknown."""
        if execution in self._given_up:
            return 0
        deadline = self._deadlines.get(execution)
        return None if deadline is None else max(0, int((deadline - now) * 1000))

    def _give_up(self, execution: str) -> None:
        self._given_up[execution] = None
        if len(self._given_up) > MAX_GIVEN_UP:
            del self._given_up[next(iter(self._given_up))]
