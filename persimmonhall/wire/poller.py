"""Poll many connections from one task instead of one task per connection.

Each wait of a trio task costs a system call to register it and a pass of the scheduler.
With thousands of messages per second that was half of a node's work. While messages
keep arriving, this task polls for the next one itself and yields to other tasks every
few milliseconds.
"""

import select
from collections.abc import Callable

import trio
from absl import logging

# Events handled between two checks of the time.
MAX_EVENTS_PER_POLL = 64
# After this long without events, the poller returns to waiting in the scheduler.
IDLE_TIMEOUT_S = 0.004
# A busy poller yields this often; timers fire up to this late.
YIELD_INTERVAL_S = 0.002
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

    async def run(self) -> None:
        """Poll and call the callbacks until cancelled."""
        try:
            while True:
                await trio.lowlevel.wait_readable(self._epoll.fileno())
                await self._poll_until_idle()
        finally:
            self._epoll.close()

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
