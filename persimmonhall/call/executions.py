"""Know which runs of the own backend server somebody still waits for."""

from collections.abc import Iterator
from contextlib import contextmanager

import trio

MAX_GIVEN_UP = 10_000


class Executions:
    """Hold the deadline of each run and the runs that were given up."""

    def __init__(self):
        self._deadlines: dict[str, float] = {}
        self._given_up: dict[str, None] = {}

    @contextmanager
    def running(self, execution: str, deadline: float) -> Iterator[None]:
        """Count a run until it ends; one that is cancelled was given up."""
        self._deadlines[execution] = deadline
        try:
            yield
        except trio.Cancelled:
            self._give_up(execution)
            raise
        finally:
            del self._deadlines[execution]

    def left_ms(self, execution: str, now: float) -> int | None:
        """Return the time left for calls of a run; None if it is not known here."""
        if execution in self._given_up:
            return 0
        deadline = self._deadlines.get(execution)
        return None if deadline is None else max(0, int((deadline - now) * 1000))

    def _give_up(self, execution: str) -> None:
        self._given_up[execution] = None
        if len(self._given_up) > MAX_GIVEN_UP:
            del self._given_up[next(iter(self._given_up))]
