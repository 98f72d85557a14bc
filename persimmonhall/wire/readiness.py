"""Watch many connections with one task in place of one each.

A wait of a trio task costs a system call to arm it and a turn of the scheduler.
With thousands of messages a second that was half of a node's work. While messages
keep coming, the task here waits for the next one itself, and gives other tasks their
turn every few milliseconds.
"""

import select
from collections.abc import Callable

import trio

# Events handled before the time is looked at again.
MAX_EVENTS = 64
# Without a message for this long, other tasks and the scheduler have the loop.
QUIET_S = 0.004
# Other tasks of a busy node get their turn this often: timers fire this late.
TURN_S = 0.002
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
                await self._handle_burst()
        finally:
            self._epoll.close()

    async def _handle_burst(self) -> None:
        """Handle messages until none has come for a while."""
        turn = trio.current_time()
        while ready := self._epoll.poll(QUIET_S, MAX_EVENTS):
            self._handle(ready)
            now = trio.current_time()
            if now - turn > TURN_S:
                await trio.lowlevel.checkpoint()
                turn = trio.current_time()

    def _handle(self, ready: list[tuple[int, int]]) -> None:
        for fd, events in ready:
            # An earlier callback of the same round may have closed this one.
            callback = self._callbacks.get(fd)
            if callback is not None:
                callback(events)
