"""Watch many connections with one task in place of one each.

Every wait of a trio task costs a system call to arm it and a turn of the scheduler;
with thousands of messages a second that was a third of a node's work.
"""

import select
from collections.abc import Callable

import trio

# Events handled before other tasks get their turn.
MAX_EVENTS = 64
Callback = Callable[[int], None]


class Readiness:
    """Call a function whenever a connection can be read or written."""

    def __init__(self):
        self._epoll = select.epoll()
        self._callbacks: dict[int, Callback] = {}

    def add(self, fd: int, events: int, callback: Callback) -> None:
        """Watch a descriptor."""
        self._callbacks[fd] = callback
        self._epoll.register(fd, events)

    def change(self, fd: int, events: int) -> None:
        """Watch a descriptor for other events."""
        self._epoll.modify(fd, events)

    def remove(self, fd: int) -> None:
        """Forget a descriptor; call before it is closed."""
        if self._callbacks.pop(fd, None) is not None:
            self._epoll.unregister(fd)

    async def run(self) -> None:
        """Call back until cancelled."""
        try:
            while True:
                await trio.lowlevel.wait_readable(self._epoll.fileno())
                self._handle_ready()
        finally:
            self._epoll.close()

    def _handle_ready(self) -> None:
        for fd, events in self._epoll.poll(0, MAX_EVENTS):
            # An earlier callback of the same round may have closed this one.
            callback = self._callbacks.get(fd)
            if callback is not None:
                callback(events)
