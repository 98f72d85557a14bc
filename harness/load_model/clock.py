"""Provide virtual time and a queue of timed events."""

import heapq
import itertools
from collections.abc import Callable

import trio

from persimmonhall.timers import Timer


class VirtualClock(trio.abc.Clock):
    """Provide the simulated time as a trio clock."""

    def __init__(self):
        self.now = 0.0

    def start_clock(self) -> None:
        """Do nothing; the event queue advances the time."""

    def current_time(self) -> float:
        """Return the simulated time."""
        return self.now

    def deadline_to_sleep_time(self, deadline: float) -> float:
        """Return zero, so that trio never waits."""
        return 0.0


class EventQueue:
    """Run callbacks in order of time; replaces Timers in the simulation."""

    def __init__(self, clock: VirtualClock):
        self._clock = clock
        self._heap: list[tuple[float, int, Timer]] = []
        self._numbers = itertools.count()

    @property
    def now(self) -> float:
        """Return the simulated time."""
        return self._clock.now

    def call_at(self, when: float, callback: Callable[[], None]) -> Timer:
        """Call a function at a time."""
        timer = Timer(callback)
        heapq.heappush(self._heap, (when, next(self._numbers), timer))
        return timer

    def after(self, delay_s: float, callback: Callable[[], None]) -> Timer:
        """Call a function after a delay."""
        return self.call_at(self._clock.now + delay_s, callback)

    def run_until(self, until: float) -> None:
        """Run all events up to a time."""
        while self._heap and self._heap[0][0] <= until:
            when, _, timer = heapq.heappop(self._heap)
            self._clock.now = max(self._clock.now, when)
            timer.fire()
        self._clock.now = until
