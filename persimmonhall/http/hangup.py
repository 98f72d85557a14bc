"""Detect callers that disconnect while a request is in progress."""

import select
from collections.abc import Callable

import trio

HANGUP_EVENTS = select.EPOLLRDHUP | select.EPOLLHUP | select.EPOLLERR


class HangupWatch:
    """Watch connections for hang-ups with one epoll, at no cost per request."""

    def __init__(self):
        self._epoll = select.epoll()
        self._callbacks: dict[int, Callable[[], None]] = {}

    def add(self, fd: int, callback: Callable[[], None]) -> None:
        """Call back once when the peer closes the connection."""
        self._callbacks[fd] = callback
        self._epoll.register(fd, HANGUP_EVENTS | select.EPOLLONESHOT)

    def remove(self, fd: int) -> None:
        """Stop watching a connection; call before its descriptor is closed."""
        del self._callbacks[fd]
        self._epoll.unregister(fd)

    async def run(self) -> None:
        """Run the callbacks of closed connections until cancelled."""
        while True:
            await trio.lowlevel.wait_readable(self._epoll.fileno())
            for fd, _ in self._epoll.poll(0):
                self._callbacks[fd]()

    def close(self) -> None:
        """Close the epoll descriptor; remove every connection first."""
        self._epoll.close()
