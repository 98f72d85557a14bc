"""Poll many connections from one task instead of one task per connection.

Each wait of a trio task costs a system call to register it and a pass of the scheduler,
several times the cost of the message that ends the wait. A poller that has the thread
to itself therefore waits in its own epoll, which also reports what the other tasks wait
for, and yields to them only then. Pollers that share a thread poll on only while
messages keep arriving.
"""

import select
from collections.abc import Callable

import trio
from absl import logging

from persimmonhall.wire.scheduler import Scheduler, find_scheduler

# Events handled between two checks of the time.
MAX_EVENTS_PER_POLL = 64
# After this long without events, the poller returns to waiting in the scheduler.
IDLE_TIMEOUT_S = 0.004
# A busy poller yields this often; timers fire up to this late.
YIELD_INTERVAL_S = 0.002
MAX_WAIT_S = 1.0
EventCallback = Callable[[int], None]


class Poller:
    """Call a callback whenever a connection can be read or written."""

    def __init__(self):
        self._epoll = select.epoll()
        self._callbacks: dict[int, EventCallback] = {}

    def add(self, fd: int, events: int, callback: EventCallback) -> None:
        """Register a descriptor and its callback."""
        self._callbacks[fd] = callback
        self._epoll.register(fd, events)

    def modify(self, fd: int, events: int) -> None:
        """Change the events that a descriptor is polled for."""
        self._epoll.modify(fd, events)

    def remove(self, fd: int) -> None:
        """Unregister a descriptor; call this before closing it."""
        if self._callbacks.pop(fd, None) is not None:
            self._epoll.unregister(fd)

    async def run(self, *, owns_thread: bool = False) -> None:
        """Poll and call the callbacks until cancelled.

        A poller that owns its thread is the only one there and blocks it while no task
        can run.
        """
        scheduler = find_scheduler() if owns_thread else None
        try:
            if scheduler is None:
                await self._run_shared()
            else:
                await self._run_alone(scheduler)
        finally:
            self._epoll.close()

    async def _run_shared(self) -> None:
        while True:
            await trio.lowlevel.wait_readable(self._epoll.fileno())
            await self._poll_until_idle()

    async def _run_alone(self, scheduler: Scheduler) -> None:
        """Poll while all other tasks wait, and let them run when they can."""
        self._epoll.register(scheduler.fd, select.EPOLLIN)
        while True:
            with trio.move_on_after(YIELD_INTERVAL_S) as scope:
                await scheduler.wait_until_others_wait()
            if scope.cancelled_caught:
                self._call_back(self._epoll.poll(0, MAX_EVENTS_PER_POLL))
            else:
                self._poll_until_task_runs(scheduler)

    def _poll_until_task_runs(self, scheduler: Scheduler) -> None:
        """Handle events until another task can run."""
        while (wait_s := min(scheduler.seconds_until_task_runs, MAX_WAIT_S)) > 0:
            ready = self._epoll.poll(wait_s, MAX_EVENTS_PER_POLL)
            self._call_back(ready)
            if any(fd == scheduler.fd for fd, _ in ready):
                return

    async def _poll_until_idle(self) -> None:
        """Handle events until none has arrived for a while."""
        yielded_at = trio.current_time()
        while ready := self._epoll.poll(IDLE_TIMEOUT_S, MAX_EVENTS_PER_POLL):
            self._call_back(ready)
            now = trio.current_time()
            if now - yielded_at > YIELD_INTERVAL_S:
                await trio.lowlevel.checkpoint()
                yielded_at = trio.current_time()

    def _call_back(self, ready: list[tuple[int, int]]) -> None:
        for fd, events in ready:
            # An earlier callback of the same poll may have removed this descriptor.
            callback = self._callbacks.get(fd)
            if callback is None:
                continue
            try:
                callback(events)
            except Exception:
                # An error in one connection must not end the process; polled again,
                # the descriptor would report the same event at once.
                logging.exception("unexpected error in a callback of the poller")
                if self._callbacks.get(fd) is callback:
                    self.remove(fd)
