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

from persimmonhall.event_time import set_event_time
from persimmonhall.timers import Timers
from persimmonhall.wire.scheduler import Scheduler, find_scheduler

# Events handled between two checks of the time.
MAX_EVENTS_PER_POLL = 64
# A busy poller yields this often; timers fire up to this late.
YIELD_INTERVAL_S = 0.002
# Messages are handled this often while other tasks stay runnable.
MAX_TASK_TURN_S = 0.002
# Without any deadline or timer the wait would be infinite, which epoll rejects.
MAX_WAIT_S = 1.0
EventCallback = Callable[[int], None]


class Poller:
    """Call a callback whenever a connection can be read or written."""

    def __init__(self):
        self._epoll = select.epoll()
        self._callbacks: dict[int, EventCallback] = {}
        self._has_scheduler_input = False

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

    async def run(self) -> None:
        """Poll and call the callbacks until cancelled; the thread may be shared."""
        try:
            while True:
                await trio.lowlevel.wait_readable(self._epoll.fileno())
                await self._poll_until_idle()
        finally:
            self._epoll.close()

    async def run_alone(self, timers: Timers) -> None:
        """Poll and fire timers until cancelled; no other poller may use the thread."""
        scheduler = find_scheduler()
        if scheduler is None:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(timers.run)
                await self.run()
            return
        try:
            self.add(scheduler.fd, select.EPOLLIN, self._on_scheduler_input)
            while True:
                with trio.CancelScope() as scope:
                    scope.deadline = trio.current_time() + MAX_TASK_TURN_S
                    await scheduler.wait_until_others_wait()
                if scope.cancelled_caught:
                    self._poll_between_tasks(scheduler, timers)
                else:
                    self._poll_until_task_runs(scheduler, timers)
        finally:
            self._epoll.close()

    def _poll_between_tasks(self, scheduler: Scheduler, timers: Timers) -> None:
        """Handle the events and timers that are due while tasks stay runnable."""
        now = scheduler.current_time()
        try:
            set_event_time(now)
            timers.fire_due(now)
            ready = self._epoll.poll(0, MAX_EVENTS_PER_POLL)
            self._call_back_all(ready, scheduler)
        finally:
            set_event_time(None)

    def _poll_until_task_runs(self, scheduler: Scheduler, timers: Timers) -> None:
        """Handle events and timers until another task can run."""
        self._has_scheduler_input = False
        read_clock = scheduler.current_time
        try:
            while not self._has_scheduler_input:
                now = read_clock()
                set_event_time(now)
                timers.fire_due(now)
                task_wait_s = scheduler.seconds_until_task_runs(now)
                if task_wait_s <= 0:
                    return
                timeout_s = min(task_wait_s, timers.next_due_at - now, MAX_WAIT_S)
                ready = self._epoll.poll(max(0, timeout_s), MAX_EVENTS_PER_POLL)
                self._call_back_all(ready, scheduler)
        finally:
            set_event_time(None)

    def _call_back_all(
        self, ready: list[tuple[int, int]], scheduler: Scheduler
    ) -> None:
        """Call the callbacks, each at the time at which it begins."""
        for event in ready:
            set_event_time(scheduler.current_time())
            self._call_back(*event)

    def _on_scheduler_input(self, events: int) -> None:
        self._has_scheduler_input = True

    async def _poll_until_idle(self) -> None:
        """Handle events until there is none; waiting here would stop other tasks."""
        yielded_at = trio.current_time()
        while ready := self._epoll.poll(0, MAX_EVENTS_PER_POLL):
            for event in ready:
                self._call_back(*event)
            now = trio.current_time()
            if now - yielded_at > YIELD_INTERVAL_S:
                await trio.lowlevel.checkpoint()
                yielded_at = trio.current_time()

    def _call_back(self, fd: int, events: int) -> None:
        callback = self._callbacks.get(fd)
        if callback is None:
            # An earlier callback of the same poll has removed this descriptor.
            return
        try:
            callback(events)
        except Exception:
            # An error in one connection must not end the process; polled again,
            # the descriptor would report the same event at once.
            logging.exception("unexpected error in a callback of the poller")
            if self._callbacks.get(fd) is callback:
                self.remove(fd)
