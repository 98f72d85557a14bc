"""Open and accept connections through poller callbacks instead of trio tasks."""

import errno
import select
import socket as sockets
from collections.abc import Callable

from absl import logging

from persimmonhall.address import Address
from persimmonhall.timers import Timer, Timers
from persimmonhall.wire.readiness import Readiness

# Connections accepted before events of other connections are handled.
MAX_ACCEPTS = 64
FULL_PAUSE_S = 0.1
NO_DESCRIPTORS = frozenset({errno.EMFILE, errno.ENFILE})

SocketTaker = Callable[[sockets.socket], None]
FaultTaker = Callable[[OSError], None]


class Connecting:
    """Open one connection; call exactly one of the two callbacks, once."""

    def __init__(
        self,
        address: Address,
        readiness: Readiness,
        on_open: SocketTaker,
        on_fault: FaultTaker,
    ):
        self._readiness = readiness
        self._on_open = on_open
        self._on_fault = on_fault
        self._timer: Timer | None = None
        self._socket = sockets.socket()
        self._socket.setblocking(False)
        self._is_over = False
        code = self._socket.connect_ex((address.host, address.port))
        # An immediate error is reported later: the caller has no reference to this yet.
        self._code = 0 if code == errno.EINPROGRESS else code
        readiness.add(self._socket.fileno(), select.EPOLLOUT, self._on_ready)

    def limit(self, timers: Timers, when: float) -> None:
        """Fail with ETIMEDOUT if the connection is not open by the deadline."""
        self._timer = timers.call_at(when, self._time_out)

    def cancel(self) -> None:
        """Cancel the attempt without calling a callback."""
        if not self._is_over:
            self._end()
            self._socket.close()

    def _on_ready(self, events: int) -> None:
        self._end()
        option = self._socket.getsockopt(sockets.SOL_SOCKET, sockets.SO_ERROR)
        code = self._code or option
        if code:
            self._fail(code)
        else:
            self._on_open(self._socket)

    def _time_out(self) -> None:
        if not self._is_over:
            self._end()
            self._fail(errno.ETIMEDOUT)

    def _end(self) -> None:
        self._is_over = True
        self._readiness.remove(self._socket.fileno())
        if self._timer is not None:
            self._timer.cancel()

    def _fail(self, code: int) -> None:
        self._socket.close()
        self._on_fault(OSError(code, errno.errorcode.get(code, str(code))))


class Listening:
    """Accept the connections of one listening socket."""

    def __init__(
        self,
        listener: sockets.socket,
        readiness: Readiness,
        timers: Timers,
        take: SocketTaker,
    ):
        self._listener = listener
        self._readiness = readiness
        self._timers = timers
        self._take = take
        self._is_closed = False
        readiness.add(listener.fileno(), select.EPOLLIN, self._accept)

    def close(self) -> None:
        """Stop accepting connections."""
        if not self._is_closed:
            self._is_closed = True
            self._readiness.remove(self._listener.fileno())
            self._listener.close()

    def _accept(self, events: int) -> None:
        for _ in range(MAX_ACCEPTS):
            try:
                accepted, _ = self._listener.accept()
            except BlockingIOError:
                return
            except OSError as error:
                self._pause(error)
                return
            accepted.setblocking(False)
            self._take(accepted)

    def _pause(self, error: OSError) -> None:
        """Pause if no descriptors are left; other errors affect one connection only."""
        logging.warning("accept failed: %s", error)
        if error.errno not in NO_DESCRIPTORS:
            return
        fd = self._listener.fileno()
        self._readiness.change(fd, 0)
        when = self._timers.now() + FULL_PAUSE_S
        self._timers.call_at(when, self._resume)

    def _resume(self) -> None:
        if not self._is_closed:
            self._readiness.change(self._listener.fileno(), select.EPOLLIN)
