"""Run callbacks at given times from a single task or poller."""

import heapq
import itertools
import math
from collections.abc import Callable

import trio
from absl import logging

from persimmonhall.event_time import current_time

# Without a minimum sleep, timers that are due shortly after each other would each cost
# an iteration of the event loop.
MIN_SLEEP_S = 0.01


class Timer:
    """Represent a scheduled callback that can be cancelled."""

    __slots__ = ("_callback",)

    def __init__(self, callback: Callable[[], None]):
        self._callback: Callable[[], None] | None = callback

    @property
    def is_pending(self) -> bool:
        """Return whether the callback has neither run nor been cancelled."""
        return self._callback is not None

    def cancel(self) -> None:
        """Cancel the callback; no effect if it has run."""
        self._callback = None

    def fire(self) -> None:
        """Run the callback unless cancelled."""
        callback, self._callback = self._callback, None
        if callback is None:
            return
        try:
            callback()
        except Exception:
            # An error in one callback must not end the process.
            logging.exception("timer callback failed")


class Timers:
    """Schedule callbacks with a heap; times are seconds of the event loop's clock."""

    def __init__(self):
        self._heap: list[tuple[float, int, Timer]] = []
        self._sequence_numbers = itertools.count()
        self._wake_event = trio.Event()
        # No new callback is earlier than this until the task sleeps, if one runs.
        self._sleeping_until = -math.inf

    @property
    def next_due_at(self) -> float:
        """Return when the next callback is due, infinity if there is none."""
        heap = self._heap
        while heap and not heap[0][2].is_pending:
            heapq.heappop(heap)
        return heap[0][0] if heap else math.inf

    def now(self) -> float:
        """Return the time of the event loop's clock in seconds."""
        return current_time()

    def call_at(self, when: float, callback: Callable[[], None]) -> Timer:
        """Schedule a callback and return its timer."""
        timer = Timer(callback)
        heapq.heappush(self._heap, (when, next(self._sequence_numbers), timer))
        if when < self._sleeping_until - MIN_SLEEP_S:
            self._wake_event.set()
        return timer

    def fire_due(self, now: float) -> None:
        """Run the callbacks that are due."""
        while self._heap and self._heap[0][0] <= now:
            heapq.heappop(self._heap)[2].fire()

    async def run(self) -> None:
        """Run callbacks as they fall due until cancelled."""
        while True:
            self._wake_event = trio.Event()
            now = trio.current_time()
            self.fire_due(now)
            self._sleeping_until = max(self.next_due_at, now + MIN_SLEEP_S)
            with trio.move_on_at(self._sleeping_until):
                await self._wake_event.wait()
