"""Call functions at set times with one task for all of them."""

import heapq
import itertools
import math
from collections.abc import Callable

import trio
from absl import logging

# Timers that were cancelled stay in the heap: passing over them one by one would
# cost a turn of the loop each.
LEAST_SLEEP_S = 0.01


class Timer:
    """Hold one call that may still be cancelled."""

    __slots__ = ("_callback",)

    def __init__(self, callback: Callable[[], None]):
        self._callback: Callable[[], None] | None = callback

    def cancel(self) -> None:
        """Do not call any more."""
        self._callback = None

    def fire(self) -> None:
        """Call unless cancelled."""
        callback, self._callback = self._callback, None
        if callback is None:
            return
        try:
            callback()
        except Exception:
            # A fault met by one request must not end the process.
            logging.exception("timer failed")


class Timers:
    """Keep timers in a heap; times are seconds of the loop's clock."""

    def __init__(self):
        self._heap: list[tuple[float, int, Timer]] = []
        self._numbers = itertools.count()
        self._wake = trio.Event()
        self._sleeping_until = math.inf

    def now(self) -> float:
        """Return the time of the loop's clock."""
        return trio.current_time()

    def call_at(self, when: float, callback: Callable[[], None]) -> Timer:
        """Call a function at a time."""
        timer = Timer(callback)
        heapq.heappush(self._heap, (when, next(self._numbers), timer))
        if when < self._sleeping_until - LEAST_SLEEP_S:
            self._wake.set()
        return timer

    def fire_due(self, now: float) -> None:
        """Call what is due."""
        while self._heap and self._heap[0][0] <= now:
            heapq.heappop(self._heap)[2].fire()

    async def run(self) -> None:
        """Call what is due until cancelled."""
        while True:
            self._wake = trio.Event()
            now = trio.current_time()
            self.fire_due(now)
            due = self._heap[0][0] if self._heap else math.inf
            self._sleeping_until = max(due, now + LEAST_SLEEP_S)
            with trio.move_on_at(self._sleeping_until):
                await self._wake.wait()
